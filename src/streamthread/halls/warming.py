"""Limits starts on cold runners while work returns to a hall."""

import attrs

__all__ = ["ColdRate", "ColdStarts", "cold_rate"]

MARGIN_SHARE = 0.5
"""The share that is used of the platform's tolerances, which are a factor and a number
of starts. The rest is left for entries that are some time old."""


@attrs.frozen
class ColdRate:
    """How many starts a cold runner may get.

    :param per_s: the rate at which further starts are allowed.
    :param burst: the number of starts that are allowed at once.
    """

    per_s: float
    burst: float


def cold_rate(
    per_s: float, cold_start_s: float, cold_left_s: float, excess: float, slack: float
) -> ColdRate | None:
    """Return the rate for a runner, or None if it has no limit.

    What its warmth allows rises evenly from nothing to `per_s` while it warms up.

    :param per_s: the number of starts per second for a cold runner; 0: no limit.
    :param cold_start_s: for how long a runner is cold.
    :param cold_left_s: for how long this one still is.
    :param excess: the factor by which the platform tolerates more starts.
    :param slack: the number by which it tolerates more in addition.
    """
    if not per_s or cold_left_s <= 0:
        return None
    warmth = max(0.0, 1 - cold_left_s / cold_start_s) if cold_start_s else 1.0
    factor = 1 + max(0.0, excess - 1) * MARGIN_SHARE
    return ColdRate(per_s * warmth * factor, max(1.0, slack * MARGIN_SHARE))


@attrs.define
class ColdStarts:
    """The starts that a cold runner may get now, and those that it got.

    :param left: the number of starts that are allowed now; None before the first use.
    :param at_s: boot clock time as of which that is so.
    """

    left: float | None = None
    at_s: float = 0.0

    def allowed(self, rate: ColdRate, now_s: float) -> int:
        """Return how many starts are allowed now."""
        if self.left is None:
            self.left = rate.burst
        else:
            gained = max(0.0, now_s - self.at_s) * rate.per_s
            self.left = min(rate.burst, self.left + gained)
        self.at_s = now_s
        return int(self.left)

    def take(self) -> None:
        """Count a start."""
        if self.left is not None:
            self.left -= 1
