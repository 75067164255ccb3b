"""Measures durations without the time for which this process stood still.

A process that was stopped, or whose machine was suspended, reads an answer late that
came in time. If that time counted, one suspension would set an estimate of how long
answers take to its length.
"""

import asyncio
import weakref

from .clocks import boot_s

__all__ = ["Stopwatch"]

TICK_S = 0.05
"""Interval at which the event loop shows that it runs, while a stopwatch is in use."""

MAX_TICK_S = 0.5
"""A longer interval means that the process stood still. The event loop of a busy holder
is late by some tenths of a second, which its estimates have to allow for."""


class _RunningClock:
    """The boot clock, less the time for which this process stood still."""

    def __init__(self) -> None:
        self._read_at_s = 0.0
        self._stood_still_s = 0.0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._in_use: weakref.WeakSet[Stopwatch] = weakref.WeakSet()

    def read_s(self) -> float:
        """Return the time, and record that the process runs."""
        now_s = boot_s()
        gap_s = now_s - self._read_at_s
        if gap_s > MAX_TICK_S:
            self._stood_still_s += gap_s
        self._read_at_s = now_s
        return now_s - self._stood_still_s

    @property
    def stood_still_s(self) -> float:
        """For how long the process has stood still so far."""
        self.read_s()
        return self._stood_still_s

    def register(self, stopwatch: "Stopwatch") -> None:
        """Read the clock at short intervals for as long as a stopwatch is in use."""
        self._in_use.add(stopwatch)
        loop = asyncio.get_running_loop()
        if self._loop is not loop:
            self._loop = loop
            loop.call_later(TICK_S, self._tick, loop)

    def _tick(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._loop is not loop:
            return
        self.read_s()
        if self._in_use:
            loop.call_later(TICK_S, self._tick, loop)
        else:
            self._loop = None


_CLOCK = _RunningClock()


class Stopwatch:
    """Measures the time since its creation for which this process ran.

    It must be created while an event loop runs.
    """

    def __init__(self) -> None:
        self._began_at_s = _CLOCK.read_s()
        self._stood_still_before_s = _CLOCK.stood_still_s
        _CLOCK.register(self)

    def elapsed_s(self) -> float:
        """Return for how long the process has run since the creation."""
        return _CLOCK.read_s() - self._began_at_s

    def stood_still_s(self) -> float:
        """Return for how long the process has stood still since the creation."""
        return _CLOCK.stood_still_s - self._stood_still_before_s
