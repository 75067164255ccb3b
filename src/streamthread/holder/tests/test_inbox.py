"""Inbox rows are read again on request, and kept while they are needed."""

import asyncio
import json
import typing as t

import pytest

from streamthread.errors import BadInputError
from streamthread.errors import StoreUnavailableError
from streamthread.errors import UnknownKindError
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import InboxOwner
from streamthread.holder.inbox import InboxReader
from streamthread.holder.inbox import RequestKind
from streamthread.holder.pending_cancels import Cancel
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.table_feed import TableFeed

JOB_ID = "a" * 16


def _row(key: str, version: int, body: str = "") -> StoredRow:
    kind = RequestKind.SUBMIT if body else RequestKind.CANCEL
    value = InboxEntry(kind, JOB_ID, "route", body).encode()
    return StoredRow("cell-inbox", "main", key, value, version)


class _Store:
    """Delays each read until a test lets it continue."""

    def __init__(self) -> None:
        self.rows: list[StoredRow] = []
        self.reads = 0
        self.down = False
        self.may_answer = asyncio.Event()

    async def read_all(self, table: str, part: str) -> Page:
        self.reads += 1
        rows = tuple(self.rows)
        await self.may_answer.wait()
        if self.down:
            raise StoreUnavailableError("down", remedy="-")
        return Page(rows, 1)


class _Owner(InboxOwner):
    """Knows a job's route depending on `knows_route`."""

    def __init__(self) -> None:
        self.knows_route = True
        self.retains = True
        self.may_arrive_calls: list[bool] = []
        self.jobs: set[str] = set()
        self.cancelled: list[str] = []
        self.dropped: list[str] = []
        self.acknowledged: list[str] = []
        self.excluded: list[str] = []
        self.unknown: list[str] = []

    def knows_job(self, job_id: str) -> bool:
        return job_id in self.jobs

    def mark_acknowledged(self, job_id: str) -> None:
        self.acknowledged.append(job_id)

    def accept_from_inbox(self, entry: InboxEntry) -> bool:
        if self.knows_route:
            self.jobs.add(entry.job_id)
        return self.knows_route

    def cancel_from_inbox(self, cancel: Cancel) -> None:
        self.cancelled.append(cancel.job_id)

    def retain_cancel(self, cancel: Cancel, may_arrive: bool) -> bool:
        self.may_arrive_calls.append(may_arrive)
        return self.retains

    def exclude_job(self, job_id: str, error: BadInputError) -> None:
        self.excluded.append(job_id)

    def keep_unknown_request(self, job_id: str, error: UnknownKindError) -> None:
        self.unknown.append(error.key)

    def delete_row(self, key: str) -> None:
        self.dropped.append(key)


def _reader(store: _Store) -> tuple[InboxReader, _Owner]:
    owner = _Owner()
    feed = TableFeed(t.cast(t.Any, store), "cell-inbox", "main", 1.0)
    return InboxReader(feed, owner), owner


async def _begun(store: _Store, reads: int) -> None:
    while store.reads < reads:
        await asyncio.sleep(0)


class TestCatchUp:
    async def test_processes_present_rows(self) -> None:
        store = _Store()
        store.rows.append(_row("key", 1, "body"))
        store.may_answer.set()
        reader, owner = _reader(store)
        await reader.catch_up()
        assert owner.jobs == {JOB_ID}

    async def test_uses_no_read_that_began_before(self) -> None:
        store = _Store()
        reader, owner = _reader(store)
        first = asyncio.ensure_future(reader.catch_up())
        await _begun(store, 1)
        store.rows.append(_row("key", 1, "body"))
        second = asyncio.ensure_future(reader.catch_up())
        third = asyncio.ensure_future(reader.catch_up())
        store.may_answer.set()
        await asyncio.gather(first, second, third)
        assert owner.jobs == {JOB_ID}
        assert store.reads == 2

    async def test_continues_if_its_first_caller_is_cancelled(self) -> None:
        store = _Store()
        store.rows.append(_row("key", 1, "body"))
        reader, owner = _reader(store)
        first = asyncio.ensure_future(reader.catch_up())
        await _begun(store, 1)
        first.cancel()
        second = asyncio.ensure_future(reader.catch_up())
        store.may_answer.set()
        await second
        assert owner.jobs == {JOB_ID}

    async def test_raises_for_each_caller_if_the_store_does_not_answer(self) -> None:
        store = _Store()
        store.down = True
        store.may_answer.set()
        reader, _ = _reader(store)
        for _ in range(2):
            with pytest.raises(StoreUnavailableError):
                await reader.catch_up()
        assert reader.behind

    async def test_is_up_to_date_for_a_while(self) -> None:
        store = _Store()
        store.may_answer.set()
        reader, _ = _reader(store)
        assert reader.behind
        await reader.catch_up()
        assert not reader.behind


class TestRefresh:
    # Guards against submissions that wait for two reads of a slow store, one after the
    # other, and for two commits: their callers stop waiting before.
    async def test_uses_a_read_in_progress(self) -> None:
        store = _Store()
        reader, _ = _reader(store)
        first = asyncio.ensure_future(reader.catch_up())
        await _begun(store, 1)
        second = asyncio.ensure_future(reader.refresh())
        await asyncio.sleep(0)
        assert not second.done()
        store.may_answer.set()
        await asyncio.gather(first, second)
        assert store.reads == 1

    async def test_reads_nothing_that_is_up_to_date(self) -> None:
        store = _Store()
        store.may_answer.set()
        reader, _ = _reader(store)
        await reader.refresh()
        await reader.refresh()
        assert store.reads == 1

    # Guards against a submission that is accepted although the inbox was not read.
    async def test_reads_again_if_the_read_in_progress_fails(self) -> None:
        store = _Store()
        store.down = True
        reader, _ = _reader(store)
        first = asyncio.ensure_future(reader.catch_up())
        await _begun(store, 1)
        second = asyncio.ensure_future(reader.refresh())
        await asyncio.sleep(0)
        store.may_answer.set()
        with pytest.raises(StoreUnavailableError):
            await first
        with pytest.raises(StoreUnavailableError):
            await second
        assert store.reads == 2


class TestCancelWithoutJob:
    def test_waits_for_its_job(self) -> None:
        reader, owner = _reader(_Store())
        reader.take([_row("cancel", 1)])
        reader.take([_row("job", 2, "body")])
        reader.retry()
        assert owner.cancelled == [JOB_ID]
        assert owner.dropped == ["job", "cancel"]

    def test_is_deleted_once_its_job_can_no_longer_arrive(self) -> None:
        reader, owner = _reader(_Store())
        reader.take([_row("cancel", 1)])
        assert owner.dropped == []
        owner.retains = False
        reader.retry()
        assert owner.dropped == ["cancel"]
        assert not reader.waiting

    def test_is_retained_depending_on_whether_its_job_waits(self) -> None:
        reader, owner = _reader(_Store())
        reader.take([_row("cancel", 1)])
        owner.knows_route = False
        reader.take([_row("job", 2, "body")])
        reader.retry()
        assert owner.may_arrive_calls == [False, True]


JOB = '{"steps":[{"count":1,"cpu":100}]}'


def _old_row(body: str) -> StoredRow:
    """Return a row as a version without kinds wrote it."""
    value = json.dumps([JOB_ID, "route", body, 0, "", "", 0.0]).encode()
    return StoredRow("cell-inbox", "main", "key", value, 1)


class TestKind:
    # Guards against a cancel that is taken for a submission because it has a body.
    @pytest.mark.parametrize("body", ["", "{}", JOB, "null", "\x00", "x" * 5000])
    def test_of_a_cancel_is_independent_of_its_body(self, body: str) -> None:
        reader, owner = _reader(_Store())
        owner.jobs.add(JOB_ID)
        entry = InboxEntry(RequestKind.CANCEL, JOB_ID, "route", body)
        reader.take([StoredRow("cell-inbox", "main", "key", entry.encode(), 1)])
        assert owner.cancelled == [JOB_ID] and not owner.acknowledged

    # Guards against a submission that is taken for a cancel because it has no body.
    def test_of_a_submission_is_independent_of_its_body(self) -> None:
        reader, owner = _reader(_Store())
        entry = InboxEntry(RequestKind.SUBMIT, JOB_ID, "route", "")
        reader.take([StoredRow("cell-inbox", "main", "key", entry.encode(), 1)])
        assert owner.jobs == {JOB_ID} and not owner.cancelled

    # Guards against a row of a later version that is deleted, or hides its neighbours.
    def test_that_is_unknown_leaves_the_row_and_others_alone(self) -> None:
        reader, owner = _reader(_Store())
        owner.jobs.add(JOB_ID)
        value = json.dumps([JOB_ID, "route", JOB, 0, "", "", 0.0, "suspend"]).encode()
        unknown = StoredRow("cell-inbox", "main", f"{JOB_ID}.1", value, 1)
        cancel = InboxEntry(RequestKind.CANCEL, JOB_ID, "route").encode()
        known = StoredRow("cell-inbox", "main", f"{JOB_ID}.2", cancel, 2)
        reader.take([unknown, known])
        assert owner.unknown == [unknown.key] and owner.dropped == [known.key]
        assert owner.cancelled == [JOB_ID]
        assert not owner.acknowledged and not owner.excluded

    # Guards against a cancel of an earlier version that is lost in a rolling upgrade.
    @pytest.mark.parametrize("body", ["", "{}", "null", "\x00"])
    def test_of_an_earlier_cancel_follows_from_its_invalid_job(self, body: str) -> None:
        reader, owner = _reader(_Store())
        owner.jobs.add(JOB_ID)
        reader.take([_old_row(body)])
        assert owner.cancelled == [JOB_ID]

    # Guards against a submission of an earlier version that is lost.
    def test_of_an_earlier_submission_follows_from_its_job(self) -> None:
        reader, owner = _reader(_Store())
        reader.take([_old_row(JOB)])
        assert owner.jobs == {JOB_ID} and not owner.cancelled

    # Guards against a cancel with a body that an earlier version takes for a job.
    def test_is_told_to_earlier_versions_by_the_body(self) -> None:
        cancel = InboxEntry(RequestKind.CANCEL, JOB_ID, "route", "{}").encode()
        submission = InboxEntry(RequestKind.SUBMIT, JOB_ID, "route", JOB).encode()
        assert json.loads(cancel)[2] == "" and json.loads(submission)[2] == JOB
