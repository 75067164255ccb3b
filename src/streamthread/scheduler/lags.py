"""Handles lagging runs and runs on silent runners."""

import logbook

from ..clocks import boot_s
from .crashes import Crashes
from .fleet import RunnerState
from .fleet import usable_runners
from .learning import learning_key
from .learning import RunTimes
from .ledger import Ledger
from .model import Attempt
from .model import Phase
from .model import Task
from .outcomes import Outcomes
from .placement import has_required_label
from .placement import is_avoided
from .progress import detect_lag
from .progress import Lag
from .progress import ProgressSettings

__all__ = ["LagMonitor"]

log = logbook.Logger("streamthread.scheduler")


class LagMonitor:
    """Has lagging runs done elsewhere, by a speculative copy or after a stop.

    A speculative copy runs beside the first run if the step allows it. No other task
    may run twice at the same time.
    """

    def __init__(
        self,
        ledger: Ledger,
        outcomes: Outcomes,
        crashes: Crashes,
        times: RunTimes,
        settings: ProgressSettings,
    ) -> None:
        self._ledger = ledger
        self._outcomes = outcomes
        self._crashes = crashes
        self._times = times
        self._settings = settings

    def request_copies(self, runner_id: str) -> bool:
        """Request speculative copies of a silent runner's runs where steps allow it.

        :return: whether a copy was requested that was not requested before.
        """
        runner = self._ledger.runners.get(runner_id)
        if runner is None:
            return False
        self._crashes.suspect(runner)
        wanted = [
            self._request_copy(attempt, runner, "silent")
            for attempt in runner.attempts.values()
        ]
        return any(wanted)

    def watch(self) -> bool:
        """Copy or move runs that lag; return whether there were any.

        A move stops the run, so that its task is placed elsewhere.
        """
        found = False
        for runner in list(self._ledger.runners.values()):
            if not runner.ready or not runner.attempts:
                continue
            for attempt in list(runner.attempts.values()):
                expected_s = self._times.learned_s(learning_key(attempt.task.step))
                lag = detect_lag(attempt, expected_s, self._settings)
                if lag is not None:
                    found = self._replace_run(attempt, runner, lag) or found
        return found

    def _replace_run(self, attempt: Attempt, runner: RunnerState, lag: Lag) -> bool:
        """Have a lagging run done elsewhere if there is free capacity."""
        task = attempt.task
        if task.step.request.speculative:
            return self._request_copy(attempt, runner, lag.value)
        if task.moves >= self._settings.most_moves:
            return False
        if not self._fits_elsewhere(task, runner):
            return False
        task.moves += 1
        task.avoid.add(runner.incarnation)
        self._outcomes.note_failure(runner)
        self._ledger.count(f"moved-{lag.value}")
        _log_lag(attempt, lag.value)
        self._ledger.stops.request_stop(attempt, lag.value)
        return True

    def _request_copy(self, attempt: Attempt, runner: RunnerState, why: str) -> bool:
        """Request a speculative copy of a task if it may have one and has none."""
        task = attempt.task
        request = task.step.request
        if len(task.attempts) != 1 or task.copy_requested:
            return False
        if not self._crashes.may_copy(task):
            return False
        if not request.speculative or request.gang or attempt.phase is Phase.STOPPING:
            return False
        task.copy_requested = True
        task.waiting_since_s = boot_s()
        task.avoid.add(runner.incarnation)
        self._ledger.count(f"copied-{why}")
        _log_lag(attempt, why)
        return True

    def _fits_elsewhere(self, task: Task, runner: RunnerState) -> bool:
        request = task.step.request
        return any(
            has_required_label(task.step, other)
            and other.fits(request.cpu, request.memory_mb, request.gpu)
            for other in usable_runners(self._ledger.runners.values(), runner.service)
            if other is not runner and not is_avoided(task, other)
        )


def _log_lag(attempt: Attempt, why: str) -> None:
    log.info(
        "run-lags",
        extra={
            "task": attempt.task.name,
            "run": attempt.run,
            "runner": attempt.runner_id,
            "why": why,
            "percent": attempt.percent,
            "age_s": round(_age_s(attempt), 3),
            "copy": attempt.task.step.request.speculative,
        },
    )


def _age_s(attempt: Attempt) -> float:
    """Return how long a run has existed; 0 if it is not known to have begun."""
    return boot_s() - attempt.began_at_s if attempt.began_at_s else 0.0
