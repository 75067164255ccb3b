"""Limits how many machines of a wave are down at once, and detects urgent waves."""

import math

__all__ = ["DEFAULT_UPKEEP_S", "down_s", "paced_slots", "presses"]

DEFAULT_UPKEEP_S = 2.0
"""Duration of an upkeep, unless the platform states another one."""

EMPTYING_S = 2.5
"""How long it takes until the tasks of a machine have ended that is emptied."""

LATENCY_S = 0.5
"""Ordering an upkeep takes this time, and observing its end as well."""

SPARE_ROUNDS = 1
"""Rounds kept in reserve for a change of the holder or an outage of the store."""


def down_s(upkeep_s: float) -> float:
    """Return how long a machine is down."""
    return LATENCY_S + upkeep_s + LATENCY_S


def _round_s(upkeep_s: float) -> float:
    """Return the duration of one round: emptying, the upkeep, and observing its end."""
    return EMPTYING_S + upkeep_s + LATENCY_S


def presses(
    left: int,
    max_at_once: int,
    remaining_s: float,
    upkeep_s: float = DEFAULT_UPKEEP_S,
) -> bool:
    """Whether a wave is too urgent to wait until pools can spare machines.

    :param left: the number of machines that have not begun their upkeep.
    :param max_at_once: how many machines may be down at the same time.
    :param remaining_s: the time until the wave should be complete.
    :param upkeep_s: duration of one upkeep.
    """
    rounds = math.ceil(left / max(1, max_at_once))
    return remaining_s <= (rounds + SPARE_ROUNDS) * _round_s(upkeep_s)


def paced_slots(
    left: int,
    max_at_once: int,
    remaining_s: float,
    upkeep_s: float = DEFAULT_UPKEEP_S,
) -> int:
    """Return how many machines of a wave may currently be down at once.

    The remaining machines are spread over the remaining time, without the rounds that
    :func:`presses` reserves, because machines in upkeep cannot serve a burst of load.
    """
    spread_s = remaining_s - (1 + SPARE_ROUNDS) * _round_s(upkeep_s)
    if spread_s <= down_s(upkeep_s):
        return max_at_once
    return min(max_at_once, math.ceil(left * down_s(upkeep_s) / spread_s))
