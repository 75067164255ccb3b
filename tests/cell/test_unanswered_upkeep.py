"""An upkeep without an answer is asked for again; that ends no life that came since.

The platform answers 200 also where the upkeep was done before. Taken as the end of
the life that is listed by then, it makes the holder drop a runner that is well.
"""

import asyncio

import logbook
from aiohttp import web

from streamthread.standins.cell import CellWorld
from streamthread.standins.cell.port import PLAY_DEAD_S

from .support import running_cell
from .support import until


def _lose_first_answer(world: CellWorld) -> list[str]:
    """Have the first upkeep carried out without an answer; return what was asked."""
    port = world.cloud.port
    handler = port._handler
    asked: list[str] = []

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        answer = await handler(request)
        if request.path == "/-/machine-upkeep":
            asked.append(request.path)
            if len(asked) == 1:
                await asyncio.sleep(PLAY_DEAD_S)
        return answer

    port._handler = serve
    return asked


class TestUnansweredUpkeep:
    async def test_ends_no_life_that_came_after_it(self) -> None:
        with logbook.TestHandler() as lines:
            async with running_cell({"desk": 3}) as cell:
                await cell.until_ready()
                world = cell.world
                asked = _lose_first_answer(world)
                machine = next(iter(world.cloud.machines.values()))
                await world.write_wave(1, [machine.machine_id], most_at_once=1)
                await until(lambda: len(asked) == 2, "it is asked for again")
                await until(lambda: world.wave_state(1) == "completed", "it ends")
                assert machine.runner is not None
                over = [
                    record.extra["why"]
                    for record in lines.records
                    if record.message == "runner-over"
                    and record.extra["runner"] == machine.runner.runner_id
                ]
                assert over == []
