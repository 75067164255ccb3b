"""What is lost with a worker says nothing of the job that ran there.

A job was parked for good once three of its workers had been lost or rebooted, and a
worker whose tasks were lost was quarantined as one that fails its jobs.
"""

import attrs
import pytest
from tools.world import Daemon
from tools.world import FakeClock
from tools.world import World

from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobState
from streamthread.providers import TaskState
from streamthread.timeline import HybridClock

POOL = "audit"
JOB = JobSpec("job-1", POOL, "team", 1, 1, 3600.0, repeat_safe=True)
LONG_PAUSE_S = 600.0
PAUSE_AFTER_THREE_S = 40.0


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> FakeClock:
    """Return the clock by which the jobs wait."""
    clock = FakeClock()
    monkeypatch.setattr("streamthread.jobs.service.boot_s", clock)
    monkeypatch.setattr("streamthread.jobs.pool_jobs.boot_s", clock)
    monkeypatch.setattr("streamthread.jobs.table.boot_s", clock)
    return clock


def _holder(world: World) -> Daemon:
    return next(d for d in world.daemons if POOL in d.fleet.held.names())


async def _job(world: World, job_id: str = JOB.job_id) -> Job:
    jobs = await _holder(world).jobs.list_jobs(POOL)
    return next(job for job in jobs if job.spec.job_id == job_id)


async def _started(world: World, clock: FakeClock) -> Job:
    """Return the job once it has started, after any pause."""
    clock.now_s += LONG_PAUSE_S
    await world.settle(6)
    job = await _job(world)
    assert job.state is JobState.STARTED, job
    return job


class TestJobWhoseWorkersAreLost:
    async def test_goes_on_to_its_end_on_another_worker(self, clock: FakeClock) -> None:
        world = World(1)
        await world.add_pool(POOL, [f"i{number}" for number in range(6)])
        await world.daemons[0].jobs.submit(POOL, [JOB])
        used = set()
        for _ in range(5):
            job = await _started(world, clock)
            used.add(job.worker_id)
            world.workers.end_tasks_on(job.worker_id)
        assert len(used) == 5, "it goes on to another worker each time"
        job = await _started(world, clock)
        world.workers.finish(JOB.job_id, job.attempt, TaskState.DONE)
        await world.settle()
        assert (await _job(world)).state is JobState.DONE

    # A job never went back to where it was lost, and waited for good in a small pool.
    async def test_returns_to_the_only_worker(self, clock: FakeClock) -> None:
        world = World(1)
        await world.add_pool(POOL, ("i0",))
        await world.daemons[0].jobs.submit(POOL, [JOB])
        for attempt in (1, 2, 3, 4):
            job = await _started(world, clock)
            assert (job.attempt, job.worker_id) == (attempt, "i0")
            world.workers.end_tasks_on("i0")

    async def test_is_parked_for_its_own_failures_on_three_workers(
        self, clock: FakeClock
    ) -> None:
        world = World(1)
        await world.add_pool(POOL, [f"i{number}" for number in range(6)])
        await world.daemons[0].jobs.submit(POOL, [JOB])
        failed_on = set()
        for state in (TaskState.FAILED, TaskState.LOST) * 2 + (TaskState.FAILED,):
            job = await _started(world, clock)
            assert job.worker_id not in failed_on
            if state is TaskState.FAILED:
                failed_on.add(job.worker_id)
            world.workers.finish(JOB.job_id, job.attempt, state)
        await world.settle()
        job = await _job(world)
        assert job.state is JobState.PARKED
        assert "failed on 3 workers" in job.reason

    async def test_is_parked_at_once_if_it_may_not_be_repeated(
        self, clock: FakeClock
    ) -> None:
        world = World(1)
        await world.add_pool(POOL, ("i0", "i1"))
        unsafe = attrs.evolve(JOB, repeat_safe=False)
        await world.daemons[0].jobs.submit(POOL, [unsafe])
        job = await _started(world, clock)
        world.workers.end_tasks_on(job.worker_id)
        await world.settle()
        job = await _job(world)
        assert (job.state, job.attempt) == (JobState.PARKED, 1)
        assert job.reason == f"lost with {job.worker_id}"
        assert world.workers.starts == 1


class TestPauses:
    """The attempts of a job whose workers are lost again and again are spaced.

    Nothing tells whether the job brings its workers down. The pauses bound how many it
    could; no pause ends a job.
    """

    # A pause that began again with each holder could go on for as long as they change.
    async def test_next_holder_waits_for_the_rest(self, clock: FakeClock) -> None:
        world = World(2)
        for daemon in world.daemons:
            daemon.recorder.clock = HybridClock(clock)
        await world.add_pool(POOL, [f"i{number}" for number in range(6)])
        await _holder(world).jobs.submit(POOL, [JOB])
        for _ in range(3):
            job = await _started(world, clock)
            world.workers.end_tasks_on(job.worker_id)
        await world.settle()
        clock.now_s += PAUSE_AFTER_THREE_S - 10
        world.daemons.remove(_holder(world))
        await world.settle(30)
        assert (await _job(world)).state is JobState.QUEUED
        assert world.workers.starts == 3
        clock.now_s += 10
        await world.settle()
        assert (await _job(world)).state is JobState.STARTED

    async def test_clock_that_was_set_back_makes_no_pause_longer(
        self, clock: FakeClock
    ) -> None:
        world = World(2)
        for daemon in world.daemons:
            daemon.recorder.clock = HybridClock(clock)
        await world.add_pool(POOL, [f"i{number}" for number in range(6)])
        holder = _holder(world)
        (other,) = (daemon for daemon in world.daemons if daemon is not holder)
        other.recorder.clock = HybridClock(lambda: clock() - 3600)
        await holder.jobs.submit(POOL, [JOB])
        for _ in range(3):
            job = await _started(world, clock)
            world.workers.end_tasks_on(job.worker_id)
        await world.settle()
        world.daemons.remove(holder)
        await world.settle(30)
        assert (await _job(world)).state is JobState.QUEUED
        clock.now_s += PAUSE_AFTER_THREE_S
        await world.settle()
        assert (await _job(world)).state is JobState.STARTED

    async def test_attempt_that_ran_for_longer_needs_none(
        self, clock: FakeClock
    ) -> None:
        world = World(1)
        await world.add_pool(POOL, [f"i{number}" for number in range(6)])
        await world.daemons[0].jobs.submit(POOL, [JOB])
        for _ in range(5):
            job = await _started(world, clock)
            clock.now_s += LONG_PAUSE_S
            world.workers.end_tasks_on(job.worker_id)
            await world.settle()
            assert (await _job(world)).state is JobState.STARTED


class TestQuarantineOfAWorker:
    async def _world_with_three_jobs_on_i0(self) -> World:
        world = World(1)
        await world.add_pool(POOL, ("i0", "i1"))
        specs = [attrs.evolve(JOB, job_id=f"job-{number}") for number in range(3)]
        await world.daemons[0].jobs.submit(POOL, specs)
        await world.settle()
        for spec in specs:
            assert (await _job(world, spec.job_id)).worker_id == "i0"
        return world

    async def _is_open(self, world: World) -> bool:
        """Return whether a job starts on i0."""
        pinned = attrs.evolve(JOB, job_id="pinned", selector="instance = i0")
        await world.daemons[0].jobs.submit(POOL, [pinned])
        await world.settle()
        return (await _job(world, "pinned")).state is JobState.STARTED

    def _fail_jobs(self, world: World) -> None:
        for number in range(3):
            world.workers.finish(f"job-{number}", 1, TaskState.FAILED)

    async def test_follows_three_jobs_that_failed(self, clock: FakeClock) -> None:
        world = await self._world_with_three_jobs_on_i0()
        self._fail_jobs(world)
        await world.settle()
        assert not await self._is_open(world)

    async def test_does_not_follow_what_was_lost(self, clock: FakeClock) -> None:
        world = await self._world_with_three_jobs_on_i0()
        world.workers.end_tasks_on("i0")
        await world.settle()
        assert await self._is_open(world)

    # Reports lag. What failed before a reboot closed the worker after it, for good.
    async def test_does_not_follow_what_failed_before_a_reboot(
        self, clock: FakeClock
    ) -> None:
        world = await self._world_with_three_jobs_on_i0()
        rebooted = attrs.evolve(world.membership.find("i0"), boot=2)
        world.membership.put(rebooted)
        other = attrs.evolve(JOB, job_id="other", selector="instance = i1")
        await world.daemons[0].jobs.submit(POOL, [other])
        await world.settle()
        self._fail_jobs(world)
        await world.settle()
        assert await self._is_open(world)
