"""Waiting for a slot: a bounded queue a service, fair between teams."""

import asyncio
import bisect
import contextlib
import itertools
import typing as t

import attrs

from ..clocks import boot_s

__all__ = ["SlotQueue"]

EWMA_WEIGHT = 0.1

T = t.TypeVar("T")


@attrs.define(order=True)
class _Waiter:
    """One request's place; the smallest is first."""

    tag: float
    sequence: int
    wakeup: asyncio.Event = attrs.field(factory=asyncio.Event, order=False)


class SlotQueue:
    """Requests that wait because all upstreams of a service are full.

    Teams get turns by their weights (start-time fair queueing): a request's tag
    is one over its team's weight after the team's last, but not before the tag
    served last. So a team that sends much waits behind its own requests.

    Only the first one tries to take a slot: when one comes free here, and now
    and then, since other daemons free slots too.

    :param limit: how many may wait.
    :param poll_s: how often the first one tries.
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
        self._drain_interval_s = 0.0
        self._run_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether no more may wait."""
        return len(self._waiting) >= self.limit

    def expected_wait_s(self) -> float:
        """Return how long a new arrival would wait, from the drain rate."""
        return (len(self._waiting) + 1) * self._drain_interval_s

    @property
    def run_s(self) -> float:
        """How long a request runs once it has a slot, lately."""
        return self._run_s

    def note_run(self, run_s: float) -> None:
        """Learn how long requests run, from one that was answered."""
        weight = EWMA_WEIGHT if self._run_s else 1.0
        self._run_s += weight * (run_s - self._run_s)

    def release(self) -> None:
        """Let the first one try, since a slot came free."""
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
        """Wait in line until ``try_acquire`` succeeds; None after the deadline.

        :param in_front: it had its turn already, and was refused.
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
        """Return the tag of a team's next request."""
        start_tag = max(self._served_tag, self._last_tags.get(team, 0.0))
        self._last_tags[team] = start_tag + 1.0 / weight
        return self._last_tags[team]

    def _remove(self, waiter: _Waiter) -> None:
        self._waiting = [other for other in self._waiting if other is not waiter]
        if not self._waiting:
            self._last_acquired_s = None
            self._served_tag = 0.0
            self._last_tags.clear()
        self.release()

    def _note_acquired(self) -> None:
        """Learn the drain rate, from slots taken while others wait."""
        now_s = self._clock_s()
        if self._last_acquired_s is not None:
            interval_s = now_s - self._last_acquired_s
            weight = EWMA_WEIGHT if self._drain_interval_s else 1.0
            self._drain_interval_s += weight * (interval_s - self._drain_interval_s)
        self._last_acquired_s = now_s


async def _wait(event: asyncio.Event, limit_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await event.wait()
