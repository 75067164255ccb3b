"""A confirmed cancel ends all runs of its job, whatever their runners answer.

Guards against long-running tasks that went on for good after the cancels of their jobs
had been confirmed and all faults were over. This happened if a stop had no effect at
the first attempt. The holder considered the run stopped after any answer, even that of
an unhealthy runner that had done nothing. If the runner still listed the run, the
holder assumed that the stop was in progress. It did not send the stop again, and each
hold call that listed the run extended it. A runner that refused one stop ran the task
for as long as it was held.
"""

from .support import Caller
from .support import Cell
from .support import job
from .support import running_cell
from .support import until

CANCEL_TIMEOUT_S = 6.0
"""Twice the time within which a cancel must end all runs of its job (3 s)."""


async def _start_task(cell: Cell) -> Caller:
    """Start a long-running task, and wait until it runs."""
    caller = cell.caller()
    await caller.submit("a" * 16, job(run_s=60, longRunning=True))
    (runner,) = cell.world.runners
    await until(runner.running, "the task runs")
    # The run cannot expire on a busy machine, so only a stop ends it.
    runner.hold_for(60.0)
    return caller


async def _cancel(caller: Caller) -> None:
    assert (await caller.call("DELETE", "a" * 16))[0] == 200


async def _wait_until_idle(cell: Cell) -> None:
    (runner,) = cell.world.runners
    await until(
        lambda: not runner.running(), "no run is left", within_s=CANCEL_TIMEOUT_S
    )


class TestStopWithoutEffect:
    async def test_is_sent_again_if_the_runner_refused_it(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.runners[0].faults.refuse_stops = 1
            await _cancel(await _start_task(cell))
            await _wait_until_idle(cell)
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]

    async def test_is_sent_again_if_the_runner_only_answered_it(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.runners[0].faults.ignore_stops = 1
            await _cancel(await _start_task(cell))
            await _wait_until_idle(cell)
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]


class TestStopDuringRelease:
    async def test_is_sent_by_the_holder_that_confirms_the_cancel(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            caller = await _start_task(cell)
            assert daemon.holder is not None
            daemon.holder.lease_validity.begin_release()
            await _cancel(caller)
            await _wait_until_idle(cell)
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]
