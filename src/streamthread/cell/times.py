"""The durations of a cell's lease, for its holder and its followers."""

import attrs

from ..clocks import SLOWEST_CLOCK

__all__ = ["LeaseTimes", "on_slowest_clock_s"]


TERM_COMMIT_FACTOR = 2.2
"""A lease term lasts until the next commit is confirmed: twice the duration of a commit
and the pause between them, plus a tenth because durations vary."""

SUSPICION_COMMIT_FACTOR = 1.6
"""A commit that takes more than this multiple of the recent duration is suspicious, not
just slow."""


def on_slowest_clock_s(term_s: float) -> float:
    """Return the time after which a term has expired even on the slowest clock."""
    return term_s / SLOWEST_CLOCK


@attrs.frozen
class LeaseTimes:
    """The settings of a lease; all are durations.

    :param trust_s: the minimum lease term: how long the lease is valid after a
        confirmed commit was sent, unless that commit states a longer term.
    :param most_trust_s: the maximum lease term.
    :param doubt_s: how long a commit may be tried once a try has failed. After this,
        the holder stops sending orders and reports that it cannot commit, so its
        followers may acquire the cell.
    :param slow_doubt_s: the same while no try has failed. A commit takes 0.55 s in a
        store that is 60 times slower, and no other holder would be faster there.
    :param most_doubt_s: the upper limit of this time, however slow earlier commits
        were.
    :param silence_margin_s: a follower acquires the cell once the commits have stalled
        for the last lease term plus this margin, measured on its own clock, so that the
        old holder has stopped by then.
    :param beat_s: interval between the holder's heartbeats to its followers.
    :param beat_lost_s: a follower checks the store after this time without a heartbeat.
    :param renew_s: the maximum interval between a holder's commits.
    :param stagger_s: candidates are spread over this time so that one write wins.
    :param defer_s: additional time for which a daemon defers to larger ones. It covers
        the difference between the times of their suspicions; a holder on a machine that
        is too small for the jobs is worse than a holder that starts later.
    :param sure_again_s: how long a holder that reported failing commits may take to
        commit once the store serves the followers; longer than its maximum backoff.
    :param slow_read_s: a follower regards the store as slow if a read takes longer. A
        read usually takes 7 ms, and 0.25 s in a store that is 60 times slower.
    :param slow_patience_s: how long a holder that cannot commit keeps the cell while
        the store is slow; about as long as a hold call extends a runner's runs.
    :param retry_s: pause after a failed acquisition from a holder that cannot commit.
    :param feed_wait_s: how long one call of a feed waits for a change. A call that was
        sent just before an outage ends after this time plus 0.8 s.
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
        """How long a lease of unknown term can be valid, even on the slowest clock."""
        return on_slowest_clock_s(self.most_trust_s)

    def term_s(self, commit_s: float) -> float:
        """Return the lease term that a commit grants.

        The next commit is confirmed two commit durations after this one begins. In a
        store that is 90 times slower a commit takes 0.85 s: a fixed term of 1.3 s would
        leave the lease valid for only half of the time, and the holder would refuse
        submissions and start no tasks for 6 s of a day.

        :param commit_s: the duration of recent commits.
        """
        wanted_s = TERM_COMMIT_FACTOR * commit_s + self.renew_s
        return min(max(self.trust_s, wanted_s), self.most_trust_s)

    def suspect_after_s(self, commit_s: float) -> float:
        """Return how long a commit may take before the holder suspects a failure.

        This applies while no try of the commit has failed.

        :param commit_s: the duration of recent commits.
        """
        return min(
            max(self.slow_doubt_s, SUSPICION_COMMIT_FACTOR * commit_s),
            self.most_doubt_s,
        )
