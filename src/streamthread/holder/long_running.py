"""Moves long-running tasks off a runner whose machine goes into upkeep."""

import typing as t

import logbook

from ..scheduler import Attempt
from ..scheduler import Engine
from ..scheduler import Phase
from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..upkeep.plan import count_unavailable
from ..upkeep.plan import may_stop_long_running

__all__ = ["LongRunningTasks"]

log = logbook.Logger("streamthread.duties")

WORKING_PERCENT = 100.0
"""A long-running task counts as working when its runner reports this progress."""


class LongRunningTasks:
    """Stops long-running tasks as far as their steps can do without one more.

    :param kick: schedules a pass over the queue, which sends the stops.
    """

    def __init__(self, engine: Engine, kick: t.Callable[[], None]) -> None:
        self._engine = engine
        self._kick = kick

    def move_away(self, runner: RunnerState) -> None:
        """Stop a runner's long-running tasks that their steps can do without now."""
        for attempt in list(runner.attempts.values()):
            step = attempt.task.step
            if not step.request.lasting or attempt.phase is not Phase.CONFIRMED:
                continue
            unavailable = self._count_unavailable(step, attempt)
            if may_stop_long_running(unavailable, step.request.may_miss):
                log.info(
                    "lasting-task-moved",
                    extra={"task": attempt.task.name, "runner": runner.runner_id},
                )
                self._engine.stop(attempt, "upkeep")
                self._kick()

    def _count_unavailable(self, step: StepRun, attempt: Attempt) -> int:
        """Return how many other tasks of a step are not known to be working."""
        others = (task for task in step.tasks if task is not attempt.task)
        return count_unavailable(
            any(self._is_working(a) for a in task.attempts) for task in others
        )

    def _is_working(self, attempt: Attempt) -> bool:
        """Whether a run is working; a report counts only while its runner answers."""
        runner = self._engine.runners.get(attempt.runner_id)
        if runner is None or not runner.ready:
            return False
        return attempt.phase is Phase.CONFIRMED and attempt.percent >= WORKING_PERCENT
