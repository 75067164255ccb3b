"""Reads shard rows, and acquires and releases shards for this daemon."""

import typing as t

import attrs

from ..providers import ABSENT
from ..providers import CommitResult
from ..providers import Fence
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Row
from ..providers import Tables
from ..providers import Write
from ..timeline import Recorder
from .observer import LeaseRecord
from .rendezvous import first_ranked
from .shards import plan_shards
from .shards import ShardState

__all__ = ["ShardHoldings"]

SHARD_PREFIX = "shard/"
AREA = "leases"

Commit = t.Callable[[tuple[Write, ...]], t.Awaitable[CommitResult]]
"""Commits writes atomically, in less time than the lease renewal can be delayed."""


@attrs.frozen
class _DaemonState:
    """The part of a lease that determines which shards its daemon should hold."""

    daemon_id: str
    incarnation: str
    stopping: bool


class ShardHoldings:
    """Acquires the shards that this daemon ranks first for, and releases others.

    The leases are requested again after each await, because a planned stop that
    began in the meantime must prevent this daemon from acquiring more shards.

    :param own_lease: returns this daemon's lease.
    :param live: returns the leases that have not expired, including this daemon's.
    :param max_read_age_s: the rows are read again after this time even if no
        daemon joined or left.
    """

    def __init__(
        self,
        tables: Tables,
        recorder: Recorder,
        own_lease: t.Callable[[], LeaseRecord],
        live: t.Callable[[], t.Sequence[LeaseRecord]],
        shard_count: int,
        max_read_age_s: float,
        commit: Commit,
    ) -> None:
        self.change_count = 0
        """Increases whenever the set of held shards may have changed."""
        self._tables = tables
        self._recorder = recorder
        self._own_lease = own_lease
        self._live = live
        self._shard_count = shard_count
        self._max_read_age_s = max_read_age_s
        self._commit = commit
        self._held: dict[int, int] = {}
        self._states: dict[int, ShardState] = {}
        self._known_daemons: frozenset[_DaemonState] = frozenset()
        self._read_at_s = 0.0
        self._handover_pending = True

    def __contains__(self, shard: int) -> bool:
        return shard in self._held

    def epochs(self) -> dict[int, int]:
        """Return the held shards and their epochs."""
        return dict(self._held)

    def fence(self, shard: int) -> Fence:
        """Return the write condition that this daemon still holds the shard.

        The daemon must hold the shard when this is called.
        """
        return Fence(_shard_key(shard), self._held[shard])

    def last_read(self, shard: int) -> ShardState | None:
        """Return a shard's state as last read from the store or acquired."""
        return self._states.get(shard)

    def clear(self) -> None:
        """Drop all held shards from memory, without writing to the store."""
        self._held.clear()
        self.change_count += 1

    async def refresh(self, now_s: float) -> None:
        """Read the shard rows if they may have changed, and rebalance the shards."""
        if self._should_read(now_s):
            await self._read_and_rebalance(now_s)

    def _should_read(self, now_s: float) -> bool:
        """Whether handovers are pending, or the last read is too old.

        The shard rows are most of the data that a cycle reads, and they change
        only when daemons join, leave or stop. So they are not read every cycle.
        """
        daemons = frozenset(
            _DaemonState(lease.daemon_id, lease.incarnation, lease.stopping)
            for lease in self._live()
        )
        if daemons != self._known_daemons:
            self._known_daemons = daemons
            self._handover_pending = True
        age_s = now_s - self._read_at_s
        return self._handover_pending or age_s >= self._max_read_age_s

    async def _read_and_rebalance(self, now_s: float) -> None:
        rows = await self._tables.scan_all(SHARD_PREFIX)
        self._read_at_s = now_s
        states = self._decode(rows)
        self._states = {state.shard: state for state in states}
        self._reconcile(states)
        plan = plan_shards(states, self._own_lease(), self._live())
        await self._release(plan.release)
        await self._acquire(plan.acquire)
        self._handover_pending = not _match_ranking(states, self._live())

    def _decode(self, rows: t.Iterable[Row]) -> list[ShardState]:
        states = {
            shard: ShardState(shard, ABSENT, "", "")
            for shard in range(self._shard_count)
        }
        for row in rows:
            shard = int(row.key.removeprefix(SHARD_PREFIX))
            states[shard] = ShardState(
                shard, row.version, row.value["holder"], row.value["incarnation"]
            )
        return list(states.values())

    def _reconcile(self, states: t.Iterable[ShardState]) -> None:
        """Make the held shards match the table.

        Drops shards that another daemon has acquired, and restores shards that
        the table still assigns to this incarnation.
        """
        lost: list[ShardState] = []
        before = dict(self._held)
        own_lease = self._own_lease()
        for state in states:
            if state.is_held_by(own_lease):
                self._held[state.shard] = state.epoch
            elif self._held.pop(state.shard, None) is not None:
                lost.append(state)
        if self._held != before:
            self.change_count += 1
        if lost:
            holders = " ".join(sorted({state.holder for state in lost}))
            self._record_shards("shards-lost", lost, f"taken by {holders}")

    async def _acquire(self, states: t.Sequence[ShardState]) -> None:
        acquired: list[ShardState] = []
        for batch in _batches(states):
            if await self._write_holder(batch, self._own_lease()):
                acquired.extend(batch)
        own_lease = self._own_lease()
        for state in acquired:
            epoch = state.epoch + 1
            self._held[state.shard] = epoch
            self._states[state.shard] = ShardState(
                state.shard, epoch, own_lease.daemon_id, own_lease.incarnation
            )
        if acquired:
            self.change_count += 1
            self._record_shards("shards-taken", acquired, "they were free")

    async def _release(self, states: t.Sequence[ShardState]) -> None:
        """Release shards: drop them from memory first, then write the rows.

        In this order the daemon makes no decision about a shard during release.
        """
        self.change_count += 1
        for state in states:
            self._held.pop(state.shard, None)
        for batch in _batches(states):
            await self._write_holder(batch, None)
        if states:
            self._record_shards("shards-released", states, "others rank first")

    async def _write_holder(
        self, states: t.Sequence[ShardState], holder: LeaseRecord | None
    ) -> bool:
        value = {
            "holder": holder.daemon_id if holder else "",
            "incarnation": holder.incarnation if holder else "",
        }
        writes = tuple(
            Write(_shard_key(state.shard), value, state.epoch) for state in states
        )
        result = await self._commit(writes)
        return result.committed

    def _record_shards(
        self, kind: str, states: t.Iterable[ShardState], cause: str
    ) -> None:
        shards = " ".join(str(state.shard) for state in states)
        subject = f"entry/{self._own_lease().daemon_id}"
        self._recorder.record(AREA, kind, subject, f"{cause}: {shards}")


def _match_ranking(
    states: t.Iterable[ShardState], live: t.Sequence[LeaseRecord]
) -> bool:
    """Whether every shard is held by the live daemon that ranks first for it."""
    incarnations = {lease.daemon_id: lease.incarnation for lease in live}
    names = [lease.daemon_id for lease in live if not lease.stopping]
    return all(
        state.holder == first_ranked(names, state.shard)
        and state.incarnation == incarnations.get(state.holder)
        for state in states
    )


def _batches(states: t.Sequence[ShardState]) -> t.Iterator[t.Sequence[ShardState]]:
    for start in range(0, len(states), MAX_ROWS_PER_TRANSACTION):
        yield states[start : start + MAX_ROWS_PER_TRANSACTION]


def _shard_key(shard: int) -> str:
    return f"{SHARD_PREFIX}{shard:04d}"
