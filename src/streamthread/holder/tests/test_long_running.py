"""Which long-running tasks are stopped while a wave empties their machines."""

import math
import time
import types
import typing as t

import pytest

from streamthread.clocks import boot_s
from streamthread.holder.context import DutySettings
from streamthread.holder.duties import DutyLoop
from streamthread.holder.duties import MAX_ORDER_LATENCY_S
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
from streamthread.unreadable import UnreadableNotes

TASKS = 3

FENCED_MS = 5000
"""The clock of each runner in its first answer to the holder."""

EFFECT_MS = 1000
"""The default of `EngineSettings.stop_effect_ms`."""


class _Cell:
    """A step of tasks that may miss one, each on a runner of its own.

    :param read_back: an earlier holder started the tasks.
    :param exclusive_from_s: the time on the boot clock after which no earlier holder
        sends orders.
    """

    def __init__(self, read_back: bool, exclusive_from_s: float = -math.inf) -> None:
        self.engine = Engine(lambda job: None)
        owner = types.SimpleNamespace(
            engine=self.engine,
            kick=lambda: None,
            taken=types.SimpleNamespace(exclusive_from_s=exclusive_from_s),
            context=types.SimpleNamespace(documents=None, notes=UnreadableNotes()),
        )
        self.duties = DutyLoop(
            t.cast(t.Any, owner), t.cast(t.Any, None), DutySettings()
        )
        step = StepRequest(count=TASKS, cpu=100, lasting=True, may_miss=1)
        job = Job(
            "a" * 16, JobTerms("route", "desk"), JobRequest("", (step,)), b"", 0.0
        )
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
            self.duties._waves._long_running.move_away(runner)
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
        assert cell.duties.delayed_stops == TASKS


class TestTasksOfThisHolder:
    # Guards against a wait where no earlier holder can have stopped anything.
    def test_are_stopped_at_once(self) -> None:
        cell = _Cell(read_back=False)
        cell.list_all(FENCED_MS)
        assert cell.move_all() == [True, False, False]
        assert cell.duties.delayed_stops == 0

    # Guards against counting a task as working whose machine goes down by an order that
    # an earlier holder sent before it was replaced.
    def test_wait_for_a_list_after_the_duties_of_an_earlier_holder(self) -> None:
        last_s = boot_s() + 0.05 - MAX_ORDER_LATENCY_S
        cell = _Cell(read_back=False, exclusive_from_s=last_s)
        cell.list_all(FENCED_MS)
        assert cell.move_all() == [False, False, False]
        time.sleep(0.06)
        assert cell.move_all() == [False, False, False]
        cell.list_all(FENCED_MS)
        assert cell.move_all() == [True, False, False]

    # Guards against counting a run as working whose end its runner could not list yet.
    def test_wait_for_runs_that_a_truncated_list_omits(self) -> None:
        cell = _Cell(read_back=False)
        cell.list_all(FENCED_MS)
        truncated = HoldReply(FENCED_MS + EFFECT_MS, (), (), ends_truncated=True)
        cell.engine.on_hold(cell.runners[1], truncated)
        assert cell.move_all() == [False, True, False]

    # Guards against counting a task as working that has just started again.
    def test_wait_until_the_others_have_started(self) -> None:
        cell = _Cell(read_back=False)
        cell.list_all(FENCED_MS, percent=99.0)
        assert cell.move_all() == [False, False, False]
        assert cell.duties.delayed_stops == 0
