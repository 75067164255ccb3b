"""Tests stops of runs that are read back, refused or not listed."""

import time

from streamthread.platform.runners import HoldReply
from streamthread.scheduler import Engine
from streamthread.scheduler import Phase

from .test_stops import _answer
from .test_stops import _engine_with_runs


class TestReadBack:
    def test_counts_as_a_run_to_be_stopped(self) -> None:
        _, job = _engine_with_runs()
        job.cancelled = True
        job.ended_at_s = time.time()
        for attempt in job.attempts():
            attempt.mark_stopping("read-back")
        engine = Engine(lambda job: None)
        engine.add(job)
        assert engine.stops.count == 2


class TestRefusedStart:
    def test_of_a_cancelled_job_closes_it(self) -> None:
        engine, job = _engine_with_runs()
        engine.cancel(job)
        for attempt in list(job.attempts()):
            engine.refuse(attempt, "room")
        assert job not in engine.open_jobs()


class TestAnsweredStop:
    def test_is_not_repeated_if_the_run_is_not_listed(self) -> None:
        """The runner refuses a start that arrives later."""
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.cancel(job)
        engine.take_stops()
        _answer(first, 5_000)
        engine.on_hold(engine.runners["i-1"], HoldReply(5_000, (), ()))
        assert engine.take_stops() == []
        assert first.phase is Phase.STOPPING
