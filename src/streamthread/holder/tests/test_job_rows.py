"""Tests that a holder may end after any commit of a large job's rows.

Guards against progress that is lost, or work that is done twice, because rows that
refer to each other are written by different transactions.
"""

import asyncio
import time
import typing as t

import pytest

import streamthread.cell.commits as commits_module
from streamthread.cell import CommitLog
from streamthread.cell import TABLE_BODIES
from streamthread.cell import TABLE_CHUNKS
from streamthread.cell import TABLE_JOBS
from streamthread.cell import TABLE_RUNS
from streamthread.errors import BadInputError
from streamthread.holder.job_rows import JobRows
from streamthread.holder.replay import read_job
from streamthread.holder.replay import read_jobs
from streamthread.holder.replay import Replayed
from streamthread.platform.callers import encode_job
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler import TaskState
from streamthread.scheduler.tests.test_chunks import encode_as_one_row

JOB_ID = "a" * 16
TASKS = 300

Rows = dict[tuple[str, str], bytes]


class _Store:
    """Keeps the rows as they were after each transaction."""

    def __init__(self, rows: Rows | None = None) -> None:
        self.rows: Rows = dict(rows or {})
        self.moments: list[Rows] = []

    async def transact(
        self,
        conditions: t.Any,
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow],
    ) -> TransactResult:
        for row in puts:
            assert row.value is not None
            self.rows[row.table, row.key] = row.value
        for row in drops:
            self.rows.pop((row.table, row.key), None)
        self.moments.append(dict(self.rows))
        return TransactResult(committed=True, version=len(self.moments) + 1)

    async def read_all(self, table: str, part: str) -> Page:
        return await self.read(table, part)

    async def read(
        self, table: str, part: str, start: str = "", limit: int = 10**6
    ) -> Page:
        rows = [
            StoredRow(table, part, key, value, 1)
            for (name, key), value in sorted(self.rows.items())
            if name == table and key >= start
        ]
        return Page(tuple(rows[:limit]), 1)

    def keys(self, table: str) -> list[str]:
        return [key for name, key in self.rows if name == table]


class _Holder:
    """An engine whose jobs are persisted, with one runner that has room for all."""

    def __init__(self, store: _Store) -> None:
        self.store = store
        log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, 3600.0)
        self.log = log
        self.rows = JobRows(log)
        self.engine = Engine(self.rows.record)
        runner = RunnerState("i-1", "desk", "x:1", "z", (), 10**6, 10**6, 0)
        runner.ready = True
        self.engine.add_runner(runner)
        self._running = asyncio.ensure_future(log.run())

    async def replay(self) -> Replayed:
        replayed = await read(self.store.rows)
        for job in replayed.jobs:
            self.engine.add(job)
            self.rows.restore(job, replayed.chunks.get(job.job_id, ()))
        self.rows.delete_unused(replayed.unused)
        return replayed

    def submit(self, request: JobRequest) -> Job:
        body = encode_job(request)
        job = Job(JOB_ID, JobTerms("r", "desk"), request, body, time.time())
        self.engine.add(job)
        self.rows.add(job)
        return job

    def run_pass(self) -> None:
        self.engine.begin_due(time.time())
        self.engine.place_all(time.time(), lambda step: None)

    async def flush(self) -> None:
        await self.log.flushed()

    def close(self) -> None:
        self._running.cancel()


async def read(rows: Rows) -> Replayed:
    return await read_jobs(t.cast(t.Any, _Store(rows)), "main")


async def read_one(rows: Rows) -> Job:
    (job,) = (await read(rows)).jobs
    return job


def states(job: Job) -> list[TaskState]:
    return [task.state for o in job.occurrences.values() for task in o.tasks]


def finish(holder: _Holder, job: Job, count: int) -> None:
    """Mark running tasks as done at once, as the end of a gang does."""
    ledger, runner = holder.engine._ledger, holder.engine.runners["i-1"]
    attempts = list(job.attempts())[:count]
    for attempt in attempts:
        ledger.remove(attempt, runner)
        ledger.mark_done(attempt.task)
    ledger.task_changed(attempts[-1].task)
    ledger.settle_job(job)


@pytest.fixture(autouse=True)
def small_transactions(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(commits_module, "MAX_ROWS", 2)


def _request(times: int = 0, steps: int = 1) -> JobRequest:
    step = StepRequest(count=TASKS, cpu=1, memory_mb=1)
    return JobRequest("", (step,) * steps, times)


class TestLargeJob:
    async def test_has_each_run_durable_after_a_flush(self) -> None:
        holder = _Holder(_Store())
        job = holder.submit(_request())
        holder.run_pass()
        await holder.flush()
        after = await read_one(holder.store.rows)
        assert len(list(after.attempts())) == TASKS
        assert holder.store.keys(TABLE_RUNS) == [JOB_ID]
        finish(holder, job, 10)
        written = len(holder.store.moments)
        await holder.flush()
        after = await read_one(holder.store.rows)
        assert states(after).count(TaskState.DONE) == 10
        assert len(holder.store.moments) - written == 1
        holder.close()

    async def test_is_never_begun_again_once_it_is_done(self) -> None:
        holder = _Holder(_Store())
        job = holder.submit(_request())
        holder.run_pass()
        await holder.flush()
        begun = len(holder.store.moments)
        while job.has_attempts():
            finish(holder, job, 70)
            holder.rows.sweep(holder.engine.jobs)
            await holder.flush()
        await holder.flush()
        for rows in holder.store.moments[begun:]:
            after = await read_one(rows)
            assert after.over or TaskState.WAITING not in states(after)
        assert holder.store.keys(TABLE_CHUNKS) == []
        holder.close()

    async def test_loses_no_done_task_between_two_transactions(self) -> None:
        holder = _Holder(_Store())
        job = holder.submit(_request())
        holder.run_pass()
        await holder.flush()
        begun = len(holder.store.moments)
        finish(holder, job, 200)
        await holder.flush()
        counts = [
            states(await read_one(rows)).count(TaskState.DONE)
            for rows in holder.store.moments[begun:]
        ]
        assert counts == sorted(counts) and counts[-1] == 200
        holder.close()

    async def test_of_the_earlier_version_is_divided_without_a_gap(self) -> None:
        before = _Holder(_Store())
        job = before.submit(_request())
        before.run_pass()
        finish(before, job, 100)
        await before.flush()
        rows = {
            (TABLE_JOBS, JOB_ID): before.store.rows[TABLE_JOBS, JOB_ID],
            (TABLE_RUNS, JOB_ID): encode_as_one_row(job),
        }
        before.close()
        holder = _Holder(_Store(rows))
        await holder.replay()
        await holder.flush()
        for moment in [rows, *holder.store.moments]:
            after = await read_one(moment)
            assert states(after) == states(job)
            assert len(list(after.attempts())) == 200
        assert len(holder.store.keys(TABLE_CHUNKS)) > 1
        holder.close()

    async def test_drops_the_chunks_of_done_occurrences_while_it_runs(self) -> None:
        holder = _Holder(_Store())
        job = holder.submit(_request(times=2))
        holder.run_pass()
        await holder.flush()
        begun = len(holder.store.moments)
        finish(holder, job, TASKS)
        assert list(job.occurrences) == [1]
        # The last changes of the chunks are not written yet.
        holder.rows.sweep(holder.engine.jobs)
        await holder.flush()
        await holder.flush()
        assert {key.split(".")[1] for key in holder.store.keys(TABLE_CHUNKS)} == {"1"}
        for rows in holder.store.moments[begun:]:
            after = await read_one(rows)
            open_tasks = after.occurrences[0].tasks if 0 in after.occurrences else ()
            assert 0 in after.done_times or open_tasks
            assert all(task.state is not TaskState.WAITING for task in open_tasks)
        holder.close()

    async def test_leaves_nothing_once_it_is_forgotten(self) -> None:
        holder = _Holder(_Store())
        job = holder.submit(_request())
        holder.run_pass()
        await holder.flush()
        holder.engine.cancel(job)
        for attempt in list(job.attempts()):
            holder.engine._ledger.expire(attempt, holder.engine.runners["i-1"])
        holder.rows.forget(job)
        await holder.flush()
        assert [key for key in holder.store.rows if key[1].startswith(JOB_ID)] == []
        holder.close()


class TestRowsWithoutAJob:
    async def test_are_deleted_by_the_next_holder(self) -> None:
        rows = {
            (TABLE_CHUNKS, f"{JOB_ID}.0.0"): b'["0",[]]',
            (TABLE_CHUNKS, "no chunk"): b"",
            (TABLE_BODIES, f"{JOB_ID}.0000"): b"{",
        }
        holder = _Holder(_Store(rows))
        await holder.replay()
        await holder.flush()
        assert [key for key in holder.store.rows if key in rows] == []
        holder.close()


class TestLargeBody:
    async def test_is_complete_whenever_the_job_is_there(self) -> None:
        holder = _Holder(_Store())
        request = JobRequest("", (StepRequest(image="x" * 60),) * 4000)
        job = holder.submit(request)
        assert job.body_rows > 4
        await holder.flush()
        for rows in holder.store.moments:
            replayed = await read(rows)
            assert replayed.unreadable == {}
            assert [found.request for found in replayed.jobs] in ([], [request])
        store = t.cast(t.Any, holder.store)
        found = await read_job(store, "main", JOB_ID)
        assert found is not None and found.request == request
        holder.close()

    async def test_of_which_a_row_is_missing_costs_only_its_job(self) -> None:
        holder = _Holder(_Store())
        holder.submit(JobRequest("", (StepRequest(image="x" * 60),) * 4000))
        await holder.flush()
        rows = holder.store.rows
        del rows[TABLE_BODIES, f"{JOB_ID}.0001"]
        rows[TABLE_JOBS, "b"] = rows[TABLE_JOBS, JOB_ID]
        replayed = await read(rows)
        assert replayed.jobs == ()
        assert set(replayed.unreadable) == {JOB_ID, "b"}
        holder.close()

    async def test_is_deleted_once_the_job_has_ended(self) -> None:
        holder = _Holder(_Store())
        job = holder.submit(JobRequest("", (StepRequest(image="x" * 60),) * 4000))
        await holder.flush()
        holder.engine.cancel(job)
        await holder.flush()
        holder.rows.sweep(holder.engine.jobs)
        await holder.flush()
        assert holder.store.keys(TABLE_BODIES) == []
        assert (await read_one(holder.store.rows)).cancelled
        holder.close()


class TestRowThatNoVersionWrites:
    async def test_costs_only_its_job(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against an exception that ends the replay of each next holder."""

        def fail(job_id: str, *args: t.Any) -> Job:
            if job_id == "bad":
                raise OverflowError("too large")
            return t.cast(Job, decode_row(job_id, *args))

        import streamthread.holder.replay as replay_module

        decode_row = replay_module.decode_row
        monkeypatch.setattr(replay_module, "decode_row", fail)
        holder = _Holder(_Store())
        holder.submit(_request())
        await holder.flush()
        rows = holder.store.rows
        rows[TABLE_JOBS, "bad"] = rows[TABLE_JOBS, JOB_ID]
        replayed = await read(rows)
        assert [job.job_id for job in replayed.jobs] == [JOB_ID]
        assert isinstance(replayed.unreadable["bad"], BadInputError)
        holder.close()
