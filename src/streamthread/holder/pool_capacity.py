"""What pools get or may get, from the latest list of machines."""

import collections
import time
import typing as t

import attrs

from ..capacity import MachineView
from ..clocks import boot_s
from .forecasts import CapacityParts

__all__ = ["PoolCapacity"]

MAX_AGE_S = 3.0
"""Machines are unknown once they were last looked at longer ago than this."""


class PoolCapacity:
    """The machines as they were when the duties were last decided.

    :param move_s: how long a machine takes from one pool to another.
    """

    def __init__(self, move_s: float) -> None:
        self._move_s = move_s
        self._views: tuple[MachineView, ...] = ()
        self._at_s: float | None = None
        # Sums by pool. They are made when they are first asked for, since every new job
        # asks, and nobody does where shares are not in force.
        self._sums: _Sums | None = None

    def update(self, views: t.Iterable[MachineView]) -> None:
        """Use the machines as they are now."""
        self._views = tuple(views)
        self._at_s = boot_s()
        self._sums = None

    def arriving(self, pool: str) -> CapacityParts:
        """Return the cpu that is on its way into a pool, and when it will be there.

        When each move began is not known here, so that half a move is assumed.
        """
        if not self._is_known():
            return ()
        cpu = self._cpu_sums().arriving[pool]
        return ((time.time() + self._move_s / 2, float(cpu)),) if cpu else ()

    def obtainable(self, pool: str) -> CapacityParts | None:
        """Return the most cpu that a pool gets or may get; None if it is unknown.

        What is on its way counts as if it were there, and what is idle anywhere as if
        it were for this pool: what does not fit then certainly does not.
        """
        if not self._is_known():
            return None
        now_s = time.time()
        sums = self._cpu_sums()
        idle = sums.all_idle - sums.idle[pool]
        arriving = float(sums.arriving[pool])
        return ((now_s, arriving), (now_s + self._move_s, float(idle)))

    def _cpu_sums(self) -> "_Sums":
        if self._sums is None:
            self._sums = _Sums.of(self._views)
        return self._sums

    def _is_known(self) -> bool:
        return self._at_s is not None and boot_s() - self._at_s <= MAX_AGE_S


@attrs.define
class _Sums:
    """Thousandths of a core, by pool.

    :param arriving: what is on its way into a pool.
    :param idle: what may leave a pool.
    """

    arriving: collections.Counter[str] = attrs.field(factory=collections.Counter)
    idle: collections.Counter[str] = attrs.field(factory=collections.Counter)
    all_idle: int = 0

    @classmethod
    def of(cls, views: t.Iterable[MachineView]) -> "_Sums":
        """Return the sums over machines."""
        sums = cls()
        for view in views:
            if view.arriving and not view.usable:
                sums.arriving[view.pool] += view.cpu
            if view.free_to_move:
                sums.idle[view.pool] += view.cpu
                sums.all_idle += view.cpu
        return sums
