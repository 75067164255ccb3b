"""How many starts cold runners get while work returns to their hall."""

import pytest

from streamthread.halls import ColdRate
from streamthread.halls import ColdStarts
from streamthread.halls import Evacuations
from streamthread.halls import HallRegistry
from streamthread.halls import HallState
from streamthread.halls import registry as module
from streamthread.halls.warming import cold_rate
from streamthread.platform.manifest import Pool
from streamthread.platform.store import StoredRow
from streamthread.platform.table_feed import Update


class TestColdRate:
    def test_rises_with_the_warmth_and_stays_within_the_tolerance(self) -> None:
        rates = [cold_rate(4.0, 10.0, left_s, 1.5, 5.0) for left_s in (10.0, 5.0, 1.0)]
        assert [rate.per_s for rate in rates if rate] == pytest.approx([0, 2.5, 4.5])
        assert all(rate.burst == 2.5 for rate in rates if rate)

    @pytest.mark.parametrize(("per_s", "left_s"), [(0.0, 5.0), (4.0, 0.0)])
    def test_is_no_limit_without_a_rate_or_on_a_warm_runner(
        self, per_s: float, left_s: float
    ) -> None:
        assert cold_rate(per_s, 10.0, left_s, 1.5, 5.0) is None

    def test_allows_at_least_one_start_at_once(self) -> None:
        """Guards against a hall to which no work ever returns."""
        rate = cold_rate(4.0, 0.0, 5.0, 1.0, 0.0)
        assert rate == ColdRate(4.0, 1.0)


class TestColdStarts:
    def test_in_any_window_are_at_most_the_rate_and_the_burst(self) -> None:
        starts, rate = ColdStarts(), ColdRate(2.0, 3.0)
        taken_at_s: list[float] = []
        for tick in [*range(30), *range(70, 100)]:
            now_s = tick / 10
            for _ in range(starts.allowed(rate, now_s)):
                starts.take()
                taken_at_s.append(now_s)
        assert len(taken_at_s) == 3 + 5 + 3 + 5
        for first, begin_s in enumerate(taken_at_s):
            for last in range(first, len(taken_at_s)):
                window_s = taken_at_s[last] - begin_s
                assert last - first + 1 <= 2.0 * window_s + 3.0 + 1e-6


class _Hall:
    """The hall "z", which may be evacuated, and a clock."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.cold = {"z"}
        self.evacuations = Evacuations()
        self.registry = HallRegistry(
            self.evacuations,
            None,
            lambda: {"desk": Pool("desk", cold_start_s=8.0, cold_per_s=2.0)},
            lambda: self.cold,
            (1.5, 5.0),
        )

    def write(self, version: int, value: bytes | None, hall: str = "z") -> None:
        row = StoredRow("op", "", f"evacuate/{hall}", value, version)
        self.evacuations.apply(Update((row,), whole=False), self.now_s)
        if value is None:
            self.evacuations.withdrawn_at_s[hall] = self.now_s


@pytest.fixture
def hall(monkeypatch: pytest.MonkeyPatch) -> _Hall:
    hall = _Hall()
    monkeypatch.setattr(module, "boot_s", lambda: hall.now_s)
    return hall


class TestWarmingHall:
    def test_is_one_whose_evacuation_was_withdrawn_and_that_is_cold(
        self, hall: _Hall
    ) -> None:
        hall.write(1, b"{}")
        assert hall.registry.state("z") is HallState.EVACUATED
        hall.write(2, None)
        assert hall.registry.state("z") is HallState.WARMING
        assert hall.registry.cold_rate("z", "desk", 4.0) == ColdRate(1.25, 2.5)
        hall.cold.clear()
        hall.now_s += 1
        assert hall.registry.state("z") is HallState.OPEN

    def test_is_none_that_was_never_evacuated(self, hall: _Hall) -> None:
        """Guards against limits on ordinary days, whose new runners are cold, too."""
        assert hall.registry.state("z") is HallState.OPEN
        assert hall.registry.cold_rate("z", "desk", 4.0) is None

    def test_is_limited_from_the_moment_of_its_withdrawal(self, hall: _Hall) -> None:
        """Guards against a burst of starts while it is still remembered that only
        another hall is warming."""
        hall.write(1, b"{}", "y")
        hall.write(2, None, "y")
        assert hall.registry.cold_rate("y", "desk", 4.0) is not None
        hall.write(3, b"{}")
        assert hall.registry.cold_rate("z", "desk", 4.0) is None
        hall.write(4, None)
        assert hall.registry.cold_rate("z", "desk", 4.0) is not None

    def test_is_warming_until_its_machines_can_be_back_and_warm(
        self, hall: _Hall
    ) -> None:
        hall.write(1, b"{}")
        hall.write(2, None)
        hall.now_s += module.RETURN_S + 7.0
        assert hall.registry.is_warming("z")
        hall.now_s += 2.0
        assert not hall.registry.is_warming("z")
        assert hall.registry.cold_rate("z", "desk", 4.0) is None
