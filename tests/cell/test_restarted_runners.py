"""Runners that start again under the ids that they had.

Seen: lasting tasks ran nowhere for as long as their holder lived, with room for them.
It came about by a runner that crashed and was back 0.5 s later under its id. The
holder took both lives for one: a list counts as newer than a run by the runner's clock,
which had begun anew, behind the time at which the former life had confirmed the run, so
that its absence from the lists said nothing. Proved by the log of the recorded day:
the runs of a restarted runner were placed again at once where its new clock was ahead
of the old one, never where it was behind; and by these tests, which failed before.
"""

import json

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

LASTING = "a" * 16
FIRST = "b" * 16
SECOND = "c" * 16
CRASHING = "d" * 16

SOON_S = 6.0
"""A lasting task is to run again so soon after its run has ended."""

MOST_CRASHES = 3
"""After so many runners a task is to be given up."""


def _starts(cell: Cell, job_id: str) -> int:
    return sum(run.task.startswith(job_id) for run in cell.world.started)


class TestRunsOfTheFormerLife:
    async def test_that_last_are_started_again(self) -> None:
        async with running_cell({"desk": 2}, keeps_ids=True) as cell:
            await cell.until_ready()
            body = job(3600.0, 2, longRunning=True, antiAffinity=1)
            assert await cell.caller().submit(LASTING, body) == 200
            await until(lambda: len(list(cell.world.running())) == 2, "both run")
            await cell.crash_busy_runner()
            await until(
                lambda: len(list(cell.world.running())) == 2, "both run again", SOON_S
            )


class TestEndsOfTheNextLife:
    async def test_are_told_though_their_numbers_begin_anew(self) -> None:
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
    async def test_is_given_up_though_they_come_back_under_their_ids(self) -> None:
        async with running_cell({"desk": 4}, keeps_ids=True) as cell:
            await cell.until_ready()
            caller = cell.caller()
            spec = json.dumps({"run_s": 0.3, "crash": ["0"]})
            steps = [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 100}]
            body = json.dumps({"spec": spec, "steps": steps}).encode()
            assert await caller.submit(CRASHING, body) == 200
            await caller.until_state(CRASHING, "failed")
            assert len(cell.world.crashes) <= MOST_CRASHES
