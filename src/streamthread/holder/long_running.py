"""Moves long-running tasks off a runner whose machine goes into upkeep.

A stop is recorded nowhere, and a run is listed as working until its stop takes effect.
A new holder therefore counts a run that an earlier one started as working only once its
runner lists it after every stop of an earlier holder must have taken effect. It counts
no run before a list that was read after the last duty of an earlier holder must have
been carried out.
"""

import math
import typing as t

import logbook

from ..scheduler import Attempt
from ..scheduler import Engine
from ..scheduler import Phase
from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..upkeep.plan import count_unavailable
from ..upkeep.plan import is_after_earlier_stops
from ..upkeep.plan import may_stop_long_running

__all__ = ["LongRunningTasks"]

log = logbook.Logger("streamthread.duties")

WORKING_PERCENT = 100.0
"""A long-running task counts as working when its runner reports this progress."""


class LongRunningTasks:
    """Stops long-running tasks as far as their steps can do without one more.

    :param kick: schedules a pass over the queue, which sends the stops.
    :param duties_until_s: the time on the boot clock until which duties that an earlier
        holder ordered may be carried out.
    :param delayed: number of runs whose stop waited because orders of an earlier holder
        may still end another task of their step.
    """

    def __init__(
        self,
        engine: Engine,
        kick: t.Callable[[], None],
        duties_until_s: float = -math.inf,
    ) -> None:
        self._engine = engine
        self._kick = kick
        self._duties_until_s = duties_until_s
        # The last run of each task, by task name, whose stop waited.
        self._delayed_runs: dict[str, int] = {}
        self.delayed = 0

    def move_away(self, runner: RunnerState) -> None:
        """Stop a runner's long-running tasks that their steps can do without now."""
        for attempt in list(runner.attempts.values()):
            step = attempt.task.step
            if not step.request.lasting or attempt.phase is not Phase.CONFIRMED:
                continue
            unavailable = self._count_others(step, attempt, self._is_working)
            if may_stop_long_running(unavailable, step.request.may_miss):
                log.info(
                    "lasting-task-moved",
                    extra={"task": attempt.task.name, "runner": runner.runner_id},
                )
                self._engine.stop(attempt, "upkeep")
                self._kick()
                continue
            reported = self._count_others(step, attempt, self._is_reported_working)
            if may_stop_long_running(reported, step.request.may_miss):
                self._note_delay(attempt, unavailable - reported)

    def _count_others(
        self, step: StepRun, attempt: Attempt, works: t.Callable[[Attempt], bool]
    ) -> int:
        """Return how many other tasks of a step are not known to be working."""
        others = (task for task in step.tasks if task is not attempt.task)
        return count_unavailable(
            any(works(a) for a in task.attempts) for task in others
        )

    def _is_working(self, attempt: Attempt) -> bool:
        """Whether a run is working, and no order of an earlier holder may end it."""
        if not self._is_reported_working(attempt):
            return False
        if attempt.listed_at_s <= self._duties_until_s:
            # Its machine may have gone down since.
            return False
        return not attempt.read_back or is_after_earlier_stops(
            attempt.seen_at_s * 1000,
            self._engine.runners[attempt.runner_id].fenced_ms,
            self._engine.settings.stop_effect_ms,
        )

    def _is_reported_working(self, attempt: Attempt) -> bool:
        """Whether a run is working by the last list of a runner that answers.

        A run that this list does not contain may have ended.
        """
        runner = self._engine.runners.get(attempt.runner_id)
        if runner is None or not runner.ready or attempt.unlisted_since_s:
            return False
        return attempt.phase is Phase.CONFIRMED and attempt.percent >= WORKING_PERCENT

    def _note_delay(self, attempt: Attempt, unproven: int) -> None:
        """Log and count, once for each run, that its stop waits.

        :param unproven: how many other tasks orders of earlier holders may still end.
        """
        name = attempt.task.name
        if self._delayed_runs.get(name) == attempt.run:
            return
        self._delayed_runs[name] = attempt.run
        self.delayed += 1
        log.info(
            "lasting-task-waits",
            extra={
                "task": name,
                "runner": attempt.runner_id,
                "others_unproven": unproven,
            },
        )
