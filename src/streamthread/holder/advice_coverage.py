"""Whether the policy of a step permits any of the runners that its pool has."""

import enum
import typing as t

from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..scheduler.placement import has_required_label
from .advice_choice import count_fitting
from .advice_choice import RunnerAnswer

__all__ = ["Coverage", "step_coverage"]


class Coverage(enum.IntEnum):
    """What the answers of the advice service say about the runners of a pool.

    The values rise with what a waiting step lacks.
    """

    PERMITTED = 0
    """Enough runners are permitted, whether or not they have room now."""

    UNKNOWN = 1
    """Some runners were not asked about yet."""

    DENIED = 2
    """All were asked about, and too few are permitted."""


def step_coverage(
    step: StepRun,
    runners: t.Mapping[str, RunnerState],
    answers: t.Mapping[str, RunnerAnswer],
) -> Coverage:
    """Return whether a step can start on the runners that its policy permits.

    All tasks of a gang start at once, one task of any other step is enough. Expired
    answers count, since the service does not change its answers.

    :param runners: the runners of the step's pool, by id.
    """
    missing = len(step.tasks) if step.request.gang else 1
    for runner_id, answer in answers.items():
        if answer.ticket and runner_id in runners:
            missing -= _room(step, runners[runner_id], missing)
            if missing <= 0:
                return Coverage.PERMITTED
    for runner_id, runner in runners.items():
        if runner_id not in answers and _room(step, runner, 1):
            return Coverage.UNKNOWN
    return Coverage.DENIED


def _room(step: StepRun, runner: RunnerState, max_count: int) -> int:
    """Return how many of a step's tasks an idle runner can run at once."""
    if not has_required_label(step, runner):
        return 0
    return count_fitting(step, (runner.cpu, runner.memory_mb, runner.gpu), max_count)
