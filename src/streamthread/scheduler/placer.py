"""Places the waiting tasks of one pool in a scheduling pass."""

import collections
import typing as t

from ..clocks import boot_s
from .choices import PoolChoices
from .events import log_placement
from .fleet import RunnerState
from .fleet import usable_runners
from .learning import RunTimes
from .ledger import Ledger
from .model import Attempt
from .model import Job
from .model import StepRun
from .model import Task
from .placement import FreeCapacity
from .placement import order_steps
from .placement import place_step
from .probation import begin_probation
from .settings import EngineSettings

__all__ = ["PoolPlacer"]


class PoolPlacer:
    """Gives free resources to the steps of a pool, in the order of their urgency.

    :param on_fault: called with a job that can't be placed because of a fault.
    """

    def __init__(
        self,
        ledger: Ledger,
        times: RunTimes,
        choices: PoolChoices,
        settings: EngineSettings,
        on_fault: t.Callable[[Job, Exception], None],
    ) -> None:
        self._on_fault = on_fault
        self._ledger = ledger
        self._times = times
        self._choices = choices
        self._settings = settings

    def place(
        self,
        service: str,
        steps: t.Sequence[StepRun],
        now_s: float,
        tickets: t.Callable[[StepRun], t.Collection[str] | None],
    ) -> list[Attempt]:
        """Place tasks of a pool's steps; return the new attempts.

        :param tickets: returns the ids of the runners that may run a step; None means
            all.
        """
        runners = usable_runners(self._ledger.runners.values(), service)
        free = FreeCapacity.among(runners)
        # Placements have reduced the free capacity since it was computed.
        outdated = False
        placed: list[Attempt] = []
        candidates = self._candidates(steps, free, len(runners))
        choice = self._choices.choice(service, candidates, runners, now_s)
        for step in order_steps(candidates, self._times, now_s, choice):
            try:
                attempts = self._place_next(step, runners, free, now_s, tickets)
            except Exception as error:
                # The other jobs are placed all the same.
                self._on_fault(step.occurrence.job, error)
                continue
            if attempts is None:
                log_placement(step, [], len(runners))
                continue
            placed.extend(attempts)
            if attempts:
                outdated = True
            elif outdated:
                free = FreeCapacity.among(runners)
                outdated = False
        self._choices.note_placed(placed, runners, now_s)
        return placed

    def _place_next(
        self,
        step: StepRun,
        runners: t.Sequence[RunnerState],
        free: FreeCapacity,
        now_s: float,
        tickets: t.Callable[[StepRun], t.Collection[str] | None],
    ) -> list[Attempt] | None:
        """Place tasks of one step; None if it certainly fits nowhere."""
        last_resort = self._needs_last_resort(step)
        if not last_resort and not free.may_fit(step):
            return None
        max_count = self._account_capacity(step)
        if not max_count:
            return None
        allowed = tickets(step)
        if not last_resort and not free.fits(step):
            return None
        usable = runners
        if last_resort:
            usable = usable_runners(
                self._ledger.runners.values(), step.occurrence.job.service, True
            )
        return self._place_step(step, usable, now_s, allowed, max_count)

    def _place_step(
        self,
        step: StepRun,
        usable: t.Sequence[RunnerState],
        now_s: float,
        tickets: t.Collection[str] | None,
        max_count: int,
    ) -> list[Attempt]:
        planned = [
            (placement, _next_run(placement.task))
            for placement in place_step(
                step, usable, now_s, tickets, max_count, self._hall_counts(step)
            )
        ]
        if step.request.gang and planned:
            _share_checkpoint(step)
        attempts = [self._plan(p.task, p.runner, run) for p, run in planned]
        log_placement(step, planned, len(usable))
        return attempts

    def _hall_counts(self, step: StepRun) -> t.Mapping[str, int] | None:
        """Return how many tasks of a step each hall has; None if it is not spread."""
        if not self._settings.spreads_over_halls:
            return None
        if not step.request.lasting or len(step.tasks) < 2:
            return None
        runners = (
            self._ledger.runners.get(attempt.runner_id)
            for task in step.tasks
            for attempt in task.attempts
        )
        return collections.Counter(r.zone for r in runners if r is not None)

    def _account_capacity(self, step: StepRun) -> int:
        """Return how many more tasks of a step its client account may have running."""
        job, request = step.occurrence.job, step.request
        return self._ledger.accounts.count_fitting(job, request, len(step.tasks))

    def _candidates(
        self, steps: t.Iterable[StepRun], free: FreeCapacity, usable: int
    ) -> list[StepRun]:
        """Return the steps worth sorting: those that may fit on some runner."""
        found: list[StepRun] = []
        for step in steps:
            if free.may_fit(step) or self._needs_last_resort(step):
                found.append(step)
            else:
                log_placement(step, [], usable)
        return found

    def _needs_last_resort(self, step: StepRun) -> bool:
        """Whether long-running tasks have waited so long that any runner will do."""
        if not step.request.lasting:
            return False
        since_s = boot_s() - self._settings.lasting_patience_s
        return any(task.waiting_since_s < since_s for task in step.waiting())

    def _plan(self, task: Task, runner: RunnerState, run: int) -> Attempt:
        task.last_run = run
        attempt = Attempt(
            task,
            task.last_run,
            runner.runner_id,
            born_ms=runner.born_ms,
            machine_id=runner.machine_id,
            cleared=task.lost_runners > 0,
        )
        self._ledger.plan(attempt, runner)
        runner.cold_starts.take()
        if task.suspect:
            begin_probation(task, runner)
        task.copy_requested = False
        self._ledger.task_changed(task)
        return attempt


def _next_run(task: Task) -> int:
    """Return the number of a task's next run; gang members share one number."""
    if not task.step.request.gang:
        return task.last_run + 1
    return max(member.last_run for member in task.step.tasks) + 1


def _share_checkpoint(step: StepRun) -> None:
    """Give all members of a gang the checkpoint that was reported last.

    They start with the same one, and any member's is valid for all. It is persisted
    with their next run, so that a later holder repeats the starts with it, too.
    """
    newest = max(step.tasks, key=lambda task: (task.checkpoint_at_s, task.checkpoint))
    for task in step.tasks:
        task.checkpoint = newest.checkpoint
        task.checkpoint_at_s = newest.checkpoint_at_s
