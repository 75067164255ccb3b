"""After which time nothing that an earlier holder extended runs any more."""

from hypothesis import given
from hypothesis import strategies as st

from streamthread.clocks import SLOWEST_CLOCK
from streamthread.runners import LinkSettings
from streamthread.runners.clock import RunnerClock
from streamthread.runners.link import CLOCK_ERROR_S
from streamthread.runners.link import OLDEST_ANSWER_S

SETTINGS = LinkSettings(most_hold_s=6.0)
ROUNDING_MS = 2


class TestLapseBound:
    @given(
        pace=st.floats(SLOWEST_CLOCK, 1.0),
        age_s=st.floats(0.0, OLDEST_ANSWER_S),
        latency_s=st.floats(0.0, 0.05),
    )
    def test_covers_every_deadline(
        self, pace: float, age_s: float, latency_s: float
    ) -> None:
        """The runner told its clock when it said 0; its answer came later."""
        clock = RunnerClock()
        clock.sync(0, latency_s)
        sent_at_s = latency_s + age_s
        deadline_ms = clock.deadline_ms(sent_at_s, SETTINGS.most_hold_s)
        over_at_s = sent_at_s + SETTINGS.expiry_bound_s
        assert over_at_s * pace * 1000 >= deadline_ms - ROUNDING_MS

    def test_leaves_out_how_long_an_order_is_on_its_way(self) -> None:
        """A deadline is a time on the runner's clock, whenever it comes there."""
        longest_s = SETTINGS.most_hold_s / SLOWEST_CLOCK
        assert SETTINGS.expiry_bound_s <= longest_s + CLOCK_ERROR_S
