"""A refused start says nothing of an earlier try that was not answered.

A job that may not be repeated is started again only where no try can have begun. The
first try is carried out late here, after its worker refused the second one.
"""

import typing as t

from tools.world import World

from streamthread.errors import ConflictError
from streamthread.errors import OutcomeUnknownError
from streamthread.jobs import JobSpec
from streamthread.providers import Instance
from streamthread.providers import MemoryWorkers
from streamthread.providers import TaskStart

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 1.0, repeat_safe=False)


class RefusingWorkers(MemoryWorkers):
    """Answers not at all, then with a refusal; the first try is carried out then."""

    def __init__(self, membership: t.Any) -> None:
        super().__init__(membership)
        self.tries: list[TaskStart] = []

    async def start(self, start: TaskStart) -> None:
        self.tries.append(start)
        if len(self.tries) == 1:
            raise OutcomeUnknownError("no answer", remedy="ask again")
        if len(self.tries) == 2:
            raise ConflictError("refused", remedy="place the job elsewhere")
        await super().start(self.tries[0])
        await super().start(start)


class TestUnsafeJob:
    async def test_begins_once_though_a_later_try_was_refused(self) -> None:
        world = World(1, workers_class=RefusingWorkers)
        workers = t.cast(RefusingWorkers, world.workers)
        for name in ("i0", "i1"):
            instance = Instance(
                name, "plateau", "r", cores=16, memory_bytes=100, labels={"pool": POOL}
            )
            world.membership.put(instance)
        spec = {"selector": f"pool = {POOL}", "min_available": 1}
        await world.apply({f"pool/{POOL}": spec})
        await world.settle()
        await world.daemons[0].jobs.submit(POOL, [JOB])
        await world.settle(8)
        assert len(workers.tries) >= 2, "the start was tried again and refused"
        assert workers.starts <= 1
