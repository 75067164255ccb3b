"""Moves and upkeep against the stand-in cloud."""

import asyncio

from aiohttp import web

from streamthread.platform.cloud import CloudClient
from streamthread.standins.cell import CellWorld
from streamthread.standins.cell.port import PLAY_DEAD_S

from .support import job
from .support import running_cell
from .support import until


def _count(world: CellWorld, pool: str) -> int:
    return sum(m.pool == pool for m in world.cloud.machines.values())


class TestCapacity:
    async def test_idle_machines_go_to_the_spare_pool(self) -> None:
        async with running_cell({"desk": 5, "spare": 1}) as cell:
            await cell.until_ready()
            assert await cell.caller().submit("a" * 16, job()) == 200
            await until(
                lambda: _count(cell.world, "spare") == 4, "three machines are moved"
            )
            assert _count(cell.world, "desk") == 2

    async def test_a_burst_adds_machines_which_leave_again(self) -> None:
        async with running_cell({"desk": 2, "spare": 4}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            for n in range(5):
                body = job(run_s=2.0, count=8, cpu=4000)
                assert await caller.submit(f"{n}" * 16, body) == 200
            await until(lambda: _count(cell.world, "desk") >= 4, "the pool grows")
            for n in range(5):
                await caller.until_state(f"{n}" * 16, "completed")
            await until(lambda: _count(cell.world, "desk") == 2, "the pool shrinks")
            assert all(how == "done" for _, _, how, _ in cell.world.ended)


class TestWave:
    async def test_all_machines_go_down_within_the_limit(self) -> None:
        async with running_cell({"desk": 4, "spare": 2}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await caller.submit(
                "a" * 16, job(run_s=60, count=3, longRunning=True, may_miss=1)
            )
            await until(lambda: len(cell.world.started) == 3, "all tasks run")
            world = cell.world
            machine_ids = list(world.cloud.machines)
            await world.write_wave(1, machine_ids, most_at_once=2)
            await until(lambda: world.wave_state(1) == "completed", "the wave ends")
            assert all(1 in m.waves for m in world.cloud.machines.values())
            assert world.cloud.max_down <= 2

    async def test_is_not_reported_as_completed_while_a_machine_is_left(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            await cell.until_ready()
            world = cell.world
            machine_ids = list(world.cloud.machines)
            await cell.caller().submit("b" * 16, job(run_s=1.5, count=2))
            await world.write_wave(3, machine_ids, most_at_once=1)
            await until(lambda: world.wave_state(3) == "running", "the wave runs")
            await until(lambda: world.wave_state(3) == "completed", "the wave ends")
            assert all(3 in m.waves for m in world.cloud.machines.values())
            assert [how for _, _, how, _ in world.ended] == ["done", "done"]


class TestUnreachableCloud:
    # Guards against placement that depends on the list of machines, and against orders
    # that are given for as long as it can't be read.
    async def test_delays_decisions_and_no_task(self) -> None:
        async with running_cell({"desk": 2, "spare": 4}) as cell:
            daemon = await cell.until_ready()
            assert isinstance(daemon.cloud, CloudClient)
            world, calls = cell.world, daemon.cloud.calls
            handler = world.cloud.port._handler

            async def stay_silent(request: web.BaseRequest) -> web.StreamResponse:
                await asyncio.sleep(PLAY_DEAD_S)
                return web.Response()

            world.cloud.port._handler = stay_silent
            lists = calls["list"]
            await until(lambda: calls["list"] > lists, "the list is requested")
            caller = cell.caller()
            for n in range(5):
                body = job(run_s=0.5, count=8, cpu=2000)
                assert await caller.submit(f"{n}" * 16, body) == 200
            for n in range(5):
                await caller.until_state(f"{n}" * 16, "completed")
            assert calls["move"] == 0
            assert world.cloud.duties == []
            world.cloud.port._handler = handler
            body = job(run_s=2.0, count=30, cpu=4000)
            assert await caller.submit("a" * 16, body) == 200
            await until(lambda: _count(world, "desk") >= 4, "the pool grows")
            await caller.until_state("a" * 16, "completed")


class TestLongRunningTasks:
    async def test_none_is_stopped_while_another_may_be_unreachable(self) -> None:
        async with running_cell({"desk": 3}, cpu=16000) as cell:
            daemon = await cell.until_ready()
            world = cell.world
            body = job(run_s=60, count=3, longRunning=True, may_miss=1, antiAffinity=1)
            await cell.caller().submit("a" * 16, body)
            await until(lambda: len(world.started) == 3, "all tasks run")
            holder = daemon.holder
            assert holder is not None
            runners = [r for r in world.runners if r.alive]
            runners[0].faults.silent = True
            state = holder.engine.runners[runners[0].runner_id]
            await until(lambda: not state.ready, "the runner is considered silent")
            machine_ids = [m.machine_id for m in world.cloud.machines.values()]
            await world.write_wave(1, machine_ids[1:], most_at_once=1)
            await until(lambda: world.wave_state(1) == "running", "the wave runs")
            await until(lambda: holder.log.sequence > 25, "some seconds pass")
            assert not any(how == "stopped" for _, _, how, _ in world.ended)
