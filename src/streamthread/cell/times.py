"""How long a cell's holder and its followers rely on each other."""

import attrs

from ..clocks import SLOWEST_CLOCK

__all__ = ["LeaseTimes", "on_slowest_clock_s"]


TERM_COMMIT_FACTOR = 2.2
"""A commit is relied on until the one after it is confirmed: twice the time of one and
the pause between them, and a tenth more since it varies."""

SUSPICION_COMMIT_FACTOR = 1.6
"""A commit that takes so many times as long as others lately is no slow one."""


def on_slowest_clock_s(term_s: float) -> float:
    """Return after how long a term is over on whatever clock."""
    return term_s / SLOWEST_CLOCK


@attrs.frozen
class LeaseTimes:
    """The figures of a lease: all are durations.

    :param trust_s: a holder relies on a confirmed commit for this long, or for as long
        as that commit says.
    :param most_trust_s: no commit says more.
    :param doubt_s: a holder whose commit has failed, and is tried for longer, stops
        ordering and tells its followers that they may take over.
    :param slow_doubt_s: the same while no try of the commit has failed: a store that
        is 60 times slower takes 0.55 s for one, and others fare no better there.
    :param most_doubt_s: the longest such time, however slow the store was before.
    :param silence_margin_s: a follower takes over when the commits stood still for
        longer, on its own clock, than the last one may be relied on, so that the old
        holder has stopped by then.
    :param beat_s: between the holder's beats to its followers.
    :param beat_lost_s: without a beat for longer, the store is asked.
    :param renew_s: a holder commits at least this often.
    :param stagger_s: candidates spread over this time, so that one write wins.
    :param defer_s: a daemon leaves larger ones so much more time, which is as far
        as their own suspicions lie apart; a holder on a machine that is too small
        for the jobs serves worse than one that comes later.
    :param sure_again_s: once the store serves us, a doubtful holder is given so long
        to commit: longer than it pauses between tries.
    :param slow_read_s: the store is slow for a follower whose read takes longer:
        usually 7 ms, 0.25 s in a store 60 times slower.
    :param slow_patience_s: then a doubtful holder is left alone for so long: about as
        long as its runs are held.
    :param retry_s: after a failed take-over from a doubtful holder.
    :param feed_wait_s: one call of a feed waits this long for a change; one that was
        sent just before an outage ends so much later, and 0.8 s.
    """

    trust_s: float = 1.3
    most_trust_s: float = 2.6
    doubt_s: float = 0.6
    slow_doubt_s: float = 0.95
    most_doubt_s: float = 1.5
    silence_margin_s: float = 0.2
    beat_s: float = 0.25
    beat_lost_s: float = 0.7
    renew_s: float = 0.4
    stagger_s: float = 0.12
    defer_s: float = 0.5
    sure_again_s: float = 0.25
    slow_read_s: float = 0.15
    slow_patience_s: float = 3.0
    feed_wait_s: float = 1.0
    retry_s: float = 0.2

    @property
    def max_validity_s(self) -> float:
        """After so long no holder relies on a commit of which nothing is known."""
        return on_slowest_clock_s(self.most_trust_s)

    def term_s(self, commit_s: float) -> float:
        """Return for how long a commit may be relied on.

        The next one is confirmed twice as long after this one begins as commits take. A
        store 90 times slower takes 0.85 s for one: with 1.3 s its holder relied on each
        for half of the time, refused hand-ins and started nothing for 6 s of a day.

        :param commit_s: how long a commit took lately.
        """
        wanted_s = TERM_COMMIT_FACTOR * commit_s + self.renew_s
        return min(max(self.trust_s, wanted_s), self.most_trust_s)

    def suspect_after_s(self, commit_s: float) -> float:
        """Return how long a commit may just take before its holder doubts itself.

        :param commit_s: how long a commit took lately.
        """
        return min(
            max(self.slow_doubt_s, SUSPICION_COMMIT_FACTOR * commit_s),
            self.most_doubt_s,
        )
