"""Measures how long daemons need that share the event loop with their test."""

import asyncio
import time
import typing as t

from .support import POLL_INTERVAL_S

__all__ = ["LoopTime"]

TICK_S = 0.01
STALL_S = 0.05
"""A later tick is a stall: a daemon can't tell whether answers lie unread."""

STALL_COST_S = 0.21
"""A round of probes that a stall spoils is made again: 0.2 s and a pause of 10 ms."""


class LoopTime:
    """The elapsed time, less that for which the event loop did not run.

    On a busy machine the loop runs late, and with it the test and all daemons. What is
    left is the time that the daemons need by themselves.

    :param stall_cost_s: subtracted for each stall, beside the stall itself; 0 where the
        daemons' probes are not waited for.
    """

    def __init__(self, stall_cost_s: float = STALL_COST_S) -> None:
        self._stall_cost_s = stall_cost_s
        self._began_at_s = time.monotonic()
        self._stalled_s = 0.0
        self._ticker = asyncio.ensure_future(self._tick())

    async def __aenter__(self) -> "LoopTime":
        return self

    async def __aexit__(self, *_: object) -> None:
        self._ticker.cancel()

    async def _tick(self) -> None:
        while True:
            due_at_s = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            late_s = max(0.0, time.monotonic() - due_at_s)
            self._stalled_s += late_s + (
                self._stall_cost_s if late_s > STALL_S else 0.0
            )

    def elapsed_s(self) -> float:
        """Return the time since the beginning for which the loop ran."""
        return time.monotonic() - self._began_at_s - self._stalled_s

    async def until(
        self, condition: t.Callable[[], t.Any], what: str, within_s: float
    ) -> None:
        """Wait until a condition holds, at most until this much time has elapsed."""
        while not condition():
            assert self.elapsed_s() < within_s, f"not within {within_s} s: {what}"
            await asyncio.sleep(POLL_INTERVAL_S)
