"""Tests that only one of several daemons acquires the cell, and from which time."""

import asyncio
import math
import typing as t

import attrs
import pytest

from streamthread.cell import CellLease
from streamthread.cell import LeaseTimes
from streamthread.cell import PeerContacts
from streamthread.cell.rows import Head
from streamthread.cell.rows import HEAD_KEY
from streamthread.cell.rows import Owner
from streamthread.cell.rows import OWNER_KEY
from streamthread.cell.rows import TABLE_HEAD
from streamthread.cell.rows import TABLE_OWNER
from streamthread.cell.takeover import AcquiredCell
from streamthread.cell.takeover import FIRST_TOKEN
from streamthread.cell.takeover import StalledCommits
from streamthread.cell.takeover import Suspicion
from streamthread.clocks import boot_s
from streamthread.errors import OutcomeUnknownError
from streamthread.platform.store import ABSENT
from streamthread.platform.store import Condition
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult

OLD = Owner("old", "n-0", "127.0.0.1:1", 1)


class _Store:
    """Stores rows in memory and checks conditions like the platform's store."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.version = 0
        self.read_s = 0.0
        self.delays_writes = False
        self.delayed: list[t.Callable[[], t.Awaitable[t.Any]]] = []
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
        if self.delays_writes:
            self.delays_writes = False
            self.delayed.append(lambda: self.transact(conditions, puts))
            raise OutcomeUnknownError("no answer", remedy="-")
        for condition in conditions:
            row = self.rows.get((condition.table, condition.key))
            if condition.version != (row.version if row else ABSENT):
                return TransactResult(committed=False)
        for put in puts:
            self.put(put.table, put.key, put.value)
        return TransactResult(committed=True, version=self.version)


class _Peers:
    """Answers for the old holder, and runs a callback during the call."""

    address = "127.0.0.1:2"
    contacts = PeerContacts()

    def __init__(self, healthy: bool, during_call: t.Callable[[], None]) -> None:
        self.healthy = healthy
        self.during_call = during_call

    async def can_commit(self, address: str, token: int) -> bool:
        self.during_call()
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


class TestAcquisition:
    async def test_from_a_holder_that_cannot_commit_succeeds(self) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=False, during_call=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.CANNOT_COMMIT)
        assert acquired is not None
        assert acquired.owner.token == 2

    async def test_is_abandoned_when_the_holder_commits_again(self) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=True, during_call=lambda: None))
        assert await lease._writer.acquire(Suspicion.CANNOT_COMMIT) is None
        assert store.rows[TABLE_OWNER, OWNER_KEY].value == OLD.encode()

    async def test_is_postponed_while_the_store_is_slow_for_all(self) -> None:
        store = _Store()
        store.read_s = 0.05
        lease = _lease(store, _Peers(healthy=False, during_call=lambda: None))
        now_s = boot_s()
        writer = lease._writer
        assert await writer.acquire(Suspicion.CANNOT_COMMIT, None, now_s) is None
        assert store.rows[TABLE_OWNER, OWNER_KEY].value == OLD.encode()
        long_ago_s = now_s - lease.times.slow_patience_s
        acquired = await writer.acquire(Suspicion.CANNOT_COMMIT, None, long_ago_s)
        assert acquired is not None and acquired.owner.token == 2

    async def test_from_a_holder_that_exited_is_not_postponed(self) -> None:
        store = _Store()
        store.read_s = 0.05
        lease = _lease(store, _Peers(healthy=False, during_call=lambda: None))
        now_s = boot_s()
        acquired = await lease._writer.acquire(Suspicion.PROCESS_GONE, None, now_s)
        assert acquired is not None

    async def test_never_shares_a_token_with_a_faster_daemon(self) -> None:
        store = _Store()
        faster = Owner("faster", "n-2", "127.0.0.1:3", 2)

        def during_call() -> None:
            store.put(TABLE_OWNER, OWNER_KEY, faster.encode())
            lease.registry.adopt(store.rows[TABLE_OWNER, OWNER_KEY])

        lease = _lease(store, _Peers(healthy=False, during_call=during_call))
        assert await lease._writer.acquire(Suspicion.CANNOT_COMMIT) is None
        assert store.rows[TABLE_OWNER, OWNER_KEY].value == faster.encode()
        await asyncio.sleep(0)
        assert lease.owner == faster


class TestExclusiveFrom:
    """The time after which no earlier holder sends an order to a machine."""

    @staticmethod
    async def _acquire_after_failure(store: _Store, head_version: int) -> AcquiredCell:
        lease = _lease(store, _Peers(healthy=False, during_call=lambda: None))
        stalled_commits = StalledCommits(head_version, exclusive_from_s=5.0)
        acquired = await lease._writer.acquire(Suspicion.CANNOT_COMMIT, stalled_commits)
        assert acquired is not None
        return acquired

    async def test_is_when_the_holder_reported_that_it_cannot_commit(self) -> None:
        store = _Store()
        head_version = store.rows[TABLE_HEAD, HEAD_KEY].version
        acquired = await self._acquire_after_failure(store, head_version)
        assert acquired.exclusive_from_s == 5.0

    async def test_follows_the_lease_of_a_commit_that_was_made_since(self) -> None:
        store = _Store()
        head_version = store.rows[TABLE_HEAD, HEAD_KEY].version
        store.put(TABLE_HEAD, HEAD_KEY, Head("later", 1).encode())
        began_at_s = boot_s()
        acquired = await self._acquire_after_failure(store, head_version)
        assert acquired.exclusive_from_s >= began_at_s + LeaseTimes().trust_s

    @pytest.mark.parametrize("why", [Suspicion.PROCESS_GONE, Suspicion.SILENT])
    async def test_follows_the_lease_of_a_silent_holder(self, why: Suspicion) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, during_call=lambda: None))
        began_at_s = boot_s()
        acquired = await lease._writer.acquire(why)
        assert acquired is not None
        assert acquired.exclusive_from_s >= began_at_s + lease.times.trust_s

    async def test_is_the_acquisition_if_the_holder_released_the_cell(self) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, during_call=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.RELEASED)
        assert acquired is not None
        assert acquired.exclusive_from_s == acquired.acquired_at_s

    async def test_bounds_the_extensions_of_earlier_holders(self) -> None:
        """A holder whose port seems closed may send orders until its lease expires."""
        lease = _lease(_Store(), _Peers(healthy=False, during_call=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.PROCESS_GONE)
        assert acquired is not None
        assert acquired.last_hold_at_s >= acquired.acquired_at_s + lease.times.trust_s

    async def test_of_the_own_earlier_incarnation_bounds_holds_by_the_acquisition(
        self,
    ) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, during_call=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.OWN_EARLIER_INCARNATION)
        assert acquired is not None
        assert acquired.last_hold_at_s == acquired.acquired_at_s

    @pytest.mark.parametrize(
        ("token", "observed_from_s"), [(FIRST_TOKEN, -math.inf), (2, 5.0)]
    )
    def test_knows_what_happened_before_if_it_is_the_first(
        self, token: int, observed_from_s: float
    ) -> None:
        """Guards against a holder that takes what it has not seen for not happened."""
        owner = Owner("d-1", "i", "x:1", token)
        acquired = AcquiredCell(owner, 1, acquired_at_s=5.0, exclusive_from_s=5.0)
        assert acquired.observed_from_s == observed_from_s

    async def test_is_always_past_if_no_other_daemon_held_the_cell(self) -> None:
        lease = _lease(_Store(), _Peers(healthy=False, during_call=lambda: None))
        acquired = await lease._writer.acquire(Suspicion.OWN_EARLIER_INCARNATION)
        assert acquired is not None
        assert acquired.exclusive_from_s == -math.inf

    async def test_is_measured_from_the_stall_of_a_silent_holder(self) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=False, during_call=lambda: None))
        began_at_s = boot_s()
        watch = lease._watch
        watch._times = attrs.evolve(lease.times, trust_s=0.2, silence_margin_s=0.1)
        assert await watch.confirm_silent() is Suspicion.SILENT
        acquired = await lease._writer.acquire(Suspicion.SILENT, watch.stalled_commits)
        assert acquired is not None
        assert acquired.exclusive_from_s < began_at_s + lease.times.max_validity_s + 0.2


class TestOwnRow:
    """The owner row names this daemon, which does not hold the cell."""

    # Guards against two holders that send orders at the same time, after an acquisition
    # that was given up took effect later: the holder that it replaced is unaware of it.
    async def test_of_a_late_acquisition_does_not_end_an_earlier_holder(self) -> None:
        store = _Store()
        store.delays_writes = True
        lease = _lease(store, _Peers(healthy=True, during_call=lambda: None))
        assert await lease._writer.acquire(Suspicion.PROCESS_GONE) is None
        await store.delayed[0]()
        lease.registry.adopt(store.rows[TABLE_OWNER, OWNER_KEY])
        suspicion = await lease._watch.observe()
        assert suspicion is Suspicion.OWN_LATE_ACQUISITION
        acquired = await lease._writer.acquire(suspicion)
        assert acquired is not None and acquired.owner.token == OLD.token + 2
        bound_s = acquired.acquired_at_s + lease.times.max_validity_s
        assert acquired.exclusive_from_s >= bound_s

    # Guards against a daemon that waits for orders that only itself can have sent.
    @pytest.mark.parametrize("incarnation", ["n-0", "n-1"])
    async def test_of_an_earlier_holding_ends_its_orders(
        self, incarnation: str
    ) -> None:
        store = _Store()
        lease = _lease(store, _Peers(healthy=True, during_call=lambda: None))
        if incarnation == "n-1":
            acquired = await lease._writer.acquire(Suspicion.PROCESS_GONE)
            assert acquired is not None
            await lease._hold(acquired)
        else:
            owner = Owner("me", incarnation, "127.0.0.1:1", 5)
            store.put(TABLE_OWNER, OWNER_KEY, owner.encode())
            lease.registry.adopt(store.rows[TABLE_OWNER, OWNER_KEY])
        assert await lease._watch.observe() is Suspicion.OWN_EARLIER_INCARNATION
