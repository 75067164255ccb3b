"""How many machines of a wave may be down, and when it can wait no longer."""

import math

__all__ = ["DOWN_S", "paced_slots", "presses"]

ROUND_S = 5.0
"""Emptying a machine takes as long as its tasks, some 2.5 s, an upkeep 2 s; the list
shows its end half a second later."""

DOWN_S = 3.0
"""An upkeep takes 2 s, and half a second each until it is ordered and is seen."""

SPARE_ROUNDS = 1
"""Of the time for a round: what is left when a holder changes or the store is away."""


def presses(left: int, most_at_once: int, rest_s: float) -> bool:
    """Whether a wave can no longer wait for pools to have machines to spare.

    :param left: machines that have not begun their upkeep.
    :param rest_s: until the wave should be over.
    """
    rounds = math.ceil(left / max(1, most_at_once))
    return rest_s <= (rounds + SPARE_ROUNDS) * ROUND_S


def paced_slots(left: int, most_at_once: int, rest_s: float) -> int:
    """Return how many machines of a wave may be down at once for now.

    No more than spread what is left over the time, less what :func:`presses` keeps:
    machines in upkeep are not there for a burst.
    """
    spread_s = rest_s - (1 + SPARE_ROUNDS) * ROUND_S
    if spread_s <= DOWN_S:
        return most_at_once
    return min(most_at_once, math.ceil(left * DOWN_S / spread_s))
