"""Jobs whose state takes more than one row of the store.

Guards against one large job that ends each holder in turn: the store refused its row
for good, and the jobs of all callers stood still.
"""

import asyncio
import json

from streamthread.cell import TABLE_BODIES
from streamthread.cell import TABLE_CHUNKS
from streamthread.cell import TABLE_JOBS
from streamthread.cell import TABLE_RUNS
from streamthread.gateway import CellDaemon

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

LARGE_ID = "a" * 16
TASKS = 2200


def _many_steps(count: int) -> bytes:
    """Return a job of 72 KB with one task for each step."""
    step = {"count": 1, "cpu": 2, "memMb": 1, "estimateMs": 1000, "image": "x" * 20}
    spec = json.dumps({"run_s": 0.2, "cpu": 2})
    return json.dumps({"spec": spec, "steps": [step] * count}).encode()


async def _kill(cell: Cell, daemon: CellDaemon) -> None:
    """End a daemon without a handover, and wait for the next holder."""
    cell.daemons.remove(daemon)
    await daemon.stop()
    await until(cell.holder, "another daemon holds the cell")


def _rows(cell: Cell, table: str) -> list[str]:
    return [key for key in cell.world.store.keys(table) if key.startswith(LARGE_ID)]


class TestLargeJob:
    async def test_delays_no_job_of_another_pool(self) -> None:
        async with running_cell({"desk": 1, "audit": 1}) as cell:
            await cell.until_ready()
            large = job(run_s=60, count=TASKS, cpu=7)
            assert await cell.caller().submit(LARGE_ID, large) == 200
            await until(lambda: len(cell.world.started) > TASKS // 2, "it runs")
            caller = cell.caller("audit")
            for number in range(3):
                job_id = f"{number:016x}"
                assert await caller.submit(job_id, job()) == 200
                await caller.until_state(job_id, "completed")
            assert cell.world.store.refused == []
            assert cell.daemons[0].failures.counts == {}

    async def test_is_done_once_though_its_holder_is_replaced(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            holder = await cell.until_ready()
            world = cell.world
            body = job(run_s=600, count=TASKS, cpu=7)
            assert await cell.caller().submit(LARGE_ID, body) == 200
            await until(lambda: len(world.started) == TASKS, "all tasks run")
            world.runners[0].finish_runs()
            await until(lambda: len(world.ended) == TASKS, "all runs have ended")
            await asyncio.sleep(0.2)
            await _kill(cell, holder)
            await cell.caller().until_state(LARGE_ID, "completed")
            assert {run.run for run in world.started} == {1}
            assert len(world.started) == TASKS

    async def test_leaves_only_the_row_of_its_end(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            await cell.until_ready()
            body = job(run_s=0.2, count=500, cpu=7)
            assert await cell.caller().submit(LARGE_ID, body) == 200
            await cell.caller().until_state(LARGE_ID, "completed")
            assert _rows(cell, TABLE_CHUNKS)
            await until(lambda: not _rows(cell, TABLE_CHUNKS), "its chunks are deleted")
            assert _rows(cell, TABLE_JOBS) == _rows(cell, TABLE_RUNS) == [LARGE_ID]

    async def test_is_cancelled_by_the_next_holder(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            holder = await cell.until_ready()
            body = job(run_s=600, count=400, cpu=7)
            assert await cell.caller().submit(LARGE_ID, body) == 200
            await until(lambda: len(cell.world.started) == 400, "all tasks run")
            await _kill(cell, holder)
            status, _, _ = await cell.caller().call("DELETE", LARGE_ID)
            assert status == 200
            await until(lambda: not list(cell.world.running()), "no task runs")
            await until(lambda: not _rows(cell, TABLE_CHUNKS), "its chunks are deleted")
            assert await cell.caller().state(LARGE_ID) == "cancelled"


class TestManyLargeJobs:
    """Guards against jobs that take the memory of each holder in turn."""

    async def test_are_refused_for_now_but_not_small_ones(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            # No runner has room for these.
            huge = job(run_s=1, count=100_000, cpu=20_000)
            assert await caller.submit(LARGE_ID, huge) == 200
            status, _, headers = await caller.call("POST", "b" * 16, huge)
            assert status == 429 and int(headers["Retry-After"]) >= 1
            assert await caller.submit("c" * 16, job()) == 200
            await caller.until_state("c" * 16, "completed")
            assert await caller.state("b" * 16) == "410"
            status, _, _ = await caller.call("DELETE", LARGE_ID)
            assert status == 200
            assert await caller.submit("b" * 16, huge) == 200


class TestLargeBody:
    async def test_is_kept_in_several_rows_until_the_job_ends(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=2) as cell:
            holder = await cell.until_ready()
            body = _many_steps(1000)
            assert len(body) > 65_536
            assert await cell.caller().submit(LARGE_ID, body) == 200
            assert len(_rows(cell, TABLE_BODIES)) == 2
            await _kill(cell, holder)
            await cell.caller().until_state(LARGE_ID, "completed")
            await until(lambda: not _rows(cell, TABLE_BODIES), "its body is deleted")
            assert cell.world.store.refused == []
            tasks = {run.task for run in cell.world.started}
            assert len(tasks) == 1000


class TestRowThatTheStoreRefuses:
    """No layout helps where the store refuses a row for another reason."""

    async def test_costs_only_a_new_job(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.store.faults.refuse_key = LARGE_ID
            caller = cell.caller()
            status, _, headers = await caller.call("POST", LARGE_ID, job())
            assert status == 400 and "Retry-After" not in headers
            assert await caller.state(LARGE_ID) == "410"
            assert await caller.submit("b" * 16, job()) == 200
            await caller.until_state("b" * 16, "completed")
            started = {run.task.split(".")[0] for run in cell.world.started}
            assert started == {"b" * 16}

    async def test_costs_only_a_job_that_was_accepted(self) -> None:
        body = json.loads(job(run_s=60, count=2))
        body["steps"].append({"count": 1, "cpu": 100, "memMb": 10, "after": [0]})
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            world, caller = cell.world, cell.caller()
            assert await caller.submit(LARGE_ID, json.dumps(body).encode()) == 200
            await until(lambda: len(world.started) == 2, "its first step runs")
            world.store.faults.refuse_key = LARGE_ID
            world.runners[0].finish_runs()
            await caller.until_state(LARGE_ID, "failed")
            assert await caller.submit("b" * 16, job()) == 200
            await caller.until_state("b" * 16, "completed")
            # What is not durable has not been started.
            assert [run.task for run in world.started if ".0.1." in run.task] == []
            assert cell.daemons[0].failures.counts == {}
