"""What pools get or may get, from the latest list of machines."""

import time
import typing as t

from ..capacity import MachineView
from ..clocks import boot_s
from .forecasts import CapacityParts

__all__ = ["PoolCapacity"]

MOVE_S = 1.5
"""How long a machine takes from one pool to another."""

MAX_AGE_S = 3.0
"""Machines are unknown once they were last looked at longer ago than this."""


class PoolCapacity:
    """The machines as they were when the duties were last decided."""

    def __init__(self) -> None:
        self._views: tuple[MachineView, ...] = ()
        self._at_s: float | None = None

    def update(self, views: t.Iterable[MachineView]) -> None:
        """Use the machines as they are now."""
        self._views = tuple(views)
        self._at_s = boot_s()

    def arriving(self, pool: str) -> CapacityParts:
        """Return the cpu that is on its way into a pool, and when it will be there.

        When each move began is not known here, so that half a move is assumed.
        """
        if not self._is_known():
            return ()
        cpu = sum(view.cpu for view in self._views if _arrives(view, pool))
        return ((time.time() + MOVE_S / 2, float(cpu)),) if cpu else ()

    def obtainable(self, pool: str) -> CapacityParts | None:
        """Return the most cpu that a pool gets or may get; None if it is unknown.

        What is on its way counts as if it were there, and what is idle anywhere as if
        it were for this pool: what does not fit then certainly does not.
        """
        if not self._is_known():
            return None
        now_s = time.time()
        arriving = sum(view.cpu for view in self._views if _arrives(view, pool))
        idle = sum(
            view.cpu for view in self._views if view.pool != pool and view.free_to_move
        )
        return ((now_s, float(arriving)), (now_s + MOVE_S, float(idle)))

    def _is_known(self) -> bool:
        return self._at_s is not None and boot_s() - self._at_s <= MAX_AGE_S


def _arrives(view: MachineView, pool: str) -> bool:
    return view.pool == pool and view.arriving and not view.usable
