"""A confirmed cancel ends what runs of its job, whatever its runners answer.

The incident: on real processes a few lasting tasks went on for good, though the
cancels of their jobs had been confirmed and all trouble was over. It came about
where a stop did not take effect at its first try: the holder took any answer as
"stopped", also that of a runner that was unwell and had done nothing; and it
took a run that was to be stopped, and that its runner went on listing, as one
that was just stopping. Nothing sent the stop again, and each call that listed
the run extended it. What proved it: a runner that refuses one stop runs the
task for as long as it is held.
"""

from .support import Caller
from .support import Cell
from .support import job
from .support import running_cell
from .support import until

GONE_WITHIN_S = 6.0
"""Twice what a cancel may take until nothing of its job runs (3 s)."""


async def _run(cell: Cell) -> Caller:
    """Have a lasting task run."""
    caller = cell.caller()
    await caller.submit("a" * 16, job(run_s=60, longRunning=True))
    (runner,) = cell.world.runners
    await until(runner.running, "the task runs")
    # Only a stop ends it, however busy the machine is.
    runner.hold_for(60.0)
    return caller


async def _cancel(caller: Caller) -> None:
    assert (await caller.call("DELETE", "a" * 16))[0] == 200


async def _until_nothing_runs(cell: Cell) -> None:
    (runner,) = cell.world.runners
    await until(
        lambda: not runner.running(), "nothing runs there", within_s=GONE_WITHIN_S
    )


class TestStopWithoutEffect:
    async def test_that_the_runner_refused_is_sent_again(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.runners[0].faults.refuse_stops = 1
            await _cancel(await _run(cell))
            await _until_nothing_runs(cell)
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]

    async def test_that_the_runner_answered_is_sent_again(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.runners[0].faults.ignore_stops = 1
            await _cancel(await _run(cell))
            await _until_nothing_runs(cell)
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]


class TestStopDuringRelease:
    async def test_is_sent_by_the_holder_that_confirms_the_cancel(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            caller = await _run(cell)
            assert daemon.holder is not None
            daemon.holder.lease_validity.begin_release()
            await _cancel(caller)
            await _until_nothing_runs(cell)
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]
