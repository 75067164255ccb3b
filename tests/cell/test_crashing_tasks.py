"""Tasks that crash every runner that starts them.

Seen: in one pool, runners ended by the dozen, several a second, for as long as the
traffic lasted; two tasks had been started more than sixty times each. It came about by
tasks that take their runner down 10 ms after it starts them. Only an end that a runner
lists counted as a failure; where the runner itself was gone, its runs lapsed and were
placed again for good, and copies of what ran on a silent runner took down the next one
before the first was given up. Proved by these tests, which failed before: in 20 s one
task was started again and again and its job never ended.
"""

import json
import typing as t

from .support import Cell
from .support import running_cell

CRASHING = "c" * 16
MOST_CRASHES = 3
"""After so many runners a task is to be given up, whatever else goes wrong; two are the
least that tell a task apart from those that ran beside it."""


def _crashing(count: int = 1, crash: t.Sequence[int] = (0,), **step: t.Any) -> bytes:
    """Return a job of one step of which some tasks crash their runners."""
    spec = json.dumps({"run_s": 0.3, "crash": list(crash)})
    steps = [{"count": count, "cpu": 100, "memMb": 10, "estimateMs": 100, **step}]
    return json.dumps({"spec": spec, "steps": steps}).encode()


def _starts(cell: Cell, job_id: str) -> int:
    return sum(run.task.startswith(job_id) for run in cell.world.started)


class TestTaskThatCrashesRunners:
    async def test_is_given_up_after_a_few_of_them(self) -> None:
        async with running_cell({"desk": 4}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(CRASHING, _crashing()) == 200
            await caller.until_state(CRASHING, "failed")
            assert 2 <= len(cell.world.crashes) <= MOST_CRASHES
            assert _starts(cell, CRASHING) == len(cell.world.crashes)

    async def test_is_not_copied_to_one_runner_after_the_other(self) -> None:
        async with running_cell({"desk": 6}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            body = _crashing(speculative=True)
            assert await caller.submit(CRASHING, body) == 200
            await caller.until_state(CRASHING, "failed")
            assert len(cell.world.crashes) <= MOST_CRASHES
