"""Pools keep their machines until jobs have told what is needed."""

import time
import typing as t

import pytest

from streamthread.capacity import CapacitySettings
from streamthread.capacity import MachineView
from streamthread.holder import sizes
from streamthread.holder.sizes import PoolSizes
from streamthread.platform.documents import Pool
from streamthread.scheduler import Engine

SETTINGS = CapacitySettings()
VIEWS = [
    MachineView(f"m{n}", pool, "r", 16_000, 32_000, free_to_move=True)
    for pool in ("one", "two")
    for n in range(8)
]
POOLS = [Pool("one"), Pool("two")]


class _Clock:
    """Stands for the monotonic clock."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s

    def time(self) -> float:
        return time.time()


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr(sizes, "time", t.cast(t.Any, clock))
    return clock


class TestColdStart:
    def test_keeps_all_machines_before_the_first_job(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        clock.now_s += SETTINGS.cold_s - 1
        assert pool_sizes.targets(POOLS, VIEWS) == {"one": 8, "two": 8}

    def test_keeps_them_while_the_first_burst_shows(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        pool_sizes.targets(POOLS, VIEWS)
        pool_sizes.note_job("one", 50_000.0, clock.now_s)
        clock.now_s += SETTINGS.cold_settle_s / 2
        assert pool_sizes.targets(POOLS, VIEWS) == {"one": 8, "two": 8}
        clock.now_s += SETTINGS.cold_settle_s
        assert pool_sizes.targets(POOLS, VIEWS)["two"] == SETTINGS.least_machines

    def test_does_not_wait_for_a_first_job_for_ever(self, clock: _Clock) -> None:
        pool_sizes = PoolSizes(Engine(lambda job: None), SETTINGS)
        clock.now_s += SETTINGS.cold_s + 1
        targets = pool_sizes.targets(POOLS, VIEWS)
        assert targets == dict.fromkeys(targets, SETTINGS.least_machines)
