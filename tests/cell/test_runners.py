"""Runners that stop answering, drain or lose their entry."""

import time

from streamthread.standins.cell.runner import MAX_ENDS
from streamthread.standins.cell.runner import RunnerStandin

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

STARTED_WITHIN_S = 0.6
"""What the objective of the shortest jobs leaves them beside their work."""


class TestSilentRunner:
    async def test_its_tasks_run_elsewhere_once_they_have_certainly_expired(
        self,
    ) -> None:
        async with running_cell({"desk": 3}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            world = cell.world
            body = job(run_s=60, count=2, longRunning=True, antiAffinity=1)
            await cell.caller().submit("a" * 16, body)
            await until(lambda: len(world.started) == 2, "both tasks run")
            silent_runner = next(
                r for r in world.runners if r.runner_id == world.started[0].runner_id
            )
            silent_runner.faults.silent = True
            silent_at_s = time.monotonic()
            moved_task = world.started[0].task
            # A start in flight to the silent runner must not delay the expiry.
            await cell.caller().submit("b" * 16, job(run_s=0.2, count=40, cpu=700))
            expired = await until(
                lambda: (
                    [e for e in world.ended if e[0] == moved_task]
                    or [s for s in world.started if s.task == moved_task and s.run > 1]
                ),
                "the task is started again, or its end is seen",
            )
            assert expired
            hold_s = daemon.settings.links.hold_s
            assert time.monotonic() - silent_at_s < hold_s + 6.0
            await until(
                lambda: (
                    not daemon.holder
                    or not daemon.holder.engine.runners[
                        silent_runner.runner_id
                    ].attempts
                ),
                "nothing counts as running there",
                within_s=hold_s + 6.0,
            )


class TestLeavingRunner:
    async def test_that_drains_gets_no_new_tasks_and_finishes_its_own(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            caller = cell.caller()
            leaving = await _busy_runner(cell)
            leaving.draining = True
            await cell.world.write_entry(leaving)
            state = daemon.holder.engine.runners[leaving.runner_id]
            await until(lambda: state.draining, "the holder has read the entry")
            await _check_no_new_tasks(cell, leaving)
            await caller.until_state("a" * 16, "completed")

    async def test_whose_entry_is_gone_gets_no_new_tasks_and_finishes_its_own(
        self,
    ) -> None:
        """Some runners leave unannounced: their entry goes while they still serve."""
        async with running_cell({"desk": 2}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            caller = cell.caller()
            leaving = await _busy_runner(cell)
            await cell.world.store.drop("servers", leaving.runner_id)
            link = daemon.holder.links[leaving.runner_id]
            await until(
                lambda: not link.listed, "the holder notices that the entry is gone"
            )
            await _check_no_new_tasks(cell, leaving)
            await caller.until_state("a" * 16, "completed")


async def _busy_runner(cell: Cell) -> RunnerStandin:
    """Submit a job and return the runner that has its task."""
    await cell.caller().submit("a" * 16, job(run_s=1.5))
    await until(lambda: cell.world.started, "the task starts")
    runner_id = cell.world.started[0].runner_id
    return next(r for r in cell.world.runners if r.runner_id == runner_id)


async def _check_no_new_tasks(cell: Cell, leaving: RunnerStandin) -> None:
    caller = cell.caller()
    for digit in "bcdef":
        await caller.submit(digit * 16, job(run_s=0.1, count=4))
        await caller.until_state(digit * 16, "completed")
    later = [s for s in cell.world.started if s.task[0] != "a"]
    assert len(later) == 20
    assert all(start.runner_id != leaving.runner_id for start in later)


async def _until_started(cell: Cell, count: int) -> None:
    await until(
        lambda: len(cell.world.started) >= count, "the task starts", STARTED_WITHIN_S
    )


class TestSilentConnections:
    # Guards against starts that wait for their time limit on a silent connection.
    async def test_delay_no_start_beyond_its_objective(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            (runner,) = cell.world.runners
            caller = cell.caller()
            await caller.submit("a" * 16, job(count=4))
            await caller.until_state("a" * 16, "completed")
            for n in range(3):
                runner.port.silence_connections()
                count = len(cell.world.started)
                await caller.submit(f"{n}" * 16, job())
                await _until_started(cell, count + 1)

    async def test_end_no_run_while_new_connections_work(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            (runner,) = cell.world.runners
            caller = cell.caller()
            await caller.submit("a" * 16, job(run_s=60, count=4, longRunning=True))
            await until(lambda: len(cell.world.started) == 4, "all tasks run")
            # The concurrent starts have left a connection each.
            assert runner.port.silence_connections() >= 4
            silent_at_s = time.monotonic()
            expiry_s = daemon.settings.links.most_hold_s
            await until(
                lambda: time.monotonic() > silent_at_s + expiry_s,
                "the holds have expired",
            )
            assert len(runner.running()) == 4
            assert cell.world.ended == []


class TestManyEnds:
    # Guards against tasks that run twice: more runs had ended than a runner lists.
    async def test_that_exceed_one_list_count_once(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            world, caller = cell.world, cell.caller()
            job_ids = [f"{number:016x}" for number in range(7)]
            for job_id in job_ids:
                body = job(run_s=600, count=100, cpu=20)
                assert await caller.submit(job_id, body) == 200
            await until(lambda: len(world.started) == 700, "all tasks run")
            world.runners[0].finish_runs()
            for job_id in job_ids:
                await caller.until_state(job_id, "completed")
            assert len(world.ended) == len(world.started) == 700 > MAX_ENDS
            assert {run.run for run in world.started} == {1}
