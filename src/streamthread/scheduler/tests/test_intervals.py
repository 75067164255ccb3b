"""Tests sets of whole numbers that are kept as intervals."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.scheduler.intervals import IntervalSet

NUMBERS = st.lists(st.integers(min_value=0, max_value=40))


class TestIntervalSet:
    @given(NUMBERS)
    def test_contains_what_was_added(self, numbers: list[int]) -> None:
        found, expected = IntervalSet(numbers), set(numbers)
        assert found == expected
        assert list(found) == sorted(expected)
        assert len(found) == len(expected)
        assert all((n in found) == (n in expected) for n in range(-1, 42))

    @given(NUMBERS)
    def test_has_no_adjacent_intervals(self, numbers: list[int]) -> None:
        intervals = IntervalSet(numbers).intervals
        for (_, last), (first, _) in itertools.pairwise(intervals):
            assert first > last + 1

    @given(NUMBERS)
    def test_is_restored_from_its_intervals(self, numbers: list[int]) -> None:
        found = IntervalSet(numbers)
        assert IntervalSet.of_intervals(found.intervals) == found

    @pytest.mark.parametrize(
        "intervals", [[(3, 2)], [(5, 6), (1, 2)], [(1, 3), (3, 4)]]
    )
    def test_refuses_intervals_out_of_order(
        self, intervals: list[tuple[int, int]]
    ) -> None:
        with pytest.raises(ValueError, match="out of order"):
            IntervalSet.of_intervals(intervals)
