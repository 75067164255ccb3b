"""Tests when a wave proceeds although pools need their machines."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.upkeep.pacing import DEFAULT_UPKEEP_S
from streamthread.upkeep.pacing import down_s
from streamthread.upkeep.pacing import paced_slots
from streamthread.upkeep.pacing import presses


class TestPresses:
    def test_is_false_while_there_is_time(self) -> None:
        assert not presses(left=60, max_at_once=30, remaining_s=20.0)

    def test_is_true_while_all_rounds_still_fit(self) -> None:
        assert presses(left=60, max_at_once=30, remaining_s=14.0)
        assert presses(left=1, max_at_once=30, remaining_s=9.0)

    def test_is_true_after_the_deadline(self) -> None:
        assert presses(left=1, max_at_once=1, remaining_s=-1.0)

    # Guards against a wave that waits for its pools until it can't end in time.
    def test_counts_rounds_of_the_stated_length(self) -> None:
        assert not presses(left=60, max_at_once=30, remaining_s=60.0)
        assert presses(left=60, max_at_once=30, remaining_s=60.0, upkeep_s=20.0)


class TestPace:
    @given(st.integers(1, 200), st.integers(1, 60), st.floats(-10, 100))
    def test_respects_the_limit_and_is_never_zero(
        self, left: int, most: int, remaining_s: float
    ) -> None:
        assert 1 <= paced_slots(left, most, remaining_s) <= most

    def test_spreads_a_wave_over_its_time(self) -> None:
        assert paced_slots(left=90, max_at_once=38, remaining_s=28.0) == 15

    def test_uses_all_slots_when_time_runs_out(self) -> None:
        assert paced_slots(left=90, max_at_once=38, remaining_s=10.0) == 38

    # Guards against waves that end late where an upkeep takes longer than usual.
    @pytest.mark.parametrize("upkeep_s", [0.2, DEFAULT_UPKEEP_S, 6.0, 20.0])
    def test_ends_in_time_at_that_pace(self, upkeep_s: float) -> None:
        """Simulates round by round that the last machine goes down in time."""
        left, remaining_s = 95, 25.0 * down_s(upkeep_s) / down_s(DEFAULT_UPKEEP_S)
        while left > 0:
            left -= paced_slots(left, 37, remaining_s, upkeep_s)
            remaining_s -= down_s(upkeep_s)
        assert remaining_s > 0
