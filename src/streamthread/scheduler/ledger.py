"""All jobs and runners of a cell, and the state transitions of tasks."""

import time
import typing as t

import logbook

from ..clocks import boot_s
from .accounts import AccountUsage
from .accounts import LimitSource
from .fleet import RunnerState
from .model import Attempt
from .model import FailureCause
from .model import Job
from .model import Occurrence
from .model import Task
from .model import TaskState
from .stops import Stops

__all__ = ["Ledger"]

log = logbook.Logger("streamthread.scheduler")

TASK_NAME_PARTS = 4
"""The parts of a task's name on the wire, separated by dots: job, occurrence, step and
task."""


class Ledger:
    """Keeps the jobs and runners in memory and reports changes to be persisted.

    :param changed: called with each job whose progress must be persisted.
    :param jobs: all jobs that are not forgotten, by job id.
    :param open: the jobs that may still have runs, by job id.
    :param unbegun: the open jobs with occurrences that may not have begun, by job id.
    :param runners: the listed runner incarnations, by runner id.
    :param stops: the runs that are to be stopped.
    :param accounts: the resources in use by each client account.
    :param counts: how often runs ended, were refused or expired.
    :param failures: the number of jobs that have failed, by cause.
    """

    def __init__(
        self,
        changed: t.Callable[[Job], None],
        stop_effect_ms: int,
        limit_of: LimitSource,
        are_limits_known: t.Callable[[], bool],
    ) -> None:
        self.changed = changed
        self.accounts = AccountUsage(limit_of, are_limits_known)
        self.jobs: dict[str, Job] = {}
        self.open: dict[str, Job] = {}
        self.unbegun: dict[str, Job] = {}
        self.runners: dict[str, RunnerState] = {}
        self.counts: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.stops = Stops(stop_effect_ms)

    def task_changed(self, task: Task) -> None:
        """Report that the progress of a task must be persisted."""
        task.note_changed()
        self.changed(task.step.occurrence.job)

    def count(self, what: str) -> None:
        """Count one event."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def count_failure(self, cause: FailureCause) -> None:
        """Count a job that has failed."""
        self.failures[cause.value] = self.failures.get(cause.value, 0) + 1

    # Jobs.

    def add(self, job: Job) -> None:
        """Add a job, new or read back, with its attempts."""
        self.jobs[job.job_id] = job
        if job.over and not job.has_attempts():
            return
        self.open[job.job_id] = job
        self.unbegun[job.job_id] = job
        for attempt in job.attempts():
            self.accounts.add(attempt)
            self.stops.read_back(attempt)
            runner = self.runners.get(attempt.runner_id)
            if runner is not None:
                runner.add(attempt.task.name, attempt)

    def forget(self, before_s: float) -> list[Job]:
        """Remove the jobs that ended before a wall time and return them."""
        old = [
            job
            for job in self.jobs.values()
            if job.ended_at_s is not None
            and job.ended_at_s < before_s
            and not job.has_attempts()
        ]
        for job in old:
            self.drop(job)
        return old

    def drop(self, job: Job) -> None:
        """Remove a job that uses no resources."""
        del self.jobs[job.job_id]
        self._close(job)

    def _close(self, job: Job) -> None:
        self.open.pop(job.job_id, None)
        self.unbegun.pop(job.job_id, None)

    def find_task(self, name: str) -> Task | None:
        """Return a task by its name on the wire if its job is open."""
        parts = name.split(".")
        if len(parts) != TASK_NAME_PARTS or any("-" in part for part in parts[1:]):
            return None
        job = self.open.get(parts[0])
        if job is None:
            return None
        try:
            number, step, index = (int(part) for part in parts[1:])
            return job.occurrences[number].steps[step].tasks[index]
        except (ValueError, LookupError):
            return None

    def settle_job(self, job: Job) -> None:
        """Mark finished occurrences as done, and close a job with nothing left to run.

        What still has attempts stays in memory until these are over.
        """
        if not job.over:
            for number, occurrence in list(job.occurrences.items()):
                if occurrence.done:
                    job.done_times.add(number)
                    self._drop_occurrence(job, occurrence)
            if job.over and job.ended_at_s is None:
                job.ended_at_s = time.time()
                self.changed(job)
                self._log_job_ended(job)
        if job.over and not job.has_attempts():
            job.occurrences.clear()
            self._close(job)

    @staticmethod
    def _log_job_ended(job: Job) -> None:
        log.info(
            "job-ended",
            extra={
                "job": job.job_id,
                "state": job.state.value,
                "took_s": round(time.time() - job.accepted_at_s, 3),
                "stretch": job.terms.stretch,
                "target_s": job.terms.target_s,
            },
        )

    @staticmethod
    def _drop_occurrence(job: Job, occurrence: Occurrence) -> None:
        held = any(task.attempts for step in occurrence.steps for task in step.tasks)
        if not held:
            del job.occurrences[occurrence.number]

    # Attempts.

    def plan(self, attempt: Attempt, runner: RunnerState) -> None:
        """Add a new attempt to a task; it uses resources from now on."""
        task = attempt.task
        task.attempts.append(attempt)
        task.state = TaskState.PLACED
        self.accounts.add(attempt)
        runner.add(task.name, attempt)

    def orphans(self) -> list[Attempt]:
        """Return the attempts on runners that this holder does not know."""
        return [
            attempt
            for job in self.open.values()
            for attempt in job.attempts()
            if attempt.runner_id not in self.runners
        ]

    def expire(self, attempt: Attempt, runner: RunnerState | None) -> None:
        """Remove an attempt that has certainly expired; its task is queued again."""
        self.count("lapsed")
        self.remove(attempt, runner)
        self.requeue(attempt.task)
        self.task_changed(attempt.task)
        self.settle_job(attempt.task.step.occurrence.job)

    def expire_all(
        self, attempts: t.Iterable[Attempt], runner: RunnerState | None
    ) -> None:
        """Remove attempts that have certainly expired; their tasks are queued again."""
        for attempt in attempts:
            self.expire(attempt, runner)

    def remove(self, attempt: Attempt, runner: RunnerState | None) -> None:
        """Remove an attempt from its task, and from its runner if that is known."""
        self.stops.forget(attempt)
        task = attempt.task
        if attempt in task.attempts:
            task.attempts.remove(attempt)
            task.note_changed()
            self.accounts.remove(attempt)
        if runner is not None:
            runner.remove(task.name, attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Remove an attempt of which no start was sent; its task is queued again."""
        self.remove(attempt, self.runners.get(attempt.runner_id))
        self.requeue(attempt.task)
        self.task_changed(attempt.task)

    @staticmethod
    def requeue(task: Task) -> None:
        """Have a task placed again once it has no attempt."""
        if task.state is TaskState.PLACED and not task.attempts:
            quarantined = task.quarantined_until_s > boot_s()
            task.state = TaskState.QUARANTINED if quarantined else TaskState.WAITING
            task.waiting_since_s = boot_s()

    def mark_done(self, task: Task) -> None:
        """Mark a task as done and stop its other attempts."""
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        task.step.done_count += 1
        for attempt in task.attempts:
            self.stops.request_stop(attempt, "copy-done")

    # Stops.

    def stop_all(self, job: Job, reason: str) -> None:
        """Have all runs of a job stopped."""
        for attempt in job.attempts():
            self.stops.request_stop(attempt, reason)
        self.settle_job(job)
