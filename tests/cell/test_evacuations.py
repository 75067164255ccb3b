"""Evacuated halls, with several daemons against the stand-in platform.

Each test guards against a run that starts in an evacuated hall, or against work that is
lost or waits because of an evacuation.
"""

import asyncio
import json
import time
import typing as t

import aiohttp
import pytest

from streamthread.cli import main
from streamthread.gateway import CellDaemon
from streamthread.halls import HallState
from streamthread.standins.cell import RunnerStandin

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

HALLS = ("north", "south")

EVACUATE_MS = 5000


def _is_seen(cell: Cell, *halls: str) -> bool:
    return all(
        set(d.documents.evacuations.in_force) == set(halls) for d in cell.daemons
    )


async def _until_seen(cell: Cell, *halls: str) -> None:
    await until(lambda: _is_seen(cell, *halls), f"all daemons know of {halls}")


def _successor(cell: Cell, old: CellDaemon) -> CellDaemon | None:
    current = cell.holder()
    return current if current is not None and current is not old else None


def _runners_in(cell: Cell, hall: str) -> list[RunnerStandin]:
    return [r for r in cell.world.runners if r.alive and r.zone == hall]


class TestStarts:
    async def test_go_to_other_halls_and_return_when_the_hall_is_taken_back(
        self,
    ) -> None:
        async with running_cell({"desk": 2}, halls=HALLS) as cell:
            await cell.until_ready()
            world, caller = cell.world, cell.caller()
            await world.evacuate("north")
            await _until_seen(cell, "north")
            body = job(run_s=0.2, count=4, cpu=4000)
            assert await caller.submit("a" * 16, body) == 200
            await caller.until_state("a" * 16, "completed")
            assert not world.started_in("north")
            await world.take_back("north")
            await _until_seen(cell)
            await world.evacuate("south")
            await _until_seen(cell, "south")
            before = len(world.started_in("south"))
            assert await caller.submit("b" * 16, body) == 200
            await caller.until_state("b" * 16, "completed")
            assert len(world.started_in("south")) == before
            assert len(world.started_in("north")) == 4

    async def test_wait_while_all_halls_are_evacuated(self) -> None:
        async with running_cell({"desk": 2}, halls=HALLS) as cell:
            daemon = await cell.until_ready()
            world, caller = cell.world, cell.caller()
            for hall in (*HALLS, "a hall that nobody names"):
                await world.evacuate(hall, b"\xff not an object")
            await _until_seen(cell, *HALLS, "a hall that nobody names")
            assert await caller.submit("a" * 16, job()) == 200
            assert daemon.holder is not None
            sequence = daemon.holder.log.sequence
            holder = daemon.holder
            await until(lambda: holder.log.sequence > sequence + 2, "some commits")
            assert not world.started
            await world.take_back("north")
            await caller.until_state("a" * 16, "completed")
            assert len(world.started_in("north")) == 1

    async def test_stay_away_if_the_hall_is_evacuated_again_after_a_second(
        self,
    ) -> None:
        async with running_cell({"desk": 2}, halls=HALLS) as cell:
            await cell.until_ready()
            world, caller = cell.world, cell.caller()
            await world.evacuate("north")
            await _until_seen(cell, "north")
            await world.take_back("north")
            await world.evacuate("north")
            version = world.store.version
            await until(
                lambda: all(
                    "north" in d.documents.evacuations.in_force
                    and d.documents.evacuations.in_force["north"].version == version
                    for d in cell.daemons
                ),
                "the second evacuation is known",
            )
            assert await caller.submit("a" * 16, job(count=4)) == 200
            await caller.until_state("a" * 16, "completed")
            assert not world.started_in("north")

    async def test_respect_an_evacuation_older_than_the_daemons(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=0, halls=HALLS) as cell:
            await cell.world.evacuate("north")
            await cell.add_daemon()
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit("a" * 16, job(count=4)) == 200
            await caller.until_state("a" * 16, "completed")
            assert not cell.world.started_in("north")


class TestRunsInProgress:
    async def test_end_by_themselves(self) -> None:
        async with running_cell({"desk": 2}, halls=HALLS) as cell:
            await cell.until_ready()
            world = cell.world
            body = job(run_s=1.5, count=2, cpu=10000)
            assert await cell.caller().submit("a" * 16, body) == 200
            await until(lambda: world.running_in("north"), "a task runs in north")
            await world.evacuate("north")
            await cell.caller().until_state("a" * 16, "completed")
            assert [how for _, _, how, _ in world.ended] == ["done", "done"]
            assert len(world.started) == 2


class TestHolderChange:
    async def test_the_next_holder_sends_no_recorded_start_again(self) -> None:
        """The start is recorded and reaches nobody, the hall is evacuated, and the
        holder is lost: the next holder must not repeat that start."""
        async with running_cell({"desk": 2}, daemon_count=3, halls=HALLS) as cell:
            old = await cell.until_ready()
            world, caller = cell.world, cell.caller()
            (north,) = _runners_in(cell, "north")
            (south,) = _runners_in(cell, "south")
            await world.evacuate("south")
            await _until_seen(cell, "south")
            north.faults.refuse_orders = 503
            at = next(i for i, d in enumerate(cell.daemons) if d is not old)
            assert await caller.submit("a" * 16, job(run_s=0.3), at=at) == 200
            holder = old.holder
            assert holder is not None
            state = holder.engine.runners[north.runner_id]
            await until(lambda: state.attempts, "the start is planned")
            await holder.log.flushed()
            await world.evacuate("north")
            await world.take_back("south")
            await old.stop()
            north.faults.refuse_orders = 0
            new = await until(lambda: _successor(cell, old), "a new holder")
            assert new is not old
            await caller.until_state("a" * 16, "completed", at=at)
            assert not world.started_in("north")
            assert [run.runner_id for run in world.started] == [south.runner_id]

    async def test_the_runs_there_continue_under_the_next_holder(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=3, halls=HALLS) as cell:
            old = await cell.until_ready()
            world, caller = cell.world, cell.caller()
            at = next(i for i, d in enumerate(cell.daemons) if d is not old)
            body = job(run_s=1.5, count=2, cpu=10000)
            assert await caller.submit("a" * 16, body, at=at) == 200
            await until(lambda: len(world.started) == 2, "both tasks start")
            await world.evacuate("north")
            await old.stop()
            await until(lambda: _successor(cell, old), "a new holder")
            await caller.until_state("a" * 16, "completed", at=at)
            assert len(world.started) == 2
            assert [how for _, _, how, _ in world.ended] == ["done", "done"]

    async def test_a_new_holder_starts_nothing_before_it_has_read_the_table(
        self,
    ) -> None:
        async with running_cell(
            {"desk": 2}, daemon_count=0, halls=HALLS, evacuate_ms=60_000
        ) as cell:
            await cell.world.evacuate("north")
            cell.world.store.faults.silent_read = "op"
            daemon = await cell.add_daemon()
            holder = await until(
                lambda: daemon.holder and daemon.holder.active and daemon.holder,
                "a holder",
            )
            runners = holder.engine.runners
            await until(
                lambda: sum(r.ready for r in runners.values()) == 2, "it reaches all"
            )
            holder.engine.add(cell.make_job("a" * 16))
            sequence = holder.log.sequence
            await until(lambda: holder.log.sequence > sequence + 2, "some commits")
            assert not cell.world.started
            cell.world.store.faults.silent_read = ""
            await until(lambda: cell.world.started, "the task starts")
            assert not cell.world.started_in("north")


class TestFeed:
    async def test_a_withdrawal_is_noticed_although_the_history_is_gone(self) -> None:
        async with running_cell({"desk": 1}, halls=HALLS) as cell:
            await cell.until_ready()
            world, caller = cell.world, cell.caller()
            await world.evacuate("north")
            await _until_seen(cell, "north")
            world.store.rows.pop(("op", "", "evacuate/north"))
            world.store.faults.forget_before = world.store.version + 1000
            await _until_seen(cell)
            world.store.faults.forget_before = 0
            assert await caller.submit("a" * 16, job()) == 200
            await caller.until_state("a" * 16, "completed")
            assert len(world.started_in("north")) == 1

    async def test_nothing_starts_while_the_view_is_too_old(self) -> None:
        """The operator's feed stands still while commits work: an evacuation that is
        requested now is not seen, so no run may start beyond the bound."""
        async with running_cell(
            {"desk": 2}, halls=HALLS, evacuate_ms=EVACUATE_MS
        ) as cell:
            daemon = await cell.until_ready()
            world, caller = cell.world, cell.caller()
            world.store.faults.silent_feed = "op"
            await world.evacuate("north")
            acknowledged_at_s = time.monotonic()
            await until(lambda: not daemon.halls.are_known(), "the view is too old")
            # Starts on older views are valid for less time.
            assert time.monotonic() - acknowledged_at_s < 0.8 * EVACUATE_MS / 1000
            before = len(world.started)
            assert await caller.submit("a" * 16, job()) == 200
            holder = daemon.holder
            assert holder is not None
            sequence = holder.log.sequence
            await until(lambda: holder.log.sequence > sequence + 2, "some commits")
            assert len(world.started) == before
            world.store.faults.silent_feed = ""
            await caller.until_state("a" * 16, "completed")
            assert not world.started_in("north")

    async def test_an_older_view_starts_work_that_can_only_begin_in_time(
        self,
    ) -> None:
        """Guards against callers that wait because one call of the feed has failed,
        and against orders on an older view that are carried out late."""
        async with running_cell(
            {"desk": 2}, halls=HALLS, evacuate_ms=EVACUATE_MS
        ) as cell:
            daemon = await cell.until_ready()
            world, caller = cell.world, cell.caller()
            world.store.faults.silent_feed = "op"
            await world.evacuate("north")
            acknowledged_at_s = time.monotonic()
            await until(lambda: daemon.halls.age_s > 2.5, "the view is older")
            for runner in _runners_in(cell, "north"):
                runner.faults.late_starts, runner.faults.late_s = 100, 2.4
            body = job(run_s=0.1, count=8, cpu=4000)
            assert await caller.submit("a" * 16, body) == 200
            await until(lambda: world.started_in("south"), "a task starts")
            assert daemon.halls.are_known()
            # The last late order is due by then.
            await until(
                lambda: time.monotonic() - acknowledged_at_s > 1.5 * EVACUATE_MS / 1000,
                "all late orders are due",
            )
            assert not world.started_in("north")
            world.store.faults.silent_feed = ""
            await caller.until_state("a" * 16, "completed")
            assert not world.started_in("north")

    async def test_only_the_holder_reads_the_operators_table_more_often(self) -> None:
        """Guards against calls that are paid for and confirm what only a holder needs:
        an evacuation that is in force in time."""
        async with running_cell(
            {"desk": 1}, daemon_count=2, evacuate_ms=EVACUATE_MS
        ) as cell:
            holder = await cell.until_ready()
            other = next(d for d in cell.daemons if d is not holder)
            assert holder.documents._feed_wait_s() == 0.5
            assert other.documents._feed_wait_s() == 1.0

    async def test_starts_continue_without_a_bound(self) -> None:
        async with running_cell({"desk": 1}, halls=HALLS) as cell:
            daemon = await cell.until_ready()
            cell.world.store.faults.silent_feed = "op"
            await until(lambda: daemon.halls.age_s > 3.0, "the view is old")
            assert await cell.caller().submit("a" * 16, job()) == 200
            await cell.caller().until_state("a" * 16, "completed")

    async def test_starts_do_not_pause_while_the_store_is_slow(self) -> None:
        """Guards against a bound that stops work because of ordinary delays."""
        async with running_cell(
            {"desk": 1}, halls=HALLS, evacuate_ms=EVACUATE_MS
        ) as cell:
            daemon = await cell.until_ready()
            cell.world.store.faults.delay_s = 0.25
            until_s = time.monotonic() + 3.0
            while time.monotonic() < until_s:
                assert daemon.halls.are_known()
                await asyncio.sleep(0.02)


def _count(cell: Cell, pool: str, hall: str) -> int:
    machines = cell.world.cloud.machines.values()
    return sum(m.pool == pool and m.zone == hall for m in machines)


class TestMachines:
    async def test_are_replaced_by_those_of_other_halls_as_soon_as_it_is_seen(
        self,
    ) -> None:
        """No job is waiting: the pool must not get its machines only with the next
        jobs, and those of the hall leave for the spare pool at once."""
        async with running_cell({"desk": 4, "spare": 4}, halls=HALLS) as cell:
            await cell.until_ready()
            world = cell.world
            assert await cell.caller().submit("a" * 16, job()) == 200
            await world.evacuate("north")
            await until(
                lambda: _count(cell, "desk", "north") == 0, "north's machines left"
            )
            await until(
                lambda: _count(cell, "desk", "south") >= 2, "south's machines came"
            )
            assert _count(cell, "spare", "north") == 4

    async def test_with_long_running_tasks_stay_until_these_end(self) -> None:
        async with running_cell({"desk": 2, "spare": 2}, halls=HALLS) as cell:
            await cell.until_ready()
            world = cell.world
            body = job(run_s=60, count=2, cpu=10000, longRunning=True, may_miss=1)
            assert await cell.caller().submit("a" * 16, body) == 200
            await until(lambda: world.running_in("north"), "a task runs in north")
            await world.evacuate("north")
            await until(
                lambda: _count(cell, "desk", "south") >= 2, "south's machines came"
            )
            assert len(world.running_in("north")) == 1
            assert not world.ended

    async def test_of_an_evacuated_hall_go_into_upkeep_first(self) -> None:
        async with running_cell({"desk": 4}, halls=HALLS) as cell:
            await cell.until_ready()
            world = cell.world
            await world.evacuate("south")
            await _until_seen(cell, "south")
            await world.write_wave(1, list(world.cloud.machines), most_at_once=1)
            await until(lambda: world.wave_state(1) == "completed", "the wave ends")
            halls = [
                world.cloud.machines[duty.machine_id].zone
                for duty in world.cloud.duties
                if duty.kind == "upkeep"
            ]
            assert halls == ["south", "south", "north", "north"]
            assert world.cloud.max_down == 1


async def _get(daemon: CellDaemon, path: str) -> t.Any:
    url = f"http://{daemon.operators.address}{path}"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    return text if path == "/metrics" else json.loads(text)


class TestOperators:
    async def test_see_the_halls_at_every_daemon(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async with running_cell({"desk": 2}, daemon_count=2, halls=HALLS) as cell:
            holder = await cell.until_ready()
            world = cell.world
            body = job(run_s=20, count=2, cpu=10000)
            assert await cell.caller().submit("a" * 16, body) == 200
            await until(lambda: len(world.started) == 2, "both tasks start")
            await world.evacuate("north")
            await world.evacuate("nowhere")
            await _until_seen(cell, "north", "nowhere")
            for daemon in cell.daemons:
                rows = {row["hall"]: row for row in await _get(daemon, "/halls")}
                assert sorted(rows) == ["north", "nowhere", "south"]
                north = rows["north"]
                assert north["state"] == "evacuated" and north["since"]
                assert (north["runs"], north["machines"]) == (1, 1)
                assert north["version"] == world.store.version_of(
                    "op", "evacuate/north"
                )
                assert rows["south"]["state"] == "open" and not rows["south"]["since"]
                assert rows["nowhere"]["machines"] == 0
            metrics = await _get(holder, "/metrics")
            assert (
                'streamthread_hall_state{hall="north",state="evacuated"} 1.0' in metrics
            )
            assert 'streamthread_hall_state{hall="north",state="open"} 0.0' in metrics
            assert 'streamthread_hall_runs{hall="north"} 1.0' in metrics
            server = f"http://{holder.operators.address}"
            code = await asyncio.to_thread(main, ["--server", server, "halls"])
            assert code == 0
            assert "evacuated" in capsys.readouterr().out

    async def test_are_told_which_evacuation_a_task_waits_for(self) -> None:
        async with running_cell({"desk": 1}, halls=HALLS) as cell:
            daemon = await cell.until_ready()
            await cell.world.evacuate("north")
            await _until_seen(cell, "north")
            assert await cell.caller().submit("a" * 16, job()) == 200
            (task,) = (await _get(daemon, f"/explain/job/{'a' * 16}"))["tasks"]
            assert "hall north is evacuated" in task["why"]


class TestWarming:
    async def test_work_returns_in_steps_to_cold_runners(self) -> None:
        async with running_cell({"desk": 1}, halls=HALLS) as cell:
            daemon = await cell.until_ready()
            world = cell.world
            world.services = {"desk": {"coldStartS": 8, "coldPerS": 4}}
            await world.write_manifest(2)
            await world.evacuate("north")
            await _until_seen(cell, "north")
            body = job(run_s=0.05, count=12, cpu=100)
            assert await cell.caller().submit("a" * 16, body) == 200
            (runner,) = _runners_in(cell, "north")
            runner.cold_left_ms = 4000
            await world.write_entry(runner)
            assert daemon.holder is not None
            state = daemon.holder.engine.runners[runner.runner_id]
            await until(lambda: state.cold_until_s, "the runner is known as cold")
            await world.take_back("north")
            await until(lambda: world.started, "work returns")
            assert daemon.halls.state("north") is HallState.WARMING
            await cell.caller().until_state("a" * 16, "completed")
            times_s = [run.at_s for run in world.started]
            assert len(times_s) == 12
            assert times_s[-1] - times_s[0] > 2.0
