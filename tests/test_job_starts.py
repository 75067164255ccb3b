"""A refused start says nothing of an earlier try that was not answered.

A job that may not be repeated is started again only where no try can have begun. The
first try is carried out late here, after its worker refused the second one.
"""

import typing as t

from tools.world import RefusingWorkers
from tools.world import World

from streamthread.jobs import JobSpec

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 1.0, repeat_safe=False)


class TestUnsafeJob:
    async def test_begins_once_though_a_later_try_was_refused(self) -> None:
        world = World(1, workers_class=RefusingWorkers)
        workers = t.cast(RefusingWorkers, world.workers)
        await world.add_pool(POOL, ("i0", "i1"))
        await world.daemons[0].jobs.submit(POOL, [JOB])
        await world.settle(8)
        assert len(workers.tries) >= 2, "the start was tried again and refused"
        assert workers.starts <= 1
