"""Tests when a task that seems to crash its runners may start again."""

import time
import typing as t

import pytest

from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import encode_progress
from streamthread.scheduler import EngineSettings
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState
from streamthread.scheduler import Task
from streamthread.scheduler import TaskState
from streamthread.scheduler.crashes import SURVIVED_MS
from streamthread.scheduler.fleet import STABLE_AFTER_S
from streamthread.scheduler.quarantine import FIRST_PAUSE_S
from streamthread.scheduler.quarantine import judge_exits
from streamthread.scheduler.quarantine import NEXT_PAUSE_S
from streamthread.scheduler.quarantine import PROVEN_PAUSE_S
from streamthread.scheduler.stability import EXIT_WINDOW_S

from .test_crashes import _Cell
from .test_crashes import _next_holder
from .test_crashes import MAX_STARTS

SETTINGS = EngineSettings()

NEGLECTED_AFTER_S = 3.0
"""A job must run something within this time if there is room (users' documentation)."""


@pytest.fixture
def cell(monkeypatch: pytest.MonkeyPatch) -> _Cell:
    return _Cell(monkeypatch, jobs=1, runners=6)


def _task(cell: _Cell) -> Task:
    return cell.at_fault.occurrences[0].steps[0].tasks[0]


def _quarantine(cell: _Cell) -> Attempt:
    """Crash runners until the task is held back; return its last attempt."""
    for _ in range(SETTINGS.crashes_alone):
        cell.now_s += 1.0
        placed = cell.place()
        cell.crash_faulty_runner(placed)
    assert cell.is_held()
    return placed[0]


def _crash_twice(cell: _Cell) -> None:
    """Crash two runners, so that the next start decides about the task."""
    for _ in range(2):
        cell.now_s += 1.0
        cell.crash_faulty_runner(cell.place())


def _place(cell: _Cell) -> t.Sequence[Attempt]:
    cell.engine.begin_due(cell.now_s)
    return cell.place()


def _finish_all_but_newest(cell: _Cell, runner: RunnerState) -> None:
    *others, newest = sorted(runner.attempts.values(), key=lambda a: a.sent_at_s)
    ended = [
        EndedRun(n, a.task.name, a.run, EndKind.DONE, "")
        for n, a in enumerate(others, 1)
    ]
    row = RunningTask(newest.task.name, newest.run, "", 9)
    cell.engine.on_hold(runner, HoldReply(2, (row,), tuple(ended)))


class TestQuarantine:
    def test_ends_after_its_pause(self, cell: _Cell) -> None:
        _quarantine(cell)
        cell.now_s += PROVEN_PAUSE_S - 5.0
        assert not _place(cell)
        cell.now_s += 5.0
        assert len(_place(cell)) == 1

    def test_is_kept_by_the_next_holder(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against further starts of a crashing task after each takeover."""
        _quarantine(cell)
        assert _task(cell).crashes_runners
        next_one = _Cell(monkeypatch, jobs=1, runners=2)
        next_one.engine.withdraw(next_one.at_fault)
        job = next_one.at_fault
        job.occurrences.clear()
        restore_progress(job, encode_progress(cell.at_fault))
        next_one.engine.add(job)
        next_one.now_s += PROVEN_PAUSE_S - 5.0
        assert not _place(next_one)
        assert next_one.is_held()

    def test_applies_once_the_last_run_has_ended(self, cell: _Cell) -> None:
        """Guards against a start after a stop on the runner's next incarnation."""
        (attempt,) = cell.place()
        _task(cell).crashes = SETTINGS.most_crashes
        cell.engine.quarantine.judge(_task(cell))
        assert _task(cell).state is TaskState.PLACED
        cell.engine.refuse(attempt, "room")
        assert cell.is_held()

    def test_applies_to_runs_whose_runner_restarted_unobserved(
        self, cell: _Cell
    ) -> None:
        """Guards against a start after an exit that only a later holder noticed."""
        (attempt,) = cell.place()
        attempt.born_ms, attempt.first_confirmed_ms = 1, 0
        _task(cell).crashes = SETTINGS.most_crashes - 1
        del cell.engine.runners[attempt.runner_id]
        runner = RunnerState(
            attempt.runner_id, "desk", "x:1", "z", (), 4000, 100, 0, born_ms=2
        )
        cell.engine.add_runner(runner)
        assert _task(cell).quarantined_until_s > cell.now_s

    def test_ends_if_the_runner_answers_again(self, cell: _Cell) -> None:
        """Guards against a final conclusion from a runner that was only unreachable."""
        _task(cell).crashes = SETTINGS.most_crashes - 1
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        runner.silent_at_s, runner.ready = cell.now_s, False
        cell.engine.attempts_expired(runner.runner_id, "test")
        assert cell.is_held()
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        assert not cell.is_held()

    def _expire_on_silent_runner(self, cell: _Cell) -> RunnerState:
        """Let the task's run expire on a runner that does not answer now."""
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        runner.silent_at_s, runner.ready = cell.now_s, False
        cell.engine.attempts_expired(runner.runner_id, "test")
        return runner

    def test_ends_if_the_proof_was_a_runner_that_answers_again(
        self, cell: _Cell
    ) -> None:
        """Guards against a proof that outlasts the exit that it rests on."""
        _task(cell).crashes, _task(cell).observed_crashes = 3, 1
        runner = self._expire_on_silent_runner(cell)
        assert _task(cell).crashes_runners
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        assert not _task(cell).crashes_runners
        assert _task(cell).observed_crashes == 1
        assert not cell.is_held()

    def test_is_shorter_once_the_exit_that_decided_is_withdrawn(
        self, cell: _Cell
    ) -> None:
        """Guards against a long pause for exits that do not justify it."""
        _task(cell).crashes = SETTINGS.most_crashes
        runner = self._expire_on_silent_runner(cell)
        assert cell.is_held()
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        cell.now_s += NEXT_PAUSE_S
        assert len(_place(cell)) == 1

    def test_ends_with_the_job(self, cell: _Cell) -> None:
        _quarantine(cell)
        cell.engine.cancel(cell.at_fault)
        cell.engine.begin_due(cell.now_s)
        assert len(cell.engine.quarantine) == 0

    def test_stops_no_other_task_of_its_job(self, cell: _Cell) -> None:
        """Guards against long-running tasks that are stopped for another one."""
        step = cell.at_fault.occurrences[0].steps[0]
        other = Task(step, 1)
        step.tasks.append(other)
        step.forget_waiting()
        placed = cell.place()
        sound = next(a for a in placed if a.task is other)
        _task(cell).crashes = SETTINGS.most_crashes
        cell.engine.quarantine.judge(_task(cell))
        assert not sound.stop_reason
        assert not cell.at_fault.over


class TestExitsObservedByEarlierHolders:
    def test_count_as_observed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a sixth start of a crashing task after several takeovers."""
        cell = _Cell(monkeypatch, jobs=1, runners=3)
        for _ in range(SETTINGS.most_crashes):
            cell = _next_holder(cell, monkeypatch, runners=3)
            cell.engine.quarantine.judge(_task(cell))
            placed = cell.place()
            # The pool is unstable, so that three exits would not suffice.
            placed[0].first_confirmed_ms = 0
            cell.crash_faulty_runner(placed)
        assert _task(cell).crashes_runners


class TestPauses:
    @pytest.mark.parametrize(
        ("crashes", "later_ends", "pause_s"),
        [(4, 0, 1.0), (0, 8, 1.0), (4, 5, 2.0), (3, 6, 2.0), (0, 10_000, 2.0)],
    )
    def test_are_short_without_proof(
        self, cell: _Cell, crashes: int, later_ends: int, pause_s: float
    ) -> None:
        """Guards against waits of minutes after runners that exited in series."""
        task = _task(cell)
        task.crashes, task.later_ends = crashes, later_ends
        verdict = judge_exits(task, SETTINGS)
        assert verdict is not None and verdict.pause_s == pause_s


class TestExitsThatNobodyObserved:
    """Guards against holding a task back for exits of runners and holders in series."""

    def test_prove_nothing(self, cell: _Cell) -> None:
        for _ in range(SETTINGS.most_crashes):
            (attempt,) = cell.place()
            del cell.engine.runners[attempt.runner_id]
            cell.engine.drop_orphan(attempt)
        assert _task(cell).crashes == SETTINGS.most_crashes
        assert not _task(cell).crashes_runners
        cell.now_s += FIRST_PAUSE_S
        assert len(_place(cell)) == 1

    def test_hold_the_task_back_once_it_may_get_no_further_start(
        self, cell: _Cell
    ) -> None:
        """Guards against a sixth start of a task that crashes its runners."""
        for _ in range(MAX_STARTS):
            cell.now_s += FIRST_PAUSE_S
            (attempt,) = _place(cell)
            del cell.engine.runners[attempt.runner_id]
            cell.engine.drop_orphan(attempt)
        cell.now_s += PROVEN_PAUSE_S - 5.0
        assert not _place(cell)

    def test_one_observed_exit_after_them_does(self, cell: _Cell) -> None:
        _task(cell).crashes = SETTINGS.most_crashes
        cell.crash_faulty_runner(cell.place())
        assert _task(cell).crashes_runners
        assert cell.is_held()


class TestExitsThatFollowStarts:
    """Guards against a task that crashes runners for good 0.3 s after each start."""

    def _exit_after_starts(self, cell: _Cell, times: int, up_s: float) -> None:
        """Let runners exit 0.3 s after the task's starts, which they have outlived.

        :param up_s: how long each had been up before the start.
        """
        for _ in range(times):
            cell.now_s += NEGLECTED_AFTER_S
            for runner in cell.engine.runners.values():
                runner.known_since_s = cell.now_s - up_s
            attempt = next(filter(cell.is_at_fault, _place(cell)))
            runner = cell.engine.runners[attempt.runner_id]
            cell.now_s += 0.1
            cell.list_running(runner, clock_ms=101)
            cell.now_s += 0.2
            cell.end(runner)

    def _pause_s(self, cell: _Cell) -> float:
        return _task(cell).quarantined_until_s - cell.now_s

    def test_hold_the_task_back_if_the_runners_were_long_lived(
        self, cell: _Cell
    ) -> None:
        self._exit_after_starts(cell, SETTINGS.most_lost_runners - 1, EXIT_WINDOW_S)
        assert not cell.is_held()
        self._exit_after_starts(cell, 1, EXIT_WINDOW_S)
        assert self._pause_s(cell) == pytest.approx(PROVEN_PAUSE_S)

    def test_prove_nothing_if_the_runners_had_just_come_up(self, cell: _Cell) -> None:
        """Guards against holding a task back for runners that exit in series."""
        times = SETTINGS.most_lost_runners
        self._exit_after_starts(cell, times, EXIT_WINDOW_S - 1.0)
        assert self._pause_s(cell) == pytest.approx(FIRST_PAUSE_S)

    def test_prove_nothing_beside_another_start(self, cell: _Cell) -> None:
        """Guards against holding a task back for the one that starts beside it."""
        other = Task(_task(cell).step, 1)
        _task(cell).step.tasks.append(other)
        _task(cell).step.forget_waiting()
        times = SETTINGS.most_lost_runners
        self._exit_after_starts(cell, times, EXIT_WINDOW_S)
        assert _task(cell).later_ends == other.later_ends == times
        assert self._pause_s(cell) == pytest.approx(FIRST_PAUSE_S)

    def test_prove_nothing_if_the_runners_answer_again(self, cell: _Cell) -> None:
        self._exit_after_starts(cell, SETTINGS.most_lost_runners - 1, EXIT_WINDOW_S)
        cell.now_s += NEGLECTED_AFTER_S
        (attempt,) = _place(cell)
        runner = cell.engine.runners[attempt.runner_id]
        runner.known_since_s = cell.now_s - EXIT_WINDOW_S
        cell.list_running(runner, clock_ms=101)
        runner.silent_at_s, runner.ready = cell.now_s, False
        cell.engine.attempts_expired(runner.runner_id, "test")
        assert cell.is_held()
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        assert not cell.is_held()

    def test_count_under_an_earlier_holder(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against as many further starts after each takeover."""
        self._exit_after_starts(cell, SETTINGS.most_lost_runners - 1, EXIT_WINDOW_S)
        cell = _next_holder(cell, monkeypatch, runners=3)
        self._exit_after_starts(cell, 1, EXIT_WINDOW_S)
        assert self._pause_s(cell) == pytest.approx(PROVEN_PAUSE_S)


class TestSurvivedStarts:
    """Guards against adding up exits that had other causes than the task."""

    def _run_for(self, cell: _Cell, run_ms: int) -> RunnerState:
        """Crash two runners; then let one stay alive after the task's start."""
        _crash_twice(cell)
        cell.now_s += 1.0
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        cell.now_s += run_ms / 1000
        cell.list_running(runner, clock_ms=1 + run_ms)
        return runner

    def test_clear_the_task(self, cell: _Cell) -> None:
        cell.end(self._run_for(cell, SURVIVED_MS))
        assert _task(cell).crashes == _task(cell).observed_crashes == 0

    def test_clear_the_task_of_late_crashes(self, cell: _Cell) -> None:
        runner = self._run_for(cell, SURVIVED_MS - 1)
        _task(cell).later_ends = _task(cell).late_crashes = 1
        cell.list_running(runner, clock_ms=1 + SURVIVED_MS)
        assert (_task(cell).later_ends, _task(cell).late_crashes) == (1, 0)

    def test_do_not_if_the_runner_exited_soon(self, cell: _Cell) -> None:
        cell.end(self._run_for(cell, SURVIVED_MS - 1))
        assert _task(cell).crashes == 2

    def test_clear_the_task_if_only_an_answer_shows_it(self, cell: _Cell) -> None:
        """Guards against forgetting what the runner's last answer shows."""
        _crash_twice(cell)
        cell.now_s += 1.0
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        runner.on_clock(1 + SURVIVED_MS)
        cell.now_s += 1.0
        cell.end(runner)
        assert _task(cell).crashes == 0

    def test_end_a_quarantine(self, cell: _Cell) -> None:
        """Guards against a copy of the task that keeps it held back."""
        runner = self._run_for(cell, 1)
        _task(cell).crashes_runners = True
        cell.engine.quarantine.judge(_task(cell))
        cell.list_running(runner, clock_ms=1 + SURVIVED_MS)
        cell.end(runner)
        assert len(_place(cell)) == 1


class TestStableRunners:
    def test_get_the_start_that_decides(self, cell: _Cell) -> None:
        """Guards against holding a task back for runners that exit in series."""
        _crash_twice(cell)
        for runner in cell.engine.runners.values():
            runner.known_since_s = cell.now_s
        assert not cell.place()
        cell.now_s += STABLE_AFTER_S
        assert len(cell.place()) == 1

    def test_that_have_been_up_longest_come_first(self, cell: _Cell) -> None:
        """Guards against holding a task back for a runner that exits in series."""
        _crash_twice(cell)
        cell.now_s += 1.0
        runners = list(cell.engine.runners.values())
        for number, runner in enumerate(runners):
            runner.known_since_s = cell.now_s - STABLE_AFTER_S - number
        (attempt,) = cell.place()
        assert attempt.runner_id == runners[-1].runner_id

    def test_are_not_waited_for_too_long(self, cell: _Cell) -> None:
        """Guards against a task that never runs in a pool whose runners all exit."""
        _crash_twice(cell)
        waited_s = 0.0
        while not cell.place():
            for runner in cell.engine.runners.values():
                runner.known_since_s = cell.now_s
            cell.now_s += 0.1
            waited_s += 0.1
            assert waited_s < NEGLECTED_AFTER_S

    def test_are_waited_for_during_a_pause(self, cell: _Cell) -> None:
        """Guards against a pause and a wait that add up to more than a job may wait."""
        task = _task(cell)
        (attempt,) = cell.place()
        task.later_ends, task.on_probation = SETTINGS.most_lost_runners, True
        cell.engine.quarantine.judge(task)
        cell.engine.refuse(attempt, "room")
        waited_s = 0.0
        while not _place(cell):
            for runner in cell.engine.runners.values():
                runner.known_since_s = cell.now_s
            cell.now_s += 0.1
            waited_s += 0.1
            assert waited_s < NEGLECTED_AFTER_S

    def test_may_start_other_tasks_all_the_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a task that waits without end for a runner without starts."""
        cell = _Cell(monkeypatch, jobs=1, runners=1)
        (runner,) = cell.engine.runners.values()
        (attempt,) = cell.place()
        _task(cell).crashes, _task(cell).on_probation = 2, True
        cell.engine.quarantine.judge(_task(cell))
        cell.now_s = since_s = cell.now_s + 1.0
        cell.add_job(f"{1:016x}")
        cell.place()
        cell.engine.refuse(attempt, "room")
        while not any(map(cell.is_at_fault, cell.place())):
            cell.now_s += 0.05
            _finish_all_but_newest(cell, runner)
            cell.add_job(f"{round(cell.now_s * 1000):016x}")
            assert cell.now_s - since_s < NEGLECTED_AFTER_S

    def test_are_known_by_their_age_after_a_takeover(self, cell: _Cell) -> None:
        _crash_twice(cell)
        for runner in cell.engine.runners.values():
            runner.known_since_s = cell.now_s
            runner.born_ms = int((time.time() - STABLE_AFTER_S) * 1000)
        assert len(cell.place()) == 1

    def test_are_needed_for_a_proof(self, cell: _Cell) -> None:
        for _ in range(SETTINGS.most_crashes):
            cell.now_s += 1.0
            for runner in cell.engine.runners.values():
                runner.known_since_s = cell.now_s + 10.0
            _task(cell).waiting_since_s = cell.now_s - NEGLECTED_AFTER_S
            cell.crash_faulty_runner(cell.place())
        assert _task(cell).crashes == SETTINGS.most_crashes
        assert not _task(cell).crashes_runners

    def test_have_been_up_before_the_start(self, cell: _Cell) -> None:
        """Guards against a proof by runners that had just come up.

        Their exit is known only seconds after they became silent.
        """
        for _ in range(SETTINGS.most_crashes):
            cell.now_s += 1.0
            for runner in cell.engine.runners.values():
                runner.known_since_s = cell.now_s
                runner.born_ms = int(time.time() * 1000)
            _task(cell).waiting_since_s = cell.now_s - NEGLECTED_AFTER_S
            cell.crash_faulty_runner(cell.place())
            assert not _task(cell).crashes_runners
        assert _task(cell).crashes == SETTINGS.most_crashes

    def test_get_nothing_else_while_the_start_decides(self, cell: _Cell) -> None:
        """Guards against attributing the exit to another task that starts there."""
        _crash_twice(cell)
        cell.now_s += NEGLECTED_AFTER_S
        (deciding,) = cell.place()
        cell.add_job("f" * 16)
        (other,) = cell.place()
        assert other.runner_id != deciding.runner_id

    def test_are_not_needed_after_one_exit(self, cell: _Cell) -> None:
        cell.crash_faulty_runner(cell.place())
        for runner in cell.engine.runners.values():
            runner.known_since_s = cell.now_s
        cell.now_s += 1.0
        assert len(cell.place()) == 1
