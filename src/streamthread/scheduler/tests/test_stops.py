"""Tests that runs which continue although they are to be stopped are logged."""

import time
import typing as t

import logbook
import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
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
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("x", STEPS), b"{}", time.time()
    )
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
    runner.ready = True
    engine.add_runner(runner)
    engine.add(job)
    engine.begin_due(time.time())
    engine.place_all(time.time(), lambda step: None)
    return engine, job


def _make_overdue(attempt: Attempt) -> None:
    """Make a run's stop older than a stop may take."""
    assert attempt.stop is not None
    attempt.stop.since_s -= OVERDUE_S + 1


class TestOverdueStops:
    def test_are_logged_once_each_and_counted(self, lines: logbook.TestHandler) -> None:
        engine, job = _engine_with_runs()
        engine.cancel(job)
        assert _count(lines, "run-to-stop") == 2
        engine.log_overdue_stops()
        assert engine.overdue_stops == 0
        for attempt in job.attempts():
            _make_overdue(attempt)
        engine.log_overdue_stops()
        engine.log_overdue_stops()
        assert engine.overdue_stops == 2
        assert _count(lines, "stop-overdue") == 2

    def test_end_with_their_runner(self, lines: logbook.TestHandler) -> None:
        engine, job = _engine_with_runs()
        engine.cancel(job)
        for attempt in job.attempts():
            _make_overdue(attempt)
        engine.log_overdue_stops()
        engine.runner_exited("i-1", "test")
        engine.log_overdue_stops()
        assert engine.overdue_stops == 0


def _list(engine: Engine, attempt: Attempt, clock_ms: int) -> None:
    """Let the runner list the run."""
    row = RunningTask(attempt.task.name, attempt.run, "", 100.0)
    runner = engine.runners[attempt.runner_id]
    engine.on_hold(runner, HoldReply(clock_ms, (row,), ()))


def _answer(attempt: Attempt, clock_ms: int) -> None:
    """Let the runner accept the stop that was sent."""
    assert attempt.stop is not None
    attempt.stop.under_way = False
    attempt.stop.answered_ms = clock_ms


class TestStopWithoutEffect:
    def test_is_sent_again_after_its_effect_is_due(self) -> None:
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.cancel(job)
        assert first in engine.take_stops()
        _list(engine, first, 5_000)
        assert engine.take_stops() == []
        _answer(first, 5_000)
        _list(engine, first, 5_000 + engine.settings.stop_effect_ms)
        assert engine.take_stops() == []
        _list(engine, first, 5_001 + engine.settings.stop_effect_ms)
        assert engine.take_stops() == [first]

    def test_is_sent_if_none_was_sent_before(self) -> None:
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.cancel(job)
        engine.take_stops()
        assert first.stop is not None
        first.stop.under_way = False
        _list(engine, first, 5_000)
        assert engine.take_stops() == [first]

    def test_is_sent_again_if_unlisted_and_unanswered(self) -> None:
        """Its start may still arrive.

        Until a stop is accepted, the resources of the run stay reserved.
        """
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.cancel(job)
        engine.take_stops()
        assert first.stop is not None
        runner = engine.runners["i-1"]
        engine.on_hold(runner, HoldReply(5_000, (), ()))
        assert engine.take_stops() == []
        first.stop.under_way = False
        engine.on_hold(runner, HoldReply(5_001, (), ()))
        assert engine.take_stops() == [first]

    def test_lets_a_needed_run_continue(self) -> None:
        """The reason for the stop may have changed; its requester decides again."""
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.confirm(first, 1)
        engine.stop(first, "upkeep")
        engine.take_stops()
        _answer(first, 5_000)
        _list(engine, first, 10_000)
        assert first.phase is Phase.CONFIRMED
        assert engine.take_stops() == []
