"""Tasks that crash every runner that starts them.

Guards against a crash loop: runners of one pool crashed by the dozen, several a second,
for as long as the traffic lasted, and two tasks were started more than sixty times
each. The tasks crashed their runner 10 ms after their start. Only an end that a runner
listed counted as a failure. If the runner itself was gone, its runs expired and were
placed again without limit, and speculative copies of the runs of a silent runner
crashed the next runner before the first one was given up. Without the fix, a task
was started again and again for 20 s.

Such a task is held back. Its job does not fail, since no run has failed.
"""

import json
import time
import typing as t

from .support import Cell
from .support import job
from .support import running_cell
from .support import until
from .support import until_held_back

CRASHING = "c" * 16
EXIT_DELAY_S = 0.25
"""A runner that exits by itself this long after a start does so 25 times later than a
runner that the start crashes, but within the time in which its exit is attributed to
the start."""

MAX_CRASHES = 3
"""A task must be held back after this many runners, whatever else fails. At least two
are needed to distinguish a task from those that ran beside it."""


def _crashing(count: int = 1, crash: t.Sequence[int] = (0,), **step: t.Any) -> bytes:
    """Return a job of one step of which some tasks crash their runners."""
    spec = json.dumps({"run_s": 0.3, "crash": [str(n) for n in crash]})
    steps = [{"count": count, "cpu": 100, "memMb": 10, "estimateMs": 100, **step}]
    return json.dumps({"spec": spec, "steps": steps}).encode()


def _starts(cell: Cell, job_id: str) -> int:
    return sum(run.task.startswith(job_id) for run in cell.world.started)


def _done(cell: Cell) -> set[str]:
    return {task for task, _, how, _ in cell.world.ended if how == "done"}


class TestTaskThatCrashesRunners:
    async def test_is_held_back_after_a_few_crashes(self) -> None:
        async with running_cell({"desk": 4}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(CRASHING, _crashing()) == 200
            await until_held_back(cell, CRASHING)
            assert 2 <= len(cell.world.crashes) <= MAX_CRASHES
            assert _starts(cell, CRASHING) == len(cell.world.crashes)

    async def test_gets_no_speculative_copy_on_one_runner_after_the_other(
        self,
    ) -> None:
        async with running_cell({"desk": 6}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            body = _crashing(speculative=True)
            assert await caller.submit(CRASHING, body) == 200
            await until_held_back(cell, CRASHING)
            assert len(cell.world.crashes) <= MAX_CRASHES

    async def test_that_is_long_running_is_held_back(self) -> None:
        async with running_cell({"desk": 4}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            body = _crashing(longRunning=True)
            assert await caller.submit(CRASHING, body) == 200
            await until_held_back(cell, CRASHING)
            assert len(cell.world.crashes) <= MAX_CRASHES

    async def test_in_a_gang_is_held_back_with_the_gang(self) -> None:
        async with running_cell({"desk": 4}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            body = _crashing(3, crash=[1], gang=True)
            assert await caller.submit(CRASHING, body) == 200
            await until_held_back(cell, CRASHING)
            assert len(cell.world.crashes) <= MAX_CRASHES

    async def test_keeps_its_count_of_crashes_under_the_next_holder(self) -> None:
        async with running_cell({"desk": 5}, daemon_count=3) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(CRASHING, _crashing(), at=1) == 200
            for number in range(1, 3):
                await cell.until_crashes(number)
                holder = cell.holder()
                if holder is not None and holder.holder is not None:
                    holder.holder.give_up("the test replaces the holder")
            await until_held_back(cell, CRASHING, at=1)
            # A holder that ends here has not yet attributed the latest crash. The next
            # holder doesn't know when the run started, and holds the task back one
            # start later.
            assert len(cell.world.crashes) <= MAX_CRASHES + 2


class TestSoundTaskOfTheSameJob:
    async def test_completes(self) -> None:
        """Guards against holding tasks back for exits that a sibling causes."""
        async with running_cell({"desk": 4}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(CRASHING, _crashing(3, crash=[1])) == 200
            await until_held_back(cell, CRASHING)
            sound = {f"{CRASHING}.0.0.0", f"{CRASHING}.0.0.2"}
            await until(lambda: sound <= _done(cell), "the sound tasks are done")
            assert len(cell.world.crashes) <= MAX_CRASHES


class TestUnrelatedTask:
    async def test_completes_however_often_a_crash_ended_it(self) -> None:
        """Only the task at fault is held back; others lose at most two runs each."""
        async with running_cell({"desk": 3}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            unrelated = [f"{number:016x}" for number in range(1, 9)]
            for job_id in unrelated:
                assert await caller.submit(job_id, job(run_s=0.5, count=3)) == 200
            assert await caller.submit(CRASHING, _crashing()) == 200
            for job_id in unrelated:
                await caller.until_state(job_id, "completed")
            await until_held_back(cell, CRASHING)
            assert len(cell.world.crashes) <= MAX_CRASHES

    async def test_completes_beside_several_tasks_at_fault(self) -> None:
        async with running_cell({"desk": 6}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            unrelated = [f"{number:016x}" for number in range(1, 7)]
            at_fault = [f"{number:016x}" for number in range(0xC1, 0xC4)]
            for job_id, crashing in zip(unrelated, at_fault * 2, strict=True):
                assert await caller.submit(job_id, job(run_s=0.4, count=4)) == 200
                assert await caller.submit(crashing, _crashing(2)) == 200
            for job_id in unrelated:
                await caller.until_state(job_id, "completed")
            for job_id in at_fault:
                await until_held_back(cell, job_id)
            assert len(cell.world.crashes) <= MAX_CRASHES * len(at_fault)

    async def test_completes_though_runners_crash_by_themselves(self) -> None:
        async with running_cell({"desk": 3}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            job_ids = [f"{number:016x}" for number in range(1, 9)]
            for job_id in job_ids:
                body = job(run_s=2.5, count=3, checkpointing=True)
                assert await caller.submit(job_id, body) == 200
            for _ in range(2):
                await until(lambda: any(cell.world.running()), "something runs")
                await cell.crash_busy_runner()
            for job_id in job_ids:
                await caller.until_state(job_id, "completed")

    async def test_completes_though_runners_exit_soon_after_each_start(self) -> None:
        """Guards against jobs that fail because several runners in a row exit."""
        async with running_cell({"desk": 3}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            job_id = "e" * 16
            assert await caller.submit(job_id, job(run_s=0.6)) == 200
            for number in range(1, 6):
                await until(lambda n=number: _starts(cell, job_id) == n, "a start")
                ends_at_s = cell.world.started[-1].at_s + EXIT_DELAY_S
                await until(
                    lambda at_s=ends_at_s: time.monotonic() > at_s,
                    "the time of the exit",
                )
                await cell.crash_busy_runner()
            await caller.until_state(job_id, "completed")
