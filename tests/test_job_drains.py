"""A holder that has not read a pool's jobs takes none of its workers for idle.

A draining worker is rebooted once nothing runs there. A new holder looked at the jobs
in its memory, which had none yet, and rebooted the worker under a job that may not be
repeated: the job was parked for good.
"""

from tools.world import World

from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.providers import TaskState

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 5.0, repeat_safe=False)


class TestDrainingWorker:
    async def test_is_not_rebooted_by_the_next_holder_while_a_job_runs(self) -> None:
        world = World(2)
        await world.add_pool(POOL, ("i0", "i1"))
        holder = next(d for d in world.daemons if POOL in d.fleet.held.names())
        await holder.jobs.submit(POOL, [JOB])
        await world.settle()
        (job,) = await holder.jobs.list_jobs(POOL)
        assert job.state is JobState.STARTED
        wave = {"selector": f"instance = {job.worker_id}"}
        await world.apply({"wave/w": wave})
        await world.settle()
        (row,) = (await world.rows("pool/")).values()
        assert row.value["members"][job.worker_id]["state"] == "draining"
        # The holder ends at once.
        world.daemons.remove(holder)
        await world.settle(30)
        (next_holder,) = world.daemons
        assert POOL in next_holder.fleet.held.names()
        task = await world.workers.find_task(JOB.job_id, 1)
        assert task is not None and task.state is TaskState.RUNNING
        world.workers.finish(JOB.job_id, 1, TaskState.DONE)
        await world.settle(6)
        (job,) = await next_holder.jobs.list_jobs(POOL)
        assert job.state is JobState.DONE
        assert world.membership.find(job.worker_id).boot == 2, "it is rebooted then"
