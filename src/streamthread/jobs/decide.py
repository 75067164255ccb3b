"""Decides which jobs of one pool to start, preempt or park, as a pure function."""

import typing as t

import attrs

from ..fleet.selectors import Selector
from .rows import Job
from .rows import JobSpec
from .rows import JobState

__all__ = ["JobUpdate", "JobsSnapshot", "WorkerFacts", "decide_jobs"]

MAX_DISTINCT_FAILURES = 3
"""A job is parked once this many distinct workers have reported it as failed.

Attempts that were lost with their workers don't count.
"""

NO_FITTING_WORKER = "no worker of the pool is large enough or matches its selector"
"""Why a job waits that none of the known workers could run.

Workers are missing from a snapshot while they restart or move between pools, so that
such a job stays queued.
"""

LONG_JOB_S = 60.0
"""Run time in seconds up to which a job may finish on a draining worker.

Longer jobs are checkpointed and queued again if they are repeat-safe.
"""


@attrs.frozen
class WorkerFacts:
    """Describes one worker of the pool.

    :param open: whether the worker accepts new jobs, which means that it is serving,
        live and not quarantined.
    :param leaving: whether the worker drains for a wave, a hold or a move to another
        pool. Its long jobs are checkpointed.
    """

    worker_id: str
    cores: int
    memory_bytes: int
    accelerators: int
    open: bool
    leaving: bool = False
    labels: t.Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class JobsSnapshot:
    """Holds all inputs of a decision.

    :param jobs: the jobs that have not ended, in order of submission.
    :param quota_cores: the number of cores that each team may use. A team that is
        absent has no limit.
    :param paused: the ids of queued jobs that may not start yet, because they were lost
        with several workers.
    :param now_ms: the time of the decision, by the hybrid clock.
    """

    jobs: tuple[Job, ...]
    workers: tuple[WorkerFacts, ...]
    quota_cores: t.Mapping[str, int] = attrs.field(factory=dict)
    paused: t.AbstractSet[str] = frozenset()
    now_ms: int = 0


@attrs.frozen
class JobUpdate:
    """Replaces one job's row. The new state of the job determines what to do.

    :param cause: why the row is replaced.
    """

    job: Job
    cause: str


@attrs.define
class _FreeCapacity:
    """Tracks the free capacity of one worker while a decision is made.

    :param has_failed_jobs: whether a job runs there that has failed before, or was lost
        with its worker.
    """

    facts: WorkerFacts
    cores: int
    memory_bytes: int
    accelerators: int
    has_failed_jobs: bool = False

    def fits(self, spec: JobSpec) -> bool:
        return (
            self.cores >= spec.cores
            and self.memory_bytes >= spec.memory_bytes
            and self.accelerators >= spec.accelerators
        )

    def add(self, spec: JobSpec, sign: int) -> None:
        self.cores += sign * spec.cores
        self.memory_bytes += sign * spec.memory_bytes
        self.accelerators += sign * spec.accelerators


def decide_jobs(snapshot: JobsSnapshot) -> list[JobUpdate]:
    """Return the updates that start, checkpoint or park jobs now."""
    return _Decision(snapshot).updates()


class _Decision:
    def __init__(self, snapshot: JobsSnapshot) -> None:
        self._snapshot = snapshot
        self._free = {
            worker.worker_id: _FreeCapacity(
                worker, worker.cores, worker.memory_bytes, worker.accelerators
            )
            for worker in snapshot.workers
        }
        self._team_cores: dict[str, int] = {}
        self._fitting: dict[tuple[int, int, int, str], frozenset[str]] = {}
        self._running = [job for job in snapshot.jobs if job.state is JobState.STARTED]
        for job in self._running:
            self._occupy(job)

    def updates(self) -> list[JobUpdate]:
        """Return the updates. Those that change only a reason come last."""
        queued = [job for job in self._snapshot.jobs if job.state is JobState.QUEUED]
        queued.sort(key=lambda job: not job.spec.urgent)
        updates = [
            self._preempt(job, f"{job.worker_id} leaves")
            for job in list(self._running)
            if self._must_checkpoint(job)
        ]
        reasons: list[JobUpdate] = []
        for job in queued:
            placed = self._place(job)
            updates.extend(placed)
            if not placed:
                reasons.extend(self._update_reason(job))
        return updates + reasons

    def _must_checkpoint(self, job: Job) -> bool:
        free = self._free.get(job.worker_id)
        long = job.spec.run_s > LONG_JOB_S
        return free is not None and free.facts.leaving and long and job.spec.repeat_safe

    def _place(self, job: Job) -> list[JobUpdate]:
        reason = self._parking_reason(job)
        if reason:
            parked = attrs.evolve(job, state=JobState.PARKED, reason=reason)
            return [JobUpdate(parked, reason)]
        if not self._may_start(job):
            return []
        free = self._tightest_fit(job)
        if free is not None:
            return [self._start(job, free)]
        if job.spec.urgent:
            return self._preempt_for(job)
        return []

    @staticmethod
    def _parking_reason(job: Job) -> str:
        failed_on = job.own_failures_on
        if len(failed_on) >= MAX_DISTINCT_FAILURES:
            return f"failed on {len(failed_on)} workers: {', '.join(failed_on)}"
        return ""

    def _may_start(self, job: Job) -> bool:
        return (
            job.spec.job_id not in self._snapshot.paused
            and bool(self._fitting_workers(job.spec))
            and self._within_quota(job.spec)
        )

    def _update_reason(self, job: Job) -> list[JobUpdate]:
        """Return the update of a waiting job whose reason has changed."""
        if not self._free:
            return []
        if not self._fitting_workers(job.spec):
            reason, cause = NO_FITTING_WORKER, NO_FITTING_WORKER
        elif job.reason == NO_FITTING_WORKER:
            reason, cause = "", "a worker of the pool fits, and has no room yet"
        else:
            return []
        if reason == job.reason:
            return []
        return [JobUpdate(attrs.evolve(job, reason=reason), cause)]

    def _fitting_workers(self, spec: JobSpec) -> frozenset[str]:
        """Return the workers that could run a job if nothing else ran there."""
        shape = (spec.cores, spec.memory_bytes, spec.accelerators, spec.selector)
        if shape not in self._fitting:
            selector = Selector.parse(spec.selector)
            self._fitting[shape] = frozenset(
                worker.worker_id
                for worker in self._snapshot.workers
                if _is_large_enough(spec, worker) and selector.matches(worker.labels)
            )
        return self._fitting[shape]

    def _within_quota(self, spec: JobSpec) -> bool:
        quota = self._snapshot.quota_cores.get(spec.team)
        used = self._team_cores.get(spec.team, 0)
        return quota is None or used + spec.cores <= quota

    def _tightest_fit(self, job: Job) -> _FreeCapacity | None:
        """Return the open worker with the fewest free cores that fits the job.

        Workers on which the job has failed are left out.
        Jobs that have failed or were lost are spread over different workers where
        possible. When a worker is lost, every job on it is lost. Without the spreading,
        jobs that only ran next to the cause would be lost along with it each time.
        Of the workers that are left, those with which the job was lost come last.
        """
        fitting = [
            free
            for free in self._free.values()
            if self._is_open_for(job, free) and free.fits(job.spec)
        ]
        if not fitting:
            return None
        suspect = job.suspect
        return min(
            fitting,
            key=lambda free: (
                suspect and free.has_failed_jobs,
                free.facts.worker_id in job.lost_with,
                free.cores,
                free.facts.worker_id,
            ),
        )

    def _is_open_for(self, job: Job, free: _FreeCapacity) -> bool:
        return (
            free.facts.open
            and free.facts.worker_id not in job.own_failures_on
            and free.facts.worker_id in self._fitting_workers(job.spec)
        )

    def _start(self, job: Job, free: _FreeCapacity) -> JobUpdate:
        started = attrs.evolve(
            job,
            state=JobState.STARTED,
            attempt=job.attempt + 1,
            worker_id=free.facts.worker_id,
            reason="",
            started_ms=self._snapshot.now_ms,
        )
        self._occupy(started)
        return JobUpdate(started, f"fits with {free.cores} cores left")

    def _occupy(self, job: Job) -> None:
        free = self._free.get(job.worker_id)
        if free is not None:
            free.add(job.spec, -1)
            free.has_failed_jobs |= job.suspect
        team = job.spec.team
        self._team_cores[team] = self._team_cores.get(team, 0) + job.spec.cores

    def _preempt_for(self, job: Job) -> list[JobUpdate]:
        """Start a job where the fewest cores have to be checkpointed for it.

        Workers with which it was lost come last.
        """
        choices = [
            victims
            for free in self._free.values()
            if self._is_open_for(job, free) and (victims := self._victims(job, free))
        ]
        if not choices:
            return []
        best = min(
            choices,
            key=lambda victims: (
                victims[0].worker_id in job.lost_with,
                _total_cores(victims),
            ),
        )
        cause = f"urgent job {job.spec.job_id}"
        updates = [self._preempt(victim, cause) for victim in best]
        free = self._free[best[0].worker_id]
        return [*updates, self._start(job, free)]

    def _victims(self, job: Job, free: _FreeCapacity) -> list[Job]:
        preemptible = [
            other
            for other in self._running
            if other.worker_id == free.facts.worker_id
            and not other.spec.urgent
            and other.spec.repeat_safe
        ]
        preemptible.sort(key=lambda other: other.spec.cores)
        simulated = _FreeCapacity(
            free.facts, free.cores, free.memory_bytes, free.accelerators
        )
        chosen: list[Job] = []
        for other in preemptible:
            if simulated.fits(job.spec):
                break
            simulated.add(other.spec, +1)
            chosen.append(other)
        return chosen if simulated.fits(job.spec) else []

    def _preempt(self, victim: Job, cause: str) -> JobUpdate:
        self._running.remove(victim)
        self._free[victim.worker_id].add(victim.spec, +1)
        self._team_cores[victim.spec.team] -= victim.spec.cores
        reason = f"checkpointed: {cause}"
        return JobUpdate(
            attrs.evolve(victim, state=JobState.QUEUED, reason=reason), reason
        )


def _is_large_enough(spec: JobSpec, worker: WorkerFacts) -> bool:
    return (
        worker.cores >= spec.cores
        and worker.memory_bytes >= spec.memory_bytes
        and worker.accelerators >= spec.accelerators
    )


def _total_cores(jobs: t.Iterable[Job]) -> int:
    return sum(job.spec.cores for job in jobs)
