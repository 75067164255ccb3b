"""Tests what a list of ended runs proves that does not contain all of them.

Guards against tasks that run twice: more runs of a runner had ended than it lists in
one answer, and those that were in neither list counted as gone and were started again.
"""

import json

import pytest

from streamthread.platform.manifest import Route
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import EngineSettings
from streamthread.scheduler import Job
from streamthread.scheduler import JobState
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.scheduler.learning import learning_key
from streamthread.scheduler.learning import MIN_LEARNED_RUNS

ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)
CONFIRMED_MS = 1_000
LISTED_MS = 20_000
"""Long after the confirmation, so that a list without a run proves that it is gone."""


class _Cell:
    """A runner with all runs of one job."""

    def __init__(self, tasks: int) -> None:
        self.engine = Engine(lambda job: None, EngineSettings(unlisted_s=0.0))
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 1000, 1000, 0)
        self.runner.ready = True
        self.engine.add_runner(self.runner)
        step = {"count": tasks, "cpu": 10, "memMb": 10}
        body = json.dumps({"spec": "", "steps": [step]}).encode()
        self.job: Job = new_job("a" * 16, JobTerms.of_route(ROUTE), body)
        self.engine.add(self.job)
        self.engine.begin_due(self.job.accepted_at_s + 1)
        self.attempts = self.engine.place_all(0.0, lambda step: None)
        for attempt in self.attempts:
            attempt.phase = Phase.SENT
            self.engine.confirm(attempt, CONFIRMED_MS)

    def list_runs(
        self,
        running: list[Attempt],
        ended: list[Attempt],
        truncated: bool,
        clock_ms: int = LISTED_MS,
    ) -> None:
        rows = [RunningTask(a.task.name, a.run, "", 100.0) for a in running]
        ends = [
            EndedRun(n, a.task.name, a.run, EndKind.DONE, "")
            for n, a in enumerate(ended, 1)
        ]
        reply = HoldReply(clock_ms, tuple(rows), tuple(ends), ends_truncated=truncated)
        self.engine.on_hold(self.runner, reply)

    def placed_again(self) -> list[Attempt]:
        return self.engine.place_all(0.0, lambda step: None)


@pytest.fixture
def cell() -> _Cell:
    return _Cell(tasks=3)


class TestTruncatedEnds:
    def test_do_not_prove_that_a_missing_run_is_gone(self, cell: _Cell) -> None:
        first, second, third = cell.attempts
        cell.list_runs([third], [first], truncated=True)
        assert cell.placed_again() == []
        assert second in second.task.attempts

    def test_are_continued_by_the_next_list(self, cell: _Cell) -> None:
        first, second, third = cell.attempts
        cell.list_runs([], [first, second], truncated=True)
        cell.list_runs([], [third], truncated=False, clock_ms=LISTED_MS + 10)
        assert cell.job.state is JobState.COMPLETED

    def test_leave_the_proof_to_the_next_whole_list(self, cell: _Cell) -> None:
        first, second, third = cell.attempts
        cell.list_runs([third], [first], truncated=True)
        cell.list_runs([third], [], truncated=False, clock_ms=LISTED_MS + 10)
        assert [a.task for a in cell.placed_again()] == [second.task]

    def test_do_not_complete_a_stop(self, cell: _Cell) -> None:
        first, second, third = cell.attempts
        cell.engine.stop(second, "test")
        assert second.stop is not None
        second.stop.under_way = False
        second.stop.answered_ms = second.confirmed_clock_ms = CONFIRMED_MS
        for clock_ms in (LISTED_MS, LISTED_MS + 60_000):
            cell.list_runs([third], [first], truncated=True, clock_ms=clock_ms)
        assert second in second.task.attempts
        assert cell.engine.stops.count == 1

    def test_do_not_have_a_stop_sent_again(self, cell: _Cell) -> None:
        first, second, third = cell.attempts
        cell.engine.cancel(cell.job)
        cell.engine.take_stops()
        assert second.stop is not None
        second.stop.under_way = False
        cell.list_runs([third], [first], truncated=True)
        assert cell.engine.take_stops() == []

    def test_are_logged_and_counted(self, cell: _Cell) -> None:
        first, _, third = cell.attempts
        cell.list_runs([third], [first], truncated=True)
        assert cell.engine.counts["ends-truncated"] == 1
        assert cell.engine.unlisted_runs == 1

    @pytest.mark.parametrize("truncated", [True, False])
    def test_teach_no_run_time(self, truncated: bool) -> None:
        """A run that a later list reports may have ended before the truncated one."""
        cell = _Cell(tasks=MIN_LEARNED_RUNS + 1)
        first, *others = cell.attempts
        cell.list_runs([] if truncated else others, [first], truncated)
        cell.list_runs([], others, truncated=False, clock_ms=LISTED_MS + 10)
        learned_s = cell.engine.times.learned_s(learning_key(first.task.step))
        assert (learned_s is None) is truncated
