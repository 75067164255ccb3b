"""The room of runners that don't guard it: it shrinks, and runs take time to stop.

Found by reading, after an incident in which the end of a runner was a fact that nobody
took in: the room of a runner was read once, when its entry came first, and a run that
was to be stopped gave its room back as soon as a list did not show it as running.
Proved by these tests, which failed before: the holder never learned of the room, and
tasks were started over the room of a runner that was still stopping others.
"""

import json

from streamthread.standins.cell import RunnerStandin

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

CPU = 2000


def _unguard(cell: Cell) -> None:
    for runner in cell.world.runners:
        runner.faults.overcommit = True


def _over_room(cell: Cell) -> list[str]:
    return [task for runner in cell.world.runners for task, _ in runner.over_capacity]


def _lasting(cpu: int, count: int) -> bytes:
    spec = json.dumps({"run_s": 60, "cpu": cpu})
    step = {"count": count, "cpu": cpu, "memMb": 10, "longRunning": True}
    return json.dumps({"spec": spec, "steps": [step]}).encode()


async def _resize(cell: Cell, runner: RunnerStandin, cpu: int) -> None:
    """Let a runner's room change and wait until the holder knows."""
    runner.resize(cpu)
    await cell.world.write_entry(runner)
    daemon = cell.holder()
    assert daemon is not None and daemon.holder is not None
    state = daemon.holder.engine.runners[runner.runner_id]
    await until(lambda: state.cpu == cpu, "the holder knows the room")


class TestRoomThatShrinks:
    async def test_gets_no_more_than_it_has(self) -> None:
        async with running_cell({"desk": 1}, cpu=CPU) as cell:
            await cell.until_ready()
            _unguard(cell)
            (runner,) = cell.world.runners
            caller = cell.caller()
            assert await caller.submit("a" * 16, _lasting(500, 2)) == 200
            await until(lambda: len(runner.running()) == 2, "two are at work")
            await _resize(cell, runner, 1200)
            assert await caller.submit("b" * 16, _lasting(500, 2)) == 200
            assert await caller.submit("c" * 16, job(run_s=0.1, cpu=200)) == 200
            await caller.until_state("c" * 16, "completed")
            assert len(runner.running()) == 2
            await _resize(cell, runner, CPU)
            await until(lambda: len(runner.running()) == 4, "it is used again")
            assert _over_room(cell) == []

    async def test_below_what_is_there_waits_until_that_has_ended(self) -> None:
        async with running_cell({"desk": 1}, cpu=CPU) as cell:
            await cell.until_ready()
            _unguard(cell)
            (runner,) = cell.world.runners
            caller = cell.caller()
            assert await caller.submit("a" * 16, _lasting(1000, 2)) == 200
            await until(lambda: len(runner.running()) == 2, "two are at work")
            await _resize(cell, runner, 900)
            assert await caller.submit("b" * 16, job(run_s=0.1, cpu=300)) == 200
            _, answer, _ = await caller.call("DELETE", "a" * 16)
            assert answer["state"] == "cancelled"
            await caller.until_state("b" * 16, "completed")
            assert _over_room(cell) == []


class TestRunThatIsBeingStopped:
    async def test_takes_its_room_until_its_end_is_listed(self) -> None:
        async with running_cell({"desk": 1}, cpu=CPU) as cell:
            await cell.until_ready()
            _unguard(cell)
            (runner,) = cell.world.runners
            runner.faults.hide_stopping = True
            runner.faults.stop_s = 0.8
            caller = cell.caller()
            assert await caller.submit("a" * 16, _lasting(900, 2)) == 200
            await until(lambda: len(runner.running()) == 2, "two are at work")
            # Its end brings a list while the others are being stopped.
            assert await caller.submit("b" * 16, job(run_s=0.3, cpu=200)) == 200
            await until(lambda: len(runner.running()) == 3, "the third is at work")
            assert await caller.submit("c" * 16, job(run_s=0.1, cpu=1000)) == 200
            await caller.call("DELETE", "a" * 16)
            await caller.until_state("b" * 16, "completed")
            await caller.until_state("c" * 16, "completed")
            assert _over_room(cell) == []
