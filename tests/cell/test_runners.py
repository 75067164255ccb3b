"""Runners that fall silent, come back or end."""

import time

from .support import job
from .support import running_cell
from .support import until


class TestSilentRunner:
    async def test_its_tasks_run_elsewhere_once_they_have_surely_lapsed(self) -> None:
        async with running_cell({"desk": 3}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            world = cell.world
            body = job(run_s=60, count=2, longRunning=True, antiAffinity=1)
            await cell.caller().submit("a" * 16, body)
            await until(lambda: len(world.started) == 2, "both are at work")
            dark = next(
                r for r in world.runners if r.runner_id == world.started[0].runner_id
            )
            dark.faults.silent = True
            dark_at_s = time.monotonic()
            moved = world.started[0].task
            # A start on the way to the silent runner must not delay the lapse.
            await cell.caller().submit("b" * 16, job(run_s=0.2, count=40, cpu=700))
            lapsed = await until(
                lambda: (
                    [e for e in world.ended if e[0] == moved]
                    or [s for s in world.started if s.task == moved and s.run > 1]
                ),
                "the task is started again, or its end is seen",
            )
            assert lapsed
            hold_s = daemon.settings.links.hold_s
            assert time.monotonic() - dark_at_s < hold_s + 6.0
            await until(
                lambda: (
                    not daemon.holder
                    or not daemon.holder.engine.runners[dark.runner_id].attempts
                ),
                "nothing counts as running there",
                within_s=hold_s + 6.0,
            )
