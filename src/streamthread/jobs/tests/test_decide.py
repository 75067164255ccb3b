"""Placement within capacity and quota, preemption, parking and quarantine."""

import attrs
import hypothesis
import hypothesis.strategies as st

from streamthread.jobs import decide_jobs
from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobsSnapshot
from streamthread.jobs import JobState
from streamthread.jobs import Quarantine
from streamthread.jobs import WorkerFacts


def _spec(name: str, cores: int = 4, **fields: object) -> JobSpec:
    values = {"repeat_safe": True, "run_s": 600.0, **fields}
    return JobSpec(name, "p", "team", cores, 1, **values)  # type: ignore[arg-type]


def _worker(name: str, cores: int = 8, **fields: object) -> WorkerFacts:
    values = {"open": True, **fields}
    return WorkerFacts(name, cores, 100, 0, **values)  # type: ignore[arg-type]


def _started(spec: JobSpec, worker: str) -> Job:
    return Job(spec, JobState.STARTED, 1, worker)


jobs = st.lists(
    st.builds(
        Job,
        spec=st.builds(
            _spec,
            name=st.uuids().map(str),
            cores=st.integers(1, 10),
            urgent=st.booleans(),
            repeat_safe=st.booleans(),
        ),
        state=st.sampled_from([JobState.QUEUED, JobState.STARTED]),
        attempt=st.just(1),
        worker_id=st.sampled_from(["w0", "w1", "w2"]),
    ),
    max_size=12,
)


class TestPlacement:
    @hypothesis.given(jobs, st.integers(0, 40))
    def test_new_starts_fit_and_keep_the_quota(
        self, given: list[Job], quota: int
    ) -> None:
        workers = tuple(_worker(f"w{number}") for number in range(3))
        snapshot = JobsSnapshot(tuple(given), workers, {"team": quota})
        after = {job.spec.job_id: job for job in given}
        starts = []
        for update in decide_jobs(snapshot):
            after[update.job.spec.job_id] = update.job
            if update.job.state is JobState.STARTED:
                starts.append(update.job)
        running = [job for job in after.values() if job.state is JobState.STARTED]
        for worker in {job.worker_id for job in starts}:
            used = sum(job.spec.cores for job in running if job.worker_id == worker)
            assert used <= 8
        if starts:
            assert sum(job.spec.cores for job in running) <= quota

    @hypothesis.given(jobs)
    def test_job_that_is_not_repeat_safe_is_never_preempted(
        self, given: list[Job]
    ) -> None:
        workers = tuple(_worker(f"w{number}") for number in range(3))
        for update in decide_jobs(JobsSnapshot(tuple(given), workers)):
            before = next(job for job in given if job.spec == update.job.spec)
            if before.state is JobState.STARTED:
                assert before.spec.repeat_safe
                assert not before.spec.urgent

    def test_tightest_worker_wins(self) -> None:
        workers = (_worker("large", 16), _worker("small", 4))
        (update,) = decide_jobs(JobsSnapshot((Job(_spec("j")),), workers))
        assert update.job.worker_id == "small"

    def test_urgent_job_preempts_the_cheapest(self) -> None:
        workers = (_worker("w0"), _worker("w1"))
        running = (
            _started(_spec("big", 8), "w0"),
            _started(_spec("a", 4), "w1"),
            _started(_spec("b", 4), "w1"),
        )
        urgent = Job(_spec("now", 4, urgent=True))
        preempted, start = decide_jobs(JobsSnapshot((*running, urgent), workers))
        assert (preempted.job.spec.job_id, preempted.job.state) == (
            "a",
            JobState.QUEUED,
        )
        assert (start.job.spec.job_id, start.job.worker_id) == ("now", "w1")

    def test_long_jobs_are_checkpointed_on_a_draining_worker(self) -> None:
        leaving = _worker("w0", open=False, leaving=True)
        running = (
            _started(_spec("long"), "w0"),
            _started(_spec("short", run_s=5.0), "w0"),
        )
        (update,) = decide_jobs(JobsSnapshot(running, (leaving,)))
        assert (update.job.spec.job_id, update.job.state) == ("long", JobState.QUEUED)


class TestJobThatFitsNoWorker:
    # A job was parked for good because one snapshot had no worker that is large enough.
    def test_stays_queued_with_the_reason(self) -> None:
        job = Job(_spec("j", 99))
        (update,) = decide_jobs(JobsSnapshot((job,), (_worker("w0"),)))
        assert update.job.state is JobState.QUEUED
        assert "large enough" in update.job.reason

    def test_is_not_written_again_while_the_reason_stays(self) -> None:
        job = Job(_spec("j", 99))
        (update,) = decide_jobs(JobsSnapshot((job,), (_worker("w0"),)))
        for workers in ((_worker("w0"),), (_worker("w0"), _worker("w1")), ()):
            assert decide_jobs(JobsSnapshot((update.job,), workers)) == []

    # Workers move between pools and restart: a snapshot may lack the one that fits.
    def test_starts_once_a_worker_fits(self) -> None:
        job = Job(_spec("j", 16, selector="zone = a"))
        small = _worker("w0")
        other_zone = _worker("w1", 16, labels={"zone": "b"})
        (update,) = decide_jobs(JobsSnapshot((job,), (small, other_zone)))
        fitting = _worker("w2", 16, labels={"zone": "a"})
        (start,) = decide_jobs(JobsSnapshot((update.job,), (small, fitting)))
        assert (start.job.state, start.job.worker_id) == (JobState.STARTED, "w2")
        assert start.job.reason == ""

    def test_loses_the_reason_once_a_worker_fits_that_has_no_room(self) -> None:
        job = Job(_spec("j", 16))
        (update,) = decide_jobs(JobsSnapshot((job,), (_worker("w0"),)))
        busy = (_worker("w0"), _worker("w1", 16, open=False))
        (cleared,) = decide_jobs(JobsSnapshot((update.job,), busy))
        assert (cleared.job.state, cleared.job.reason) == (JobState.QUEUED, "")
        assert decide_jobs(JobsSnapshot((cleared.job,), busy)) == []

    def test_keeps_another_reason_while_it_waits_for_room(self) -> None:
        job = attrs.evolve(Job(_spec("j")), reason="checkpointed: w0 leaves")
        closed = (_worker("w0", open=False),)
        assert decide_jobs(JobsSnapshot((job,), closed)) == []

    # Reasons are committed in batches: those of many jobs must not delay a start.
    def test_holds_up_no_other_job(self) -> None:
        unfit = [Job(_spec(f"huge-{n}", 99, urgent=True)) for n in range(200)]
        running = _started(_spec("running", 4), "w0")
        waiting = Job(_spec("j", 4))
        snapshot = JobsSnapshot((*unfit, running, waiting), (_worker("w0"),))
        start, *reasons = decide_jobs(snapshot)
        assert (start.job.spec.job_id, start.job.state) == ("j", JobState.STARTED)
        assert [update.job.spec.job_id for update in reasons] == [
            job.spec.job_id for job in unfit
        ]


class TestParking:
    def test_job_that_failed_on_three_workers_is_parked(self) -> None:
        job = attrs.evolve(Job(_spec("j")), own_failures_on=("a", "b", "c"))
        (update,) = decide_jobs(JobsSnapshot((job,), (_worker("w0"),)))
        assert update.job.state is JobState.PARKED

    def test_job_waits_while_the_pool_is_empty(self) -> None:
        assert decide_jobs(JobsSnapshot((Job(_spec("j")),), ())) == []


class TestQuarantine:
    def test_takes_the_worst_up_to_a_fifth_and_never_all(self) -> None:
        quarantine = Quarantine()
        workers = [f"w{number}" for number in range(10)]
        for worker in workers:
            for number in range(3 + (worker == "w7")):
                quarantine.record(worker, f"j{number}", succeeded=False)
        assert quarantine.members(workers) == {"w7", "w0"}
        assert quarantine.members(["w1"]) == set()

    def test_reboot_clears(self) -> None:
        quarantine = Quarantine()
        quarantine.record_boot("w0", 1)
        for number in range(3):
            quarantine.record("w0", f"j{number}", succeeded=False)
        quarantine.record_boot("w0", 1)
        assert quarantine.members(["w0", "w1"]) == {"w0"}
        quarantine.record_boot("w0", 2)
        assert quarantine.members(["w0", "w1"]) == set()

    def test_success_clears(self) -> None:
        quarantine = Quarantine()
        for number in range(3):
            quarantine.record("w0", f"j{number}", succeeded=False)
        quarantine.record("w0", "j9", succeeded=True)
        assert quarantine.members(["w0", "w1"]) == set()
