"""Availability budgets: how many instances of a pool may be unavailable at once.

The count is pessimistic. An instance is available only if its member row says
that it is serving and a fresh membership list says that it is live. Instances that
are granted for a drain, lost, leaving or unknown count as unavailable.
"""

import typing as t

import attrs

from ..fleet.pools import MemberState
from ..fleet.pools import PoolRow

__all__ = ["Budget", "measure_budget"]


@attrs.frozen
class Budget:
    """A pool's availability at one moment.

    :param available: how many members are serving and live.
    :param min_available: how many the pool's configuration requires.
    """

    available: int
    min_available: int

    @property
    def grants_left(self) -> int:
        """How many available instances may be drained now."""
        return max(0, self.available - self.min_available)

    @property
    def violated(self) -> bool:
        """Whether fewer instances are available than the budget requires."""
        return self.available < self.min_available


def measure_budget(
    row: PoolRow, live: t.Container[str], fresh: bool, min_available: int
) -> Budget:
    """Return the budget of a pool.

    :param live: the IDs of the instances that the membership list shows as live.
    :param fresh: whether that list was read recently; if not, no instance counts as
        available.
    """
    available = sum(
        member.state is MemberState.SERVING and instance_id in live
        for instance_id, member in row.members.items()
    )
    return Budget(available if fresh else 0, min_available)
