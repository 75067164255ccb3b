"""Availability budgets: how many instances a pool may give away.

The count is pessimistic. An instance is available only if its member row says
that it serves and a fresh membership list says that it lives; whatever is
granted, lost, leaving or not heard of counts as gone.
"""

import typing as t

import attrs

from ..fleet.pools import MemberState
from ..fleet.pools import PoolRow

__all__ = ["Budget", "measure_budget"]


@attrs.frozen
class Budget:
    """A pool's availability at one moment.

    :param available: the members that serve and live.
    """

    available: int
    min_available: int

    @property
    def grants_left(self) -> int:
        """How many available instances may be given away now."""
        return max(0, self.available - self.min_available)

    @property
    def broken(self) -> bool:
        """Whether fewer are available than the budget asks."""
        return self.available < self.min_available


def measure_budget(
    row: PoolRow, live: t.Container[str], fresh: bool, min_available: int
) -> Budget:
    """Return the budget of a pool.

    :param live: the instances that the membership list shows as live.
    :param fresh: whether that list was read lately; if not, none is available.
    """
    available = sum(
        member.state is MemberState.SERVING and instance_id in live
        for instance_id, member in row.members.items()
    )
    return Budget(available if fresh else 0, min_available)
