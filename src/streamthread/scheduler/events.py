"""The log lines of the engine that describe placements and lost runners."""

import time
import typing as t

import logbook

from ..clocks import boot_s
from .crashes import describe
from .crashes import started_last
from .fleet import RunnerState
from .model import StepRun
from .placement import Placement

__all__ = ["describe_loss", "log_placement"]

log = logbook.Logger("streamthread.scheduler")


def log_placement(
    step: StepRun, planned: t.Sequence[tuple[Placement, int]], usable: int
) -> None:
    """Log where tasks are placed; log only once that a step waits."""
    if not planned and step.waiting_logged:
        return
    left = len(step.waiting())
    if not planned and not left:
        return
    step.waiting_logged = left > 0
    occurrence = step.occurrence
    log.info(
        "tasks-placed" if planned else "tasks-wait",
        extra={
            "job": occurrence.job.job_id,
            "step": f"{occurrence.number}.{step.number}",
            "runs": [[p.task.index, run, p.runner.runner_id] for p, run in planned],
            "left": left,
            "usable_runners": usable,
            "age_s": round(time.time() - occurrence.due_at_s, 3),
        },
    )


def describe_loss(runner: RunnerState, why: str) -> dict[str, t.Any]:
    """Return the log fields for a runner whose attempts are lost."""
    last = started_last(runner, boot_s())
    return {
        "runner": runner.runner_id,
        "why": why,
        "attempts": len(runner.attempts),
        "just_started": describe(last),
    }
