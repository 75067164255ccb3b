"""The next burst of a pool, told from the bursts that there were."""

from streamthread.capacity import BurstCalendar

POOLS = ("one", "two", "three")


def _calendar(*begun: tuple[str, float]) -> BurstCalendar:
    calendar = BurstCalendar()
    for pool, at_s in begun:
        calendar.note(pool, at_s)
    return calendar


class TestNextBurst:
    def test_is_unknown_before_any_round_is_over(self) -> None:
        calendar = _calendar(("one", 0.0), ("two", 4.5))
        assert all(calendar.next_at_s(pool, POOLS) is None for pool in POOLS)

    def test_follows_a_pools_own_gap(self) -> None:
        calendar = _calendar(("one", 0.0), ("one", 18.0))
        assert calendar.next_at_s("one", POOLS) == 36.0

    def test_follows_the_round_of_another_pool(self) -> None:
        calendar = _calendar(("one", 0.0), ("two", 4.5), ("one", 18.0))
        assert calendar.next_at_s("two", POOLS) == 22.5
        assert calendar.next_at_s("three", POOLS) is None

    def test_follows_regular_turns_once_all_pools_had_theirs(self) -> None:
        calendar = _calendar(("one", 0.0), ("two", 4.6), ("three", 9.0))
        assert calendar.next_at_s("one", POOLS) == 13.5

    def test_is_unknown_after_irregular_turns(self) -> None:
        calendar = _calendar(("one", 0.0), ("two", 2.0), ("three", 9.0))
        assert calendar.next_at_s("one", POOLS) is None

    def test_is_not_told_from_a_burst_that_is_noted_twice(self) -> None:
        calendar = _calendar(("one", 0.0), ("one", 0.4))
        assert calendar.next_at_s("one", POOLS) is None


class TestExpectation:
    def test_begins_ahead_and_ends_when_nothing_came(self) -> None:
        calendar = _calendar(("one", 0.0), ("one", 18.0))
        settings = calendar.settings
        first_s = 36.0 - settings.ahead_s
        last_s = 36.0 + settings.late_s
        assert not calendar.is_expected("one", POOLS, first_s - 0.1)
        assert calendar.is_expected("one", POOLS, first_s + 0.1)
        assert calendar.is_expected("one", POOLS, last_s - 0.1)
        assert not calendar.is_expected("one", POOLS, last_s + 0.1)
