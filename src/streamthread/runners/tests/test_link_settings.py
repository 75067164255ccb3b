"""Tests the time after which all runs of an earlier holder have expired."""

from hypothesis import given
from hypothesis import strategies as st

from streamthread.clocks import SLOWEST_CLOCK
from streamthread.runners import LinkSettings
from streamthread.runners.clock import RunnerClock
from streamthread.runners.link import MAX_CLOCK_ERROR_S
from streamthread.runners.link import MAX_SYNC_AGE_S

SETTINGS = LinkSettings(most_hold_s=6.0)
ROUNDING_MS = 2


class TestExpiryBound:
    @given(
        pace=st.floats(SLOWEST_CLOCK, 1.0),
        age_s=st.floats(0.0, MAX_SYNC_AGE_S),
        latency_s=st.floats(0.0, 0.05),
    )
    def test_covers_every_deadline(
        self, pace: float, age_s: float, latency_s: float
    ) -> None:
        """The runner's clock was 0 when it sent its answer, which arrived later."""
        clock = RunnerClock()
        clock.sync(0, latency_s)
        sent_at_s = latency_s + age_s
        deadline_ms = clock.deadline_ms(sent_at_s, SETTINGS.most_hold_s)
        expired_at_s = sent_at_s + SETTINGS.expiry_bound_s
        assert expired_at_s * pace * 1000 >= deadline_ms - ROUNDING_MS

    def test_excludes_the_transmission_time_of_an_order(self) -> None:
        """A deadline is a time on the runner's clock, whenever the order arrives."""
        longest_s = SETTINGS.most_hold_s / SLOWEST_CLOCK
        assert SETTINGS.expiry_bound_s <= longest_s + MAX_CLOCK_ERROR_S
