"""How much work a pass does where more waits than fits: `a long queue`."""

import time
import typing as t

import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Engine
from streamthread.scheduler import engine as module
from streamthread.scheduler import Job
from streamthread.scheduler import RunnerState
from streamthread.scheduler.placement import LargestFreeCapacity

JOBS = 50
"""Enough that a pass which looks at all runners for each job stands out."""


def _runner(number: int, cpu: int, memory_mb: int) -> RunnerState:
    runner = RunnerState(
        f"i-{number}", "desk", f"x:{number}", "z", ("a", "r"), cpu, memory_mb, 0
    )
    runner.ready = True
    return runner


def _engine_with_queue() -> Engine:
    """Return an engine whose free cpu and free memory are on different runners."""
    engine = Engine(lambda job: None)
    engine.add_runner(_runner(0, cpu=16_000, memory_mb=100))
    engine.add_runner(_runner(1, cpu=1_000, memory_mb=64_000))
    step = StepRequest(count=4, cpu=4_000, memory_mb=1_000, estimate_ms=500)
    for number in range(JOBS):
        job = Job(f"{number:016x}", "r", "desk", JobRequest("", (step,)), b"", 0.0)
        engine.add(job)
    engine.begin_due(time.time())
    return engine


class CountedCapacity(LargestFreeCapacity):
    """Counts how often all runners are looked at for what is free."""

    count = 0

    @classmethod
    def among(cls, runners: t.Iterable[RunnerState]) -> LargestFreeCapacity:
        cls.count += 1
        return super().among(runners)


def test_runners_are_looked_at_again_only_after_placements(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pass that takes longer with each job that fits nowhere."""
    engine = _engine_with_queue()
    monkeypatch.setattr(CountedCapacity, "count", 0)
    monkeypatch.setattr(module, "LargestFreeCapacity", CountedCapacity)
    assert engine.place_all(time.time(), lambda step: None) == []
    assert CountedCapacity.count == 1
