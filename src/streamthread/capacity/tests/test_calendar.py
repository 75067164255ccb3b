"""The next burst of a pool, told from the bursts that there were."""

from streamthread.capacity import BurstCalendar


def _calendar(*begun_at_s: float) -> BurstCalendar:
    calendar = BurstCalendar()
    for at_s in begun_at_s:
        calendar.note("one", at_s)
    return calendar


class TestNextBurst:
    def test_is_unknown_without_two_gaps(self) -> None:
        assert _calendar().next_at_s("one") is None
        assert _calendar(0.0, 18.0).next_at_s("one") is None

    def test_follows_regular_gaps(self) -> None:
        assert _calendar(0.0, 18.0, 36.5).next_at_s("one") == 55.0

    def test_is_unknown_after_irregular_gaps(self) -> None:
        assert _calendar(0.0, 18.0, 22.0).next_at_s("one") is None

    def test_forgets_old_gaps(self) -> None:
        assert _calendar(0.0, 3.0, 23.0, 43.0).next_at_s("one") == 63.0

    def test_of_one_pool_says_nothing_of_another(self) -> None:
        assert _calendar(0.0, 18.0, 36.0).next_at_s("two") is None


class TestExpectation:
    def test_begins_ahead_and_ends_when_nothing_came(self) -> None:
        calendar = _calendar(0.0, 18.0, 36.0)
        first_s = 54.0 - calendar.settings.ahead_s
        last_s = 54.0 + calendar.settings.late_s
        assert not calendar.is_expected("one", first_s - 0.1)
        assert calendar.is_expected("one", first_s + 0.1)
        assert calendar.is_expected("one", last_s - 0.1)
        assert not calendar.is_expected("one", last_s + 0.1)
