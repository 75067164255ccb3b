"""Whether the holder's lease on the cell is certainly valid, and what that permits."""

import asyncio
import typing as t

from ..cell import CommitLog
from ..cell import LeaseTimes
from ..clocks import boot_s
from ..errors import OrderAbortedError

__all__ = ["LeaseValidity"]

T = t.TypeVar("T")
"""The result of a call that is made while the lease is valid."""

VALIDITY_POLL_S = 0.02
"""Interval at which a holder checks a lease that is uncertain, or that a call under way
depends on; about three commits take as long."""

RELEASE_TIMEOUT_S = 0.3
"""After this time others may acquire the cell without the release, which takes two
commits of 7 ms."""


class LeaseValidity:
    """Derives the validity of the lease from the last confirmed commit.

    :param most_hold_s: the longest extension of runs that a holder requests.
    :param releasing: the cell is being released; no new orders are sent.
    """

    def __init__(self, log: CommitLog, times: LeaseTimes, most_hold_s: float) -> None:
        self._log = log
        self._times = times
        self._most_hold_s = most_hold_s
        self._release_began_at_s = 0.0
        self.releasing = False

    @property
    def trusted(self) -> bool:
        """Whether the last commit is so recent that no other daemon holds the cell."""
        times = self._times
        age_s = boot_s() - self._log.confirmed_at_s
        slow_limit_s = times.suspect_after_s(self._log.commit_s)
        suspect = self._log.is_commit_overdue(times.doubt_s, slow_limit_s)
        return age_s < self._log.term_s and not suspect and not self._log.lost

    @property
    def doubtful(self) -> bool:
        """Whether others may acquire the cell, as commits or a release are overdue."""
        if not self.trusted:
            return True
        return (
            self.releasing and boot_s() - self._release_began_at_s > RELEASE_TIMEOUT_S
        )

    @property
    def idle_head_version(self) -> int:
        """The head row's version if nothing is ordered until that row changes, or 0.

        It is 0 for a holder with a valid lease, which extends runs even while it waits
        for its release.
        """
        return 0 if self.trusted else self._log.head_version

    def begin_release(self) -> None:
        """Send no new orders, as the cell is about to be released."""
        self.releasing = True
        self._release_began_at_s = boot_s()

    async def until_trusted(self) -> None:
        """Wait until this daemon's lease on the cell is certainly valid."""
        while not self.trusted:
            await asyncio.sleep(VALIDITY_POLL_S)

    async def while_trusted(self, call: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Return a call's result; cancel it once the lease is not certainly valid.

        :raises OrderAbortedError: it was cancelled, and may have been carried out.
        """
        task = asyncio.ensure_future(call)
        try:
            while not task.done() and self.trusted:
                await asyncio.wait((task,), timeout=VALIDITY_POLL_S)
        finally:
            task.cancel()
        # A cancelled call closes its connection, so it is waited for.
        await asyncio.wait((task,))
        if task.cancelled():
            raise OrderAbortedError(
                "the lease on the cell is no longer certainly valid",
                remedy="the next list of machines shows whether it was carried out",
            )
        return task.result()

    def may_accept(self) -> bool:
        """Whether a job that is accepted now will probably be durable soon."""
        return self.trusted and self._log.failing_since_s is None

    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0 means not at all.

        While commits fail or are slow, runs get the longest extension that a holder
        requests, so that they survive an outage of the store.
        """
        if not self.trusted:
            return 0.0
        if self._log.is_degraded():
            return self._most_hold_s
        return wanted_s
