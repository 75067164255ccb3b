"""Runs the scheduling passes, and sends starts and stops once they are durable."""

import asyncio
import time
import typing as t
from abc import ABC
from abc import abstractmethod

from prometheus_client import Histogram

from ..cell import CommitLog
from ..clocks import boot_s
from ..clocks import processor_s
from ..scheduler import Attempt
from ..scheduler import Engine
from ..scheduler import StepRun
from ..scheduler.orders import OrderSender

__all__ = ["QueueLoop", "QueueOwner", "pass_interval"]

MAX_PASS_INTERVAL_S = 0.5
"""A scheduling pass runs at least this often, even without any event."""

MIN_PAUSE_S = 0.004
"""Minimum pause between two passes, about half the duration of a commit. Events that
arrive during the pause share the next pass."""

MAX_PAUSE_S = 0.3
"""Maximum pause between two passes: half of the callers' shortest latency objective of
0.6 s. The other half is for the pass itself, the commits and the start. Passes that
take more than 75 ms of processor time use more than a fifth of the processor."""

PAUSE_FACTOR = 4.0
"""The pause lasts this many times the processor time of the last pass, so that passes
use a fifth of the processor. Elapsed time is no measure: a process that was stopped for
4 s during a pass would place nothing for the next 16 s."""


PASS_INTERVAL_BUCKETS_S = (0.005, 0.01, 0.03, 0.1, 0.3, 0.5, 1.0, 3.0, 10.0)
"""Up to the maximum pause and interval, and longer ones, in which nothing is placed."""


def pass_interval() -> Histogram:
    """Return the histogram of the time between two scheduling passes."""
    return Histogram(
        "streamthread_pass_interval_seconds",
        "Between the starts of two scheduling passes of this holder.",
        buckets=PASS_INTERVAL_BUCKETS_S,
        registry=None,
    )


class QueueOwner(ABC):
    """What the queue needs from the holder."""

    engine: Engine
    log: CommitLog
    sender: OrderSender

    @property
    @abstractmethod
    def may_place(self) -> bool:
        """Whether new tasks may be sent to runners now."""

    @abstractmethod
    async def until_trusted(self) -> None:
        """Wait until this daemon's lease on the cell is certainly valid."""

    @abstractmethod
    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine concurrently for as long as the cell is held."""

    @abstractmethod
    def tickets_for(self, step: StepRun) -> t.Collection[str] | None:
        """Return the ids of the runners that may run a step; None means all."""


class QueueLoop:
    """Places tasks for which there is free capacity, and sends stops."""

    def __init__(self, owner: QueueOwner) -> None:
        self._owner = owner
        self._kick = asyncio.Event()
        self._next_pass_at_s = 0.0
        self._last_pass_at_s: float | None = None
        self.pass_interval_s = pass_interval()

    def kick(self) -> None:
        """Schedule a pass over the queue soon."""
        self._kick.set()

    async def run(self) -> None:
        """Run scheduling passes until the cell is lost."""
        while True:
            await self._owner.until_trusted()
            await asyncio.sleep(max(0.0, self._next_pass_at_s - boot_s()))
            next_due_s = self._run_pass_and_pause()
            wait_s = MAX_PASS_INTERVAL_S
            if next_due_s is not None:
                wait_s = min(wait_s, max(0.0, next_due_s - time.time()))
            try:
                async with asyncio.timeout(wait_s):
                    await self._kick.wait()
            except TimeoutError:
                continue

    def run_pass_soon(self) -> None:
        """Run a pass at once, or schedule the next one if the pause is not over yet."""
        if boot_s() < self._next_pass_at_s:
            self.kick()
        else:
            self._run_pass_and_pause()

    def _run_pass_and_pause(self) -> float | None:
        """Run a pass, and set when the next one may run."""
        now_s = boot_s()
        if self._last_pass_at_s is not None:
            self.pass_interval_s.observe(now_s - self._last_pass_at_s)
        self._last_pass_at_s = now_s
        used_before_s = processor_s()
        next_due_s = self._run_pass()
        pause_s = (processor_s() - used_before_s) * PAUSE_FACTOR
        pause_s = min(max(MIN_PAUSE_S, pause_s), MAX_PAUSE_S)
        self._next_pass_at_s = boot_s() + pause_s
        return next_due_s

    def _run_pass(self) -> float | None:
        """Run a pass; return when a job's next occurrence is due, if there is one.

        Stops are sent for as long as the cell is held: a holder that is about to
        release it still acknowledges cancels and extends runs.
        """
        self._kick.clear()
        engine = self._owner.engine
        next_due_s: float | None = None
        placed: list[Attempt] = []
        if self._owner.may_place:
            now_s = time.time()
            next_due_s = engine.begin_due(now_s)
            placed = engine.place_all(now_s, self._owner.tickets_for)
        stops = engine.take_stops()
        if placed or stops:
            self._owner.spawn(self._send_when_durable(placed, stops))
        return next_due_s

    async def _send_when_durable(
        self, placed: t.Sequence[Attempt], stops: t.Sequence[Attempt]
    ) -> None:
        await self._owner.log.flushed()
        for attempt in placed:
            self._owner.spawn(self._owner.sender.start(attempt))
        for attempt in stops:
            self._owner.spawn(self._owner.sender.stop(attempt))
