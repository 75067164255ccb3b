"""The shards that this daemon holds: their rows read, taken and given up."""

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
"""Commits writes together, within the time for which renewing can wait."""


@attrs.frozen
class _RunOfDaemon:
    """What decides which shards a daemon holds, for one run of it."""

    daemon_id: str
    incarnation: str
    stopping: bool


class ShardHoldings:
    """Takes the shards that this daemon ranks first for, and gives up others.

    Leases are asked for after each wait anew: a planned stop that began
    meanwhile must keep this daemon from taking more.

    :param me: returns this daemon's lease.
    :param live: returns the leases that have not expired, this daemon's included.
    :param reread_s: the rows are read so often even if no daemon came or went.
    """

    def __init__(
        self,
        tables: Tables,
        recorder: Recorder,
        me: t.Callable[[], LeaseRecord],
        live: t.Callable[[], t.Sequence[LeaseRecord]],
        shard_count: int,
        reread_s: float,
        commit: Commit,
    ) -> None:
        self.changes = 0
        """Grows with each change of the shards that are held."""
        self._tables = tables
        self._recorder = recorder
        self._me = me
        self._live = live
        self._shard_count = shard_count
        self._reread_s = reread_s
        self._commit = commit
        self._held: dict[int, int] = {}
        self._states: dict[int, ShardState] = {}
        self._read_for: frozenset[_RunOfDaemon] = frozenset()
        self._read_at_s = 0.0
        self._unsettled = True

    def __contains__(self, shard: int) -> bool:
        return shard in self._held

    def epochs(self) -> dict[int, int]:
        """Return the held shards and their epochs."""
        return dict(self._held)

    def fence(self, shard: int) -> Fence:
        """Return the condition that this daemon still holds a shard it holds."""
        return Fence(_shard_key(shard), self._held[shard])

    def last_read(self, shard: int) -> ShardState | None:
        """Return a shard's row as it was read, or taken, last."""
        return self._states.get(shard)

    def clear(self) -> None:
        """Forget all that is held."""
        self._held.clear()
        self.changes += 1

    async def follow(self, now_s: float) -> None:
        """Read the rows where that may be of use, and act on them."""
        if self._should_read(now_s):
            await self._read_and_act(now_s)

    def _should_read(self, now_s: float) -> bool:
        """Whether hand-overs are to be expected, or it was long ago.

        The shard rows are the larger part of what is read; they change only
        when daemons come and go.
        """
        runs = frozenset(
            _RunOfDaemon(one.daemon_id, one.incarnation, one.stopping)
            for one in self._live()
        )
        if runs != self._read_for:
            self._read_for = runs
            self._unsettled = True
        age_s = now_s - self._read_at_s
        return self._unsettled or age_s >= self._reread_s

    async def _read_and_act(self, now_s: float) -> None:
        rows = await self._tables.scan_all(SHARD_PREFIX)
        self._read_at_s = now_s
        states = self._decode(rows)
        self._states = {state.shard: state for state in states}
        self._reconcile(states)
        plan = plan_shards(states, self._me(), self._live())
        await self._release(plan.release)
        await self._take(plan.take)
        self._unsettled = not _are_settled(states, self._live())

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
        """Believe the table: forget what was taken, regain what is still ours."""
        lost: list[ShardState] = []
        before = dict(self._held)
        me = self._me()
        for state in states:
            if state.is_held_by(me):
                self._held[state.shard] = state.epoch
            elif self._held.pop(state.shard, None) is not None:
                lost.append(state)
        if self._held != before:
            self.changes += 1
        if lost:
            holders = " ".join(sorted({state.holder for state in lost}))
            self._record_shards("shards-lost", lost, f"taken by {holders}")

    async def _take(self, states: t.Sequence[ShardState]) -> None:
        taken: list[ShardState] = []
        for batch in _batches(states):
            if await self._write_holder(batch, self._me()):
                taken.extend(batch)
        me = self._me()
        for state in taken:
            epoch = state.epoch + 1
            self._held[state.shard] = epoch
            self._states[state.shard] = ShardState(
                state.shard, epoch, me.daemon_id, me.incarnation
            )
        if taken:
            self.changes += 1
            self._record_shards("shards-taken", taken, "they were free")

    async def _release(self, states: t.Sequence[ShardState]) -> None:
        """Forget first, then let go: nothing is decided in between."""
        self.changes += 1
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
        subject = f"entry/{self._me().daemon_id}"
        self._recorder.record(AREA, kind, subject, f"{cause}: {shards}")


def _are_settled(states: t.Iterable[ShardState], live: t.Sequence[LeaseRecord]) -> bool:
    """Whether the rows showed every shard with the daemon that should hold it."""
    incarnations = {one.daemon_id: one.incarnation for one in live}
    names = [one.daemon_id for one in live if not one.stopping]
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
