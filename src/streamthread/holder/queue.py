"""Looks at the queue: when, how often, and what goes out once it is durable."""

import asyncio
import time
import typing as t
from abc import ABC
from abc import abstractmethod

from ..cell import CommitLog
from ..clocks import boot_s
from ..scheduler import Attempt
from ..scheduler import Engine
from ..scheduler import StepRun
from ..scheduler.orders import OrderSender

__all__ = ["QueueLoop", "QueueOwner"]

MAX_PASS_INTERVAL_S = 0.5
"""The queue is looked at this often even when nothing is heard."""

MIN_PAUSE_S = 0.004
"""Between two looks at the queue: events of half a commit's time share one."""

PAUSE_FACTOR = 4.0
"""The pause is this many times what the last look took, so that looking takes a
fifth of the processor at most, however long the queue is."""


class QueueOwner(ABC):
    """What the queue needs of the holder."""

    engine: Engine
    log: CommitLog
    sender: OrderSender

    @property
    @abstractmethod
    def may_place(self) -> bool:
        """Whether new tasks may go to runners now."""

    @abstractmethod
    async def until_trusted(self) -> None:
        """Return once this daemon may rely on holding the cell."""

    @abstractmethod
    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a call side by side, for as long as the cell is held."""

    @abstractmethod
    def tickets_for(self, step: StepRun) -> t.Collection[str] | None:
        """Return the ids of the runners that may run a step; None: all."""


class QueueLoop:
    """Places what there is room for, and sends stops."""

    def __init__(self, owner: QueueOwner) -> None:
        self._owner = owner
        self._kick = asyncio.Event()
        self._next_pass_at_s = 0.0

    def kick(self) -> None:
        """Have the queue looked at soon."""
        self._kick.set()

    async def run(self) -> None:
        """Look at the queue until the cell is lost."""
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
        """Look at once, or with the next look if the last one was just now."""
        if boot_s() < self._next_pass_at_s:
            self.kick()
        else:
            self._run_pass_and_pause()

    def _run_pass_and_pause(self) -> float | None:
        """Look at the queue, and note when it may be looked at again."""
        began_at_s = boot_s()
        next_due_s = self._run_pass()
        ended_at_s = boot_s()
        pause_s = (ended_at_s - began_at_s) * PAUSE_FACTOR
        self._next_pass_at_s = ended_at_s + max(MIN_PAUSE_S, pause_s)
        return next_due_s

    def _run_pass(self) -> float | None:
        """Return when the next time of a job falls due, if one does.

        Stops go out for as long as the cell is held: a holder that is about to release
        it still confirms cancels, and extends what runs.
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
