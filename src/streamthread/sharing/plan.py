"""Decides which filling tasks of a runner get a new pace."""

import attrs

from ..scheduler import Attempt
from ..scheduler import Phase
from ..scheduler import RunnerState
from .control import FULL_PACE_PERCENT
from .control import next_pace
from .control import SharingSettings

__all__ = ["PaceOrder", "plan_paces"]


@attrs.frozen
class PaceOrder:
    """An order that limits one run to a percentage of its full speed."""

    attempt: Attempt
    percent: int


def plan_paces(runner: RunnerState, settings: SharingSettings) -> list[PaceOrder]:
    """Return the pace orders that follow from a runner's latest list.

    The serving task with the highest ratio of latency to target determines the pace of
    all filling tasks.
    """
    running = [a for a in runner.attempts.values() if a.phase is Phase.CONFIRMED]
    filling = [a for a in running if a.task.step.request.fills]
    if not filling:
        return []
    worst = max(
        (
            (a.usage / a.task.step.request.target_ms, a)
            for a in running
            if a.usage is not None and a.task.step.request.target_ms > 0
        ),
        key=lambda pair: pair[0],
        default=None,
    )
    orders: list[PaceOrder] = []
    for attempt in filling:
        known = (
            FULL_PACE_PERCENT if attempt.pace_percent is None else attempt.pace_percent
        )
        wanted = FULL_PACE_PERCENT
        if worst is not None:
            serving = worst[1]
            target_ms = serving.task.step.request.target_ms
            wanted = next_pace(known, serving.usage or 0.0, target_ms, settings)
        if wanted != attempt.pace_percent or attempt.pace_open_until_s:
            orders.append(PaceOrder(attempt, wanted))
    return orders
