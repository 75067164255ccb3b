"""A hybrid logical clock: wall time that never contradicts causality."""

import time
import typing as t

import attrs

__all__ = ["HybridClock", "HybridTime"]


@attrs.frozen(order=True)
class HybridTime:
    """Wall milliseconds, and a counter for what happened within one of them."""

    physical_ms: int = 0
    logical: int = 0


class HybridClock:
    """Gives out increasing times, later than every time it was shown.

    :param wall_s: the wall clock in seconds; replaced in tests.
    """

    def __init__(self, wall_s: t.Callable[[], float] = time.time) -> None:
        self._wall_s = wall_s
        self._last = HybridTime()

    def now(self) -> HybridTime:
        """Return a time later than all before."""
        wall_ms = int(self._wall_s() * 1000)
        if wall_ms > self._last.physical_ms:
            self._last = HybridTime(wall_ms)
        else:
            self._last = HybridTime(self._last.physical_ms, self._last.logical + 1)
        return self._last

    def observe(self, remote: HybridTime) -> None:
        """Take note of a time that came with a message."""
        self._last = max(self._last, remote)
