"""Whether a holder may rely on holding the cell, and what follows."""

import asyncio

from ..cell import CommitLog
from ..cell import LeaseTimes
from ..clocks import boot_s

__all__ = ["LeaseValidity"]

VALIDITY_POLL_S = 0.02
"""How often a doubtful holder looks whether it may go on: about three commits."""

RELEASE_TIMEOUT_S = 0.3
"""A release that takes longer is not waited for: it takes two commits of 7 ms."""


class LeaseValidity:
    """Trust in the last confirmed commit.

    :param most_hold_s: the longest that runners let themselves be held.
    :param releasing: the cell is being given up: nothing new is ordered.
    """

    def __init__(self, log: CommitLog, times: LeaseTimes, most_hold_s: float) -> None:
        self._log = log
        self._times = times
        self._most_hold_s = most_hold_s
        self._release_began_at_s = 0.0
        self.releasing = False

    @property
    def trusted(self) -> bool:
        """Whether a commit was confirmed so lately that nobody took over."""
        times = self._times
        age_s = boot_s() - self._log.confirmed_at_s
        slow_doubt_s = times.doubt_after_s(self._log.commit_s)
        doubtful = self._log.is_doubtful(times.doubt_s, slow_doubt_s)
        return age_s < self._log.term_s and not doubtful and not self._log.lost

    @property
    def doubtful(self) -> bool:
        """Whether others may take the cell: no commits, or no release in time."""
        if not self.trusted:
            return True
        return (
            self.releasing and boot_s() - self._release_began_at_s > RELEASE_TIMEOUT_S
        )

    @property
    def idle_head_version(self) -> int:
        """The head row's version, while nothing is ordered before it changes.

        0 where something may be: a holder that trusts itself extends runs, also while
        it waits for its release.
        """
        return 0 if self.trusted else self._log.head_version

    def begin_release(self) -> None:
        """Order nothing new: the cell is about to be released."""
        self.releasing = True
        self._release_began_at_s = boot_s()

    async def until_trusted(self) -> None:
        """Return once this daemon may rely on holding the cell."""
        while not self.trusted:
            await asyncio.sleep(VALIDITY_POLL_S)

    def may_accept(self) -> bool:
        """Whether a job that is accepted now most likely becomes durable soon."""
        return self.trusted and self._log.failing_since_s is None

    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0: not at all.

        While commits fail, runs are held for as long as the runners accept, so
        that they outlast an outage of the store.
        """
        if not self.trusted:
            return 0.0
        if self._log.in_trouble():
            return self._most_hold_s
        return wanted_s
