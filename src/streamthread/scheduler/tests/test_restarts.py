"""Tests what happens to the runs of a runner that restarts under the same id."""

import json

import pytest

from streamthread.clocks import boot_s
from streamthread.platform.manifest import Route
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState
from streamthread.scheduler.placement import is_avoided

BORN_MS = 1_700_000_000_000
ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)


def _runner(runner_id: str, born_ms: int = BORN_MS) -> RunnerState:
    runner = RunnerState(runner_id, "desk", "x:1", "z", ("a", "r"), 1000, 1000, 0)
    runner.ready = True
    runner.born_ms = born_ms
    return runner


class _Cell:
    """Three tasks of one job on one runner, and the runner's next incarnation."""

    def __init__(self) -> None:
        self.engine = Engine(lambda job: None)
        self.before = _runner("i-1")
        self.engine.add_runner(self.before)
        step = {"count": 3, "cpu": 100, "memMb": 10, "longRunning": True}
        body = json.dumps({"spec": "", "steps": [step]}).encode()
        self.job: Job = new_job("a" * 16, JobTerms.of_route(ROUTE), body)
        self.engine.add(self.job)
        self.engine.begin_due(self.job.accepted_at_s + 1)
        self.engine.place_all(0.0, lambda step: None)
        self.attempts: list[Attempt] = list(self.job.attempts())
        assert len(self.attempts) == 3

    def confirm(self, attempt: Attempt, clock_ms: int) -> None:
        attempt.phase = Phase.SENT
        self.engine.confirm(attempt, clock_ms)

    def list_runs(self, *attempts: Attempt) -> None:
        rows = [RunningTask(a.task.name, a.run, "", 50.0) for a in attempts]
        self.engine.on_hold(self.before, HoldReply(9_000, tuple(rows), ()))

    def restart(self) -> RunnerState:
        after = _runner("i-1", BORN_MS + 1)
        self.engine.runner_restarted(self.before, after)
        return after


@pytest.fixture
def cell() -> _Cell:
    return _Cell()


class TestRestartedRunner:
    def test_loses_the_runs_of_its_former_incarnation(self, cell: _Cell) -> None:
        """The clock starts anew, so no list would be newer than the confirmations."""
        for attempt in cell.attempts:
            cell.confirm(attempt, 8_000)
        cell.list_runs(*cell.attempts)
        after = cell.restart()
        assert not after.attempts
        assert after.free_cpu == after.cpu
        assert all(not task.attempts for task in _tasks(cell.job))
        assert all(task.needs_attempt for task in _tasks(cell.job))

    def test_gets_no_order_for_planned_attempts(self, cell: _Cell) -> None:
        after = cell.restart()
        assert not after.attempts
        assert not cell.engine.take_stops()

    def test_stops_runs_that_may_have_reached_either_incarnation(
        self, cell: _Cell
    ) -> None:
        """Covers an unanswered start and a confirmed run that no list has shown yet."""
        sent, answered, listed = cell.attempts
        sent.phase = Phase.SENT
        cell.confirm(listed, 8_000)
        cell.list_runs(listed)
        cell.confirm(answered, 9_000)
        listed.open_starts = 1
        after = cell.restart()
        assert cell.engine.take_stops() == [sent, answered, listed]
        assert len(after.attempts) == 3
        for attempt in cell.attempts:
            assert attempt.stop is not None
            attempt.stop.under_way = False
            attempt.stop.answered_ms = attempt.confirmed_clock_ms = 100
        cell.engine.on_hold(after, HoldReply(200, (), ()))
        assert not after.attempts
        assert all(task.needs_attempt for task in _tasks(cell.job))

    def test_exit_is_attributed_to_a_run_once(self, cell: _Cell) -> None:
        """A run that awaits its stop was not started on the following incarnations."""
        for attempt in cell.attempts:
            attempt.phase = Phase.SENT
            attempt.sent_at_s = boot_s()
        incarnation = cell.before
        for number in range(1, 5):
            after = _runner("i-1", BORN_MS + number)
            cell.engine.runner_restarted(incarnation, after)
            incarnation = after
        assert [task.crashes for task in _tasks(cell.job)] == [1, 1, 1]
        assert not cell.job.failed

    def test_gets_unfinished_stops_again(self, cell: _Cell) -> None:
        (attempt, *_) = cell.attempts
        attempt.phase = Phase.SENT
        cell.engine.stop(attempt, "cancelled")
        assert cell.engine.take_stops() == [attempt]
        assert attempt.stop is not None
        attempt.stop.under_way = False
        attempt.stop.answered_ms = 8_000
        cell.restart()
        assert cell.engine.take_stops() == [attempt]
        assert attempt.stop.answered_ms == 0
        assert attempt.stop_reason == "cancelled"

    def test_inherits_no_penalty_of_its_former_incarnation(self, cell: _Cell) -> None:
        cell.before.penalty_until_s = 1e12
        cell.before.failed_at_s.append(1e12)
        cell.before.stray_runs = 1
        cell.before.probation_until_s = 1e12
        after = cell.restart()
        assert after.usable()
        assert not after.penalty_until_s and not after.probation_until_s
        assert not after.failed_at_s

    def test_may_get_a_task_that_failed_on_its_former_incarnation(
        self, cell: _Cell
    ) -> None:
        (task, *_) = _tasks(cell.job)
        task.avoid.add(cell.before.incarnation)
        assert is_avoided(task, cell.before)
        assert not is_avoided(task, cell.restart())

    def test_stays_reserved_for_an_ordered_duty(self, cell: _Cell) -> None:
        cell.before.reserved = True
        assert cell.restart().reserved

    def test_distinguishes_earlier_from_next_incarnations(self, cell: _Cell) -> None:
        after = cell.restart()
        assert not after.is_next_incarnation(BORN_MS)
        assert not after.is_next_incarnation(after.born_ms)
        assert not after.is_next_incarnation(None)
        assert after.is_next_incarnation(BORN_MS + 2)


class TestRecordedRuns:
    """Runs that the next holder reads back for a runner that has restarted."""

    def _read(self, cell: _Cell, born_ms: int | None) -> tuple[Engine, Job]:
        """Return the next holder's job, whose runner began at ``born_ms``."""
        engine = Engine(lambda job: None)
        job = decode_row(cell.job.job_id, encode_definition(cell.job))
        restore_progress(job, encode_progress(cell.job))
        engine.add(job)
        runner = _runner("i-1")
        runner.born_ms = born_ms
        engine.add_runner(runner)
        return engine, job

    def test_are_started_again_on_their_own_incarnation(self, cell: _Cell) -> None:
        engine, job = self._read(cell, BORN_MS)
        assert not engine.take_stops()
        assert all(attempt.phase is Phase.SENT for attempt in job.attempts())
        assert all(task.crashes == 0 for task in _tasks(job))

    def test_are_stopped_and_blamed_on_another_incarnation(self, cell: _Cell) -> None:
        engine, job = self._read(cell, BORN_MS + 1)
        assert engine.take_stops() == list(job.attempts())
        assert [task.crashes for task in _tasks(job)] == [1, 1, 1]

    def test_get_an_exit_attributed_by_one_holder_only(self, cell: _Cell) -> None:
        """Guards against giving up jobs for one exit that each holder counts."""
        for attempt in cell.attempts:
            attempt.phase = Phase.SENT
            attempt.sent_at_s = boot_s()
        cell.engine.runner_restarted(cell.before, _runner("i-1", BORN_MS + 1))
        for number in range(2, 6):
            cell.engine, cell.job = self._read(cell, BORN_MS + number)
            assert [task.crashes for task in _tasks(cell.job)] == [1, 1, 1]

    def test_are_not_started_on_the_next_incarnation(self, cell: _Cell) -> None:
        """Guards against a start that no runner exit would count against."""
        for attempt in cell.attempts:
            attempt.phase = Phase.SENT
            attempt.sent_at_s = boot_s()
        cell.engine.runner_restarted(cell.before, _runner("i-1", BORN_MS + 1))
        _, job = self._read(cell, BORN_MS + 1)
        assert all(attempt.phase is Phase.STOPPING for attempt in job.attempts())

    def test_attributed_exit_is_recorded_immediately(self, cell: _Cell) -> None:
        """Guards against an exit that the next holder finds in no row."""
        changed: list[Job] = []
        engine = Engine(changed.append)
        job = decode_row(cell.job.job_id, encode_definition(cell.job))
        restore_progress(job, encode_progress(cell.job))
        engine.add(job)
        engine.add_runner(_runner("i-1", BORN_MS + 1))
        assert [task.crashes for task in _tasks(job)] == [1, 1, 1]
        assert job in changed

    @pytest.mark.parametrize("reported", ["by the row", "by the runner"])
    def test_are_accepted_if_the_start_time_is_unknown(
        self, cell: _Cell, reported: str
    ) -> None:
        """Rows of older daemons contain no start time, and some runners report none."""
        if reported == "by the runner":
            for attempt in cell.attempts:
                attempt.born_ms = None
        engine, job = self._read(cell, None if reported == "by the row" else BORN_MS)
        assert not engine.take_stops()
        assert all(task.crashes == 0 for task in _tasks(job))


def _tasks(job: Job):
    return [
        task
        for occurrence in job.occurrences.values()
        for step in occurrence.steps
        for task in step.tasks
    ]
