"""Moves lasting tasks off a runner whose machine goes into upkeep."""

import typing as t

import logbook

from ..scheduler import Attempt
from ..scheduler import Engine
from ..scheduler import Phase
from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..upkeep.plan import count_away
from ..upkeep.plan import may_stop_lasting

__all__ = ["LongRunningTasks"]

log = logbook.Logger("streamthread.duties")

WORKING_PERCENT = 100.0
"""A lasting task is at work when its runner says so much."""


class LongRunningTasks:
    """Stops lasting tasks, as far as their steps can miss one more.

    :param kick: has the queue looked at soon, so that the stops are sent.
    """

    def __init__(self, engine: Engine, kick: t.Callable[[], None]) -> None:
        self._engine = engine
        self._kick = kick

    def move_away(self, runner: RunnerState) -> None:
        """Stop the lasting tasks on a runner that may be missed now."""
        for attempt in list(runner.attempts.values()):
            step = attempt.task.step
            if not step.request.lasting or attempt.phase is not Phase.CONFIRMED:
                continue
            unavailable = self._count_unavailable(step, attempt)
            if may_stop_lasting(unavailable, step.request.may_miss):
                log.info(
                    "lasting-task-moved",
                    extra={"task": attempt.task.name, "runner": runner.runner_id},
                )
                self._engine.stop(attempt, "upkeep")
                self._kick()

    def _count_unavailable(self, step: StepRun, attempt: Attempt) -> int:
        """Return how many other tasks of a step are not surely at work."""
        others = (task for task in step.tasks if task is not attempt.task)
        return count_away(
            any(self._is_working(a) for a in task.attempts) for task in others
        )

    def _is_working(self, attempt: Attempt) -> bool:
        """What a runner said last counts only while it still answers."""
        runner = self._engine.runners.get(attempt.runner_id)
        if runner is None or not runner.ready:
            return False
        return attempt.phase is Phase.CONFIRMED and attempt.percent >= WORKING_PERCENT
