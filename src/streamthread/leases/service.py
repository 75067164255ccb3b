"""Keeps this daemon's lease, and tells what it holds while that lasts."""

import random
import typing as t
import uuid

import attrs
import cattrs
from mode import Service

from ..clocks import boot_s
from ..errors import NotHolderError
from ..errors import StoreUnavailableError
from ..providers import ABSENT
from ..providers import CommitResult
from ..providers import Fence
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write
from ..timeline import Recorder
from .committer import Committer
from .holdings import ShardHoldings
from .observer import LeaseObserver
from .observer import LeaseRecord
from .rendezvous import shard_of

__all__ = ["LeaseService", "LeaseSettings", "new_incarnation"]

LEASE_PREFIX = "lease/"

SETTLE_FRACTION = 0.25
"""The part of the term for which a lost reply is settled."""

RENEW_SPREAD = 0.1
"""Pauses differ by this part, so that daemons do not renew in step."""


@attrs.frozen
class LeaseSettings:
    """Terms of the leases; the same in all daemons."""

    shard_count: int = 64
    renew_s: float = 2.0
    term_s: float = 8.0
    margin_s: float = 2.0


class LeaseService(Service):
    """Renews the lease row, watches the others, says what is held meanwhile.

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
        clock_s: t.Callable[[], float] = boot_s,
        committer: Committer | None = None,
    ) -> None:
        super().__init__()
        self.record = record
        self.settings = settings
        self.committer = committer or Committer(tables)
        self._clock_s = clock_s
        self._tables = tables
        self._observer = LeaseObserver(settings.term_s)
        self._lease_version = ABSENT
        self._trusted_until_s = 0.0
        self._shards = ShardHoldings(
            tables,
            recorder,
            me=lambda: self.record,
            live=lambda: self._live,
            shard_count=settings.shard_count,
            reread_s=settings.term_s,
            commit=self._commit,
        )
        self._live: list[LeaseRecord] = [record]
        self._random = random.Random(record.daemon_id)

    # What other slices ask.

    @property
    def holdings(self) -> int:
        """Grows with each change of the shards that are held."""
        return self._shards.changes

    def fence(self, subject: str) -> Fence:
        """Return the condition that every hard write about a subject carries.

        :raises NotHolderError: the subject's shard is not held here, or this
            daemon's own lease may have lapsed.
        """
        shard = shard_of(subject, self.settings.shard_count)
        if not self.is_trusted() or shard not in self._shards:
            raise NotHolderError(
                f"shard {shard} is not held here",
                remedy="ask its holder, or retry in some seconds",
                location=subject,
            )
        return self._shards.fence(shard)

    def holds(self, subject: str) -> bool:
        """Whether this daemon may decide about a subject now."""
        shard = shard_of(subject, self.settings.shard_count)
        return self.is_trusted() and shard in self._shards

    def holder_of(self, subject: str) -> LeaseRecord | None:
        """Return the live daemon that holds a subject's shard, if known.

        Of others it tells what was read last; of itself, what holds now: a row may
        still name a daemon whose lease has lapsed, or which has given the shard up.
        """
        shard = shard_of(subject, self.settings.shard_count)
        state = self._shards.last_read(shard)
        if state is None:
            return None
        if state.is_held_by(self.record):
            return self.record if self.holds(subject) else None
        matches = [record for record in self._live if state.is_held_by(record)]
        return matches[0] if matches else None

    def is_trusted(self) -> bool:
        """Whether this daemon may still rely on its own lease."""
        return self._clock_s() < self._trusted_until_s

    def held_shards(self) -> dict[int, int]:
        """Return the held shards and their epochs."""
        return self._shards.epochs()

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
            factor = self._random.uniform(1 - RENEW_SPREAD, 1 + RENEW_SPREAD)
            await self.sleep(self.settings.renew_s * factor)

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
        result = await self._commit((write,))
        if not result.committed:
            await self._read_own_row(key)
            return False
        self._lease_version += 1
        lasts_s = self.settings.term_s - self.settings.margin_s
        self._trusted_until_s = sent_at_s + lasts_s
        return True

    async def _commit(self, writes: tuple[Write, ...]) -> CommitResult:
        """Commit, but settle a lost reply only for so long as renewing can wait."""
        give_up_s = self.settings.term_s * SETTLE_FRACTION
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
        await self._shards.follow(now_s)

    # The planned stop.

    async def hand_over(self) -> None:
        """Mark this daemon as stopping and give up its shards in order."""
        self.record = attrs.evolve(self.record, stopping=True)
        try:
            await self.cycle()
        finally:
            self._shards.clear()

    async def leave(self) -> None:
        """Remove the lease row, so that the others need not wait for the term."""
        key = LEASE_PREFIX + self.record.daemon_id
        write = Write(key, None, self._lease_version)
        await self._tables.commit(Transaction((write,)))


def new_incarnation() -> str:
    """Return an identifier for one run of one daemon."""
    return uuid.uuid4().hex[:12]
