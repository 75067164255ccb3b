"""Controls the pace of filling tasks by the tail latency of a serving task.

The control uses additive increase and multiplicative decrease: the latencies are
imprecise and half a second old, and the effect of filling tasks on serving tasks
changes within seconds.
"""

import attrs

__all__ = ["FULL_PACE_PERCENT", "SharingSettings", "next_pace"]

FULL_PACE_PERCENT = 100


@attrs.frozen
class SharingSettings:
    """The thresholds and gains of the control.

    :param slow_at: above this fraction of the target latency, filling slows down.
    :param stop_at: above this fraction of the target latency, filling stops at once.
    :param raise_below: below this fraction of the target latency, filling speeds up.
    :param slow_factor: the factor by which the pace is multiplied at each step down.
        Four steps of less than a second each bring it below ``least_pace``, within the
        4 s after which a task that exceeds its target counts as harmed.
    :param raise_by: percentage points that are added to the pace at each step up.
    :param least_pace: a lower pace is set to 0.
    """

    slow_at: float = 0.9
    stop_at: float = 1.5
    raise_below: float = 0.7
    slow_factor: float = 0.4
    raise_by: int = 10
    least_pace: int = 8


def next_pace(
    pace: int, tail_ms: float, target_ms: float, settings: SharingSettings
) -> int:
    """Return the next pace of the filling tasks, in percent."""
    load = tail_ms / target_ms
    if load > settings.stop_at:
        return 0
    if load > settings.slow_at:
        slower = int(pace * settings.slow_factor)
        return slower if slower >= settings.least_pace else 0
    if load < settings.raise_below:
        return min(FULL_PACE_PERCENT, pace + settings.raise_by)
    return pace
