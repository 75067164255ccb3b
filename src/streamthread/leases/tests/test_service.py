"""What a daemon says of who holds a shard.

Seen: of three entries, one that had been stopped for longer than its lease said of
itself that it held a pool, whose commits another entry went on with. It came about by
the rows that it had read before: they named it until it read them anew. Proved by the
epochs of the commits that the platform took, and by these tests, which failed before.
"""

import pytest

from streamthread.leases import LeaseRecord
from streamthread.leases import LeaseService
from streamthread.leases import LeaseSettings
from streamthread.providers import MemoryTables
from streamthread.timeline import Recorder

SUBJECT = "pool/seat-grant"
SETTINGS = LeaseSettings(shard_count=1)


class _Cell:
    """Daemons on one table, whose time is set by the test."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self._tables = MemoryTables()

    def daemon(self, name: str, incarnation: str) -> LeaseService:
        record = LeaseRecord(name, incarnation, 1, "", "", "hann")
        return LeaseService(
            self._tables, Recorder(name), record, SETTINGS, lambda: self.now_s
        )

    async def cycles(self, *daemons: LeaseService, seconds: int = 1) -> None:
        for _ in range(seconds):
            self.now_s += 1.0
            for daemon in daemons:
                await daemon.cycle()


@pytest.fixture
def cell() -> _Cell:
    return _Cell()


class TestHolderOf:
    async def test_is_the_daemon_itself_while_it_holds(self, cell: _Cell) -> None:
        daemon = cell.daemon("entry-0", "run-0")
        await cell.cycles(daemon)
        assert daemon.holder_of(SUBJECT) == daemon.record

    async def test_is_nobody_once_its_own_lease_may_have_lapsed(
        self, cell: _Cell
    ) -> None:
        """Guards against an entry that names itself after it was stalled."""
        daemon = cell.daemon("entry-0", "run-0")
        await cell.cycles(daemon)
        cell.now_s += SETTINGS.term_s
        assert daemon.holder_of(SUBJECT) is None

    async def test_is_nobody_once_it_has_given_the_shard_up(self, cell: _Cell) -> None:
        """Guards against an entry that names itself after a hand-over."""
        daemon = cell.daemon("entry-0", "run-0")
        await cell.cycles(daemon)
        await daemon.hand_over()
        assert daemon.holder_of(SUBJECT) is None
