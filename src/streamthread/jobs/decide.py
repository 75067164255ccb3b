"""The decision about the jobs of one pool: a pure function."""

import typing as t

import attrs

from ..fleet.selectors import Selector
from .rows import Job
from .rows import JobSpec
from .rows import JobState

__all__ = ["JobStep", "JobsSnapshot", "WorkerFacts", "decide_jobs"]

MAX_DISTINCT_FAILURES = 3
"""A job that failed on this many workers is parked."""

LONG_JOB_S = 60.0
"""A worker that leaves waits for jobs that are shorter than this."""


@attrs.frozen
class WorkerFacts:
    """One worker of the pool.

    :param open: whether it takes new jobs (serving, live, not quarantined).
    :param leaving: whether it was granted away; long jobs are checkpointed.
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
    """Everything a decision depends on; jobs in order of submission.

    :param quota_cores: the cores each team may use; absent is unlimited.
    """

    jobs: tuple[Job, ...]
    workers: tuple[WorkerFacts, ...]
    quota_cores: t.Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class JobStep:
    """One job's row replaced, and why; its new state says what to do."""

    job: Job
    cause: str


@attrs.define
class _Room:
    """What is free on one worker while a decision is made.

    :param has_failed_jobs: something runs there that has failed elsewhere.
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


def decide_jobs(snapshot: JobsSnapshot) -> list[JobStep]:
    """Return the rows to replace now: starts, checkpoints and parkings."""
    return _Decision(snapshot).steps()


class _Decision:
    def __init__(self, snapshot: JobsSnapshot) -> None:
        self._snapshot = snapshot
        self._rooms = {
            worker.worker_id: _Room(
                worker, worker.cores, worker.memory_bytes, worker.accelerators
            )
            for worker in snapshot.workers
        }
        self._team_cores: dict[str, int] = {}
        self._running = [job for job in snapshot.jobs if job.state is JobState.STARTED]
        for job in self._running:
            self._occupy(job)

    def steps(self) -> list[JobStep]:
        queued = [job for job in self._snapshot.jobs if job.state is JobState.QUEUED]
        queued.sort(key=lambda job: not job.spec.urgent)
        steps = [
            self._push_aside(job, f"{job.worker_id} leaves")
            for job in list(self._running)
            if self._must_make_way(job)
        ]
        for job in queued:
            steps.extend(self._place(job))
        return steps

    def _must_make_way(self, job: Job) -> bool:
        room = self._rooms.get(job.worker_id)
        long = job.spec.run_s > LONG_JOB_S
        return room is not None and room.facts.leaving and long and job.spec.repeat_safe

    def _place(self, job: Job) -> list[JobStep]:
        reason = self._never_runnable(job)
        if reason:
            parked = attrs.evolve(job, state=JobState.PARKED, reason=reason)
            return [JobStep(parked, reason)]
        if not self._within_quota(job.spec):
            return []
        room = self._best_room(job)
        if room is not None:
            return [self._start(job, room)]
        if job.spec.urgent:
            return self._preempt_for(job)
        return []

    def _never_runnable(self, job: Job) -> str:
        if len(job.failed_on) >= MAX_DISTINCT_FAILURES:
            return f"failed on {len(job.failed_on)} workers: {', '.join(job.failed_on)}"
        if not self._rooms:
            return ""
        if any(_could_ever_run(job.spec, room.facts) for room in self._rooms.values()):
            return ""
        return "no worker of the pool is large enough or matches its selector"

    def _within_quota(self, spec: JobSpec) -> bool:
        quota = self._snapshot.quota_cores.get(spec.team)
        used = self._team_cores.get(spec.team, 0)
        return quota is None or used + spec.cores <= quota

    def _best_room(self, job: Job) -> _Room | None:
        """The tightest fit, on a worker that it has not failed on.

        Jobs that have failed go apart: all that ran on a worker that was lost is told
        as failed, and what only ran beside the cause would be parked with it.
        """
        fitting = [
            room
            for room in self._rooms.values()
            if self._is_open_for(job, room) and room.fits(job.spec)
        ]
        if not fitting:
            return None
        suspect = bool(job.failed_on)
        return min(
            fitting,
            key=lambda room: (
                suspect and room.has_failed_jobs,
                room.cores,
                room.facts.worker_id,
            ),
        )

    @staticmethod
    def _is_open_for(job: Job, room: _Room) -> bool:
        return (
            room.facts.open
            and room.facts.worker_id not in job.failed_on
            and _could_ever_run(job.spec, room.facts)
        )

    def _start(self, job: Job, room: _Room) -> JobStep:
        started = attrs.evolve(
            job,
            state=JobState.STARTED,
            attempt=job.attempt + 1,
            worker_id=room.facts.worker_id,
            reason="",
        )
        self._occupy(started)
        return JobStep(started, f"fits with {room.cores} cores left")

    def _occupy(self, job: Job) -> None:
        room = self._rooms.get(job.worker_id)
        if room is not None:
            room.add(job.spec, -1)
            room.has_failed_jobs |= bool(job.failed_on)
        team = job.spec.team
        self._team_cores[team] = self._team_cores.get(team, 0) + job.spec.cores

    def _preempt_for(self, job: Job) -> list[JobStep]:
        """Checkpoint the fewest cores' worth of lower jobs on one worker."""
        best: list[Job] = []
        for room in self._rooms.values():
            if not self._is_open_for(job, room):
                continue
            victims = self._victims(job, room)
            if victims and (not best or _cores(victims) < _cores(best)):
                best = victims
        if not best:
            return []
        cause = f"urgent job {job.spec.job_id}"
        steps = [self._push_aside(victim, cause) for victim in best]
        room = self._rooms[best[0].worker_id]
        return [*steps, self._start(job, room)]

    def _victims(self, job: Job, room: _Room) -> list[Job]:
        lower = [
            other
            for other in self._running
            if other.worker_id == room.facts.worker_id
            and not other.spec.urgent
            and other.spec.repeat_safe
        ]
        lower.sort(key=lambda other: other.spec.cores)
        trial = _Room(room.facts, room.cores, room.memory_bytes, room.accelerators)
        chosen: list[Job] = []
        for other in lower:
            if trial.fits(job.spec):
                break
            trial.add(other.spec, +1)
            chosen.append(other)
        return chosen if trial.fits(job.spec) else []

    def _push_aside(self, victim: Job, cause: str) -> JobStep:
        self._running.remove(victim)
        self._rooms[victim.worker_id].add(victim.spec, +1)
        self._team_cores[victim.spec.team] -= victim.spec.cores
        reason = f"checkpointed: {cause}"
        return JobStep(
            attrs.evolve(victim, state=JobState.QUEUED, reason=reason), reason
        )


def _could_ever_run(spec: JobSpec, worker: WorkerFacts) -> bool:
    return (
        worker.cores >= spec.cores
        and worker.memory_bytes >= spec.memory_bytes
        and worker.accelerators >= spec.accelerators
        and Selector.parse(spec.selector).matches(worker.labels)
    )


def _cores(jobs: t.Iterable[Job]) -> int:
    return sum(job.spec.cores for job in jobs)
