"""Tests that work returns in steps to runners that are cold."""

import time

import pytest

from streamthread.clocks import boot_s
from streamthread.halls import ColdRate
from streamthread.halls import OpenHalls
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.documents import RunnerEntry
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState


class _Warming(OpenHalls):
    """The hall "z" is warming; its cold runners get two starts at once."""

    def is_warming(self, hall: str) -> bool:
        return hall == "z"

    def cold_rate(self, hall: str, pool: str, cold_left_s: float) -> ColdRate | None:
        return ColdRate(0.0, 2.0) if hall == "z" else None


def _runner(runner_id: str, zone: str, cold_s: float = 60.0) -> RunnerState:
    runner = RunnerState(runner_id, "desk", "x:1", zone, ("a", "r"), 9000, 100, 0)
    runner.ready = True
    runner.cold_until_s = boot_s() + cold_s
    return runner


def _place(engine: Engine, step: StepRequest) -> list[str]:
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("", (step,)), b"", time.time()
    )
    engine.add(job)
    job.begin(0)
    placed = engine.place_all(time.time(), lambda step: None)
    return sorted(attempt.runner_id for attempt in placed)


@pytest.fixture
def engine() -> Engine:
    return Engine(lambda job: None, halls=_Warming())


class TestColdRunner:
    @pytest.mark.parametrize("same_rack", [False, True])
    def test_gets_no_more_starts_than_its_warmth_allows(
        self, engine: Engine, same_rack: bool
    ) -> None:
        engine.add_runner(_runner("i-1", "z"))
        step = StepRequest(count=5, cpu=100, memory_mb=1, same_rack=same_rack)
        assert _place(engine, step) == ["i-1", "i-1"]
        assert engine.place_all(time.time(), lambda step: None) == []

    def test_gets_work_only_once_warm_runners_are_full(self, engine: Engine) -> None:
        engine.add_runner(_runner("i-1", "z"))
        engine.add_runner(_runner("i-2", "y", cold_s=0.0))
        engine.runners["i-1"].used_cpu = 1000
        step = StepRequest(count=10, cpu=1000, memory_mb=1)
        assert _place(engine, step) == ["i-1"] + ["i-2"] * 9

    def test_of_another_hall_is_used_as_any_other(self, engine: Engine) -> None:
        """Guards against a change of decisions where no hall is evacuated."""
        engine.add_runner(_runner("i-1", "y"))
        step = StepRequest(count=5, cpu=100, memory_mb=1)
        assert _place(engine, step) == ["i-1"] * 5

    def test_is_warm_once_its_time_is_over(self, engine: Engine) -> None:
        engine.add_runner(_runner("i-1", "z", cold_s=-1.0))
        step = StepRequest(count=5, cpu=100, memory_mb=1)
        assert _place(engine, step) == ["i-1"] * 5

    def test_is_known_by_its_entry(self) -> None:
        entry = RunnerEntry("i-1", "desk", "x:1", "z", False, ("a",), 1, 1, 0)
        cold = RunnerEntry(
            "i-1", "desk", "x:1", "z", False, ("a",), 1, 1, 0, cold_left_ms=5000.0
        )
        runner = RunnerState.from_entry(cold)
        assert 4.0 < runner.cold_until_s - boot_s() <= 5.0
        runner.update(entry)
        assert runner.cold_until_s == 0.0
        runner.update(cold)
        assert runner.cold_until_s > 0.0
