"""Runs that are to be stopped and go on are told of."""

import time
import typing as t

import logbook
import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import RunnerState
from streamthread.scheduler.stops import OVERDUE_S

STEPS = (StepRequest(count=2, cpu=1000, memory_mb=1, lasting=True),)


@pytest.fixture
def lines() -> t.Iterator[logbook.TestHandler]:
    with logbook.TestHandler() as handler:
        yield handler


def _count(lines: logbook.TestHandler, event: str) -> int:
    return sum(record.message == event for record in lines.records)


def _engine_with_runs() -> tuple[Engine, Job]:
    engine = Engine(lambda job: None)
    job = Job("a" * 16, "r", "desk", JobRequest("x", STEPS), b"{}", time.time())
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
    runner.ready = True
    engine.add_runner(runner)
    engine.add(job)
    engine.begin_due(time.time())
    engine.place_all(time.time(), lambda step: None)
    return engine, job


class TestOverdueStops:
    def test_are_told_once_each_and_counted(self, lines: logbook.TestHandler) -> None:
        engine, job = _engine_with_runs()
        engine.cancel(job)
        assert _count(lines, "run-to-stop") == 2
        engine.watch_stops()
        assert engine.overdue_stops == 0
        for attempt in job.attempts():
            attempt.stopping_since_s -= OVERDUE_S + 1
        engine.watch_stops()
        engine.watch_stops()
        assert engine.overdue_stops == 2
        assert _count(lines, "stop-overdue") == 2

    def test_are_over_with_their_runner(self, lines: logbook.TestHandler) -> None:
        engine, job = _engine_with_runs()
        engine.cancel(job)
        for attempt in job.attempts():
            attempt.stopping_since_s -= OVERDUE_S + 1
        engine.watch_stops()
        engine.runner_over("i-1", "test")
        engine.watch_stops()
        assert engine.overdue_stops == 0
