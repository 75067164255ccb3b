"""A stop of a cancelled job's attempt is settled by what runs, not by its answer.

A worker reports a change once. An attempt that was reported as running before its
job was cancelled is reported no more, so that a stop which was answered without
effect is never sent again.
"""

import typing as t

from tools.world import World

from streamthread.jobs import JobSpec
from streamthread.providers import MemoryWorkers
from streamthread.providers import TaskState

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 1.0, repeat_safe=False)


class UnwellWorkers(MemoryWorkers):
    """Answers the first stop and does nothing."""

    def __init__(self, membership: t.Any) -> None:
        super().__init__(membership)
        self.stops = 0

    async def stop(self, job_id: str, attempt: int, checkpoint: bool) -> None:
        self.stops += 1
        if self.stops > 1:
            await super().stop(job_id, attempt, checkpoint)


class TestStopWithoutEffect:
    async def test_is_sent_again(self) -> None:
        world = World(1, workers_class=UnwellWorkers)
        workers = t.cast(UnwellWorkers, world.workers)
        await world.add_pool(POOL, ("i0",))
        jobs = world.daemons[0].jobs
        await jobs.submit(POOL, [JOB])
        await world.settle()
        assert await jobs.cancel(POOL, [JOB.job_id]) == 1
        await world.settle()
        assert workers.stops, "a stop was sent"
        await world.settle()
        task = await workers.find_task(JOB.job_id, 1)
        assert task is not None
        assert task.state is TaskState.STOPPED
