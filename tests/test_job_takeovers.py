"""An older attempt that runs is stopped by the next holder of its pool, too.

Reports come once. A daemon that follows them without holding the pool drops them, and
asks only for those of the newest attempts when it takes the pool over.
"""

import typing as t

from tools.world import RefusingWorkers
from tools.world import World

from streamthread.jobs import JobSpec
from streamthread.providers import TaskState

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 1.0, repeat_safe=True)


class TestOlderAttempt:
    async def test_is_stopped_by_the_next_holder(self) -> None:
        world = World(2, workers_class=RefusingWorkers)
        workers = t.cast(RefusingWorkers, world.workers)
        await world.add_pool(POOL, ("i0", "i1"))
        holder = next(d for d in world.daemons if POOL in d.fleet.held.names())
        await holder.jobs.submit(POOL, [JOB])
        while len(workers.tries) < 3:
            await world.work(holder)
        # The holder ends at once; the other one has followed the reports.
        world.daemons.remove(holder)
        await world.work(world.daemons[0])
        await world.settle(30)
        assert POOL in world.daemons[0].fleet.held.names()
        first = await workers.find_task(JOB.job_id, 1)
        assert first is not None and first.state is TaskState.STOPPED
