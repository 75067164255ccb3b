"""Only the job that crashes its workers is parked.

When a worker is lost, every job on it is reported as failed, whichever job caused the
loss. Without spreading failed jobs, the others would reach the failure limit as well.
"""

import attrs

from streamthread.jobs import decide_jobs
from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobsSnapshot
from streamthread.jobs import JobState
from streamthread.jobs import WorkerFacts
from streamthread.jobs.pool_jobs import PoolJobs
from streamthread.jobs.pool_jobs import updates_after_end
from streamthread.providers import Fence
from streamthread.providers import Task
from streamthread.providers import TaskState

WORKERS = tuple(WorkerFacts(f"w{number}", 8, 100, 0, open=True) for number in range(6))


def _job(name: str) -> Job:
    return Job(JobSpec(name, "p", "team", 2, 1, 60.0, repeat_safe=True))


class _Pool:
    """Decides about jobs, one of which crashes each worker that starts it."""

    def __init__(self, names: list[str], at_fault: str) -> None:
        self.jobs = PoolJobs(Fence("shard/0", 1))
        self.at_fault = at_fault
        self.lost_workers = 0
        for name in names:
            self.jobs.put(_job(name), 1)

    def tick(self) -> None:
        """Decide once, then fail all jobs on the worker that runs the job at fault."""
        stored = tuple(known.job for known in self.jobs.jobs.values())
        for update in decide_jobs(JobsSnapshot(stored, WORKERS)):
            self.jobs.put(update.job, 1)
        job = self.job(self.at_fault)
        if job.state is not JobState.STARTED:
            return
        self.lost_workers += 1
        lost_tasks = [
            Task(
                known.job.spec.job_id,
                known.job.attempt,
                job.worker_id,
                TaskState.FAILED,
            )
            for known in self.jobs.jobs.values()
            if known.job.state is JobState.STARTED
            and known.job.worker_id == job.worker_id
        ]
        for update in updates_after_end(self.jobs, lost_tasks):
            self.jobs.put(update.job, 1)

    def job(self, name: str) -> Job:
        return self.jobs.jobs[name].job


class TestLostWorkers:
    def test_park_only_the_job_that_caused_the_losses(self) -> None:
        pool = _Pool(["a", "b", "c", "x"], at_fault="x")
        for _ in range(10):
            pool.tick()
        assert pool.job("x").state is JobState.PARKED
        assert pool.lost_workers == 3
        assert {pool.job(name).state for name in "abc"} == {JobState.STARTED}

    def test_start_on_one_worker_where_it_is_the_only_one(self) -> None:
        jobs = tuple(
            attrs.evolve(_job(name), attempt=1, failed_on=("gone",)) for name in "abc"
        )
        updates = decide_jobs(JobsSnapshot(jobs, WORKERS[:1]))
        assert [update.job.state for update in updates] == [JobState.STARTED] * 3
