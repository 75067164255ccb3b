"""A job that no worker of its pool could run waits for one that could.

Workers may be missing from one reading of a pool while they move or restart. A job
that was accepted then was parked for good.
"""

from tools.world import World

from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.providers import Instance

POOL = "audit"
LARGE = JobSpec("large", POOL, "team", 64, 1, 1.0, repeat_safe=False)
SMALL = JobSpec("small", POOL, "team", 1, 1, 1.0, repeat_safe=False)


class TestJobLargerThanTheWorkers:
    async def test_starts_when_a_large_enough_worker_joins(self) -> None:
        world = World(1)
        await world.add_pool(POOL, ("i0",))
        jobs = world.daemons[0].jobs
        await jobs.submit(POOL, [LARGE, SMALL])
        await world.settle()
        large, small = await jobs.list_jobs(POOL)
        assert (large.state, large.attempt) == (JobState.QUEUED, 0)
        assert "large enough" in large.reason
        assert small.state is JobState.STARTED, "the other job is not held up"
        before = (await world.rows(f"job/{POOL}/"))["large"].version
        await world.settle(10)
        after = (await world.rows(f"job/{POOL}/"))["large"].version
        assert after == before, "the same reason is not written again"
        labels = {"pool": POOL}
        joining = Instance(
            "i1", "plateau", "r", cores=64, memory_bytes=100, labels=labels
        )
        world.membership.put(joining)
        await world.settle(6)
        large, _ = await jobs.list_jobs(POOL)
        assert (large.state, large.worker_id) == (JobState.STARTED, "i1")
        assert large.reason == ""
