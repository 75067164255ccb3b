"""Keeps this daemon's lease, and the shards it ranks first for."""

import random
import time
import typing as t
import uuid

import attrs
import cattrs
from mode import Service

from ..errors import NotHolderError
from ..errors import StoreUnavailableError
from ..providers import ABSENT
from ..providers import CommitResult
from ..providers import Fence
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Row
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write
from ..timeline import Recorder
from .committer import Committer
from .observer import LeaseObserver
from .observer import LeaseRecord
from .rendezvous import first_ranked
from .rendezvous import shard_of
from .shards import plan_shards
from .shards import ShardState

__all__ = ["LeaseService", "LeaseSettings", "new_incarnation"]

LEASE_PREFIX = "lease/"
SHARD_PREFIX = "shard/"
AREA = "leases"


@attrs.frozen
class LeaseSettings:
    """Terms of the leases; the same in all daemons."""

    shard_count: int = 64
    renew_s: float = 2.0
    term_s: float = 8.0
    margin_s: float = 2.0


def _chunks(states: t.Sequence[ShardState]) -> t.Iterator[t.Sequence[ShardState]]:
    for start in range(0, len(states), MAX_ROWS_PER_TRANSACTION):
        yield states[start : start + MAX_ROWS_PER_TRANSACTION]


def _shard_key(shard: int) -> str:
    return f"{SHARD_PREFIX}{shard:04d}"


class LeaseService(Service):
    """Renews the lease row, watches the others, takes and gives up shards.

    While its own lease may have lapsed nothing is decided, but what is held is
    kept in memory: an outage of the store ends without a reload.

    :param record: this daemon's lease; addresses and hall for the others.
    """

    def __init__(
        self,
        tables: Tables,
        recorder: Recorder,
        record: LeaseRecord,
        settings: LeaseSettings,
        clock_s: t.Callable[[], float] = time.monotonic,
        committer: Committer | None = None,
    ) -> None:
        super().__init__()
        self.record = record
        self.settings = settings
        self.committer = committer or Committer(tables)
        self.holdings = 0
        """Grows with each change of the shards that are held."""
        self._clock_s = clock_s
        self._tables = tables
        self._recorder = recorder
        self._observer = LeaseObserver(settings.term_s)
        self._lease_version = ABSENT
        self._trusted_until_s = 0.0
        self._held: dict[int, int] = {}
        self._holders: dict[int, str] = {}
        self._live: list[LeaseRecord] = [record]
        self._shards_read_for: set[tuple[str, str, bool]] = set()
        self._shards_read_at_s = 0.0
        self._shards_unsettled = True
        self._random = random.Random(record.daemon_id)

    # What other slices ask.

    def fence(self, subject: str) -> Fence:
        """Return the condition that every hard write about a subject carries.

        :raises NotHolderError: the subject's shard is not held here, or this
            daemon's own lease may have lapsed.
        """
        shard = shard_of(subject, self.settings.shard_count)
        if not self.is_trusted() or shard not in self._held:
            raise NotHolderError(
                f"shard {shard} is not held here",
                remedy="ask its holder, or retry in some seconds",
                location=subject,
            )
        return Fence(_shard_key(shard), self._held[shard])

    def holds(self, subject: str) -> bool:
        """Whether this daemon may decide about a subject now."""
        shard = shard_of(subject, self.settings.shard_count)
        return self.is_trusted() and shard in self._held

    def holder_of(self, subject: str) -> LeaseRecord | None:
        """Return the live daemon that holds a subject's shard, if known."""
        shard = shard_of(subject, self.settings.shard_count)
        holder = self._holders.get(shard)
        matches = [record for record in self._live if record.daemon_id == holder]
        return matches[0] if matches else None

    def is_trusted(self) -> bool:
        """Whether this daemon may still rely on its own lease."""
        return self._clock_s() < self._trusted_until_s

    def held_shards(self) -> dict[int, int]:
        """Return the held shards and their epochs."""
        return dict(self._held)

    def peers(self) -> list[LeaseRecord]:
        """Return the other daemons, as last read."""
        mine = self.record.daemon_id
        return [record for record in self._live if record.daemon_id != mine]

    def live_ids(self) -> tuple[str, ...]:
        """Return the ids of the live daemons, sorted, this one's among them."""
        others = [peer.daemon_id for peer in self.peers()]
        return tuple(sorted([*others, self.record.daemon_id]))

    # The cycle.

    @Service.task
    async def _keep(self) -> None:
        while not self.should_stop:
            await self.cycle()
            pause_s = self.settings.renew_s * self._random.uniform(0.9, 1.1)
            await self.sleep(pause_s)

    async def cycle(self) -> None:
        """Renew, read the others, and act on the shards, once."""
        try:
            renewed = await self._renew()
            if renewed:
                await self._read_and_act()
        except StoreUnavailableError as error:
            renewed = False
            self.log.warning("store unavailable: %s", error)
        if not renewed:
            self._observer.interrupt()

    async def _renew(self) -> bool:
        sent_at_s = self._clock_s()
        self.record = attrs.evolve(self.record, counter=self.record.counter + 1)
        key = LEASE_PREFIX + self.record.daemon_id
        write = Write(key, cattrs.unstructure(self.record), self._lease_version)
        result = await self._commit(write)
        if not result.committed:
            await self._read_own_row(key)
            return False
        self._lease_version += 1
        lasts_s = self.settings.term_s - self.settings.margin_s
        self._trusted_until_s = sent_at_s + lasts_s
        return True

    async def _commit(self, *writes: Write) -> CommitResult:
        """Commit, but settle a lost reply only for so long as renewing can wait."""
        give_up_s = self.settings.term_s / 4
        return await self.committer.commit(Transaction(writes), give_up_s)

    async def _read_own_row(self, key: str) -> None:
        rows = await self._tables.get([key])
        self._lease_version = rows[key].version if key in rows else ABSENT

    async def _read_and_act(self) -> None:
        lease_rows = await self._tables.scan_all(LEASE_PREFIX)
        now_s = self._clock_s()
        records = [cattrs.structure(row.value, LeaseRecord) for row in lease_rows]
        self._observer.observe(records, now_s)
        self._live = self._observer.live(now_s)
        if self._should_read_shards(now_s):
            await self._read_shards(now_s)

    def _should_read_shards(self, now_s: float) -> bool:
        """Whether hand-overs are to be expected, or it was long ago.

        The shard rows are the larger part of what is read; they change only
        when daemons come and go.
        """
        live = {(one.daemon_id, one.incarnation, one.stopping) for one in self._live}
        if live != self._shards_read_for:
            self._shards_read_for = live
            self._shards_unsettled = True
        age_s = now_s - self._shards_read_at_s
        return self._shards_unsettled or age_s >= self.settings.term_s

    async def _read_shards(self, now_s: float) -> None:
        shard_rows = await self._tables.scan_all(SHARD_PREFIX)
        self._shards_read_at_s = now_s
        states = self._states(shard_rows)
        self._holders = {state.shard: state.holder for state in states}
        self._reconcile(states)
        plan = plan_shards(states, self.record, self._live)
        await self._release(plan.release)
        await self._take(plan.take)
        self._shards_unsettled = not self._are_settled(states)

    def _are_settled(self, states: t.Iterable[ShardState]) -> bool:
        """Whether the rows showed every shard with the daemon that should hold it."""
        incarnations = {one.daemon_id: one.incarnation for one in self._live}
        names = [one.daemon_id for one in self._live if not one.stopping]
        return all(
            state.holder == first_ranked(names, state.shard)
            and state.incarnation == incarnations.get(state.holder)
            for state in states
        )

    def _states(self, rows: t.Iterable[Row]) -> list[ShardState]:
        states = {
            shard: ShardState(shard, ABSENT, "", "")
            for shard in range(self.settings.shard_count)
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
        for state in states:
            if state.is_held_by(self.record):
                self._held[state.shard] = state.epoch
            elif self._held.pop(state.shard, None) is not None:
                lost.append(state)
        if self._held != before:
            self.holdings += 1
        if lost:
            holders = " ".join(sorted({state.holder for state in lost}))
            self._record_shards("shards-lost", lost, f"taken by {holders}")

    async def _take(self, states: t.Sequence[ShardState]) -> None:
        taken: list[ShardState] = []
        for chunk in _chunks(states):
            if await self._write_holder(chunk, self.record):
                taken.extend(chunk)
        for state in taken:
            self._held[state.shard] = state.epoch + 1
            self._holders[state.shard] = self.record.daemon_id
        if taken:
            self.holdings += 1
            self._record_shards("shards-taken", taken, "they were free")

    async def _release(self, states: t.Sequence[ShardState]) -> None:
        """Forget first, then let go: nothing is decided in between."""
        self.holdings += 1
        for state in states:
            self._held.pop(state.shard, None)
        for chunk in _chunks(states):
            await self._write_holder(chunk, None)
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
        result = await self._commit(*writes)
        return result.committed

    def _record_shards(
        self, kind: str, states: t.Iterable[ShardState], cause: str
    ) -> None:
        shards = " ".join(str(state.shard) for state in states)
        subject = f"entry/{self.record.daemon_id}"
        self._recorder.record(AREA, kind, subject, f"{cause}: {shards}")

    # The planned stop.

    async def hand_over(self) -> None:
        """Mark this daemon as stopping and give up its shards in order."""
        self.record = attrs.evolve(self.record, stopping=True)
        try:
            await self.cycle()
        finally:
            self._held.clear()
            self.holdings += 1

    async def leave(self) -> None:
        """Remove the lease row, so that the others need not wait for the term."""
        key = LEASE_PREFIX + self.record.daemon_id
        write = Write(key, None, self._lease_version)
        await self._tables.commit(Transaction((write,)))


def new_incarnation() -> str:
    """Return an identifier for one run of one daemon."""
    return uuid.uuid4().hex[:12]
