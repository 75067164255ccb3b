"""Limits how many machines of a wave are down at once, and detects urgent waves."""

import math

__all__ = ["DOWN_S", "paced_slots", "presses"]

ROUND_S = 5.0
"""Duration of one round: emptying a machine takes as long as its tasks, about 2.5 s,
the upkeep takes 2 s, and its end appears in the machine list half a second later."""

DOWN_S = 3.0
"""How long a machine is down: the upkeep takes 2 s, ordering it and observing its end
take half a second each."""

SPARE_ROUNDS = 1
"""Rounds kept in reserve for a change of the holder or an outage of the store."""


def presses(left: int, max_at_once: int, remaining_s: float) -> bool:
    """Whether a wave is too urgent to wait until pools can spare machines.

    :param left: the number of machines that have not begun their upkeep.
    :param max_at_once: how many machines may be down at the same time.
    :param remaining_s: the time until the wave should be complete.
    """
    rounds = math.ceil(left / max(1, max_at_once))
    return remaining_s <= (rounds + SPARE_ROUNDS) * ROUND_S


def paced_slots(left: int, max_at_once: int, remaining_s: float) -> int:
    """Return how many machines of a wave may currently be down at once.

    The remaining machines are spread over the remaining time, without the rounds that
    :func:`presses` reserves, because machines in upkeep cannot serve a burst of load.
    """
    spread_s = remaining_s - (1 + SPARE_ROUNDS) * ROUND_S
    if spread_s <= DOWN_S:
        return max_at_once
    return min(max_at_once, math.ceil(left * DOWN_S / spread_s))
