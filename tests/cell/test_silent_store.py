"""How callers that submit jobs are answered, and when, if the store stops answering.

The store refuses no call, so a holder notices it only by missing answers. A submission
that waits for the commit after the one that hangs has not been written anywhere.
"""

import asyncio

from .support import job
from .support import POLL_INTERVAL_S
from .support import running_cell
from .support import until

JOB_ID = "00000000000000aa"


class TestSubmissions:
    async def test_are_refused_if_they_were_certainly_not_sent(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None
            at = cell.daemons.index(daemon)
            caller = cell.caller()
            cell.world.store.faults.silent = True
            await until(lambda: holder.log.tried_for_s() > 0.02, "a commit hangs")
            status, _, headers = await caller.call("POST", JOB_ID, job(), at=at)
            assert status == 429
            assert int(headers["Retry-After"]) >= 1
            assert JOB_ID not in holder.engine.jobs
            cell.world.store.faults.silent = False
            while (status := await caller.submit(JOB_ID, job())) != 200:
                assert status == 429
                await asyncio.sleep(POLL_INTERVAL_S)
            await caller.until_state(JOB_ID, "completed")
            assert [run.run for run in cell.world.started] == [1]

    async def test_that_may_have_been_written_are_not_refused(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None
            caller = cell.caller()
            cell.world.store.faults.silent = True
            await until(lambda: not holder.log.tried_for_s(), "no commit in flight")
            status, _, _ = await caller.call("POST", JOB_ID, job())
            assert status == 504
            assert JOB_ID in holder.engine.jobs
