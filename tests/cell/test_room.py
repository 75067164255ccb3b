"""The capacity of runners that don't enforce it: it shrinks, and stops take time.

Guards against two faults that were found by reading the code, after an incident in
which the exit of a runner was not noticed. The holder read a runner's capacity once,
with its first entry, so it never learned of a change. A run that was to be stopped
freed its capacity as soon as a listing did not show it as running, so tasks were
started over the capacity of a runner that was still stopping others.
"""

import json

from streamthread.standins.cell import RunnerStandin

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

CPU = 2000


def _disable_enforcement(cell: Cell) -> None:
    for runner in cell.world.runners:
        runner.faults.overcommit = True


def _over_capacity(cell: Cell) -> list[str]:
    return [task for runner in cell.world.runners for task, _ in runner.over_capacity]


def _long_running_job(cpu: int, count: int) -> bytes:
    spec = json.dumps({"run_s": 60, "cpu": cpu})
    step = {"count": count, "cpu": cpu, "memMb": 10, "longRunning": True}
    return json.dumps({"spec": spec, "steps": [step]}).encode()


async def _resize(cell: Cell, runner: RunnerStandin, cpu: int) -> None:
    """Change a runner's capacity and wait until the holder has read it."""
    runner.resize(cpu)
    await cell.world.write_entry(runner)
    daemon = cell.holder()
    assert daemon is not None and daemon.holder is not None
    state = daemon.holder.engine.runners[runner.runner_id]
    await until(lambda: state.cpu == cpu, "the holder has the new capacity")


class TestRoomThatShrinks:
    async def test_gets_no_more_tasks_than_fit(self) -> None:
        async with running_cell({"desk": 1}, cpu=CPU) as cell:
            await cell.until_ready()
            _disable_enforcement(cell)
            (runner,) = cell.world.runners
            caller = cell.caller()
            assert await caller.submit("a" * 16, _long_running_job(500, 2)) == 200
            await until(lambda: len(runner.running()) == 2, "two tasks run")
            await _resize(cell, runner, 1200)
            assert await caller.submit("b" * 16, _long_running_job(500, 2)) == 200
            assert await caller.submit("c" * 16, job(run_s=0.1, cpu=200)) == 200
            await caller.until_state("c" * 16, "completed")
            assert len(runner.running()) == 2
            await _resize(cell, runner, CPU)
            await until(
                lambda: len(runner.running()) == 4, "the capacity is used again"
            )
            assert _over_capacity(cell) == []

    async def test_below_the_current_use_waits_until_runs_have_ended(self) -> None:
        async with running_cell({"desk": 1}, cpu=CPU) as cell:
            await cell.until_ready()
            _disable_enforcement(cell)
            (runner,) = cell.world.runners
            caller = cell.caller()
            assert await caller.submit("a" * 16, _long_running_job(1000, 2)) == 200
            await until(lambda: len(runner.running()) == 2, "two tasks run")
            await _resize(cell, runner, 900)
            assert await caller.submit("b" * 16, job(run_s=0.1, cpu=300)) == 200
            _, answer, _ = await caller.call("DELETE", "a" * 16)
            assert answer["state"] == "cancelled"
            await caller.until_state("b" * 16, "completed")
            assert _over_capacity(cell) == []


class TestRunThatIsBeingStopped:
    async def test_occupies_its_capacity_until_its_end_is_listed(self) -> None:
        async with running_cell({"desk": 1}, cpu=CPU) as cell:
            await cell.until_ready()
            _disable_enforcement(cell)
            (runner,) = cell.world.runners
            runner.faults.hide_stopping = True
            runner.faults.stop_s = 0.8
            caller = cell.caller()
            assert await caller.submit("a" * 16, _long_running_job(900, 2)) == 200
            await until(lambda: len(runner.running()) == 2, "two tasks run")
            # The end of this run causes a listing while the others are being stopped.
            assert await caller.submit("b" * 16, job(run_s=0.3, cpu=200)) == 200
            await until(lambda: len(runner.running()) == 3, "the third task runs")
            assert await caller.submit("c" * 16, job(run_s=0.1, cpu=1000)) == 200
            await caller.call("DELETE", "a" * 16)
            await caller.until_state("b" * 16, "completed")
            await caller.until_state("c" * 16, "completed")
            assert _over_capacity(cell) == []
