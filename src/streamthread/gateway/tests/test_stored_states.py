"""What the store tells of a job's state while no holder answers."""

import types
import typing as t

import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import TABLE_INBOX
from streamthread.cell import TABLE_JOBS
from streamthread.cell import TABLE_RUNS
from streamthread.errors import StoreUnavailableError
from streamthread.gateway.stored_states import StoredStates
from streamthread.platform.manifest import Route
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.scheduler import encode_definition
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job

JOB_ID = "a" * 16
ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)
REQUEST = pb.CallRequest(kind=pb.STATE, route="r", job_id=JOB_ID)


class _Store:
    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], bytes] = {}
        self.tables: list[str] = []
        self.down = False

    async def read(self, table: str, part: str, start: str, limit: int) -> Page:
        self.tables.append(table)
        if self.down:
            raise StoreUnavailableError("down", remedy="-")
        rows = [
            StoredRow(table, part, key, value, 1)
            for (name, key), value in sorted(self.rows.items())
            if name == table and key >= start
        ]
        return Page(tuple(rows[:limit]), 1)


def _job(begun: bool = True, cancelled: bool = False, account: str = "") -> Job:
    job = new_job(
        JOB_ID, JobTerms.of_route(ROUTE, account), b'{"spec":"","steps":[{}]}'
    )
    job.begun = begun
    job.cancelled = cancelled
    return job


class _Cell:
    def __init__(self, job: Job | None, with_progress: bool = True) -> None:
        self.store = _Store()
        manifest = types.SimpleNamespace(routes_by_name={"r": ROUTE, "other": ROUTE})
        documents: t.Any = types.SimpleNamespace(manifest=manifest, waves={})
        self.states = StoredStates(t.cast(t.Any, self.store), "main", documents)
        # The next row by key belongs to another job.
        self.store.rows[TABLE_JOBS, "b" * 16] = b"{}"
        self.store.rows[TABLE_INBOX, f"{'b' * 16}.1"] = b"{}"
        if job is not None:
            self.store.rows[TABLE_JOBS, JOB_ID] = encode_definition(job)
            if with_progress:
                self.store.rows[TABLE_RUNS, JOB_ID] = encode_progress(job)

    async def state(self, request: pb.CallRequest = REQUEST) -> str | None:
        reply = await self.states.find(request)
        return reply.state if reply is not None else None


class TestStoredStates:
    async def test_are_those_of_the_last_commit(self) -> None:
        assert await _Cell(_job(begun=False), with_progress=False).state() == "pending"
        cell = _Cell(_job())
        assert await cell.state() == "running"
        assert cell.states.answered == 1
        assert await _Cell(_job(cancelled=True)).state() == "cancelled"
        assert await _Cell(_job(cancelled=True), with_progress=False).state()

    # Guards against a job that ends between the reads and is reported as not begun.
    async def test_are_read_in_the_order_in_which_rows_move(self) -> None:
        cell = _Cell(_job())
        await cell.state()
        assert cell.store.tables == [TABLE_INBOX, TABLE_RUNS, TABLE_JOBS]

    # Guards against a final answer for a job that may be on its way.
    async def test_say_nothing_of_a_job_without_a_row(self) -> None:
        cell = _Cell(None)
        assert await cell.states.find(REQUEST) is None
        assert cell.states.answered == 0

    # Guards against a job that is reported as running after its cancel was accepted.
    async def test_say_nothing_of_an_open_job_with_rows_in_the_inbox(self) -> None:
        for job, state in ((_job(), None), (_job(cancelled=True), "cancelled")):
            cell = _Cell(job)
            cell.store.rows[TABLE_INBOX, f"{JOB_ID}.1"] = b"{}"
            assert await cell.state() == state

    async def test_say_that_the_store_was_not_read(self) -> None:
        cell = _Cell(_job())
        cell.store.down = True
        with pytest.raises(StoreUnavailableError):
            await cell.state()
        assert not cell.states.busy and cell.states.answered == 0

    async def test_say_nothing_if_a_row_cannot_be_read(self) -> None:
        cell = _Cell(_job())
        cell.store.rows[TABLE_JOBS, JOB_ID] = b"{"
        assert await cell.state() is None
        assert not cell.states.busy

    async def test_hide_jobs_of_other_accounts_and_routes(self) -> None:
        hidden = pb.CallRequest(
            kind=pb.STATE, route="r", job_id=JOB_ID, account="second"
        )
        reply = await _Cell(_job(account="first")).states.find(hidden)
        assert reply is not None and reply.outcome == pb.UNKNOWN_JOB
        elsewhere = pb.CallRequest(kind=pb.STATE, route="other", job_id=JOB_ID)
        reply = await _Cell(_job()).states.find(elsewhere)
        assert reply is not None and reply.outcome == pb.UNKNOWN_JOB
