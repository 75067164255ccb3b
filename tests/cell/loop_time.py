"""Measures how long daemons need that share the event loop with their test."""

import asyncio
import time
import typing as t

from streamthread.clocks import processor_s

from .support import POLL_INTERVAL_S

__all__ = ["LoopTime"]

T = t.TypeVar("T")
"""The result of a call."""

TICK_S = 0.01
STALL_S = 0.05
"""A later tick is a stall: a daemon can't tell whether answers lie unread."""

STALL_COST_S = 0.21
"""A round of probes that a stall spoils is made again: 0.2 s and a pause of 10 ms."""


class LoopTime:
    """The elapsed time, less that for which the event loop did not run.

    On a busy machine the loop runs late, and with it the test and all daemons. What is
    left is the time that the daemons need by themselves.

    :param stall_cost_s: time that each stall costs the daemons in addition.
    :param counts_work: time for which this thread used the processor counts, also if
        the loop ran late by it: a daemon that computes for longer is slower.
    """

    def __init__(
        self, stall_cost_s: float = STALL_COST_S, counts_work: bool = False
    ) -> None:
        self._stall_cost_s = stall_cost_s
        self._counts_work = counts_work
        self._began_at_s = time.monotonic()
        self._stalled_s = 0.0
        self._start_tick()
        self._ticker = asyncio.ensure_future(self._tick())

    async def __aenter__(self) -> "LoopTime":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._ticker.cancel()

    def _start_tick(self) -> None:
        self._due_at_s = time.monotonic() + TICK_S
        self._worked_s = processor_s()

    async def _tick(self) -> None:
        while True:
            self._start_tick()
            await asyncio.sleep(TICK_S)
            self._stalled_s += self._stall_s()

    def _stall_s(self) -> float:
        """Return what the current stall has cost so far, 0 if the tick isn't late."""
        late_s = max(0.0, time.monotonic() - self._due_at_s)
        if self._counts_work:
            late_s = max(0.0, late_s - (processor_s() - self._worked_s))
        return late_s + (self._stall_cost_s if late_s > STALL_S else 0)

    def elapsed_s(self) -> float:
        """Return the time since the beginning for which the loop ran.

        After a stall, other tasks may run before the tick that counts it.
        """
        return time.monotonic() - self._began_at_s - self._stalled_s - self._stall_s()

    async def until(
        self, condition: t.Callable[[], t.Any], what: str, within_s: float
    ) -> None:
        """Wait until a condition holds, at most until this much time has elapsed."""
        while not condition():
            assert self.elapsed_s() < within_s, f"not within {within_s} s: {what}"
            await asyncio.sleep(POLL_INTERVAL_S)

    async def result(self, call: t.Awaitable[T], within_s: float) -> T:
        """Return a call's result; it must arrive before this much time has elapsed."""
        task = asyncio.ensure_future(call)
        began_at_s = self.elapsed_s()
        try:
            while not task.done():
                assert self.elapsed_s() - began_at_s < within_s, f"not in {within_s} s"
                await asyncio.wait((task,), timeout=TICK_S)
            took_s = self.elapsed_s() - began_at_s
            assert took_s < within_s, f"{took_s:.3f} s, {within_s} s are allowed"
            return task.result()
        finally:
            task.cancel()
