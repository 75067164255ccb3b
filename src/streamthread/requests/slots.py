"""The bounded queue of a service's requests for a slot, fair between teams."""

import asyncio
import bisect
import contextlib
import itertools
import typing as t

import attrs

from ..clocks import boot_s
from ..stopwatch import Stopwatch

__all__ = ["SlotQueue"]

EWMA_WEIGHT = 0.1
"""Weight of a new sample in the moving averages."""

T = t.TypeVar("T")


@attrs.define(order=True)
class _Waiter:
    """A waiting request; the smallest one is first in the queue."""

    tag: float
    sequence: int
    wakeup: asyncio.Event = attrs.field(factory=asyncio.Event, order=False)


class SlotQueue:
    """Queues requests while all upstreams of a service are full.

    Teams are served by weight (start-time fair queueing): a request's tag is the
    larger of its team's last tag and the last served tag, plus one divided by the
    team's weight. A team that sends many requests therefore waits behind its own.

    Only the first waiter tries to acquire a slot: when a slot becomes free here, and
    every ``poll_s``, because other daemons free slots too.

    :param limit: how many requests may wait.
    :param poll_s: how often the first waiter tries to acquire a slot.
    """

    def __init__(
        self,
        limit: int,
        poll_s: float = 0.03,
        clock_s: t.Callable[[], float] = boot_s,
    ) -> None:
        self.limit = limit
        self._poll_s = poll_s
        self._clock_s = clock_s
        self._waiting: list[_Waiter] = []
        self._sequences = itertools.count()
        self._served_tag = 0.0
        self._last_tags: dict[str, float] = {}
        self._last_acquired_s: float | None = None
        self._since_acquired: Stopwatch | None = None
        self._drain_interval_s = 0.0
        self._run_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no further request may wait."""
        return len(self._waiting) >= self.limit

    def expected_wait_s(self) -> float:
        """Estimate from the drain rate how long a new request would wait."""
        return (len(self._waiting) + 1) * self._drain_interval_s

    @property
    def run_s(self) -> float:
        """The moving average of how long a request runs once it has a slot."""
        return self._run_s

    def note_run(self, run_s: float) -> None:
        """Update the average run time with that of an answered request."""
        weight = EWMA_WEIGHT if self._run_s else 1.0
        self._run_s += weight * (run_s - self._run_s)

    def release(self) -> None:
        """Wake the first waiter, because a slot became free."""
        if self._waiting:
            self._waiting[0].wakeup.set()

    async def acquire(
        self,
        try_acquire: t.Callable[[], T | None],
        deadline_at_s: float,
        in_front: bool = False,
        team: str = "",
        weight: float = 1.0,
    ) -> T | None:
        """Wait until ``try_acquire`` succeeds, and return its result.

        Returns None after the deadline.

        :param in_front: whether the request goes to the front of the queue, because
            it already had a slot, whose upstream refused it or failed.
        """
        tag = self._served_tag if in_front else self._next_tag(team, weight)
        sequence = -1 if in_front else next(self._sequences)
        waiter = _Waiter(tag, sequence)
        bisect.insort(self._waiting, waiter)
        try:
            while (left_s := deadline_at_s - self._clock_s()) > 0:
                is_first = self._waiting[0] is waiter
                if is_first and (acquired := try_acquire()) is not None:
                    self._served_tag = max(self._served_tag, waiter.tag)
                    self._note_acquired()
                    return acquired
                waiter.wakeup.clear()
                pause_s = min(left_s, self._poll_s) if is_first else left_s
                await _wait(waiter.wakeup, pause_s)
            return None
        finally:
            self._remove(waiter)

    def _next_tag(self, team: str, weight: float) -> float:
        """Return the fair-queueing tag of a team's next request."""
        start_tag = max(self._served_tag, self._last_tags.get(team, 0.0))
        self._last_tags[team] = start_tag + 1.0 / weight
        return self._last_tags[team]

    def _remove(self, waiter: _Waiter) -> None:
        self._waiting = [other for other in self._waiting if other is not waiter]
        if not self._waiting:
            self._last_acquired_s = self._since_acquired = None
            self._served_tag = 0.0
            self._last_tags.clear()
        self.release()

    def _note_acquired(self) -> None:
        """Update the drain rate with the time since the last slot was acquired.

        Only times in which requests waited throughout count, so the last time is
        discarded when the queue becomes empty.
        """
        now_s = self._clock_s()
        if self._last_acquired_s is not None and self._since_acquired is not None:
            interval_s = now_s - self._last_acquired_s
            interval_s -= self._since_acquired.stood_still_s()
            weight = EWMA_WEIGHT if self._drain_interval_s else 1.0
            self._drain_interval_s += weight * (interval_s - self._drain_interval_s)
        self._last_acquired_s = now_s
        self._since_acquired = Stopwatch()


async def _wait(event: asyncio.Event, limit_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await event.wait()
