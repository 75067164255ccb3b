"""When a hall counts as lost, and as back."""

import pytest

from streamthread.halls import HallCount
from streamthread.halls import HallOutages
from streamthread.halls import OutageSettings
from streamthread.halls.outages import find_lost

SETTINGS = OutageSettings()
WELL = HallCount(10, 0)


def _lost(count: HallCount, before: tuple[str, ...] = ()) -> bool:
    return "a" in find_lost({"a": count, "b": WELL}, before, SETTINGS)


class TestLostHall:
    def test_has_mostly_silent_runners(self) -> None:
        assert _lost(HallCount(10, 6))
        assert not _lost(HallCount(10, 5))

    # Guards against a small hall that is lost with one machine.
    def test_has_a_minimum_of_silent_runners(self) -> None:
        assert not _lost(HallCount(2, 2))
        assert _lost(HallCount(3, 3))

    # Guards against a state that changes with every single runner.
    def test_is_back_when_most_runners_answer(self) -> None:
        assert _lost(HallCount(10, 4), before=("a",))
        assert not _lost(HallCount(10, 3), before=("a",))

    def test_stays_lost_when_its_entries_have_expired(self) -> None:
        assert _lost(HallCount(0, 0), before=("a",))
        assert find_lost({"b": WELL}, ("a",), SETTINGS) == {"a"}

    # Guards against a holder that is cut off and takes all others for lost.
    @pytest.mark.parametrize("other", [HallCount(10, 10), HallCount(10, 6)])
    def test_needs_another_hall_that_answers(self, other: HallCount) -> None:
        assert not find_lost({"a": HallCount(9, 9), "b": other}, (), SETTINGS)
        assert not find_lost({"a": HallCount(9, 9)}, (), SETTINGS)


class TestOutages:
    def test_report_each_loss_once(self) -> None:
        outages = HallOutages()
        gone = {"a": HallCount(4, 4), "b": WELL}
        assert outages.update(gone) == {"a"}
        since_s = outages.lost_since_s["a"]
        assert outages.update(gone) == set()
        assert outages.lost_since_s == {"a": since_s}
        assert outages.update({"a": HallCount(4, 1), "b": WELL}) == set()
        assert outages.lost_since_s == {}
        assert outages.update(gone) == {"a"}
