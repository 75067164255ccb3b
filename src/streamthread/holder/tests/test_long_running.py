"""Which long-running tasks are stopped while a wave empties their machines."""

import pytest

from streamthread.holder.long_running import LongRunningTasks
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState

TASKS = 3

FENCED_MS = 5000
"""The clock of each runner in its first answer to the holder."""

EFFECT_MS = 1000
"""The default of `EngineSettings.stop_effect_ms`."""


class _Cell:
    """A step of tasks that may miss one, each on a runner of its own.

    :param read_back: an earlier holder started the tasks.
    """

    def __init__(self, read_back: bool) -> None:
        self.engine = Engine(lambda job: None)
        self.tasks = LongRunningTasks(self.engine, lambda: None)
        step = StepRequest(count=TASKS, cpu=100, lasting=True, may_miss=1)
        job = Job("a" * 16, "route", "desk", JobRequest("", (step,)), b"", 0.0)
        step_run = job.begin(0).steps[0]
        self.attempts: list[Attempt] = []
        for number, task in enumerate(step_run.tasks):
            attempt = Attempt(task, 1, f"i-{number}", Phase.SENT, read_back=read_back)
            task.attempts.append(attempt)
            self.attempts.append(attempt)
        self.engine.add(job)
        self.runners = [self._add_runner(number) for number in range(TASKS)]

    def _add_runner(self, number: int) -> RunnerState:
        runner = RunnerState(f"i-{number}", "desk", "x:1", "z", (), 1000, 100, 0)
        runner.ready = True
        runner.fenced_ms = FENCED_MS
        self.engine.add_runner(runner)
        return runner

    def list_all(self, clock_ms: int, percent: float = 100.0) -> None:
        """Have each runner list its task."""
        for runner, attempt in zip(self.runners, self.attempts, strict=True):
            row = RunningTask(attempt.task.name, attempt.run, "", percent)
            self.engine.on_hold(runner, HoldReply(clock_ms, (row,), ()))

    def move_all(self) -> list[bool]:
        """Empty all runners; return which tasks are being stopped."""
        for runner in self.runners:
            self.tasks.move_away(runner)
        return [attempt.stop is not None for attempt in self.attempts]


class TestTasksOfAnEarlierHolder:
    # Guards against counting a run as working that the earlier holder has stopped.
    @pytest.mark.parametrize("clock_ms", [FENCED_MS, FENCED_MS + EFFECT_MS])
    def test_wait_while_its_stops_may_take_effect(self, clock_ms: int) -> None:
        cell = _Cell(read_back=True)
        cell.list_all(clock_ms)
        assert cell.move_all() == [False, False, False]

    def test_are_stopped_one_at_a_time_afterwards(self) -> None:
        cell = _Cell(read_back=True)
        cell.list_all(FENCED_MS + EFFECT_MS + 1)
        assert cell.move_all() == [True, False, False]

    def test_are_counted_once_while_they_wait(self) -> None:
        cell = _Cell(read_back=True)
        cell.list_all(FENCED_MS)
        cell.move_all()
        cell.move_all()
        assert cell.tasks.delayed == TASKS


class TestTasksOfThisHolder:
    # Guards against a wait where no earlier holder can have stopped anything.
    def test_are_stopped_at_once(self) -> None:
        cell = _Cell(read_back=False)
        cell.list_all(FENCED_MS)
        assert cell.move_all() == [True, False, False]
        assert cell.tasks.delayed == 0

    # Guards against counting a task as working that has just started again.
    def test_wait_until_the_others_have_started(self) -> None:
        cell = _Cell(read_back=False)
        cell.list_all(FENCED_MS, percent=99.0)
        assert cell.move_all() == [False, False, False]
        assert cell.tasks.delayed == 0
