"""Shard rows, and the pure decision which of them to take or give up."""

import typing as t

import attrs

from .observer import LeaseRecord
from .rendezvous import first_ranked

__all__ = ["ShardPlan", "ShardState", "plan_shards"]


@attrs.frozen
class ShardState:
    """Who holds a shard. The row's version is the epoch of the holding.

    The row is written at hand-over only, so the version grows by one each time.
    """

    shard: int
    epoch: int
    holder: str
    incarnation: str

    def is_held_by(self, record: LeaseRecord) -> bool:
        """Whether this very process holds it."""
        return (
            self.holder == record.daemon_id and self.incarnation == record.incarnation
        )


@attrs.frozen
class ShardPlan:
    """What one daemon should do next."""

    take: tuple[ShardState, ...]
    release: tuple[ShardState, ...]


def plan_shards(
    states: t.Iterable[ShardState], me: LeaseRecord, live: t.Sequence[LeaseRecord]
) -> ShardPlan:
    """Decide which shards this daemon takes and which it gives up.

    :param live: the leases that have not expired, this daemon's included.
    """
    candidates = [record.daemon_id for record in live if not record.stopping]
    by_id = {record.daemon_id: record for record in live}
    take: list[ShardState] = []
    release: list[ShardState] = []
    for state in states:
        should_hold = first_ranked(candidates, state.shard) == me.daemon_id
        if state.is_held_by(me):
            if not should_hold and candidates:
                release.append(state)
        elif should_hold and _is_free(state, by_id):
            take.append(state)
    return ShardPlan(tuple(take), tuple(release))


def _is_free(state: ShardState, live: t.Mapping[str, LeaseRecord]) -> bool:
    holder = live.get(state.holder)
    return holder is None or holder.incarnation != state.incarnation
