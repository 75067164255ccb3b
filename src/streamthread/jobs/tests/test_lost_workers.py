"""A job that brings its workers down damages a bounded number of them.

When a worker is lost, every job on it is lost, whichever caused it. No job is parked
for that. Without spreading the jobs that were lost, the others would be lost with each
worker of the one at fault, and without pauses that one would take worker after worker.
"""

import collections

import attrs
import pytest

from streamthread.jobs import decide_jobs
from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobsSnapshot
from streamthread.jobs import JobState
from streamthread.jobs import WorkerFacts
from streamthread.jobs.losses import add_loss
from streamthread.jobs.losses import MAX_PAUSE_S
from streamthread.jobs.losses import MAX_REMEMBERED_WORKERS
from streamthread.jobs.losses import restart_pause_s
from streamthread.jobs.pool_jobs import PoolJobs
from streamthread.jobs.pool_jobs import updates_after_end
from streamthread.providers import Fence
from streamthread.providers import Task
from streamthread.providers import TaskState

WORKERS = tuple(WorkerFacts(f"w{number}", 8, 100, 0, open=True) for number in range(6))


def _job(name: str) -> Job:
    return Job(JobSpec(name, "p", "team", 2, 1, 60.0, repeat_safe=True))


class _Clock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


class _Pool:
    """Decides about jobs each second; one of them ends each worker that starts it.

    A lost worker accepts jobs again at once.
    """

    def __init__(self, clock: _Clock, names: list[str], at_fault: str) -> None:
        self.jobs = PoolJobs(Fence("shard/0", 1))
        self.losses: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._at_fault = at_fault
        for name in names:
            self.jobs.put(_job(name), 1)

    def run(self, run_s: int) -> None:
        """Decide once a second."""
        for _ in range(run_s):
            self.tick()
            self._clock.now_s += 1.0

    def tick(self) -> None:
        """Decide once, then lose the worker that runs the job at fault."""
        stored = tuple(known.job for known in self.jobs.jobs.values())
        snapshot = JobsSnapshot(stored, WORKERS, paused=self.jobs.paused())
        for update in decide_jobs(snapshot):
            self.jobs.replace(update.job, 1)
        job = self.job(self._at_fault)
        if job.state is JobState.STARTED:
            self._lose(job.worker_id)

    def _lose(self, worker_id: str) -> None:
        lost = [
            known.job
            for known in self.jobs.jobs.values()
            if known.job.state is JobState.STARTED and known.job.worker_id == worker_id
        ]
        tasks = [
            Task(job.spec.job_id, job.attempt, worker_id, TaskState.LOST)
            for job in lost
        ]
        self.losses.update(task.job_id for task in tasks)
        for update in updates_after_end(self.jobs, tasks):
            self.jobs.replace(update.job, 1)

    def job(self, name: str) -> Job:
        return self.jobs.jobs[name].job


@pytest.fixture
def pool(monkeypatch: pytest.MonkeyPatch) -> _Pool:
    """Return a pool in which ``x`` ends each worker that starts it."""
    clock = _Clock()
    monkeypatch.setattr("streamthread.jobs.pool_jobs.boot_s", clock)
    return _Pool(clock, ["a", "b", "c", "x"], at_fault="x")


class TestJobThatBringsItsWorkersDown:
    def test_takes_three_workers_at_most_within_ten_seconds(self, pool: _Pool) -> None:
        pool.run(10)
        assert 1 <= pool.losses["x"] <= 3

    def test_takes_five_workers_at_most_within_ten_minutes(self, pool: _Pool) -> None:
        pool.run(600)
        assert 1 <= pool.losses["x"] <= 5

    def test_takes_one_worker_in_ten_minutes_after_that(self, pool: _Pool) -> None:
        pool.run(600)
        before = pool.losses["x"]
        pool.run(6 * 600)
        assert before < pool.losses["x"] <= before + 6

    def test_is_not_parked(self, pool: _Pool) -> None:
        pool.run(3600)
        assert pool.job("x").state is JobState.QUEUED
        assert "lost with w" in pool.job("x").reason
        assert "600 s" in pool.job("x").reason


class TestJobsBesideIt:
    def test_are_lost_once_and_run_on(self, pool: _Pool) -> None:
        pool.run(3600)
        assert {pool.job(name).state for name in "abc"} == {JobState.STARTED}
        assert max(pool.losses[name] for name in "abc") <= 1

    def test_start_on_one_worker_where_it_is_the_only_one(self) -> None:
        failed = tuple(
            attrs.evolve(_job(name), attempt=1, own_failures_on=("gone",))
            for name in "ab"
        )
        lost = attrs.evolve(
            _job("c"), attempt=1, lost_attempts=1, lost_with=("gone", "w0")
        )
        updates = decide_jobs(JobsSnapshot((*failed, lost), WORKERS[:1]))
        assert [update.job.state for update in updates] == [JobState.STARTED] * 3


class TestUrgentJobThatWasLost:
    def test_preempts_elsewhere_though_that_costs_more(self) -> None:
        def running(name: str, cores: int, worker_id: str) -> Job:
            spec = attrs.evolve(_job(name).spec, cores=cores)
            return Job(spec, JobState.STARTED, 1, worker_id)

        workers = WORKERS[:2]
        spec = attrs.evolve(_job("now").spec, urgent=True, cores=4)
        lost = Job(spec, attempt=1, worker_id="w0", lost_attempts=1, lost_with=("w0",))
        filling = (
            running("a", 4, "w0"),
            running("b", 4, "w0"),
            running("c", 8, "w1"),
        )
        preempted, start = decide_jobs(JobsSnapshot((*filling, lost), workers))
        assert preempted.job.spec.job_id == "c"
        assert (start.job.spec.job_id, start.job.worker_id) == ("now", "w1")


class TestPauses:
    def test_grow_up_to_a_bound(self) -> None:
        pauses = [restart_pause_s(lost) for lost in range(8)]
        assert pauses == [0, 0, 10, 40, 160, MAX_PAUSE_S, MAX_PAUSE_S, MAX_PAUSE_S]
        assert restart_pause_s(10**6) == MAX_PAUSE_S


class TestRememberedWorkers:
    def test_are_the_latest_and_bounded(self) -> None:
        remembered: tuple[str, ...] = ()
        for number in [*range(20), 15]:
            remembered = add_loss(remembered, f"w{number}")
        assert len(remembered) == MAX_REMEMBERED_WORKERS
        assert remembered[-3:] == ("w18", "w19", "w15")
        assert remembered.count("w15") == 1
