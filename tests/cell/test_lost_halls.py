"""The hall of the holder is lost with a quarter of the members."""

import asyncio
import collections
import json
import time
import typing as t

from streamthread.gateway import CellDaemon
from streamthread.holder import Holder
from streamthread.scheduler import Attempt
from streamthread.standins.cell import RunnerStandin

from .loop_time import LoopTime
from .partition import running_halls
from .support import Cell
from .support import job
from .support import running_cell
from .support import until

TAKEOVER_WITHIN_S = 3.5
"""The loss of a heartbeat (0.7 s), the stalled commits (1.5 s), a stagger and the
replay, and what a busy test machine adds."""

RESTARTED_WITHIN_S = 0.6
"""The entry of the later runner, a commit and a start, and what a busy test machine
adds; the hold lapses after a second or more."""

LISTED_WITHIN_S = 1.2
"""The next list of machines (0.5 s), a tick of the duties (0.1 s), a commit and a
start, and what a busy test machine adds; the hold lapses after 1.7 s or more."""

PAUSE_S = 0.15
"""Between two jobs, so that at most three run at once where four runners answer."""

RUN_S = 0.4
PROMPT_S = 0.3
"""A commit, a start and the report of the end (0.03 s), and what a busy test machine
adds; an answer to a start is waited for 0.8 s."""

DAEMONS = ["a", "a", "b", "b", "c", "c", "d", "d"]


def _holder_outside(cell: Cell, hall: str) -> CellDaemon | None:
    for daemon in cell.daemons:
        if daemon.node.hall != hall and daemon.holder is not None:
            return daemon if daemon.holder.active else None
    return None


async def _until_halls_known(cell: Cell) -> CellDaemon:
    holder = await cell.until_ready()
    await until(
        lambda: all(len(d._peers_elsewhere()) == 6 for d in cell.daemons),
        "all halls known to all",
    )
    return holder


class TestLostHall:
    async def test_whose_links_are_cut_is_replaced(self) -> None:
        async with running_halls(DAEMONS, {"desk": 2}) as (cell, halls):
            old = await _until_halls_known(cell)
            halls.cut(old.node.hall)
            began_at_s = time.monotonic()
            new = await until(
                lambda: _holder_outside(cell, old.node.hall), "a new holder"
            )
            took_s = time.monotonic() - began_at_s
            assert took_s < TAKEOVER_WITHIN_S
            caller = cell.caller()
            at = cell.daemons.index(new)
            await caller.submit("a" * 16, job(), at=at)
            await caller.until_state("a" * 16, "completed", at=at)

    # Guards against a successor that is lost together with the holder's hall.
    async def test_a_planned_stop_names_a_successor_in_another_hall(self) -> None:
        async with running_halls(["a", "a", "b"], {"desk": 1}) as (cell, _):
            old = await cell.until_ready()
            await until(
                lambda: old._peers_elsewhere() and len(old.endpoint.followers) == 2,
                "all daemons follow the holder, which knows their halls",
            )
            chosen = next(
                d for d in cell.daemons if d.node.daemon_id == old._choose_successor()
            )
            assert chosen.node.hall != old.node.hall


class TestLostMachine:
    # Guards against tasks that wait until their hold has lapsed (3.2 s) although a
    # later runner of the machine proves that they have ended.
    async def test_whose_later_runner_is_listed_has_lost_its_runs(self) -> None:
        async with running_cell({"desk": 2}) as cell:
            holder = await cell.until_ready()
            caller = cell.caller()
            body = job(run_s=60, count=2, longRunning=True, antiAffinity=1)
            await caller.submit("a" * 16, body)
            await until(lambda: len(cell.world.started) == 2, "both tasks start")
            machine = next(iter(cell.world.cloud.machines.values()))
            runner = machine.runner
            assert runner is not None and holder.holder is not None
            # Its connections stay open and nothing answers, as after a power loss.
            runner.faults.silent = True
            link = holder.holder.links[runner.runner_id]
            await until(lambda: link.silent, "the holder notices")
            began_at_s = time.monotonic()
            cell.world.cloud.restart(machine, 0.0)
            await until(lambda: len(cell.world.started) == 3, "the task starts again")
            assert time.monotonic() - began_at_s < RESTARTED_WITHIN_S
            assert len(list(cell.world.running())) == 2

    # Guards against tasks that wait until their hold has lapsed although the list of
    # machines shows that nothing runs on their machine.
    async def test_that_is_listed_as_down_has_lost_its_runs(self) -> None:
        async with running_cell({"desk": 3}) as cell:
            holder = (await cell.until_ready()).holder
            caller = cell.caller()
            body = job(run_s=60, count=2, longRunning=True, antiAffinity=1)
            await caller.submit("a" * 16, body)
            await until(lambda: len(cell.world.started) == 2, "both tasks start")
            machine = next(
                machine
                for machine in cell.world.cloud.machines.values()
                if machine.runner is not None and machine.runner.running()
            )
            runner = machine.runner
            assert runner is not None and holder is not None
            attempts = holder.engine.runners[runner.runner_id].attempts
            await until(
                lambda: all(a.seen_at_s for a in attempts.values()), "it is listed"
            )
            runner.faults.silent = True
            link = holder.links[runner.runner_id]
            await until(lambda: link.silent, "the holder notices")
            # Its entry stays in the store, and no other runner of the machine appears.
            runner.kill()
            machine.state = "down"
            began_at_s = time.monotonic()
            await until(lambda: len(cell.world.started) == 3, "the task starts again")
            assert time.monotonic() - began_at_s < LISTED_WITHIN_S


class TestHallWithoutAnswers:
    # Guards against operators who learn of a lost hall from each single runner.
    async def test_is_reported_as_lost_and_as_back(self) -> None:
        async with running_halls(["a", "b"], {"desk": 6}) as (cell, _):
            holder = (await cell.until_ready()).holder
            assert holder is not None
            dark = cell.world.runners[:3]
            for runner in dark:
                entry = json.loads(runner.entry()) | {"zone": "dark"}
                row = json.dumps(entry).encode()
                await cell.world.write_bytes("servers", runner.runner_id, row)
                runner.faults.silent = True
            await until(lambda: "dark" in holder.outages.lost_since_s, "it is lost")
            assert set(holder.outages.lost_since_s) == {"dark"}
            for runner in dark:
                runner.faults.silent = False
            await until(lambda: not holder.outages.lost_since_s, "it is back")


def _attempts(holder: Holder) -> list[Attempt]:
    runners = holder.engine.runners.values()
    return [attempt for r in runners for attempt in r.attempts.values()]


async def _darken(cell: Cell, runners: t.Sequence[RunnerStandin]) -> None:
    """Let the entries of runners name the hall "dark"."""
    for runner in runners:
        entry = json.loads(runner.entry()) | {"zone": "dark"}
        row = json.dumps(entry).encode()
        await cell.world.write_bytes("servers", runner.runner_id, row)


class TestOtherHalls:
    # Guards against tasks elsewhere that wait for calls to runners of a lost hall.
    async def test_run_their_tasks_as_ever(self) -> None:
        async with running_halls(["a", "b"], {"desk": 8}) as (cell, _):
            daemon = await cell.until_ready()
            at = cell.daemons.index(daemon)
            assert daemon.holder is not None
            runners = daemon.holder.engine.runners
            dark = cell.world.runners[4:8]
            await _darken(cell, dark)
            await until(
                lambda: sum(r.zone == "dark" for r in runners.values()) == 4,
                "the hall is known",
            )
            caller = cell.caller()

            async def run_job(number: int) -> tuple[str, float]:
                await asyncio.sleep(number * PAUSE_S)
                job_id = f"{number:02d}" * 8
                async with LoopTime(stall_cost_s=0.0) as clock:
                    body = job(run_s=RUN_S, cpu=9000)
                    assert await caller.submit(job_id, body, at) == 200
                    await caller.until_state(job_id, "completed", at)
                    return job_id, clock.elapsed_s()

            for runner in dark:
                runner.faults.silent = True
            took_s = dict(await asyncio.gather(*(run_job(n) for n in range(24))))
            started = collections.Counter(s.task for s in cell.world.started)
            assert len(started) == 24 and max(started.values()) == 1
            # Starts that were sent to the lost hall wait until they are void there.
            late = [s for s in took_s.values() if s > RUN_S + PROMPT_S]
            assert len(late) <= len(dark), took_s


class TestHallThatComesBack:
    # Guards against runs that are started twice since their hall was away for a moment.
    async def test_has_its_runs_taken_over(self) -> None:
        async with running_halls(["a", "b"], {"desk": 6}) as (cell, _):
            holder = (await cell.until_ready()).holder
            assert holder is not None
            body = job(run_s=60, count=6, cpu=9000, longRunning=True)
            assert await cell.caller().submit("a" * 16, body) == 200
            await until(lambda: len(cell.world.started) == 6, "all tasks run")
            dark = cell.world.runners[:3]
            await _darken(cell, dark)
            attempts = _attempts(holder)
            await until(lambda: all(a.seen_at_s for a in attempts), "all are listed")
            for runner in dark:
                runner.faults.silent = True
            links = [holder.links[runner.runner_id] for runner in dark]
            await until(lambda: all(link.silent for link in links), "all are silent")
            watch = holder._housekeeping._outages
            assert watch is not None
            watch.check()
            assert "dark" in holder.outages.lost_since_s
            # It is back before the next calls, which the hold would not outlast.
            for runner in dark:
                runner.faults.silent = False
            kept = {run for runner in dark for run in runner.runs()}
            await until(lambda: not holder.outages.lost_since_s, "it is back")
            await until(lambda: len(_attempts(holder)) == 6, "all tasks have a run")
            await until(
                lambda: len(list(cell.world.running())) == 6, "all tasks run again"
            )
            assert kept
            assert kept <= {(a.task.name, a.run) for a in _attempts(holder)}
            started = collections.Counter(s.task for s in cell.world.started)
            assert all(started[task] == 1 for task, _ in kept)
            assert len(cell.world.started) == 6 + 3 - len(kept)
            assert len(set(cell.world.running())) == 6
