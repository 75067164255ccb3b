"""Which pools need a decision: those that something changed about.

So the cost of deciding follows the changes, not the number of pools.
"""

import random
import typing as t

from ..clocks import boot_s

__all__ = ["WorkQueue"]


class WorkQueue:
    """Pools to look at, and a slow sweep over all as a safety net.

    :param sweep_s: each pool is looked at so often even if nothing changed.
    """

    def __init__(self, sweep_s: float, clock_s: t.Callable[[], float] = boot_s) -> None:
        self._sweep_s = sweep_s
        self._clock_s = clock_s
        self._due: set[str] = set()
        self._all_due = False
        self._sweep_at_s: dict[str, float] = {}
        self._random = random.Random(0)

    def add(self, name: str) -> None:
        """Look at a pool with the next decision."""
        self._due.add(name)

    def add_all(self) -> None:
        """Look at every pool with the next decision."""
        self._all_due = True

    def due(self, held: t.AbstractSet[str]) -> list[str]:
        """Return the pools to look at now, of those held; they are then done."""
        now_s = self._clock_s()
        swept = {name for name in held if now_s >= self._sweep_at_s.get(name, 0.0)}
        due = set(held) if self._all_due else swept | (self._due & held)
        self._all_due = False
        self._due -= due
        self._due &= held
        for name in due:
            pause_s = self._sweep_s * self._random.uniform(0.5, 1.5)
            self._sweep_at_s[name] = now_s + pause_s
        return sorted(due)
