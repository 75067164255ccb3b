"""A refusal that follows an unanswered start leaves what the first try began."""

import typing as t

from tools.world import World

from streamthread.errors import ConflictError
from streamthread.errors import OutcomeUnknownError
from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.providers import Instance
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
        instance = Instance(
            "i0", "plateau", "r", cores=16, memory_bytes=100, labels={"pool": POOL}
        )
        world.membership.put(instance)
        spec = {"selector": f"pool = {POOL}", "min_available": 1}
        await world.apply({f"pool/{POOL}": spec})
        await world.settle()
        jobs = world.daemons[0].jobs
        await jobs.submit(POOL, [JOB])
        await world.settle(8)
        assert workers.tries == 2, "the start was tried again and refused"
        workers.finish(JOB.job_id, 1, TaskState.DONE)
        await world.settle()
        (job,) = await jobs.list_jobs(POOL)
        assert job.state is JobState.DONE
        assert workers.starts == 1
