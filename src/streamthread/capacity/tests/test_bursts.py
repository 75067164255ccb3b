"""Bursts are detected early and kept apart, and one large job is not a burst."""

import itertools
import math

from hypothesis import given
from hypothesis import strategies as st

from streamthread.capacity.bursts import ArrivalRate
from streamthread.capacity.bursts import JOBS_IN_MEAN
from streamthread.capacity.bursts import MAX_RISE_FACTOR
from streamthread.capacity.bursts import MeanWork
from streamthread.capacity.bursts import PoolArrivals

MACHINE = 16_000.0


class TestRate:
    @given(st.floats(0, 1e4))
    def test_has_a_lower_bound_of_zero_after_one_job(self, at_s: float) -> None:
        rate = ArrivalRate(0.6)
        rate.add(at_s)
        assert math.isclose(rate.lower_bound(at_s), 0.0, abs_tol=1e-9)
        assert rate.value(at_s) > 0

    @given(st.lists(st.floats(0, 5), max_size=30))
    def test_has_a_lower_bound_that_is_never_above_its_mean(
        self, pauses_s: list[float]
    ) -> None:
        rate = ArrivalRate(0.6)
        now_s = 0.0
        for pause_s in pauses_s:
            now_s += pause_s
            rate.add(now_s)
        assert 0.0 <= rate.lower_bound(now_s) <= rate.value(now_s) + 1e-9

    def test_approaches_the_true_rate(self) -> None:
        rate = ArrivalRate(0.6)
        for number in range(400):
            rate.add(number * 0.01)
        assert math.isclose(rate.value(4.0), 100.0, rel_tol=0.05)


class TestMeanWork:
    def test_follows_the_newest_jobs(self) -> None:
        work = MeanWork()
        work.add(100.0)
        assert work.value == 100.0
        for _ in range(10 * JOBS_IN_MEAN):
            work.add(200.0)
        assert math.isclose(work.value, 200.0, rel_tol=0.01)


def _arrivals(
    pauses_s: list[float], work: float = 1_000.0
) -> tuple[PoolArrivals, float]:
    arrivals = PoolArrivals()
    now_s = 0.0
    for pause_s in pauses_s:
        now_s += pause_s
        arrivals.add(work, now_s, MACHINE)
    return arrivals, now_s


class TestPoolRate:
    def test_is_the_rate_of_steady_arrivals(self) -> None:
        arrivals, now_s = _arrivals([0.02] * 500)
        assert math.isclose(arrivals.rate(now_s), 50_000, rel_tol=0.1)

    def test_reaches_the_rate_of_a_burst_within_a_second(self) -> None:
        quiet = [1.0] * 10
        arrivals, now_s = _arrivals(quiet + [0.02] * 50)
        assert arrivals.present is not None
        assert math.isclose(arrivals.rate(now_s), 50_000, rel_tol=0.25)

    def test_is_not_overstated_when_a_burst_goes_on_after_a_gap(self) -> None:
        arrivals, now_s = _arrivals([0.02] * 200 + [1.2] + [0.02] * 40)
        assert arrivals.rate(now_s) < 1.3 * 50_000

    def test_falls_with_the_newest_arrivals(self) -> None:
        arrivals, now_s = _arrivals([0.02] * 500)
        assert arrivals.rate(now_s + 1.0) < 0.4 * 50_000

    @given(st.lists(st.floats(0, 2), min_size=1, max_size=40))
    def test_stays_within_the_margin_of_the_fast_mean(
        self, pauses_s: list[float]
    ) -> None:
        arrivals, now_s = _arrivals(pauses_s)
        fast = arrivals._fast
        upper_bound = fast.value(now_s) + fast.margin(now_s)
        assert 0.0 <= arrivals.rate(now_s) <= upper_bound * 1_000.0 + 1e-6

    def test_changes_little_with_one_large_job(self) -> None:
        arrivals, now_s = _arrivals([0.02] * 200)
        before = arrivals.rate(now_s)
        arrivals.add(30_000.0, now_s, MACHINE)
        assert arrivals.rate(now_s) < 2.1 * before


class TestForecast:
    def test_is_the_rate_of_steady_arrivals(self) -> None:
        arrivals, now_s = _arrivals([0.02] * 300)
        assert math.isclose(
            arrivals.forecast(now_s, 1.9), arrivals.rate(now_s), rel_tol=0.05
        )

    def test_is_more_while_arrivals_rise(self) -> None:
        """The rate rises from 0 to 150 jobs per second within three seconds."""
        times_s = [math.sqrt(2 * number / 50) for number in range(1, 113)]
        pauses_s = [0.0, *[b - a for a, b in itertools.pairwise(times_s)]]
        arrivals, now_s = _arrivals(pauses_s)
        assert arrivals.forecast(now_s, 1.9) > 1.3 * arrivals.rate(now_s)

    def test_does_not_take_ten_jobs_for_a_rise(self) -> None:
        arrivals, now_s = _arrivals(
            [0.3, 0.2, 0.15, 0.1, 0.1, 0.1, 0.05, 0.05], 9_000.0
        )
        assert arrivals.present is not None
        assert arrivals.forecast(now_s, 1.9) == arrivals.rate(now_s)

    @given(st.lists(st.floats(0, 2), min_size=1, max_size=40), st.floats(0, 3))
    def test_is_at_least_the_rate_and_bounded(
        self, pauses_s: list[float], ahead_s: float
    ) -> None:
        arrivals, now_s = _arrivals(pauses_s)
        rate = arrivals.rate(now_s)
        forecast = arrivals.forecast(now_s, ahead_s)
        assert rate <= forecast <= rate * MAX_RISE_FACTOR + 1e-9


class TestBursts:
    def test_begin_within_half_a_second(self) -> None:
        arrivals = PoolArrivals()
        started = [arrivals.add(8_000.0, number * 0.07, MACHINE) for number in range(8)]
        assert any(started)
        assert arrivals.rate(0.5) > MACHINE

    def test_do_not_begin_with_single_jobs(self) -> None:
        arrivals = PoolArrivals()
        for number in range(10):
            assert arrivals.add(40_000.0, number * 5.0, MACHINE) is None

    def test_end_when_arrivals_cease(self) -> None:
        arrivals, _ = _arrivals([0.07] * 60, 8_000.0)
        arrivals.settle(4.3)
        assert arrivals.present is not None
        assert math.isclose(arrivals.present.rate, 1 / 0.07, rel_tol=0.1)
        arrivals.settle(8.0)
        assert arrivals.present is None
        assert arrivals.add(8_000.0, 18.0, MACHINE) is None
