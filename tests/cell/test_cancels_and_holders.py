"""The next holder sends a stop again that a runner refused."""

from .support import job
from .support import running_cell
from .support import until

JOB_ID = "a" * 16
MANY_STOPS = 1_000_000


class TestRefusedStop:
    async def test_is_sent_again_by_the_next_holder(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            caller = cell.caller()
            at = 1 - cell.daemons.index(old)
            body = job(run_s=60, longRunning=True)
            assert await caller.submit(JOB_ID, body, at) == 200
            (runner,) = cell.world.runners
            await until(runner.running, "the task runs")
            runner.hold_for(60.0)
            runner.faults.refuse_stops = MANY_STOPS
            assert (await caller.call("DELETE", JOB_ID, at=at))[0] == 200
            await old.stop()
            refused = runner.faults.refuse_stops
            await until(
                lambda: (
                    cell.holder() not in (None, old)
                    and runner.faults.refuse_stops < refused
                ),
                "the next holder's stop is refused",
            )
            runner.faults.refuse_stops = 0
            await until(lambda: not runner.running(), "no run is left")
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]
