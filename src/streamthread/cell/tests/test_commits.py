"""Tests the commit log, and when a holder suspects that it cannot commit."""

import asyncio
import base64
import typing as t

import pytest

from streamthread.cell import CommitLog
from streamthread.cell import LeaseTimes
from streamthread.cell.rows import HEAD_KEY
from streamthread.clocks import boot_s
from streamthread.errors import BadInputError
from streamthread.errors import NotHolderError
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult

TIMES = LeaseTimes()

ROW_BYTES = 65536
"""The maximum size of a row in the store."""

SLOWEST_LINK_BYTES_PER_S = 5_000_000 / 8


def _log(tried_s: float | None, failed: bool) -> CommitLog:
    log = CommitLog(t.cast(t.Any, None), "main", 1, 1, 0.0, 0.4)
    if tried_s is not None:
        log.trying_since_s = boot_s() - tried_s
    if failed:
        log.failing_since_s = log.trying_since_s
    return log


def _is_overdue(log: CommitLog) -> bool:
    return log.is_commit_overdue(TIMES.doubt_s, TIMES.slow_doubt_s)


class TestOverdueCommit:
    async def test_is_not_assumed_without_a_commit(self) -> None:
        assert not _is_overdue(_log(None, failed=False))

    async def test_allows_for_a_slow_store(self) -> None:
        assert not _is_overdue(_log(0.7, failed=False))
        assert _is_overdue(_log(1.0, failed=False))

    async def test_is_detected_sooner_after_a_failed_try(self) -> None:
        assert not _is_overdue(_log(0.5, failed=True))
        assert _is_overdue(_log(0.7, failed=True))

    async def test_is_detected_before_the_lease_expires(self) -> None:
        assert TIMES.doubt_s < TIMES.slow_doubt_s < TIMES.trust_s


class TestBatches:
    async def test_cross_the_slowest_link_before_the_holder_suspects_a_failure(
        self,
    ) -> None:
        log = _log(None, failed=False)
        for number in range(20):
            log.mark("table", str(number), lambda: b"a" * ROW_BYTES)
        batch = log._next_batch()
        values = [row.value for row in batch.rows if row.value is not None]
        sent_bytes = sum(len(base64.b64encode(value)) for value in values)
        assert sent_bytes / SLOWEST_LINK_BYTES_PER_S < TIMES.doubt_s


class _Store:
    """Blocks each commit until a test lets it continue.

    The commit is rejected if ``acquired`` is set: another daemon holds the cell then.
    """

    def __init__(self) -> None:
        self.commits = 0
        self.may_answer = asyncio.Event()
        self.acquired = False

    async def transact(self, *args: t.Any) -> TransactResult:
        self.commits += 1
        await self.may_answer.wait()
        return TransactResult(not self.acquired, version=self.commits + 1)

    async def read(self, table: str, part: str) -> Page:
        return Page((), 1)


RENEW_S = 3600.0
"""Long enough that no lease renewal occurs."""


async def _until_committing(store: _Store, commits: int) -> None:
    while store.commits < commits:
        await asyncio.sleep(0)


class TestConfirmation:
    async def test_is_by_a_commit_that_began_after_the_call(self) -> None:
        store = _Store()
        log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, RENEW_S)
        running = asyncio.ensure_future(log.run())
        log.mark("table", "key", lambda: b"")
        await _until_committing(store, 1)
        confirmed = asyncio.ensure_future(log.confirmed())
        store.may_answer.set()
        await confirmed
        assert store.commits == 2
        running.cancel()

    async def test_needs_no_rows(self) -> None:
        store = _Store()
        store.may_answer.set()
        log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, RENEW_S)
        running = asyncio.ensure_future(log.run())
        await log.confirmed()
        assert (store.commits, log.rows_written) == (1, 0)
        running.cancel()

    async def test_ends_with_the_loss_of_the_cell(self) -> None:
        store = _Store()
        store.acquired = True
        store.may_answer.set()
        log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, RENEW_S)
        running = asyncio.ensure_future(log.run())
        with pytest.raises(NotHolderError):
            await log.confirmed()
        with pytest.raises(NotHolderError):
            await running
        for wait in (log.confirmed, log.flushed):
            with pytest.raises(NotHolderError):
                await wait()


class _LossyStore:
    """Executes the first write, but answers nothing before the second one."""

    def __init__(self) -> None:
        self.sent_at_s: list[float] = []
        self._head = b""

    async def transact(
        self, conditions: t.Any, puts: t.Sequence[StoredRow], drops: t.Any
    ) -> TransactResult:
        self.sent_at_s.append(boot_s())
        if len(self.sent_at_s) == 1:
            assert puts[-1].value is not None
            self._head = puts[-1].value
        if len(self.sent_at_s) == 1:
            raise OutcomeUnknownError("lost", remedy="-")
        if len(self.sent_at_s) == 2:
            return TransactResult(committed=False)
        return TransactResult(committed=True, version=3)

    async def read(self, table: str, part: str) -> Page:
        if len(self.sent_at_s) == 1:
            raise StoreUnavailableError("away", remedy="-")
        return Page((StoredRow(table, part, HEAD_KEY, self._head, 2),), 2)


class TestLateConfirmation:
    async def test_counts_from_the_try_that_took_effect(self) -> None:
        """A follower measures the stall from that try, not from a later one."""
        store = _LossyStore()
        log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, 0.01)
        running = asyncio.ensure_future(log.run())
        while not log.sequence:
            await asyncio.sleep(0)
        assert len(store.sent_at_s) == 2
        assert log.confirmed_at_s <= store.sent_at_s[0]
        # The lease expires soon, so another commit follows immediately.
        while log.sequence < 2:
            await asyncio.sleep(0)
        assert log.confirmed_at_s > store.sent_at_s[1]
        running.cancel()


class TestTerm:
    """The lease term that a commit grants."""

    async def test_is_minimal_while_commits_are_fast(self) -> None:
        assert TIMES.term_s(0.007) == TIMES.trust_s
        assert TIMES.term_s(0.3) == TIMES.trust_s

    async def test_exceeds_two_slow_commits_up_to_a_maximum(self) -> None:
        assert TIMES.term_s(0.85) > 2 * 0.85
        assert TIMES.term_s(10.0) == TIMES.most_trust_s

    async def test_ends_after_the_next_commit_is_overdue(self) -> None:
        for commit_s in (0.0, 0.3, 0.6, 0.85, 1.0, 4.0):
            assert TIMES.suspect_after_s(commit_s) < TIMES.term_s(commit_s)

    async def test_takes_effect_once_it_is_confirmed(self) -> None:
        log = _log(None, failed=False)
        log._durations_s.append(0.85)
        log._sent_term_s = TIMES.term_s(log.commit_s)
        assert log.term_s == TIMES.trust_s

    async def test_is_the_shortest_of_any_try_in_flight(self) -> None:
        """A follower may read that term and acquire the cell when it expires."""
        log = _log(None, failed=False)
        log._confirmed_term_s = TIMES.most_trust_s
        log._sent_term_s = TIMES.trust_s
        assert log.term_s == TIMES.trust_s


class TestUnmark:
    """Cancels the writing of a marked row."""

    async def test_succeeds_before_a_transaction_carries_the_row(self) -> None:
        log = _log(None, failed=False)
        log.mark("table", "key", lambda: b"")
        assert log.unmark("table", "key")
        assert not log.is_marked("table", "key")
        assert not log.unmark("table", "key")

    async def test_fails_while_a_transaction_carries_the_row(self) -> None:
        log = _log(None, failed=False)
        log.mark("table", "key", lambda: b"")
        log._next_batch()
        assert not log.unmark("table", "key")
        # The row is marked again, but its first change is still in flight.
        log.mark("table", "key", lambda: b"")
        assert not log.unmark("table", "key")
        assert log.is_marked("table", "key")


class TestWritten:
    async def test_does_not_wait_for_rows_that_were_marked_later(self) -> None:
        store = _Store()
        log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, RENEW_S)
        running = asyncio.ensure_future(log.run())
        log.mark("table", "first", lambda: b"")
        await _until_committing(store, 1)
        log.mark("table", "second", lambda: b"")
        first = asyncio.ensure_future(log.written("table", "first"))
        await asyncio.sleep(0)
        store.may_answer.set()
        await first
        assert log.sequence == 1
        running.cancel()


class _RefusingStore:
    """Takes no row with one of these keys, and answers all other commits.

    :param refuses_all: it takes no transaction at all.
    """

    def __init__(self, *refused: str) -> None:
        self._refused = refused
        self.refuses_all = False
        self.written: list[str] = []
        self.commits = 0

    async def transact(
        self,
        conditions: t.Any,
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow],
    ) -> TransactResult:
        self.commits += 1
        keys = [row.key for row in (*puts, *drops) if row.key != HEAD_KEY]
        if self.refuses_all or not set(keys).isdisjoint(self._refused):
            raise BadInputError("400", remedy="-")
        self.written += keys
        return TransactResult(committed=True, version=self.commits + 1)


def _log_of(store: _RefusingStore) -> tuple[CommitLog, list[str]]:
    """Return a log, and the keys that it reports as refused."""
    refused: list[str] = []
    log = CommitLog(
        t.cast(t.Any, store),
        "main",
        1,
        1,
        0.0,
        RENEW_S,
        max_row_bytes=ROW_BYTES,
        on_refused=lambda table, key: refused.append(key),
    )
    return log, refused


class TestRowsThatCannotBeWritten:
    """Guards against one row that ends each holder, whichever daemon is next."""

    @staticmethod
    async def _flush(
        store: _RefusingStore, rows: t.Mapping[str, t.Callable[[], bytes | None]]
    ) -> tuple[CommitLog, list[str]]:
        """Commit rows; return the log and the keys that it reported as refused."""
        log, refused = _log_of(store)
        running = asyncio.ensure_future(log.run())
        for key, encode in rows.items():
            log.mark("table", key, encode)
        flushed = asyncio.ensure_future(log.flushed())
        await asyncio.wait((flushed, running), return_when=asyncio.FIRST_COMPLETED)
        assert not running.done()
        running.cancel()
        return log, refused

    @pytest.mark.parametrize("bad", [("3",), ("0", "8"), ("4", "5", "6")])
    async def test_do_not_keep_the_others_from_it(self, bad: tuple[str, ...]) -> None:
        store = _RefusingStore(*bad)
        rows = {str(number): lambda: b"value" for number in range(9)}
        log, refused = await self._flush(store, rows)
        assert sorted(refused) == sorted(bad)
        assert sorted(store.written) == sorted(rows.keys() - set(bad))
        assert log.rows_refused == len(bad)

    async def test_may_be_deletions(self) -> None:
        store = _RefusingStore("bad")
        _, refused = await self._flush(
            store, {"bad": lambda: None, "good": lambda: None}
        )
        assert (refused, store.written) == (["bad"], ["good"])

    async def test_are_not_sent_if_they_are_too_large(self) -> None:
        store = _RefusingStore()
        large, fitting = bytes(ROW_BYTES + 1), bytes(ROW_BYTES)
        _, refused = await self._flush(
            store, {"large": lambda: large, "fitting": lambda: fitting}
        )
        assert (refused, store.written) == (["large"], ["fitting"])
        assert store.commits == 1

    async def test_include_those_that_cannot_be_encoded(self) -> None:
        def fail() -> bytes:
            raise ValueError("no such character")

        store = _RefusingStore()
        _, refused = await self._flush(store, {"bad": fail, "good": lambda: b""})
        assert (refused, store.written) == (["bad"], ["good"])

    async def test_are_not_found_while_the_store_takes_nothing(self) -> None:
        """A refusal of the head row alone says nothing about other rows."""
        store = _RefusingStore()
        store.refuses_all = True
        log, refused = _log_of(store)
        running = asyncio.ensure_future(log.run())
        log.mark("table", "key", lambda: b"value")
        while not log.is_degraded():
            await asyncio.sleep(0.01)
        store.refuses_all = False
        await log.flushed()
        assert (refused, store.written) == ([], ["key"])
        running.cancel()
