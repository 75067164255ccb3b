"""Queues whose policy lets only some runners run their steps."""

import contextlib
import typing as t

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
async def _running(runners: int, advice: AdviceStandin) -> t.AsyncIterator[Cell]:
    """Run a daemon and a pool of runners whose starts need tickets."""
    world = CellWorld({"desk": runners}, advice=advice)
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
