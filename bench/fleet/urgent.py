"""How soon urgent jobs start on workers that are full of others."""

import random
import statistics
import typing as t

from streamthread.jobs import decide_jobs
from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobsSnapshot
from streamthread.jobs import JobState
from streamthread.jobs import WorkerFacts

from .cases import Case
from .cases import Item

__all__ = ["urgent_starts"]

ARRIVALS_UNTIL_S = 300
LAST_DECISION_S = 320

WORKER_CORES = 16
WORKER_MEMORY_BYTES = 2**35
JOB_CORES = 8
JOB_MEMORY_BYTES = 2**30
JOB_RUN_S = 600.0


def urgent_starts(case: Case) -> Item:
    """Start urgent jobs on full workers: every second one decision."""
    generator = random.Random(case.seed)
    workers = _workers(case)
    jobs = _jobs_that_fill(workers)
    waits_s: list[float] = []
    arrivals = sorted(generator.uniform(0, ARRIVALS_UNTIL_S) for _ in workers)
    for now_s in range(0, LAST_DECISION_S):
        for number, at_s in enumerate(arrivals):
            if now_s - 1 < at_s <= now_s:
                name = f"urgent-{number}"
                jobs[name] = Job(_spec(name, urgent=True), submitted_ms=int(at_s * 1e3))
        waits_s += _decide(jobs, workers, now_s)
    if len(waits_s) != len(arrivals):
        raise SystemExit(f"{len(arrivals) - len(waits_s)} urgent jobs never started")
    p99_s = statistics.quantiles(waits_s, n=100)[-1]
    return Item(case.name, "urgent_start_s_p99", p99_s)


def _workers(case: Case) -> tuple[WorkerFacts, ...]:
    return tuple(
        WorkerFacts(f"w{number}", WORKER_CORES, WORKER_MEMORY_BYTES, 0, True)
        for number in range(case.quiet)
    )


def _jobs_that_fill(workers: t.Sequence[WorkerFacts]) -> dict[str, Job]:
    """Return jobs that are not urgent, as many as take all cores."""
    jobs: dict[str, Job] = {}
    for number in range(len(workers) * WORKER_CORES // JOB_CORES):
        name = f"low-{number}"
        worker_id = workers[number % len(workers)].worker_id
        spec = _spec(name, urgent=False)
        jobs[name] = Job(spec, JobState.STARTED, attempt=1, worker_id=worker_id)
    return jobs


def _decide(
    jobs: dict[str, Job], workers: tuple[WorkerFacts, ...], now_s: float
) -> t.Iterator[float]:
    """Take one decision; yield how long the urgent jobs waited that it starts."""
    for step in decide_jobs(JobsSnapshot(tuple(jobs.values()), workers)):
        job = step.job
        jobs[job.spec.job_id] = job
        if job.spec.urgent and job.state is JobState.STARTED:
            yield now_s - job.submitted_ms / 1e3


def _spec(name: str, urgent: bool) -> JobSpec:
    return JobSpec(
        name, "p", "team", JOB_CORES, JOB_MEMORY_BYTES, JOB_RUN_S, True, urgent=urgent
    )
