"""Tests that a run which counts as running but is in no list is logged."""

import json

import logbook
import pytest

from streamthread.platform.manifest import Route
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import EngineSettings
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState

ROUTE = Route("r", "desk.example", "/jobs/", "desk")
CONFIRMED_MS = 9_000


class _Cell:
    def __init__(self, unlisted_s: float) -> None:
        self.engine = Engine(lambda job: None, EngineSettings(unlisted_s=unlisted_s))
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 1000, 1000, 0)
        self.runner.ready = True
        self.engine.add_runner(self.runner)
        step = {"count": 1, "cpu": 100, "memMb": 10}
        body = json.dumps({"spec": "", "steps": [step]}).encode()
        job = new_job("a" * 16, JobTerms.of_route(ROUTE), body)
        self.engine.add(job)
        self.engine.begin_due(job.accepted_at_s + 1)
        (self.attempt,) = self.engine.place_all(0.0, lambda step: None)
        self.attempt.phase = Phase.SENT
        self.engine.confirm(self.attempt, CONFIRMED_MS)

    def list_runs(self, *attempts: Attempt) -> None:
        rows = [RunningTask(a.task.name, a.run, "", 5.0) for a in attempts]
        reply = HoldReply(CONFIRMED_MS, tuple(rows), ())
        self.engine.on_hold(self.runner, reply)

    def log_messages(self, lists: int) -> list[str]:
        with logbook.TestHandler() as handler:
            for _ in range(lists):
                self.list_runs()
        return [record.message for record in handler.records]


@pytest.fixture
def cell() -> _Cell:
    return _Cell(unlisted_s=0.0)


class TestUnlistedRun:
    def test_is_logged_once_and_counted(self, cell: _Cell) -> None:
        assert cell.log_messages(lists=3).count("run-unlisted") == 1
        assert cell.engine.unlisted_runs == 1

    def test_is_not_logged_within_the_tolerance(self) -> None:
        cell = _Cell(unlisted_s=60.0)
        assert "run-unlisted" not in cell.log_messages(lists=3)
        assert cell.engine.unlisted_runs == 0

    def test_is_not_counted_once_it_is_listed(self, cell: _Cell) -> None:
        cell.list_runs()
        cell.list_runs(cell.attempt)
        assert cell.engine.unlisted_runs == 0
