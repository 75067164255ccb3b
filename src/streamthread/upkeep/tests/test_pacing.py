"""When a wave goes on although pools need their machines."""

from hypothesis import given
from hypothesis import strategies as st

from streamthread.upkeep.pacing import DOWN_S
from streamthread.upkeep.pacing import paced_slots
from streamthread.upkeep.pacing import presses


class TestPressing:
    def test_leaves_pools_alone_while_there_is_time(self) -> None:
        assert not presses(left=60, most_at_once=30, rest_s=20.0)

    def test_begins_while_all_rounds_still_fit(self) -> None:
        assert presses(left=60, most_at_once=30, rest_s=14.0)
        assert presses(left=1, most_at_once=30, rest_s=9.0)

    def test_is_certain_once_the_time_is_over(self) -> None:
        assert presses(left=1, most_at_once=1, rest_s=-1.0)


class TestPace:
    @given(st.integers(1, 200), st.integers(1, 60), st.floats(-10, 100))
    def test_keeps_the_limit_and_never_stops(
        self, left: int, most: int, rest_s: float
    ) -> None:
        assert 1 <= paced_slots(left, most, rest_s) <= most

    def test_spreads_a_wave_over_its_time(self) -> None:
        assert paced_slots(left=90, most_at_once=38, rest_s=28.0) == 15

    def test_takes_all_slots_when_time_runs_out(self) -> None:
        assert paced_slots(left=90, most_at_once=38, rest_s=10.0) == 38

    def test_ends_in_time_at_that_pace(self) -> None:
        """Played round by round, the last machine goes down within the time."""
        left, rest_s = 95, 25.0
        while left > 0:
            left -= paced_slots(left, 37, rest_s)
            rest_s -= DOWN_S
        assert rest_s > 0
