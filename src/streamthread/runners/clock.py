"""A runner's clock, as it can be told from its answers."""

import attrs

from ..clocks import SLOWEST_CLOCK

__all__ = ["RunnerClock"]


@attrs.define
class RunnerClock:
    """What is known of one runner's clock.

    :param latest_deadline_ms: the latest time until which anything there may be
        held, by whoever sent it.
    """

    latest_deadline_ms: int = 0
    _clock_ms: int | None = None
    _synced_at_s: float = 0.0

    @property
    def known(self) -> bool:
        """Whether the runner has ever told its clock."""
        return self._clock_ms is not None

    def sync(self, clock_ms: int, now_s: float) -> None:
        """Take the clock from an answer that came just now."""
        self._clock_ms = clock_ms
        self._synced_at_s = now_s

    def now_ms(self, now_s: float) -> int:
        """Return the runner's clock, as far as it runs at the right pace."""
        assert self._clock_ms is not None
        return self._clock_ms + int((now_s - self._synced_at_s) * 1000)

    def deadline_ms(self, now_s: float, for_s: float) -> int:
        """Return a deadline so far ahead, and remember it."""
        deadline_ms = self.now_ms(now_s) + int(for_s * 1000)
        self.latest_deadline_ms = max(self.latest_deadline_ms, deadline_ms)
        return deadline_ms

    def surely_past_ms(self, now_s: float) -> int:
        """Return a time that the clock has reached even if it runs slow."""
        assert self._clock_ms is not None
        return self._clock_ms + int((now_s - self._synced_at_s) * 1000 * SLOWEST_CLOCK)

    def all_lapsed(self, now_s: float) -> bool:
        """Whether every deadline that was ever sent has surely passed."""
        return self.known and self.surely_past_ms(now_s) > self.latest_deadline_ms
