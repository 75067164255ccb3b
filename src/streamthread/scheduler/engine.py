"""The holder's state of all jobs, and the consequences of each event.

This module does no input or output: the service persists the changes and sends the
orders.
"""

import math
import time
import typing as t

import logbook

from ..clocks import boot_s
from ..halls import HallPolicy
from ..halls import OPEN_HALLS
from ..platform.runners import HoldReply
from .accounts import LimitSource
from .choices import PoolChoices
from .crashes import Crashes
from .crashes import describe
from .events import describe_loss
from .fleet import RunnerState
from .hall_changes import leave_hall
from .lags import LagMonitor
from .learning import RunTimes
from .ledger import Ledger
from .model import Attempt
from .model import Job
from .model import StepRun
from .outcomes import Outcomes
from .outcomes import Stray
from .placer import PoolPlacer
from .probation import begin_probation
from .quarantine import Quarantine
from .settings import EngineSettings
from .shares import Shares
from .shares import WeightSource

__all__ = ["Engine"]

log = logbook.Logger("streamthread.scheduler")

OnFault = t.Callable[[str, BaseException], None]
"""Records an unexpected error, given what failed."""


def _ignore_fault(name: str, error: BaseException) -> None:
    """Record no unexpected error."""


class Engine:
    """All jobs of a cell, and the resources of its runners.

    :param changed: called with each job whose progress must be persisted.
    :param limit_of: returns the limit on what a client account may have running at
        once.
    :param are_limits_known: returns whether the configuration with these limits has
        been read. Until then, no task of an account is placed.
    :param halls: says which halls may be used.
    :param weights: returns the weights of the accounts in the newest configuration.
    :param on_fault: records unexpected errors, which concern one job or one pool.
    :param observed_from_s: boot clock time from which on all runner exits are known.
    """

    def __init__(
        self,
        changed: t.Callable[[Job], None],
        settings: EngineSettings | None = None,
        limit_of: LimitSource = lambda account: None,
        are_limits_known: t.Callable[[], bool] = lambda: True,
        halls: HallPolicy = OPEN_HALLS,
        weights: WeightSource = dict,
        observed_from_s: float = -math.inf,
    ) -> None:
        self.halls = halls
        self.settings = settings or EngineSettings()
        self.times = RunTimes()
        self._ledger = Ledger(
            changed, self.settings.stop_effect_ms, limit_of, are_limits_known
        )
        self.quarantine = Quarantine(self.settings)
        self._crashes = Crashes(
            self._ledger, self.quarantine, self.settings, observed_from_s
        )
        self._outcomes = Outcomes(
            self._ledger, self.times, self._crashes, self.settings
        )
        self._lags = LagMonitor(
            self._ledger,
            self._outcomes,
            self._crashes,
            self.times,
            self.settings.progress,
        )
        self.jobs = self._ledger.jobs
        self.runners = self._ledger.runners
        self.accounts = self._ledger.accounts
        self.stops = self._ledger.stops
        self.shares = Shares(weights)
        self.choices = PoolChoices(self._ledger, self.times, self.shares)
        self._placer = PoolPlacer(
            self._ledger, self.times, self.choices, self.settings, self._pause
        )
        self.restarts = 0
        self.counts = self._ledger.counts
        self.failures = self._ledger.failures
        self.on_fault: OnFault = _ignore_fault

    # Jobs.

    def add(self, job: Job) -> None:
        """Add a job, either new or read back from the store, in accepted order."""
        self._ledger.add(job)
        self.quarantine.judge_job(job)
        self.shares.accept(job)

    def cancel(self, job: Job) -> None:
        """Cancel a job that is not over and have its runs stopped."""
        if job.over:
            return
        job.cancelled = True
        job.ended_at_s = time.time()
        self._ledger.stop_all(job, "cancelled")
        self._ledger.changed(job)

    def abandon(self, job: Job) -> None:
        """Fail a job of which a row can't be stored, and have its runs stopped."""
        if not job.over:
            self._outcomes.abandon(job)

    def withdraw(self, job: Job) -> None:
        """Remove a new job of which no start was sent, as if never submitted."""
        for attempt in list(job.attempts()):
            self._ledger.remove(attempt, self.runners.get(attempt.runner_id))
        self._ledger.drop(job)
        self.shares.withdraw(job)

    def forget(self, before_s: float) -> list[Job]:
        """Remove the jobs that ended before a wall time and return them."""
        return self._ledger.forget(before_s)

    def pending_count(self, route: str) -> int:
        """Return the number of a route's jobs that have not begun."""
        return sum(
            job.route == route and not job.begun and not job.over
            for job in self.open_jobs()
        )

    def open_jobs(self) -> t.Collection[Job]:
        """Return the jobs that may still have runs."""
        return self._ledger.open.values()

    # Runners.

    def add_runner(self, runner: RunnerState) -> None:
        """Add a new runner incarnation with the attempts that are persisted for it.

        If an earlier holder persisted a run for another incarnation of this runner, the
        run either was lost with that incarnation or has reached this one. It is
        therefore stopped and not started again.
        """
        runner.halls = self.halls
        self.runners[runner.runner_id] = runner
        self._crashes.on_runner_listed(runner)
        for job in self.open_jobs():
            for attempt in job.attempts():
                if attempt.runner_id != runner.runner_id:
                    continue
                if attempt.is_of_other_incarnation(runner.born_ms):
                    self._crashes.attribute_orphan_exit(attempt)
                    self.quarantine.judge(attempt.task)
                    self._stop_on_next_incarnation(attempt, runner)
                else:
                    runner.add(attempt.task.name, attempt)

    def _stop_on_next_incarnation(self, attempt: Attempt, runner: RunnerState) -> None:
        """Stop a run whose start may have reached this incarnation of its runner."""
        attempt.reset_confirmation(runner.born_ms)
        if not attempt.open_starts and not attempt.read_back:
            # Nothing is under way that this incarnation could still carry out.
            attempt.cleared = True
        self._ledger.task_changed(attempt.task)
        runner.add(attempt.task.name, attempt)
        self.stops.request_stop_again(attempt, "runner-restarted")

    def runner_exited(self, runner_id: str, why: str) -> None:
        """Handle a runner exit that is certain: none of its runs exists any more."""
        runner = self.runners.pop(runner_id, None)
        if runner is None:
            return
        attempts = list(runner.attempts.values())
        log.info(
            "runner-over",
            extra=describe_loss(runner, why),
        )
        self._expire(attempts, runner)

    def _expire(self, attempts: t.Sequence[Attempt], runner: RunnerState) -> None:
        """Requeue lost tasks, and hold back those to which too many exits are due."""
        attribution = self._crashes.attribute_exit(runner)
        self._ledger.expire_all(attempts, runner)
        for attempt in attribution.blamed:
            if attribution.at_start:
                self.quarantine.on_observed_exit(
                    attempt.task, attribution.conclusive, attribution.stable_runner
                )
            self.quarantine.judge(attempt.task)

    def runner_restarted(self, before: RunnerState, after: RunnerState) -> None:
        """Replace a runner incarnation with the next one under the same id.

        Nothing that is known about the former incarnation applies to the next one,
        neither its clock nor its lists, and its runs have ended with it. Runs whose
        starts may have reached the next incarnation are stopped there before their
        tasks are queued again.
        """
        self.restarts += 1
        lost = [a for a in before.attempts.values() if a.ends_with_incarnation]
        left = [a for a in before.attempts.values() if not a.ends_with_incarnation]
        log.warning(
            "runner-restarted",
            extra=describe_loss(before, "started again")
            | {
                "born_ms": after.born_ms,
                "born_before_ms": before.born_ms,
                "to_stop": describe(left),
            },
        )
        after.earlier_born_ms = before.earlier_born_ms
        if before.born_ms is not None:
            after.earlier_born_ms |= {before.born_ms}
        after.reserved, after.emptying = before.reserved, before.emptying
        self._expire(lost, before)
        after.halls = self.halls
        self.runners[after.runner_id] = after
        for attempt in left:
            self._stop_on_next_incarnation(attempt, after)

    def attempts_expired(
        self, runner_id: str, why: str, seen_only: bool = False
    ) -> bool:
        """Handle that runs on a runner have ended for certain; return whether any did.

        If the runner has answered and is not silent, their leases have lapsed because
        the holder could not renew them, which says nothing about the runner.

        :param seen_only: not those whose starts its next incarnation may still receive.
        """
        runner = self.runners.get(runner_id)
        attempts = list(runner.attempts.values()) if runner is not None else []
        if seen_only:
            attempts = [a for a in attempts if a.ends_with_incarnation]
        if runner is not None and attempts:
            log.info("attempts-lapsed", extra=describe_loss(runner, why))
            if runner.heard and runner.silent_at_s is None:
                self._ledger.expire_all(attempts, runner)
            else:
                self._expire(attempts, runner)
        return bool(attempts)

    def cold_halls(self) -> set[str]:
        """Return the halls with runners that are cold now."""
        now_s = boot_s()
        return {r.zone for r in self.runners.values() if r.cold_until_s > now_s}

    def orphans(self) -> list[Attempt]:
        """Return the attempts on runners that this holder does not know."""
        return self._ledger.orphans()

    def drop_orphan(self, attempt: Attempt) -> None:
        """Handle that an attempt on an unknown runner has expired for certain."""
        self._crashes.attribute_orphan_exit(attempt)
        self._ledger.expire(attempt, None)
        self.quarantine.judge(attempt.task)

    # Reports from runners.

    def on_hold(self, runner: RunnerState, reply: HoldReply) -> list[Stray]:
        """Process a runner's lists and return the runs that should not be there."""
        return self._outcomes.on_hold(runner, reply)

    def confirm(self, attempt: Attempt, clock_ms: int) -> None:
        """Handle a runner's confirmation that it has a run."""
        self._outcomes.confirm(attempt, clock_ms)

    def record_start(self, attempt: Attempt) -> None:
        """Record that the start of a cleared run is about to be sent.

        The start must be sent only once this is durable. Its runner is on probation
        from now on, since the run may have been placed long before, or by an earlier
        holder.
        """
        attempt.cleared = False
        runner = self.runners.get(attempt.runner_id)
        if runner is not None and attempt.task.suspect:
            begin_probation(attempt.task, runner)
        self._ledger.task_changed(attempt.task)

    def withdraw_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt of which no start was sent; its task is queued again."""
        self._ledger.withdraw(attempt)

    def leave_hall(self, attempt: Attempt, surely_unsent: bool) -> None:
        """Give up a start in a hall that may not be used, and place its task elsewhere.

        :param surely_unsent: no try to send this start can have reached the runner.
        """
        leave_hall(self._ledger, attempt, surely_unsent)

    def clear_if_outlived(self, attempt: Attempt) -> None:
        """Record that a runner has outlived the start of a suspect task's run."""
        runner = self.runners.get(attempt.runner_id)
        if runner is not None:
            self._crashes.clear_if_outlived(attempt, runner)

    def refuse(self, attempt: Attempt, why: str) -> None:
        """Handle a runner's answer that it did not and will not start a run."""
        self._outcomes.refuse(attempt, why)

    @property
    def unlisted_runs(self) -> int:
        """The number of runs that count as running although no list shows them.

        A run is included once it has been unlisted for longer than ``unlisted_s``.
        """
        since_s = boot_s() - self.settings.unlisted_s
        return sum(
            0 < attempt.unlisted_since_s < since_s
            for runner in self.runners.values()
            for attempt in runner.attempts.values()
        )

    # Stops.

    def stop(self, attempt: Attempt, reason: str) -> None:
        """Have a run stopped; its task is queued again once the run has ended."""
        self.stops.request_stop(attempt, reason)

    def take_stops(self) -> list[Attempt]:
        """Return the runs whose stop is due to be sent; the caller sends it."""
        return self.stops.take()

    @property
    def overdue_stops(self) -> int:
        """The number of overdue stops at the last call of `log_overdue_stops`."""
        return self.stops.overdue

    def log_overdue_stops(self) -> None:
        """Log runs that are still there although their stop is overdue."""
        self.stops.log_overdue()

    # Speculative copies and lagging runs.

    def request_copies(self, runner_id: str) -> bool:
        """Request speculative copies of a silent runner's runs where steps allow it.

        :return: whether a copy was requested that was not requested before.
        """
        return self._lags.request_copies(runner_id)

    def handle_lagging_runs(self) -> bool:
        """Copy or move runs that lag; return whether there were any."""
        return self._lags.watch()

    # Placement.

    def begin_due(self, now_s: float) -> float | None:
        """Create the occurrences that are due; return when the next one is due.

        Tasks whose quarantine is over are due as well.
        """
        self.quarantine.release_due()
        next_s: float | None = None
        for job in list(self._ledger.unbegun.values()):
            if job.paused:
                continue
            try:
                due_at_s = self._begin_due(job, now_s)
            except Exception as error:
                # The other jobs are due all the same.
                self._pause(job, error)
                continue
            if due_at_s is None:
                del self._ledger.unbegun[job.job_id]
            else:
                next_s = due_at_s if next_s is None else min(next_s, due_at_s)
        return next_s

    def _begin_due(self, job: Job, now_s: float) -> float | None:
        return None if job.over else job.begin_due(now_s, self.settings.early_s)

    def _pause(self, job: Job, error: Exception) -> None:
        """Place nothing of a job for a while, as a fault keeps it from being placed."""
        job.pause()
        log.error("job-paused", extra={"job": job.job_id, "pause_s": job.pause_s})
        self.on_fault("placement", error)

    def ready_steps(self) -> dict[str, list[StepRun]]:
        """Return the steps that have tasks to place, by pool."""
        found: dict[str, list[StepRun]] = {}
        for job in self.open_jobs():
            for occurrence in job.occurrences.values():
                steps = occurrence.waiting_steps()
                if steps and not job.over and not job.paused:
                    found.setdefault(job.service, []).extend(steps)
        return found

    def place_all(
        self,
        now_s: float,
        tickets: t.Callable[[StepRun], t.Collection[str] | None],
    ) -> list[Attempt]:
        """Place the tasks for which resources are free in all pools.

        :param tickets: returns the ids of the runners that may run a step; None means
            all.
        :return: the new attempts.
        """
        placed: list[Attempt] = []
        if not self.halls.are_known():
            return placed
        for service, steps in self.ready_steps().items():
            try:
                placed.extend(self._placer.place(service, steps, now_s, tickets))
            except Exception as error:
                # The other pools are served all the same.
                log.error("pool-not-served", extra={"pool": service})
                self.on_fault("placement", error)
        return placed
