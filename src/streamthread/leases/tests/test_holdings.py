"""Which shards a daemon acquires if its lease changes while it reads the rows."""

import typing as t

import attrs

from streamthread.leases import Committer
from streamthread.leases import LeaseRecord
from streamthread.leases.holdings import ShardHoldings
from streamthread.providers import CommitResult
from streamthread.providers import MemoryTables
from streamthread.providers import Row
from streamthread.providers import Transaction
from streamthread.providers import Write
from streamthread.timeline import Recorder

SHARD_COUNT = 4


class Daemon:
    """A lease that the test changes, and the shard holdings that depend on it."""

    def __init__(self, tables: MemoryTables) -> None:
        self.record = LeaseRecord("entry-0", "run-0", 1, "", "", "hann")
        self._committer = Committer(tables)
        self.shards = ShardHoldings(
            tables,
            Recorder("entry-0"),
            own_lease=lambda: self.record,
            live=lambda: [self.record],
            shard_count=SHARD_COUNT,
            max_read_age_s=8.0,
            commit=self._commit,
        )

    async def _commit(self, writes: tuple[Write, ...]) -> CommitResult:
        return await self._committer.commit(Transaction(writes))

    def stop(self) -> None:
        self.record = attrs.evolve(self.record, stopping=True)


class StoppingTables(MemoryTables):
    """Calls a function during each scan of the rows."""

    def __init__(self) -> None:
        super().__init__()
        self.on_scan: t.Callable[[], None] = lambda: None

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        self.on_scan()
        return await super().scan(prefix, after, limit)


class TestPlannedStop:
    async def test_single_daemon_acquires_every_shard(self) -> None:
        daemon = Daemon(MemoryTables())
        await daemon.shards.refresh(now_s=1.0)
        assert set(daemon.shards.epochs()) == set(range(SHARD_COUNT))

    async def test_acquires_nothing_if_it_begins_during_the_read(self) -> None:
        tables = StoppingTables()
        daemon = Daemon(tables)
        tables.on_scan = daemon.stop
        await daemon.shards.refresh(now_s=1.0)
        assert daemon.shards.epochs() == {}
        assert await tables.scan_all("shard/") == []
