"""Tests that lagging runs are distinguished from long ones and done elsewhere."""

import time
import typing as t

import pytest

from streamthread.clocks import boot_s
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.scheduler.progress import detect_lag
from streamthread.scheduler.progress import Lag
from streamthread.scheduler.progress import ProgressSettings

SETTINGS = ProgressSettings()


def _job(**step: t.Any) -> Job:
    request = JobRequest("", (StepRequest(cpu=1000, memory_mb=1, **step),))
    return Job(
        "a" * 16, JobTerms("r", "desk", max_attempts=3), request, b"{}", time.time()
    )


def _attempt(seen: t.Sequence[tuple[float, float]], **step: t.Any) -> Attempt:
    """Return a run for which a runner reported this progress at these times."""
    job = _job(**step)
    task = job.begin(0).steps[0].tasks[0]
    attempt = Attempt(task, 1, "i-0", Phase.CONFIRMED)
    for at_s, percent in seen:
        attempt.note_progress(percent, 100.0 + at_s)
    return attempt


class TestDetectLag:
    def test_ignores_a_run_that_progresses(self) -> None:
        attempt = _attempt([(0, 0), (0.8, 40), (1.6, 80)])
        assert detect_lag(attempt, 2.0, SETTINGS) is None

    def test_ignores_the_longest_run_of_a_kind(self) -> None:
        attempt = _attempt([(0, 0), (0.8, 32)])
        assert detect_lag(attempt, 1.0, SETTINGS) is None

    def test_detects_a_stalled_run(self) -> None:
        attempt = _attempt([(0, 0), (0.8, 20), (1.6, 20), (2.4, 20)])
        assert detect_lag(attempt, 5.0, SETTINGS) is Lag.STALLED

    def test_detects_a_run_that_never_progressed(self) -> None:
        attempt = _attempt([(0, 0), (0.8, 0), (1.6, 0)])
        assert detect_lag(attempt, None, SETTINGS) is Lag.STALLED

    def test_detects_a_much_slower_run(self) -> None:
        attempt = _attempt([(0, 0), (0.8, 10)])
        assert detect_lag(attempt, 1.0, SETTINGS) is Lag.SLOW

    def test_does_not_rely_on_estimates(self) -> None:
        attempt = _attempt([(0, 0), (0.8, 10)])
        assert detect_lag(attempt, None, SETTINGS) is None

    def test_waits_for_a_second_list(self) -> None:
        assert detect_lag(_attempt([(0, 0)]), 1.0, SETTINGS) is None

    @pytest.mark.parametrize("kind", ["gang", "lasting", "fills"])
    def test_ignores_runs_that_wait_or_yield(self, kind: str) -> None:
        attempt = _attempt([(0, 0), (2, 0)], **{kind: True})
        assert detect_lag(attempt, 1.0, SETTINGS) is None


class _Pool:
    """One job of one task on a pool of two runners."""

    def __init__(self, **step: t.Any) -> None:
        self.engine = Engine(lambda job: None)
        self.job = _job(**step)
        self.engine.add(self.job)
        self.engine.begin_due(time.time())
        for number in range(2):
            self.add_runner(number)
        (self.first,) = self.place()
        self.first.phase = Phase.CONFIRMED

    def add_runner(self, number: int) -> None:
        runner = RunnerState(
            f"i-{number}", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0
        )
        runner.ready = True
        self.engine.add_runner(runner)

    def place(self) -> list[Attempt]:
        return self.engine.place_all(time.time(), lambda step: None)

    def stall(self) -> None:
        now_s = boot_s()
        for ago_s in (3.0, 1.5, 0.0):
            self.first.note_progress(7, now_s - ago_s)

    def end(self, attempt: Attempt, kind: EndKind, number: int) -> None:
        runner = self.engine.runners[attempt.runner_id]
        name = attempt.task.name
        others = tuple(
            RunningTask(key[0], key[1], "", 7.0, None)
            for key in runner.attempts
            if key != (name, attempt.run)
        )
        ended = EndedRun(number, name, attempt.run, kind, "")
        self.engine.on_hold(runner, HoldReply(1, others, (ended,)))


class TestMoves:
    def test_restart_a_stalled_run_elsewhere(self) -> None:
        pool = _Pool()
        pool.stall()
        assert pool.engine.handle_lagging_runs()
        assert pool.engine.take_stops() == [pool.first]
        assert pool.place() == [], "not before the first run has ended"
        pool.end(pool.first, EndKind.STOPPED, 1)
        (second,) = pool.place()
        assert second.runner_id != pool.first.runner_id
        assert second.run > pool.first.run

    def test_do_not_happen_without_capacity_elsewhere(self) -> None:
        pool = _Pool()
        other = next(r for r in pool.engine.runners if r != pool.first.runner_id)
        pool.engine.runners[other].ready = False
        pool.stall()
        assert not pool.engine.handle_lagging_runs()
        assert pool.engine.take_stops() == []

    def test_do_not_happen_if_other_runners_lack_the_label(self) -> None:
        pool = _Pool(requires="a")
        for runner in pool.engine.runners.values():
            if runner.runner_id != pool.first.runner_id:
                runner.labels = ("b", "r")
        pool.stall()
        assert not pool.engine.handle_lagging_runs()


class TestSpeculativeCopies:
    def test_run_beside_the_run_of_a_silent_runner(self) -> None:
        pool = _Pool(speculative=True)
        pool.engine.runners[pool.first.runner_id].ready = False
        pool.engine.request_copies(pool.first.runner_id)
        pool.engine.request_copies(pool.first.runner_id)
        (copy,) = pool.place()
        assert copy.runner_id != pool.first.runner_id
        assert pool.first.task.attempts == [pool.first, copy]
        assert pool.place() == []

    def test_never_run_on_the_runner_of_the_first_run(self) -> None:
        pool = _Pool(speculative=True)
        other = next(r for r in pool.engine.runners if r != pool.first.runner_id)
        pool.engine.runners[other].ready = False
        pool.stall()
        assert pool.engine.handle_lagging_runs()
        pool.first.task.waiting_since_s -= 60.0
        assert pool.place() == []
        pool.engine.runners[other].ready = True
        (copy,) = pool.place()
        assert copy.runner_id == other

    def test_are_not_made_if_the_step_does_not_allow_them(self) -> None:
        pool = _Pool()
        pool.engine.runners[pool.first.runner_id].ready = False
        pool.engine.request_copies(pool.first.runner_id)
        assert pool.place() == []

    def test_stop_the_other_run_when_one_is_done(self) -> None:
        pool = _Pool(speculative=True)
        pool.stall()
        assert pool.engine.handle_lagging_runs()
        (copy,) = pool.place()
        pool.end(copy, EndKind.DONE, 1)
        assert pool.job.over
        assert pool.engine.take_stops() == [pool.first]
        assert pool.place() == []

    def test_keep_one_run_when_the_other_fails(self) -> None:
        pool = _Pool(speculative=True)
        pool.stall()
        assert pool.engine.handle_lagging_runs()
        (copy,) = pool.place()
        pool.end(copy, EndKind.FAILED, 1)
        assert pool.first.task.attempts == [pool.first]
        assert not pool.job.over
