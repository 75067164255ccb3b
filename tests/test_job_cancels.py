"""A cancelled job's attempt that begins late is stopped, too.

Seen on runners of a cell first: a stop was taken as settled by its answer, and what
went on was never compared with what was wanted. Here the same: a start whose answer
was lost was carried out after its job was cancelled and its stop was answered; the
worker's report that it runs was dropped, since the job had ended.
"""

import typing as t

from tools.world import World

from streamthread.errors import OutcomeUnknownError
from streamthread.jobs import JobSpec
from streamthread.providers import MemoryWorkers
from streamthread.providers import TaskStart
from streamthread.providers import TaskState

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 1.0, repeat_safe=False)


class LateWorkers(MemoryWorkers):
    """Leaves the first start without an answer and carries it out when told to."""

    def __init__(self, membership: t.Any) -> None:
        super().__init__(membership)
        self.late: list[TaskStart] = []

    async def start(self, start: TaskStart) -> None:
        if not self.late:
            self.late.append(start)
            raise OutcomeUnknownError("no answer", remedy="ask again")
        await super().start(start)

    async def carry_out_late(self) -> None:
        await super().start(self.late[0])


async def _world() -> World:
    """Return one daemon that holds a pool of two instances."""
    world = World(1, workers_class=LateWorkers)
    await world.add_pool(POOL, ("i0", "i1"))
    return world


class TestCancelledJob:
    async def test_whose_start_is_carried_out_late_is_stopped(self) -> None:
        world = await _world()
        workers = t.cast(LateWorkers, world.workers)
        jobs = world.daemons[0].jobs
        await jobs.submit(POOL, [JOB])
        await world.work(world.daemons[0])
        assert workers.late, "a start was sent"
        assert await jobs.cancel(POOL, [JOB.job_id]) == 1
        await world.settle()
        await workers.carry_out_late()
        await world.settle()
        task = await workers.find_task(JOB.job_id, workers.late[0].attempt)
        assert task is not None
        assert task.state is TaskState.STOPPED
