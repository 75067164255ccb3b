"""Queues whose policy lets only some runners run their steps."""

import contextlib
import typing as t

import pytest

from streamthread.gateway import CellDaemon
from streamthread.platform.node import decode_node
from streamthread.standins.cell import AdviceStandin
from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import PolicyFigures

from .support import Cell
from .support import job
from .support import until

JOB_ID = "a" * 16


@contextlib.asynccontextmanager
async def _running(
    runners: int, advice: AdviceStandin, spare: int = 0
) -> t.AsyncIterator[Cell]:
    """Run a daemon and a pool of runners whose starts need tickets.

    :param spare: the number of machines in a spare pool.
    """
    pools = {"desk": runners, "spare": spare} if spare else {"desk": runners}
    world = CellWorld(pools, advice=advice)
    await world.open()
    daemon = CellDaemon(decode_node(world.node_settings("daemon-0")))
    cell = Cell(world, [daemon])
    try:
        await daemon.start()
        await cell.until_ready()
        yield cell
    finally:
        await cell.close_callers()
        await daemon.stop()
        await world.close()


def _has_started(cell: Cell) -> bool:
    return bool(cell.world.started)


class TestLongCalls:
    # Guards against a job that never starts because each call for it is given up.
    async def test_are_waited_for_as_the_policy_says(self) -> None:
        advice = AdviceStandin(figures=PolicyFigures(decide_ms=2_500, each_ms=0))
        async with _running(2, advice) as cell:
            await cell.caller().submit(JOB_ID, job())
            await until(lambda: _has_started(cell), "the job starts")

    # Guards against the same if the service is slower than the policy says.
    async def test_are_waited_for_as_observed(self) -> None:
        advice = AdviceStandin(figures=PolicyFigures(decide_ms=100, each_ms=10))
        advice.faults.slowness = 20.0
        async with _running(4, advice) as cell:
            await cell.caller().submit(JOB_ID, job())
            await until(lambda: _has_started(cell), "the job starts")


class TestRunnersOfAPool:
    # Guards against a job that never starts as none of the first runners may run it.
    async def test_beyond_the_first_ones_are_asked_about(self) -> None:
        advice = AdviceStandin(figures=PolicyFigures(decide_ms=20, each_ms=20))
        async with _running(40, advice) as cell:
            last = cell.world.runners[-1].runner_id
            advice.may_run = lambda step, runner_id: runner_id == last
            await cell.caller().submit(JOB_ID, job(count=2))
            await cell.caller().until_state(JOB_ID, "completed")
            assert {run.runner_id for run in cell.world.started} == {last}

    # Guards against a job that waits beside an idle runner that came after an answer.
    async def test_that_come_later_are_asked_about(self) -> None:
        advice = AdviceStandin(figures=PolicyFigures(20, 5, valid_ms=60_000))
        async with _running(4, advice) as cell:
            first = {runner.runner_id for runner in cell.world.runners}
            advice.may_run = lambda step, runner_id: runner_id not in first
            await cell.caller().submit(JOB_ID, job())
            await until(lambda: len(advice.calls) > 0, "the first runners are denied")
            await cell.restart(lambda runner: True)
            await cell.caller().until_state(JOB_ID, "completed")

    # Guards against steps that wait while calls for others hold up the service.
    async def test_are_found_for_many_steps_that_wait(self) -> None:
        advice = AdviceStandin(figures=PolicyFigures(decide_ms=10, each_ms=10))
        async with _running(24, advice) as cell:
            # One runner in eight is permitted, another one for each job.
            advice.may_run = lambda step, runner_id: (
                (int(step[:2], 16) + int(runner_id[2:]) // 2) % 8 == 0
            )
            caller = cell.caller()
            ids = [f"{number:02x}" * 8 for number in range(30)]
            for job_id in ids:
                assert await caller.submit(job_id, job(count=2, cpu=4000)) == 200
            for job_id in ids:
                await caller.until_state(job_id, "completed")
            assert advice.tickets_refused == 0


def _machine_of(cell: Cell, runner_id: str) -> str:
    """Return the machine on which a runner is now."""
    for machine in cell.world.cloud.machines.values():
        if machine.runner is not None and machine.runner.runner_id == runner_id:
            return machine.machine_id
    return ""


class TestMachinesOfSparePools:
    # Guards against a job that never starts as the permitted machines are switched off.
    @pytest.mark.parametrize("gang", [False, True])
    async def test_are_tried_if_the_pool_has_no_permitted_one(self, gang: bool) -> None:
        advice = AdviceStandin(figures=PolicyFigures(decide_ms=5, each_ms=1))
        async with _running(2, advice, spare=6) as cell:
            permitted = ["m-15"] if not gang else ["m-13", "m-15"]
            assert set(permitted) <= set(cell.world.cloud.machines)
            advice.may_run = lambda step, runner_id: (
                _machine_of(cell, runner_id) in permitted
            )
            count = len(permitted)
            await cell.caller().submit(JOB_ID, job(count=count, cpu=16000, gang=gang))
            await cell.caller().until_state(JOB_ID, "completed")
            ran_on = {run.runner_id for run in cell.world.started}
            assert len(ran_on) == count
