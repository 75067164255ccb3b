"""What the progress of a job costs its holder, by the number of its tasks.

``python -m bench.progress`` prints the processor time of one change and of its commit,
the bytes that the commit writes, and the times to read the job back and to process one
list of its runs. The store and the runner are not involved.
"""

import asyncio
import json
import statistics
import time
import typing as t

from streamthread.cell import CommitLog
from streamthread.holder.job_rows import JobRows
from streamthread.holder.replay import read_jobs
from streamthread.platform.manifest import Route
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState

SIZES = (100, 1_000, 10_000)
REPEATS = 30
ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)


class _Store:
    """Takes every transaction at once, and counts the bytes of the rows."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], bytes] = {}
        self.written_bytes = 0
        self.commits = 0

    async def transact(
        self,
        conditions: t.Any,
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow],
    ) -> TransactResult:
        self.commits += 1
        for row in puts:
            value = row.value or b""
            self.rows[row.table, row.key] = value
            self.written_bytes += len(value)
        return TransactResult(committed=True, version=self.commits + 1)

    async def read_all(self, table: str, part: str) -> Page:
        rows = [
            StoredRow(table, part, key, value, 1)
            for (name, key), value in self.rows.items()
            if name == table
        ]
        return Page(tuple(rows), 1)


def _make_engine(tasks: int, record: t.Callable[[Job], None]) -> tuple[Engine, Job]:
    """Return an engine with one job all of whose tasks run on one runner."""
    engine = Engine(record)
    runner = RunnerState("i-3c6ef362", "desk", "x:1", "z", (), 10**7, 10**7, 0)
    runner.ready = True
    engine.add_runner(runner)
    step = {"count": tasks, "cpu": 1, "memMb": 1, "estimateMs": 1000}
    job = new_job(
        "a" * 16,
        JobTerms.of_route(ROUTE),
        json.dumps({"spec": "", "steps": [step]}).encode(),
    )
    engine.add(job)
    return engine, job


def _confirm_all(job: Job, engine: Engine) -> None:
    for attempt in job.attempts():
        attempt.phase = Phase.SENT
        engine.confirm(attempt, 1000)


async def _measure(tasks: int) -> dict[str, float]:
    store = _Store()
    log = CommitLog(t.cast(t.Any, store), "main", 1, 1, 0.0, 3600.0)
    rows = JobRows(log)
    engine, job = _make_engine(tasks, rows.record)
    rows.add(job)
    running = asyncio.ensure_future(log.run())
    engine.begin_due(time.time() + 1)
    engine.place_all(time.time(), lambda step: None)
    await log.flushed()
    _confirm_all(job, engine)
    await log.flushed()
    before_bytes = store.written_bytes
    changes_s = []
    for attempt in list(job.attempts())[:REPEATS]:
        began_s = time.process_time()
        engine.withdraw_attempt(attempt)
        await log.flushed()
        changes_s.append(time.process_time() - began_s)
    written = (store.written_bytes - before_bytes) / REPEATS
    running.cancel()
    began_s = time.process_time()
    await read_jobs(t.cast(t.Any, store), "main")
    read_s = time.process_time() - began_s
    return {
        "change_ms": statistics.median(changes_s) * 1000,
        "written_bytes": written,
        "read_ms": read_s * 1000,
        "list_ms": _measure_list(engine, job) * 1000,
    }


def _measure_list(engine: Engine, job: Job) -> float:
    """Return the processor time of one list of all runs."""
    (runner,) = engine.runners.values()
    listed = tuple(
        RunningTask(attempt.task.name, attempt.run, "", 5.0)
        for attempt in job.attempts()
    )
    took_s = []
    for number in range(5):
        began_s = time.process_time()
        engine.on_hold(runner, HoldReply(2000 + number, listed, ()))
        took_s.append(time.process_time() - began_s)
    return statistics.median(took_s)


def main() -> None:
    """Print one line for each size."""
    for tasks in SIZES:
        found = asyncio.run(_measure(tasks))
        columns = "  ".join(f"{name} {value:.3f}" for name, value in found.items())
        print(f"{tasks:>6} tasks  {columns}")


if __name__ == "__main__":
    main()
