"""What workers report of jobs is taken, whatever the store does just then.

Found while looking for orders and events that are taken as settled: reports are read
as changes, once. Those read while the store was down were dropped with the failed
commit, and a job whose task had ended stayed "started" for good.
"""

from tools.world import World

from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.providers import TaskState

POOLS = ("audit", "billing")


async def _world() -> World:
    """Return one daemon that holds two pools of one instance each."""
    world = World(1)
    for pool in POOLS:
        await world.add_pool(pool, (f"i-{pool}",))
    return world


class TestReportsDuringAnOutage:
    async def test_are_taken_once_the_store_is_back(self) -> None:
        world = await _world()
        daemon = world.daemons[0]
        for pool in POOLS:
            spec = JobSpec(f"job-{pool}", pool, "team", 1, 1, 1.0, repeat_safe=True)
            await daemon.jobs.submit(pool, [spec])
        await world.work(daemon)
        for pool in POOLS:
            world.workers.finish(f"job-{pool}", 1, TaskState.DONE)
        daemon.tables.down = True
        await daemon.jobs.tick()
        daemon.tables.down = False
        await world.settle()
        for pool in POOLS:
            (job,) = await daemon.jobs.list_jobs(pool)
            assert job.state is JobState.DONE
