"""The pace of filling tasks, from the tail latency of a serving one beside them.

Additive increase, multiplicative decrease: the figures are rough and half a
second old, and the effect of filling on serving changes within seconds.
"""

import attrs

__all__ = ["FULL_PACE", "SharingSettings", "next_pace"]

FULL_PACE = 100


@attrs.frozen
class SharingSettings:
    """The gains of the control.

    :param slow_at: of the target: above it, filling slows down.
    :param stop_at: of the target: above it, filling stops at once.
    :param raise_below: of the target: below it, filling speeds up.
    :param slow_factor: what is left of the pace at each step down; four steps
        of under a second end below ``least_pace``, within the time after which
        a task over its target counts as harmed (4 s).
    :param raise_by: added to the pace at each step up, in percent.
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
    """Return the pace that filling tasks should work at from now on."""
    load = tail_ms / target_ms
    if load > settings.stop_at:
        return 0
    if load > settings.slow_at:
        slower = int(pace * settings.slow_factor)
        return slower if slower >= settings.least_pace else 0
    if load < settings.raise_below:
        return min(FULL_PACE, pace + settings.raise_by)
    return pace
