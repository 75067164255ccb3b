"""Guards against jobs that are shown as failed because their runners exited."""

import time

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

FINITE = "a" * 16
LONG_RUNNING = "b" * 16
EXITS = 10
EXIT_DELAY_S = 0.4


async def _exit_in_series(cell: Cell) -> None:
    """Crash the only runner several times, some time after both tasks have started."""
    for _ in range(EXITS):
        await until(lambda: len(list(cell.world.running())) == 2, "both run")
        exit_at_s = time.monotonic() + EXIT_DELAY_S
        await until(lambda at_s=exit_at_s: time.monotonic() > at_s, "the exit")
        await cell.crash_busy_runner()


class TestRunnersThatExitInSeries:
    async def test_fail_no_job(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(FINITE, job(run_s=2.5)) == 200
            body = job(run_s=600, longRunning=True)
            assert await caller.submit(LONG_RUNNING, body) == 200
            await _exit_in_series(cell)
            await caller.until_state(FINITE, "completed")
            await until(
                lambda: f"{LONG_RUNNING}.0.0.0" in cell.world.running(), "it runs"
            )
            assert await caller.state(LONG_RUNNING) == "running"
