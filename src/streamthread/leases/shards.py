"""Shard states, and the pure function that plans acquisitions and releases."""

import typing as t

import attrs

from .observer import LeaseRecord
from .rendezvous import first_ranked

__all__ = ["ShardPlan", "ShardState", "plan_shards"]


@attrs.frozen
class ShardState:
    """The holder of a shard, and the epoch of its ownership.

    The epoch is the version of the shard's row. The row is written only at a
    handover, so each handover increases the epoch by one.
    """

    shard: int
    epoch: int
    holder: str
    incarnation: str

    def is_held_by(self, record: LeaseRecord) -> bool:
        """Whether the incarnation that wrote this lease holds the shard."""
        return (
            self.holder == record.daemon_id and self.incarnation == record.incarnation
        )


@attrs.frozen
class ShardPlan:
    """The shards that one daemon should acquire and release next."""

    acquire: tuple[ShardState, ...]
    release: tuple[ShardState, ...]


def plan_shards(
    states: t.Iterable[ShardState],
    own_lease: LeaseRecord,
    live: t.Sequence[LeaseRecord],
) -> ShardPlan:
    """Decide which shards this daemon acquires and which it releases.

    :param live: the leases that have not expired, including this daemon's.
    """
    candidates = [record.daemon_id for record in live if not record.stopping]
    by_id = {record.daemon_id: record for record in live}
    acquire: list[ShardState] = []
    release: list[ShardState] = []
    for state in states:
        should_hold = first_ranked(candidates, state.shard) == own_lease.daemon_id
        if state.is_held_by(own_lease):
            if not should_hold and candidates:
                release.append(state)
        elif should_hold and _is_free(state, by_id):
            acquire.append(state)
    return ShardPlan(tuple(acquire), tuple(release))


def _is_free(state: ShardState, live: t.Mapping[str, LeaseRecord]) -> bool:
    holder = live.get(state.holder)
    return holder is None or holder.incarnation != state.incarnation
