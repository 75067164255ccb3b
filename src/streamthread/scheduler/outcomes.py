"""Processes what runners report about runs, and updates tasks and jobs."""

import time
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..platform.runners import EndedRun
from ..platform.runners import EndKind
from ..platform.runners import HoldReply
from ..platform.runners import RunningTask
from .crashes import Crashes
from .fleet import RunnerState
from .learning import learning_key
from .learning import RunTimes
from .ledger import Ledger
from .model import Attempt
from .model import FailureCause
from .model import Job
from .model import Phase
from .model import Task
from .model import TaskState
from .settings import EngineSettings

__all__ = ["Outcomes", "Stray"]

log = logbook.Logger("streamthread.scheduler")

MAX_CHECKPOINT_LENGTH = 4000
"""Maximum number of characters of a checkpoint, which is the limit of the users' pages
on a job's ``spec``. They name none for checkpoints."""

MAX_END_UNCERTAINTY_MS = 2000
"""The run time of a run is learned only if its end is known this well. Runners list
ends after 0.5 s at most, and runs at least every 1.5 s; a holder that was stopped for
10 s would learn 10 s for a run that ended in the meantime."""


@attrs.frozen
class Stray:
    """A run that exists on a runner but matches no attempt of this holder."""

    runner_id: str
    task: str
    run: int


class Outcomes:
    """Applies the runners' answers and lists to the ledger."""

    def __init__(
        self,
        ledger: Ledger,
        times: RunTimes,
        crashes: Crashes,
        settings: EngineSettings,
    ) -> None:
        self._ledger = ledger
        self._times = times
        self._crashes = crashes
        self._settings = settings

    # Answers to orders.

    def confirm(self, attempt: Attempt, clock_ms: int) -> None:
        """Handle a runner's confirmation that it has a run."""
        if attempt.phase is not Phase.STOPPING:
            attempt.phase = Phase.CONFIRMED
        attempt.confirmed_clock_ms = clock_ms
        new = not attempt.read_back and not attempt.first_confirmed_ms
        if new and attempt.cleared:
            # It has been started, so its runner has yet to outlive it.
            attempt.cleared = False
            attempt.task.note_changed()
        attempt.first_confirmed_ms = attempt.first_confirmed_ms or clock_ms
        runner = self._ledger.runners.get(attempt.runner_id)
        if runner is not None:
            runner.on_clock(clock_ms)
            attempt.began_ms = (
                attempt.began_ms or clock_ms or runner.estimated_clock_ms()
            )
        if not attempt.began_at_s:
            attempt.began_at_s = boot_s()
        job = attempt.task.step.occurrence.job
        if not job.begun:
            job.begun = True
            self._ledger.changed(job)

    def refuse(self, attempt: Attempt, why: str) -> None:
        """Handle a runner's answer that it did not and will not start a run."""
        runner = self._ledger.runners.get(attempt.runner_id)
        task = attempt.task
        self._ledger.count(f"refused-{why}")
        log.info(
            "start-refused",
            extra={
                "task": task.name,
                "run": attempt.run,
                "runner": attempt.runner_id,
                "why": why,
            },
        )
        self._ledger.remove(attempt, runner)
        self._ledger.requeue(task)
        self._ledger.task_changed(task)
        self._ledger.settle_job(task.step.occurrence.job)

    # The two lists: what runs, and what has ended.

    def on_hold(self, runner: RunnerState, reply: HoldReply) -> list[Stray]:
        """Process a runner's lists; return the runs that should not be there."""
        self._crashes.on_runner_response(runner)
        runner.on_clock(reply.clock_ms)
        for ended in reply.ended:
            self._on_ended(runner, ended, reply.clock_ms)
        if reply.ends_truncated:
            self._on_truncated(runner, reply)
        if not reply.omits_runs:
            runner.listed_ms = reply.clock_ms
        listed = {(row.task, row.run): row for row in reply.running}
        ended_keys = {(row.task, row.run) for row in reply.ended}
        for key, attempt in list(runner.attempts.items()):
            row = listed.get(key)
            if row is not None:
                attempt.first_confirmed_ms = (
                    attempt.first_confirmed_ms or reply.clock_ms
                )
                self._on_running(attempt, row, reply.clock_ms)
                self._crashes.clear_if_outlived(attempt, runner)
                self._ledger.stops.on_listed(attempt, reply.clock_ms)
            elif reply.omits_runs:
                # Its end may follow in the next answer, or its row is unreadable.
                self._note_unlisted(attempt, reply.clock_ms)
            elif key not in ended_keys:
                self._ledger.stops.on_missing(attempt)
                self._on_missing(runner, attempt, reply.clock_ms)
        strays = [
            Stray(runner.runner_id, row.task, row.run)
            for key, row in listed.items()
            if key not in runner.attempts
        ]
        runner.stray_runs = len(strays)
        return strays

    def _on_truncated(self, runner: RunnerState, reply: HoldReply) -> None:
        """Log a list that does not contain all ended runs of a runner."""
        self._ledger.count("ends-truncated")
        log.info(
            "ends-truncated",
            extra={
                "runner": runner.runner_id,
                "clock_ms": reply.clock_ms,
                "ended": len(reply.ended),
                "running": len(reply.running),
                "attempts_left": len(runner.attempts),
            },
        )

    def _on_running(self, attempt: Attempt, row: RunningTask, clock_ms: int) -> None:
        if attempt.phase is Phase.SENT:
            self.confirm(attempt, 0)
        # A holder that was stopped reads lists late: only the runner knows their time.
        attempt.note_progress(row.percent, clock_ms / 1000)
        attempt.listed_at_s = boot_s()
        attempt.usage = row.usage
        attempt.missing_since_ms = 0
        attempt.unlisted_since_s = 0.0
        self._crashes.clear_crashes_if_stable(attempt)
        self._keep_checkpoint(attempt.task, row.checkpoint)

    def _keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep a reported checkpoint; it is persisted with the task's next change.

        One that is too long to be persisted is ignored.
        """
        if not checkpoint or checkpoint == task.checkpoint:
            return
        if len(checkpoint) > MAX_CHECKPOINT_LENGTH:
            self._ledger.count("checkpoint-too-long")
            return
        task.checkpoint = checkpoint
        task.checkpoint_at_s = boot_s()
        task.note_changed()

    def _on_missing(self, runner: RunnerState, attempt: Attempt, clock_ms: int) -> None:
        """Handle a confirmed run that is listed neither as running nor as ended.

        Lists that may be older than the runner's confirmation of it prove nothing.
        """
        if attempt.phase not in (Phase.CONFIRMED, Phase.STOPPING):
            return
        known_ms = attempt.confirmed_clock_ms
        if not known_ms or clock_ms <= known_ms + self._settings.list_slack_ms:
            self._note_unlisted(attempt, clock_ms)
            return
        if self._may_be_stopping(attempt, clock_ms):
            return
        log.warning(
            "run-vanished",
            extra=_describe_missing(attempt, clock_ms),
        )
        self._ledger.expire(attempt, runner)

    def _note_unlisted(self, attempt: Attempt, clock_ms: int) -> None:
        """Log once that a run stays although it has not been listed for long.

        A short gap is normal, because a list may be older than the run's confirmation.
        """
        now_s = boot_s()
        attempt.unlisted_since_s = attempt.unlisted_since_s or now_s
        since_s = attempt.unlisted_since_s
        if attempt.unlisted_logged or now_s - since_s < self._settings.unlisted_s:
            return
        attempt.unlisted_logged = True
        log.warning("run-unlisted", extra=_describe_missing(attempt, clock_ms))

    def _may_be_stopping(self, attempt: Attempt, clock_ms: int) -> bool:
        """Whether an unlisted run that is to be stopped may still use resources.

        Normally only its listed end frees the resources. Without one, the run is gone
        once a stop that began after the last list containing it must have taken effect.
        """
        if attempt.phase is not Phase.STOPPING or not attempt.began_at_s:
            return False
        attempt.missing_since_ms = attempt.missing_since_ms or clock_ms
        stop = attempt.stop
        answered_ms = stop.answered_ms if stop is not None else 0
        since_ms = max(attempt.missing_since_ms, answered_ms)
        return clock_ms <= since_ms + self._settings.stop_effect_ms

    def _on_ended(self, runner: RunnerState, ended: EndedRun, clock_ms: int) -> None:
        attempt = runner.attempts.get((ended.task, ended.run))
        if attempt is None:
            self._on_unknown_end(ended)
            return
        task = attempt.task
        job = task.step.occurrence.job
        self._ledger.remove(attempt, runner)
        self._keep_checkpoint(task, ended.checkpoint)
        self._ledger.count(f"ended-{ended.kind.value}")
        if ended.kind in (EndKind.DONE, EndKind.FAILED):
            self._crashes.clear_crashes(task)
        if ended.kind is EndKind.DONE:
            self._on_done(attempt, runner.listed_ms, clock_ms)
        else:
            _log_run_ended(attempt, ended)
            if ended.kind is EndKind.FAILED:
                self._on_failed(attempt, runner)
            else:
                self._ledger.requeue(task)
        self._ledger.task_changed(task)
        self._ledger.settle_job(job)

    def _on_unknown_end(self, ended: EndedRun) -> None:
        """Accept a `done` for a known task, regardless of who started the run."""
        task = self._ledger.find_task(ended.task)
        if task is None or ended.kind is not EndKind.DONE:
            return
        if task.state is TaskState.DONE or task.step.request.lasting:
            # A long-running task is restarted whichever of its runs ends.
            return
        log.info("done-by-other-run", extra={"task": ended.task, "run": ended.run})
        self._mark_done(task)
        self._ledger.task_changed(task)
        self._ledger.settle_job(task.step.occurrence.job)

    def _on_done(self, attempt: Attempt, before_ms: int, clock_ms: int) -> None:
        """Handle that a run is done.

        :param before_ms: the runner's clock in its list before the one with this end.
        :param clock_ms: the runner's clock in the list with this end.
        """
        task = attempt.task
        began_ms = attempt.began_ms
        uncertain_ms = clock_ms - max(began_ms, before_ms)
        if (
            0 < began_ms <= clock_ms
            # It may have run for long before this holder first read of it.
            and not attempt.read_back
            and not task.step.request.lasting
            and uncertain_ms <= MAX_END_UNCERTAINTY_MS
        ):
            took_s = (clock_ms - began_ms) / 1000
            self._times.learn(learning_key(task.step), took_s)
        if task.step.request.lasting:
            self._ledger.requeue(task)
            return
        self._mark_done(task)

    def _mark_done(self, task: Task) -> None:
        """Mark a task as done; the end of one gang member counts for all members."""
        members = task.step.tasks if task.step.request.gang else [task]
        for member in members:
            self._ledger.mark_done(member)

    def _on_failed(self, attempt: Attempt, runner: RunnerState) -> None:
        task = attempt.task
        job = task.step.occurrence.job
        task.avoid.add(runner.incarnation)
        self.note_failure(runner)
        if task.step.request.lasting:
            task.not_before_s = time.time() + self._settings.restart_pause_s
            self._ledger.requeue(task)
            return
        task.failures += 1
        if task.failures >= job.terms.max_attempts and task.state is not TaskState.DONE:
            self._fail_task(task)
            return
        self._ledger.requeue(task)

    def abandon(self, job: Job) -> None:
        """Fail a job of which a row can't be stored."""
        self._fail_job(job, FailureCause.NOT_STORABLE, {})
        self._ledger.changed(job)

    def _fail_task(self, task: Task) -> None:
        """Mark a task as failed, and fail its job unless the job is already over."""
        job = task.step.occurrence.job
        task.state = TaskState.FAILED
        if job.over:
            return
        details = {
            "task": task.name,
            "failures": task.failures,
            "max_attempts": job.terms.max_attempts,
        }
        self._fail_job(job, FailureCause.ATTEMPTS, details)

    def _fail_job(
        self, job: Job, cause: FailureCause, details: dict[str, t.Any]
    ) -> None:
        job.failure = cause
        job.ended_at_s = time.time()
        self._ledger.stop_all(job, "job-failed")
        self._ledger.count_failure(cause)
        log.warning(
            "job-failed", extra={"job": job.job_id, "cause": cause.value, **details}
        )

    def note_failure(self, runner: RunnerState) -> None:
        """Record a failed or lagging task on a runner.

        If several are recorded within the penalty interval, the runner is used only as
        a last choice for a while.
        """
        now_s = time.time()
        since_s = now_s - self._settings.penalty_s
        recent = [
            failed_at_s for failed_at_s in runner.failed_at_s if failed_at_s > since_s
        ]
        runner.failed_at_s = [*recent, now_s]
        if len(runner.failed_at_s) >= self._settings.penalty_failures:
            runner.penalty_until_s = now_s + self._settings.penalty_s


def _describe_missing(attempt: Attempt, clock_ms: int) -> dict[str, t.Any]:
    """Return the log fields for a run that is in none of its runner's lists."""
    return {
        "task": attempt.task.name,
        "run": attempt.run,
        "runner": attempt.runner_id,
        "phase": attempt.phase.value,
        "clock_ms": clock_ms,
        "confirmed_clock_ms": attempt.confirmed_clock_ms,
    }


def _log_run_ended(attempt: Attempt, ended: EndedRun) -> None:
    log.info(
        "run-ended",
        extra={
            "task": ended.task,
            "run": ended.run,
            "runner": attempt.runner_id,
            "how": ended.kind.value,
            "failures": attempt.task.failures,
            "stop_reason": attempt.stop_reason,
        },
    )
