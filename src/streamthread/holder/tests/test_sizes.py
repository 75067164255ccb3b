"""Pools keep their machines until jobs have shown what is needed."""

import typing as t

import attrs
import pytest

from streamthread.capacity import CapacitySettings
from streamthread.capacity import demand
from streamthread.capacity import MachineView
from streamthread.holder import sizes
from streamthread.holder.sizes import PoolSizes
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.manifest import Pool
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler.learning import RunTimes
from streamthread.scheduler.model import Occurrence

SETTINGS = CapacitySettings()
VIEWS = [
    MachineView(f"m{n}", pool, "r", 16_000, 32_000, free_to_move=True)
    for pool in ("one", "two")
    for n in range(8)
]
POOLS = [Pool("one"), Pool("two")]


class _Clock:
    """Replaces the clocks."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def boot_s(self) -> float:
        return self.now_s

    def time(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr(sizes, "time", t.cast(t.Any, clock))
    monkeypatch.setattr(sizes, "boot_s", clock.boot_s)
    return clock


class TestColdStart:
    def test_keeps_all_machines_before_the_first_job(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        clock.now_s += SETTINGS.cold_s - 1
        assert pool_sizes.retained_machines(VIEWS) == {"one": 8, "two": 8}

    def test_releases_machines_one_after_the_other(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        pool_sizes.targets(POOLS, VIEWS)
        pool_sizes.retained_machines(VIEWS)
        pool_sizes.record_job("one", 50_000.0, clock.now_s)
        retained = []
        for _ in range(5):
            retained.append(pool_sizes.retained_machines(VIEWS[:10])["one"])
            clock.now_s += SETTINGS.cold_leave_s / 4
        assert retained == [8, 6, 4, 2, 0]

    def test_keeps_all_machines_of_a_pool_whose_burst_begins(
        self, clock: _Clock
    ) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        pool_sizes.targets(POOLS, VIEWS)
        pool_sizes.retained_machines(VIEWS)
        for _ in range(10):
            clock.now_s += 0.1
            pool_sizes.record_job("one", 8_000.0, clock.now_s)
        retained = pool_sizes.retained_machines(VIEWS)
        assert retained["one"] == 8
        assert retained["two"] < 8

    def test_does_not_wait_forever_for_a_first_job(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        clock.now_s += SETTINGS.cold_s + 1
        assert pool_sizes.retained_machines(VIEWS) == {"one": 0, "two": 0}


class TestReducedCapacity:
    @pytest.mark.parametrize(
        ("lost_share", "machines"), [(0.0, 4), (0.5, 5), (1.0, 5), (0.001, 4)]
    )
    def test_is_replaced(self, clock: _Clock, lost_share: float, machines: int) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        views = [
            attrs.evolve(view, lost_share=lost_share if view.pool == "one" else 0.0)
            for view in VIEWS
        ]
        pool_sizes.targets(POOLS, views)
        pool_sizes.record_job("one", 16_000.0 * 3.0, clock.now_s)
        clock.now_s += 0.1
        targets = pool_sizes.targets(POOLS, views)
        assert targets["one"] == machines
        assert targets["two"] == SETTINGS.least_machines

    def test_is_not_replaced_without_demand(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        views = [attrs.evolve(view, lost_share=0.9) for view in VIEWS]
        expected = dict.fromkeys(("one", "two"), SETTINGS.least_machines)
        assert pool_sizes.targets(POOLS, views) == expected


def test_excess_is_no_need(clock: _Clock) -> None:
    """Guards against a flood that makes its pool grow at the expense of others."""
    engine = Engine(lambda job: None)
    step = StepRequest(count=40, cpu=4_000, estimate_ms=1_000)
    request = JobRequest("", (step,))
    job = Job("a" * 16, JobTerms("r", "one", stretch=1.6), request, b"", clock.now_s)
    job.begin(0)
    engine.add(job)
    pool_sizes = PoolSizes(engine, SETTINGS)
    needed = pool_sizes.targets(POOLS, VIEWS)
    assert needed["one"] > needed["two"]
    assert pool_sizes.with_excess == {}
    job.excess = True
    assert pool_sizes.targets(POOLS, VIEWS)["one"] == needed["two"]
    assert pool_sizes.with_excess == {"one": needed["one"]}


def test_each_job_is_looked_at_once(
    clock: _Clock, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against computing all needs twice where some of the work is excess."""
    engine = Engine(lambda job: None)
    request = JobRequest("", (StepRequest(cpu=4_000, estimate_ms=1_000),))
    for number in range(4):
        job = Job(f"{number:016x}", JobTerms("r", "one"), request, b"", clock.now_s)
        engine.add(job)
        job.begin(0)
        job.excess = number == 0
    looked_at: list[object] = []
    needs_of = demand._occurrence_demand

    def counted(occurrence: Occurrence, times: RunTimes, now_s: float) -> t.Any:
        looked_at.append(occurrence)
        return needs_of(occurrence, times, now_s)

    monkeypatch.setattr(demand, "_occurrence_demand", counted)
    pool_sizes = PoolSizes(engine, SETTINGS)
    pool_sizes.targets(POOLS, VIEWS)
    assert list(pool_sizes.with_excess) == ["one"]
    assert len(looked_at) == len(set(looked_at)) == 4


# Guards against pools that grow too late where moves take longer than usual.
def test_arrivals_are_forecast_for_the_stated_time_of_a_move(clock: _Clock) -> None:
    wanted: list[int] = []
    for move_s in (1.5, 20.0):
        settings = attrs.evolve(SETTINGS, move_s=move_s)
        pool_sizes = PoolSizes(Engine(lambda job: None), settings)
        pool_sizes.targets(POOLS, VIEWS)
        for gap_s in (0.5, 0.4, 0.3, 0.2, 0.15, *[0.1] * 10, *[0.05] * 20):
            clock.now_s += gap_s
            pool_sizes.record_job("one", 3_000.0, clock.now_s)
        wanted.append(pool_sizes.targets(POOLS, VIEWS)["one"])
    assert wanted[1] > wanted[0]
