"""Estimates a runner's clock from its answers."""

import attrs

from ..clocks import SLOWEST_CLOCK

__all__ = ["RunnerClock"]


@attrs.define
class RunnerClock:
    """The estimated clock of one runner.

    :param latest_deadline_ms: the latest deadline, on the runner's clock, that any
        holder may have sent for the leases or the starts of runs there.
    """

    latest_deadline_ms: int = 0
    _clock_ms: int | None = None
    _synced_at_s: float = 0.0

    @property
    def known(self) -> bool:
        """Whether the runner has ever reported its clock."""
        return self._clock_ms is not None

    def sync(self, clock_ms: int, now_s: float) -> None:
        """Set the clock from an answer that has just arrived."""
        self._clock_ms = clock_ms
        self._synced_at_s = now_s

    def now_ms(self, now_s: float) -> int:
        """Return the runner's current time, assuming that its clock runs accurately."""
        assert self._clock_ms is not None
        return self._clock_ms + int((now_s - self._synced_at_s) * 1000)

    def deadline_ms(self, now_s: float, duration_s: float) -> int:
        """Return a deadline ``duration_s`` ahead and record it if it is the latest."""
        deadline_ms = self.now_ms(now_s) + int(duration_s * 1000)
        self.latest_deadline_ms = max(self.latest_deadline_ms, deadline_ms)
        return deadline_ms

    def earliest_now_ms(self, now_s: float) -> int:
        """Return a time that the clock has reached even if it runs slow.

        The slowest rate that is allowed for is ``SLOWEST_CLOCK``.
        """
        assert self._clock_ms is not None
        return self._clock_ms + int((now_s - self._synced_at_s) * 1000 * SLOWEST_CLOCK)

    def all_expired(self, now_s: float) -> bool:
        """Whether every deadline that was ever sent is certain to have passed."""
        return self.known and self.earliest_now_ms(now_s) > self.latest_deadline_ms
