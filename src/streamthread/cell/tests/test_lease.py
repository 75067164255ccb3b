"""Two daemons that want the cell at one time: one gets it."""

import asyncio
import math
import typing as t

import attrs
import pytest

from streamthread.cell import CellLease
from streamthread.cell import LeaseTimes
from streamthread.cell.rows import Head
from streamthread.cell.rows import HEAD_KEY
from streamthread.cell.rows import Owner
from streamthread.cell.rows import OWNER_KEY
from streamthread.cell.rows import TABLE_HEAD
from streamthread.cell.rows import TABLE_OWNER
from streamthread.cell.takeover import AcquiredCell
from streamthread.cell.takeover import StalledCommits
from streamthread.cell.takeover import Suspicion
from streamthread.clocks import boot_s
from streamthread.platform.store import ABSENT
from streamthread.platform.store import Condition
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult

OLD = Owner("old", "n-0", "127.0.0.1:1", 1)


class _Store:
    """Rows in memory, with the conditions of the platform's store."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.read_s = 0.0
        self.put(TABLE_OWNER, OWNER_KEY, OLD.encode())
        self.put(TABLE_HEAD, HEAD_KEY, Head("x", 1).encode())

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = StoredRow(table, "main", key, value, self.version)

    async def read(self, table: str, part: str) -> Page:
        await asyncio.sleep(self.read_s)
        rows = [row for (name, _), row in self.rows.items() if name == table]
        return Page(tuple(rows), self.version)

    async def transact(
        self,
        conditions: t.Sequence[Condition],
        puts: t.Sequence[StoredRow],
    ) -> TransactResult:
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if condition.version != (row.version if row else ABSENT):
                return TransactResult(committed=False)
        for put in puts:
            self.put(put.table, put.key, put.value)
        return TransactResult(committed=True, version=self.version)


class _Peers:
    """Answers for the old holder; meanwhile something else may happen."""

    address = "127.0.0.1:2"

    def __init__(self, healthy: bool, meanwhile: t.Callable[[], None]) -> None:
        self.healthy = healthy
        self.meanwhile = meanwhile

    async def can_commit(self, address: str, token: int) -> bool:
        self.meanwhile()
        return self.healthy


def _lease(store: _Store, peers: _Peers) -> CellLease:
    async def on_acquired(acquired: object) -> None:
        return None

    times = LeaseTimes(stagger_s=0.0, sure_again_s=0.0, slow_read_s=0.02)
    lease = CellLease(
        t.cast(t.Any, store),
        "main",
        "me",
        "n-1",
        peers.address,
        t.cast(t.Any, peers),
        times,
        1.0,
        on_acquired,
        lambda: None,
    )
    lease.registry.adopt(store.rows[TABLE_OWNER, OWNER_KEY])
    return lease


class TestTakeOver:
    async def test_of_a_doubtful_holder_succeeds(self) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=False, meanwhile=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.CANNOT_COMMIT)
        assert acquired is not None
        assert acquired.owner.token == 2

    async def test_is_left_when_the_holder_commits_again(self) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=True, meanwhile=lambda: None))
        assert await lease._writer.acquire(Suspicion.CANNOT_COMMIT) is None
        assert store.rows[TABLE_OWNER, OWNER_KEY].value == OLD.encode()

    async def test_is_put_off_while_the_store_is_slow_for_all(self) -> None:
        store = _Store()
        store.read_s = 0.05
        lease = _lease(store, _Peers(healthy=False, meanwhile=lambda: None))
        now_s = boot_s()
        writer = lease._writer
        assert await writer.acquire(Suspicion.CANNOT_COMMIT, None, now_s) is None
        assert store.rows[TABLE_OWNER, OWNER_KEY].value == OLD.encode()
        long_ago_s = now_s - lease.times.slow_patience_s
        acquired = await writer.acquire(Suspicion.CANNOT_COMMIT, None, long_ago_s)
        assert acquired is not None and acquired.owner.token == 2

    async def test_of_a_holder_that_is_gone_is_not_put_off(self) -> None:
        store = _Store()
        store.read_s = 0.05
        lease = _lease(store, _Peers(healthy=False, meanwhile=lambda: None))
        now_s = boot_s()
        acquired = await lease._writer.acquire(Suspicion.PROCESS_GONE, None, now_s)
        assert acquired is not None

    async def test_never_shares_a_token_with_a_faster_daemon(self) -> None:
        store = _Store()
        faster = Owner("faster", "n-2", "127.0.0.1:3", 2)

        def meanwhile() -> None:
            store.put(TABLE_OWNER, OWNER_KEY, faster.encode())
            lease.registry.adopt(store.rows[TABLE_OWNER, OWNER_KEY])

        lease = _lease(store, _Peers(healthy=False, meanwhile=meanwhile))
        assert await lease._writer.acquire(Suspicion.CANNOT_COMMIT) is None
        assert store.rows[TABLE_OWNER, OWNER_KEY].value == faster.encode()
        await asyncio.sleep(0)
        assert lease.owner == faster


class TestAloneAt:
    """From when on no earlier holder sends an order to a machine."""

    @staticmethod
    async def _take_after_doubt(store: _Store, head_version: int) -> AcquiredCell:
        lease = _lease(store, _Peers(healthy=False, meanwhile=lambda: None))
        stalled_commits = StalledCommits(head_version, exclusive_from_s=5.0)
        acquired = await lease._writer.acquire(Suspicion.CANNOT_COMMIT, stalled_commits)
        assert acquired is not None
        return acquired

    async def test_is_when_a_holder_said_that_it_cannot_commit(self) -> None:
        store = _Store()
        head_version = store.rows[TABLE_HEAD, HEAD_KEY].version
        acquired = await self._take_after_doubt(store, head_version)
        assert acquired.exclusive_from_s == 5.0

    async def test_outlasts_the_trust_in_a_commit_that_was_made_since(self) -> None:
        store = _Store()
        head_version = store.rows[TABLE_HEAD, HEAD_KEY].version
        store.put(TABLE_HEAD, HEAD_KEY, Head("later", 1).encode())
        began_at_s = boot_s()
        acquired = await self._take_after_doubt(store, head_version)
        assert acquired.exclusive_from_s >= began_at_s + LeaseTimes().trust_s

    @pytest.mark.parametrize("why", [Suspicion.PROCESS_GONE, Suspicion.SILENT])
    async def test_outlasts_the_trust_of_a_holder_that_said_nothing(
        self, why: Suspicion
    ) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, meanwhile=lambda: None))
        began_at_s = boot_s()
        acquired = await lease._writer.acquire(why)
        assert acquired is not None
        assert acquired.exclusive_from_s >= began_at_s + lease.times.trust_s

    async def test_is_the_take_over_where_the_holder_released_the_cell(self) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, meanwhile=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.RELEASED)
        assert acquired is not None
        assert acquired.exclusive_from_s == acquired.acquired_at_s

    async def test_bounds_what_earlier_holders_extended(self) -> None:
        """A holder whose port seems closed may go on until its trust is over."""
        lease = _lease(_Store(), _Peers(healthy=False, meanwhile=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.PROCESS_GONE)
        assert acquired is not None
        assert acquired.last_hold_at_s >= acquired.acquired_at_s + lease.times.trust_s

    async def test_of_an_own_earlier_life_bounds_its_holds_by_the_take_over(
        self,
    ) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, meanwhile=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.OWN_EARLIER_INCARNATION)
        assert acquired is not None
        assert acquired.last_hold_at_s == acquired.acquired_at_s

    async def test_is_always_where_nobody_held_the_cell(self) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, meanwhile=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.OWN_EARLIER_INCARNATION)
        assert acquired is not None
        assert acquired.exclusive_from_s == -math.inf

    async def test_counts_from_the_standstill_of_a_silent_holder(self) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=False, meanwhile=lambda: None))
        began_at_s = boot_s()
        watch = lease._watch
        watch._times = attrs.evolve(lease.times, trust_s=0.2, silence_margin_s=0.1)
        assert await watch.confirm_silent() is Suspicion.SILENT
        acquired = await lease._writer.acquire(Suspicion.SILENT, watch.stalled_commits)
        assert acquired is not None
        assert acquired.exclusive_from_s < began_at_s + lease.times.max_validity_s + 0.2
