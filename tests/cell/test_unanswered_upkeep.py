"""An upkeep request without an answer is sent again, and ends no newer incarnation.

The platform answers 200 even if the upkeep was done before. If the holder concludes
from that answer that the incarnation listed by then has exited, it drops a healthy
runner.
"""

import asyncio

import logbook
from aiohttp import web

from streamthread.standins.cell import CellWorld
from streamthread.standins.cell.port import PLAY_DEAD_S

from .support import running_cell
from .support import until


def _drop_first_answer(world: CellWorld) -> list[str]:
    """Carry out the first upkeep without answering it; return the list of requests."""
    port = world.cloud.port
    handler = port._handler
    requests: list[str] = []

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        answer = await handler(request)
        if request.path == "/-/machine-upkeep":
            requests.append(request.path)
            if len(requests) == 1:
                await asyncio.sleep(PLAY_DEAD_S)
        return answer

    port._handler = serve
    return requests


class TestUnansweredUpkeep:
    async def test_ends_no_incarnation_that_started_after_it(self) -> None:
        with logbook.TestHandler() as log_handler:
            async with running_cell({"desk": 3}) as cell:
                await cell.until_ready()
                world = cell.world
                requests = _drop_first_answer(world)
                machine = next(iter(world.cloud.machines.values()))
                await world.write_wave(1, [machine.machine_id], most_at_once=1)
                await until(lambda: len(requests) == 2, "the upkeep is requested again")
                await until(lambda: world.wave_state(1) == "completed", "the wave ends")
                assert machine.runner is not None
                exits = [
                    record.extra["why"]
                    for record in log_handler.records
                    if record.message == "runner-over"
                    and record.extra["runner"] == machine.runner.runner_id
                ]
                assert exits == []
