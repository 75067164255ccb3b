"""Runners that restart under the ids that they had.

Guards against long-running tasks that ran nowhere while their holder lived, although
there was free capacity. A runner crashed and was back 0.5 s later under its id, and the
holder took both incarnations for one. The runner's clock decides whether a listing is
newer than the confirmation of a run. The new clock started behind the time at which the
former incarnation had confirmed the run, so the absence of the run from the listings
proved nothing. The runs were placed again at once if the new clock was ahead of the old
one, and never if it was behind.
"""

import json

from .support import Cell
from .support import job
from .support import running_cell
from .support import until
from .support import until_held_back

LONG_RUNNING = "a" * 16
FIRST = "b" * 16
SECOND = "c" * 16
CRASHING = "d" * 16

RESTART_WITHIN_S = 6.0
"""A long-running task must run again within this time after its run has ended."""

MAX_CRASHES = 3
"""A task must be given up after it has crashed this many runners."""


def _starts(cell: Cell, job_id: str) -> int:
    return sum(run.task.startswith(job_id) for run in cell.world.started)


class TestRunsOfTheFormerIncarnation:
    async def test_that_are_long_running_are_started_again(self) -> None:
        async with running_cell({"desk": 2}, keeps_ids=True) as cell:
            await cell.until_ready()
            body = job(3600.0, 2, longRunning=True, antiAffinity=1)
            assert await cell.caller().submit(LONG_RUNNING, body) == 200
            await until(lambda: len(list(cell.world.running())) == 2, "both run")
            await cell.crash_busy_runner()
            await until(
                lambda: len(list(cell.world.running())) == 2,
                "both run again",
                RESTART_WITHIN_S,
            )


class TestEndsOfTheNextIncarnation:
    async def test_are_reported_though_their_numbers_start_anew(self) -> None:
        async with running_cell({"desk": 1}, keeps_ids=True) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(FIRST, job(0.05, 20)) == 200
            await caller.until_state(FIRST, "completed")
            await cell.restart(lambda runner: True)
            await cell.until_ready()
            assert await caller.submit(SECOND, job(0.05)) == 200
            await caller.until_state(SECOND, "completed")
            assert _starts(cell, SECOND) == 1


class TestTaskThatCrashesRunners:
    async def test_is_held_back_though_they_restart_under_their_ids(self) -> None:
        async with running_cell({"desk": 4}, keeps_ids=True) as cell:
            await cell.until_ready()
            caller = cell.caller()
            spec = json.dumps({"run_s": 0.3, "crash": ["0"]})
            steps = [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 100}]
            body = json.dumps({"spec": spec, "steps": steps}).encode()
            assert await caller.submit(CRASHING, body) == 200
            await until_held_back(cell, CRASHING)
            assert len(cell.world.crashes) <= MAX_CRASHES
