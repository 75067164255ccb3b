"""Keeps the jobs of one pool in the memory of their holder."""

import collections
import typing as t

import attrs

from ..clocks import boot_s
from ..providers import ABSENT
from ..providers import Fence
from ..providers import Task
from ..providers import TaskState
from .decide import JobUpdate
from .losses import add_loss
from .losses import restart_pause_s
from .quarantine import Quarantine
from .rows import Job
from .rows import JobState

__all__ = ["PoolJobs", "StoredJob", "updates_after_end"]


@attrs.define
class StoredJob:
    """Pairs a job with the version of its row."""

    job: Job
    version: int


@attrs.define
class PoolJobs:
    """Holds the jobs of one pool, as loaded under one epoch.

    :param fence: the epoch of the pool's shard under which the jobs were loaded.
    :param unfinished: the jobs that have not ended.
    :param queued: the jobs that wait for a worker.
    :param attempts_on_worker: the number of started jobs of each worker.
    :param decided_at_s: when the last decision was made, on the boot clock.
    :param unconfirmed: started jobs whose start call has not been answered yet.
    :param outcome_unknown: started jobs for which a start call may have got no answer,
        from this holder or an earlier one. A later refusal does not rule out that the
        earlier call started the attempt.
    :param pending_stops: the attempts to stop, each with whether to checkpoint it.
    :param pending_reports: reports of attempts that are not processed yet: those from
        before the jobs were loaded, and those read while the store was down.
    :param begun_at_s: when the attempts of started jobs began, on the boot clock.
    :param begun_in_boot: the boot of its worker in which the latest attempt of each job
        began, or None where that is not known.
    :param paused_until_s: until when queued jobs may not start, on the boot clock.
    :param changed: whether something changed since the last decision.
    """

    fence: Fence
    jobs: dict[str, StoredJob] = attrs.field(factory=dict)
    unfinished: set[str] = attrs.field(factory=set)
    queued: set[str] = attrs.field(factory=set)
    attempts_on_worker: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    changed: bool = True
    decided_at_s: float = 0.0
    unconfirmed: set[str] = attrs.field(factory=set)
    outcome_unknown: set[str] = attrs.field(factory=set)
    pending_stops: dict[tuple[str, int], bool] = attrs.field(factory=dict)
    pending_reports: list[Task] = attrs.field(factory=list)
    begun_at_s: dict[str, float] = attrs.field(factory=dict)
    begun_in_boot: dict[str, int | None] = attrs.field(factory=dict)
    paused_until_s: dict[str, float] = attrs.field(factory=dict)
    quarantine: Quarantine = attrs.field(factory=Quarantine)

    def version_of(self, job_id: str) -> int:
        """Return the version of a job's row, or ABSENT if there is no row."""
        known = self.jobs.get(job_id)
        return known.version if known else ABSENT

    def put(self, job: Job, version: int) -> Job | None:
        """Store a job in memory and return the job that it replaces, if any."""
        job_id = job.spec.job_id
        known = self.jobs.get(job_id)
        if known is not None and known.job.state is JobState.STARTED:
            self.attempts_on_worker[known.job.worker_id] -= 1
        self.begun_at_s.pop(job_id, None)
        if job.state is JobState.STARTED:
            self.attempts_on_worker[job.worker_id] += 1
            self.begun_at_s[job_id] = boot_s()
            self.begun_in_boot[job_id] = self.quarantine.boot_of(job.worker_id)
        if job.state is not JobState.QUEUED:
            self.paused_until_s.pop(job_id, None)
        self._index(self.queued, job_id, job.state is JobState.QUEUED)
        self._index(self.unfinished, job_id, not job.ended)
        self.jobs[job_id] = StoredJob(job, version)
        self.changed = True
        return known.job if known else None

    def replace(self, job: Job, version: int) -> None:
        """Store a job committed by this holder and schedule the resulting calls."""
        begun_at_s = self.begun_at_s.get(job.spec.job_id, boot_s())
        before = self.put(job, version)
        if before is not None and before.state is JobState.STARTED:
            self._handle_ended_attempt(before, job)
            if job.lost_attempts > before.lost_attempts:
                self.pause_after_loss(job, begun_at_s)
        if job.state is JobState.STARTED:
            self.unconfirmed.add(job.spec.job_id)

    def _handle_ended_attempt(self, before: Job, after: Job) -> None:
        """Schedule the stop of the previous attempt if needed and record its result.

        The result counts for or against the worker in the quarantine, except for what
        was lost with the worker.
        """
        job_id = before.spec.job_id
        self.unconfirmed.discard(job_id)
        self.outcome_unknown.discard(job_id)
        if after.state in (JobState.CANCELLED, JobState.QUEUED, JobState.PARKED):
            checkpoint = after.state is JobState.QUEUED
            self.pending_stops[(job_id, before.attempt)] = checkpoint
        if after.state is JobState.DONE:
            self.quarantine.record(before.worker_id, job_id, succeeded=True)
        elif after.own_failures_on != before.own_failures_on:
            self._record_failure(before)

    def _record_failure(self, job: Job) -> None:
        """Record a failure of a worker unless it may have rebooted since the start."""
        boot = self.begun_in_boot.get(job.spec.job_id)
        if boot == self.quarantine.boot_of(job.worker_id):
            self.quarantine.record(job.worker_id, job.spec.job_id, succeeded=False)

    def pause_after_loss(self, job: Job, begun_at_s: float) -> None:
        """Keep a queued job from starting soon if several attempts were lost.

        :param begun_at_s: when the lost attempt began, on the boot clock.
        """
        pause_s = restart_pause_s(job.lost_attempts)
        if job.state is JobState.QUEUED and pause_s:
            self.paused_until_s[job.spec.job_id] = begun_at_s + pause_s

    def paused(self) -> frozenset[str]:
        """Return the queued jobs that may not start yet."""
        now_s = boot_s()
        return frozenset(
            job_id for job_id, until_s in self.paused_until_s.items() if now_s < until_s
        )

    def stop_superseded(self, tasks: t.Iterable[Task]) -> None:
        """Schedule stops for running attempts that the jobs' rows no longer ask for.

        An answered stop does not rule out such an attempt, because a delayed start may
        be carried out after the stop.
        """
        for task in tasks:
            stored = self.jobs.get(task.job_id)
            if stored is None or task.state is not TaskState.RUNNING:
                continue
            job = stored.job
            if job.state is JobState.STARTED and job.attempt == task.attempt:
                continue
            checkpoint = job.state is JobState.QUEUED
            self.pending_stops.setdefault((task.job_id, task.attempt), checkpoint)

    @staticmethod
    def _index(ids: set[str], job_id: str, belongs: bool) -> None:
        if belongs:
            ids.add(job_id)
        else:
            ids.discard(job_id)

    def needs_decision(self, now_s: float, sweep_s: float) -> bool:
        """Return whether a decision could change anything."""
        overdue = bool(self.queued) and now_s - self.decided_at_s >= sweep_s
        return self.changed or overdue


def updates_after_end(jobs: PoolJobs, tasks: t.Iterable[Task]) -> list[JobUpdate]:
    """Return the updates of jobs whose current attempts have ended."""
    updates: list[JobUpdate] = []
    for task in tasks:
        stored = jobs.jobs.get(task.job_id)
        if stored is None or stored.job.state is not JobState.STARTED:
            continue
        if task.attempt != stored.job.attempt or task.state is TaskState.RUNNING:
            continue
        updates.append(_update_after_end(stored.job, task))
    return updates


def _update_after_end(job: Job, task: Task) -> JobUpdate:
    if task.state is TaskState.DONE:
        return JobUpdate(attrs.evolve(job, state=JobState.DONE), "done")
    state = JobState.QUEUED if job.spec.repeat_safe else JobState.PARKED
    ended = attrs.evolve(job, state=state)
    if task.state is TaskState.LOST:
        ended = _with_loss(ended, task.worker_id)
    elif task.state is TaskState.FAILED:
        ended = _with_own_failure(ended, task.worker_id)
    else:
        ended = attrs.evolve(ended, reason=f"{task.state.value} on {task.worker_id}")
    return JobUpdate(ended, ended.reason)


def _with_own_failure(job: Job, worker_id: str) -> Job:
    failed_on = job.own_failures_on
    if worker_id not in failed_on:
        failed_on = (*failed_on, worker_id)
    return attrs.evolve(job, reason=f"failed on {worker_id}", own_failures_on=failed_on)


def _with_loss(job: Job, worker_id: str) -> Job:
    lost_attempts = job.lost_attempts + 1
    reason = f"lost with {worker_id}"
    pause_s = restart_pause_s(lost_attempts)
    if pause_s and job.state is JobState.QUEUED:
        reason += (
            f"; {lost_attempts} attempts were lost, the next one starts "
            f"{pause_s:.0f} s or more after the last one"
        )
    return attrs.evolve(
        job,
        reason=reason,
        lost_attempts=lost_attempts,
        lost_with=add_loss(job.lost_with, worker_id),
    )
