"""Which daemon a lease service reports as the holder of a shard.

Guards against a daemon that reports itself as holder after another has taken over. A
daemon that was paused for longer than its lease still had the old shard rows in memory.
They named it as the holder of a pool until it read them again, although one of the two
other daemons already committed for that pool under a later epoch. The epochs of the
accepted commits proved the fault, and these tests failed until it was fixed.
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
    """Daemons that share one table and a clock set by the test."""

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

    async def test_is_none_once_its_own_lease_may_have_expired(
        self, cell: _Cell
    ) -> None:
        """Guards against a daemon that reports itself as holder after a pause."""
        daemon = cell.daemon("entry-0", "run-0")
        await cell.cycles(daemon)
        cell.now_s += SETTINGS.term_s
        assert daemon.holder_of(SUBJECT) is None

    async def test_is_none_once_it_has_released_the_shard(self, cell: _Cell) -> None:
        """Guards against a daemon that reports itself as holder after a handover."""
        daemon = cell.daemon("entry-0", "run-0")
        await cell.cycles(daemon)
        await daemon.hand_over()
        assert daemon.holder_of(SUBJECT) is None
