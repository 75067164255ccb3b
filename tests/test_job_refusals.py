"""A refusal that follows an unanswered start leaves what the first try began."""

import typing as t

from tools.world import World

from streamthread.errors import ConflictError
from streamthread.errors import OutcomeUnknownError
from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.providers import MemoryWorkers
from streamthread.providers import TaskStart
from streamthread.providers import TaskState

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 1.0, repeat_safe=False)


class ForgetfulWorkers(MemoryWorkers):
    """Carries the first try out without an answer and refuses all that follow."""

    def __init__(self, membership: t.Any) -> None:
        super().__init__(membership)
        self.tries = 0

    async def start(self, start: TaskStart) -> None:
        self.tries += 1
        if self.tries > 1:
            raise ConflictError("refused", remedy="place the job elsewhere")
        await super().start(start)
        raise OutcomeUnknownError("no answer", remedy="ask again")


class TestBegunAttempt:
    async def test_goes_on_to_its_end(self) -> None:
        world = World(1, workers_class=ForgetfulWorkers)
        workers = t.cast(ForgetfulWorkers, world.workers)
        await world.add_pool(POOL, ("i0",))
        jobs = world.daemons[0].jobs
        await jobs.submit(POOL, [JOB])
        await world.settle(8)
        assert workers.tries == 2, "the start was tried again and refused"
        workers.finish(JOB.job_id, 1, TaskState.DONE)
        await world.settle()
        (job,) = await jobs.list_jobs(POOL)
        assert job.state is JobState.DONE
        assert workers.starts == 1


class LateWorkers(MemoryWorkers):
    """Leaves the first try open, refuses the second, carries both out then."""

    def __init__(self, membership: t.Any) -> None:
        super().__init__(membership)
        self.tries: list[TaskStart] = []

    async def start(self, start: TaskStart) -> None:
        self.tries.append(start)
        if len(self.tries) == 1:
            raise OutcomeUnknownError("no answer", remedy="ask again")
        if len(self.tries) == 2:
            await super().start(self.tries[0])
            raise ConflictError("refused", remedy="place the job elsewhere")
        await super().start(start)


class TestNextHolder:
    async def test_takes_a_start_that_it_read_for_one_without_an_answer(self) -> None:
        world = World(2, workers_class=LateWorkers)
        workers = t.cast(LateWorkers, world.workers)
        await world.add_pool(POOL, ("i0", "i1"))
        holder = next(d for d in world.daemons if POOL in d.fleet.held.names())
        await holder.jobs.submit(POOL, [JOB])
        while not workers.tries:
            await world.work(holder)
        # The holder ends at once; the next one's start is refused.
        world.daemons.remove(holder)
        await world.settle(30)
        assert POOL in world.daemons[0].fleet.held.names()
        assert len(workers.tries) >= 2, "the next holder tried"
        assert workers.starts == 1
