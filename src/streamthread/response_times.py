"""Estimates when the answer of a service is overdue, from its recent answers."""

import attrs

__all__ = ["MAX_ANSWER_TIMEOUT_S", "MIN_ANSWER_TIMEOUT_S", "ResponseTimes"]

MEAN_WEIGHT = 0.125
"""Weight of the newest answer in the mean, as in the RTT estimate of TCP (RFC 6298)."""

DEVIATION_WEIGHT = 0.25
"""Weight of the newest deviation in the mean deviation."""

DEVIATION_FACTOR = 4.0
"""An answer that exceeds the mean by this many deviations is overdue."""

MIN_ANSWER_TIMEOUT_S = 0.08
"""Minimum answer time-out. A commit takes 7 ms, and a busy holder processes its answer
up to 50 ms later."""

MAX_ANSWER_TIMEOUT_S = 0.6
"""Maximum answer time-out. A store that is 60 times slower answers in 0.3 s."""


@attrs.define
class ResponseTimes:
    """Estimates how long the answers of one service take."""

    _mean_s: float = 0.0
    _deviation_s: float = 0.0
    _doublings: int = 0

    @property
    def answer_timeout_s(self) -> float:
        """How long an answer may take before it is overdue."""
        usual_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        answer_timeout_s = max(MIN_ANSWER_TIMEOUT_S, usual_s) * 2.0**self._doublings
        return min(answer_timeout_s, MAX_ANSWER_TIMEOUT_S)

    def observe(self, took_s: float) -> None:
        """Record how long an answer took."""
        self._doublings = 0
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += (error_s - self._deviation_s) * DEVIATION_WEIGHT
        self._mean_s += (took_s - self._mean_s) * MEAN_WEIGHT

    def back_off(self) -> None:
        """Double the answer time-out, because an answer did not arrive at all."""
        if self.answer_timeout_s < MAX_ANSWER_TIMEOUT_S:
            self._doublings += 1
