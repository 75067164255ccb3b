"""Renews this daemon's lease, and reports which shards it holds while valid."""

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

RESOLVE_TERM_FRACTION = 0.25
"""The fraction of the term spent on resolving the outcome of a lost reply."""

RENEW_JITTER_FRACTION = 0.1
"""Pauses vary by this fraction, so that daemons do not renew simultaneously."""


@attrs.frozen
class LeaseSettings:
    """Lease settings, which must be the same in all daemons.

    :param renew_s: the average pause between two renewals.
    :param term_s: how long a lease row stays unchanged before others treat the lease
        as expired.
    :param margin_s: how much earlier than that a daemon stops trusting its own lease.
    """

    shard_count: int = 64
    renew_s: float = 2.0
    term_s: float = 8.0
    margin_s: float = 2.0


class LeaseService(Service):
    """Renews this daemon's lease, observes the others, and reports the held shards.

    While its lease may have expired, the daemon makes no decisions. It still
    remembers the held shards, so that no reload is needed after a store outage.

    :param record: this daemon's lease, with the addresses and the hall that the
        other daemons read.
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
            own_lease=lambda: self.record,
            live=lambda: self._live,
            shard_count=settings.shard_count,
            max_read_age_s=settings.term_s,
            commit=self._commit,
        )
        self._live: list[LeaseRecord] = [record]
        self._random = random.Random(record.daemon_id)

    # Queries from other packages.

    @property
    def holdings(self) -> int:
        """Increases whenever the set of held shards may have changed."""
        return self._shards.change_count

    def fence(self, subject: str) -> Fence:
        """Return the fence that every hard write about a subject must include.

        :raises NotHolderError: this daemon does not hold the subject's shard, or
            its own lease may have expired.
        """
        shard = shard_of(subject, self.settings.shard_count)
        if not self.is_trusted() or shard not in self._shards:
            raise NotHolderError(
                f"this daemon does not hold shard {shard}",
                remedy="ask its holder, or retry in a few seconds",
                location=subject,
            )
        return self._shards.fence(shard)

    def holds(self, subject: str) -> bool:
        """Whether this daemon may currently make decisions about a subject."""
        shard = shard_of(subject, self.settings.shard_count)
        return self.is_trusted() and shard in self._shards

    def holder_of(self, subject: str) -> LeaseRecord | None:
        """Return the live daemon that holds a subject's shard, if known.

        For other daemons the result reflects the last read. For this daemon it
        reflects the current state, because the row last read may still name it
        after its lease has expired or it has released the shard.
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
        """Whether this daemon's own lease is certainly still valid."""
        return self._clock_s() < self._trusted_until_s

    def held_shards(self) -> dict[int, int]:
        """Return the held shards and their epochs."""
        return self._shards.epochs()

    def peers(self) -> list[LeaseRecord]:
        """Return the other daemons, as last read."""
        mine = self.record.daemon_id
        return [record for record in self._live if record.daemon_id != mine]

    def live_ids(self) -> tuple[str, ...]:
        """Return the sorted ids of the live daemons, including this one."""
        others = [peer.daemon_id for peer in self.peers()]
        return tuple(sorted([*others, self.record.daemon_id]))

    # The renewal cycle.

    @Service.task
    async def _renew_periodically(self) -> None:
        while not self.should_stop:
            await self.cycle()
            factor = self._random.uniform(
                1 - RENEW_JITTER_FRACTION, 1 + RENEW_JITTER_FRACTION
            )
            await self.sleep(self.settings.renew_s * factor)

    async def cycle(self) -> None:
        """Run one cycle: renew the lease, read the others, and rebalance shards."""
        try:
            renewed = await self._renew()
            if renewed:
                await self._refresh()
        except StoreUnavailableError as error:
            renewed = False
            self.log.warning("lease cycle failed, store unavailable: %s", error)
        if not renewed:
            self._observer.mark_interrupted()

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
        valid_s = self.settings.term_s - self.settings.margin_s
        self._trusted_until_s = sent_at_s + valid_s
        return True

    async def _commit(self, writes: tuple[Write, ...]) -> CommitResult:
        """Commit, but resolve a lost reply only as long as renewal can be delayed."""
        give_up_s = self.settings.term_s * RESOLVE_TERM_FRACTION
        return await self.committer.commit(Transaction(writes), give_up_s)

    async def _read_own_row(self, key: str) -> None:
        rows = await self._tables.get([key])
        self._lease_version = rows[key].version if key in rows else ABSENT

    async def _refresh(self) -> None:
        lease_rows = await self._tables.scan_all(LEASE_PREFIX)
        now_s = self._clock_s()
        records = [cattrs.structure(row.value, LeaseRecord) for row in lease_rows]
        self._observer.observe(records, now_s)
        self._live = self._observer.live(now_s)
        await self._shards.refresh(now_s)

    # The planned stop.

    async def hand_over(self) -> None:
        """Mark this daemon as stopping and release its shards gracefully."""
        self.record = attrs.evolve(self.record, stopping=True)
        try:
            await self.cycle()
        finally:
            self._shards.clear()

    async def leave(self) -> None:
        """Delete the lease row, so that the others need not wait for it to expire."""
        key = LEASE_PREFIX + self.record.daemon_id
        write = Write(key, None, self._lease_version)
        await self._tables.commit(Transaction((write,)))


def new_incarnation() -> str:
    """Return a random identifier for one incarnation of a daemon."""
    return uuid.uuid4().hex[:12]
