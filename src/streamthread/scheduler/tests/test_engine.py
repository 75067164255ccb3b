"""Tests the engine under any order of starts, ends, refusals and lost runners."""

import time
import typing as t

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from streamthread.clocks import boot_s
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.scheduler import Attempt
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobState
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState
from streamthread.scheduler import TaskState

BODY = (
    b'{"spec":"x","steps":[{"count":3,"cpu":1000,"memMb":1},'
    b'{"count":2,"cpu":1000,"memMb":1,"after":[0],"gang":true}]}'
)
STEPS = (
    StepRequest(count=3, cpu=1000, memory_mb=1),
    StepRequest(count=2, cpu=1000, memory_mb=1, after=(0,), gang=True),
)


class EngineMachine(RuleBasedStateMachine):
    """Runs one job of two steps through random events."""

    @initialize()
    def begin(self) -> None:
        self.engine = Engine(lambda job: None)
        terms = JobTerms("r", "desk", max_attempts=3)
        self.job = Job("a" * 16, terms, JobRequest("x", STEPS), BODY, time.time())
        self.engine.add(self.job)
        self.engine.begin_due(time.time())
        self.seen: set[tuple[str, int]] = set()
        self.ended = 0
        self.incarnations = 0
        for _ in range(2):
            self.new_runner()

    def new_runner(self) -> None:
        self.engine.add_runner(self.new_incarnation(f"i-{self.incarnations + 1}"))

    def new_incarnation(self, runner_id: str) -> RunnerState:
        self.incarnations += 1
        runner = RunnerState(runner_id, "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
        runner.ready = True
        runner.born_ms = self.incarnations
        return runner

    def attempts(self) -> list[Attempt]:
        return [
            attempt
            for runner in self.engine.runners.values()
            for attempt in runner.attempts.values()
        ]

    @rule()
    def place(self) -> None:
        for attempt in self.engine.place_all(time.time(), lambda step: None):
            key = (attempt.task.name, attempt.run)
            assert key not in self.seen, "a run number is used once"
            self.seen.add(key)

    @rule(data=st.data(), kind=st.sampled_from(list(EndKind)))
    def end(self, data: t.Any, kind: EndKind) -> None:
        attempts = self.attempts()
        if not attempts:
            return
        attempt = data.draw(st.sampled_from(attempts))
        self.ended += 1
        ended = EndedRun(self.ended, attempt.task.name, attempt.run, kind, "")
        runner = self.engine.runners[attempt.runner_id]
        self.engine.on_hold(runner, HoldReply(0, (), (ended,)))

    @rule(data=st.data())
    def refuse(self, data: t.Any) -> None:
        attempts = self.attempts()
        if attempts:
            self.engine.refuse(data.draw(st.sampled_from(attempts)), "room")

    @rule(data=st.data())
    def lose_runner(self, data: t.Any) -> None:
        lost = data.draw(st.sampled_from(sorted(self.engine.runners)))
        self.engine.runner_exited(lost, "test")
        self.new_runner()

    @rule(data=st.data())
    def send(self, data: t.Any) -> None:
        """A start is sent and possibly answered; a list may or may not show the run."""
        planned = [a for a in self.attempts() if a.phase is Phase.PLANNED]
        if not planned:
            return
        attempt = data.draw(st.sampled_from(planned))
        attempt.phase = Phase.SENT
        attempt.open_starts = data.draw(st.integers(0, 1))
        if data.draw(st.booleans()):
            self.engine.confirm(attempt, data.draw(st.integers(1, 100)))
        if data.draw(st.booleans()):
            attempt.note_progress(1.0, boot_s())

    @rule(data=st.data())
    def restart_runner(self, data: t.Any) -> None:
        """The next incarnation lists nothing; runs that may be there are stopped."""
        runner_id = data.draw(st.sampled_from(sorted(self.engine.runners)))
        before, after = self.engine.runners[runner_id], self.new_incarnation(runner_id)
        certain = [a for a in before.attempts.values() if a.ends_with_incarnation]
        self.engine.runner_restarted(before, after)
        assert not any(attempt in attempt.task.attempts for attempt in certain)
        assert all(a.phase is Phase.STOPPING for a in after.attempts.values())

    @rule()
    def cancel(self) -> None:
        if self.ended > 6:
            self.engine.cancel(self.job)

    @rule()
    def take_over(self) -> None:
        """A new holder reads the rows back."""
        job = decode_row(self.job.job_id, encode_definition(self.job))
        assert job.over == (self.job.over and not self.job.has_attempts())
        if not job.over:
            restore_progress(job, encode_progress(self.job))
        assert job.state is self.job.state
        assert job.ended_at_s == self.job.ended_at_s
        runners = list(self.engine.runners.values())
        engine = Engine(lambda job: None)
        engine.add(job)
        for before in runners:
            runner = self.new_incarnation(before.runner_id)
            # One of the runners has restarted while the cell had no holder.
            if self.incarnations % 2:
                runner.born_ms = before.born_ms
            engine.add_runner(runner)
        engine.begin_due(time.time())
        self.engine, self.job = engine, job

    @invariant()
    def one_run_a_task(self) -> None:
        for attempt in self.attempts():
            assert attempt.task.attempts == [attempt]
            assert attempt.task.state is not TaskState.WAITING

    @invariant()
    def nothing_starts_for_finished_work(self) -> None:
        for attempt in self.attempts():
            if self.job.over or attempt.task.state is TaskState.DONE:
                assert attempt.phase is Phase.STOPPING

    @invariant()
    def used_resources_match_attempts(self) -> None:
        for runner in self.engine.runners.values():
            assert runner.used_cpu == 1000 * len(runner.attempts) <= 4000

    @invariant()
    def later_steps_wait(self) -> None:
        for occurrence in self.job.occurrences.values():
            first, second = occurrence.steps
            if not first.done:
                assert not any(task.attempts for task in second.tasks)

    @invariant()
    def completed_only_when_all_is_done(self) -> None:
        if self.job.state is JobState.COMPLETED:
            for occurrence in self.job.occurrences.values():
                assert occurrence.done


TestEngine = EngineMachine.TestCase
TestEngine.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


class TestTaskNames:
    def test_invalid_names_find_no_task(self) -> None:
        engine = Engine(lambda job: None)
        job = Job(
            "a" * 16, JobTerms("r", "desk"), JobRequest("x", STEPS), BODY, time.time()
        )
        engine.add(job)
        engine.begin_due(time.time())
        good = f"{'a' * 16}.0.0.2"
        assert engine._ledger.find_task(good) is not None
        for bad in ("", "x", "a.b.c.d", f"{'a' * 16}.0.0.3", f"{'a' * 16}.0.x.1"):
            assert engine._ledger.find_task(bad) is None


def _job_with_attempts() -> Job:
    """Return a job in which each task of the first step has an attempt."""
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("x", STEPS), BODY, time.time()
    )
    for task in job.begin(0).steps[0].tasks:
        task.last_run = 1
        task.attempts = [Attempt(task, 1, "i-1")]
        task.state = TaskState.PLACED
    return job


def _read_back(job: Job) -> list[Attempt]:
    """Return a job's attempts as the next holder reads them."""
    read = decode_row(job.job_id, encode_definition(job))
    restore_progress(read, encode_progress(job))
    return list(read.attempts())


class TestAttemptsReadBack:
    def test_of_an_open_job_are_restored_as_sent(self) -> None:
        phases = {attempt.phase for attempt in _read_back(_job_with_attempts())}
        assert phases == {Phase.SENT}

    def test_of_a_cancelled_job_are_stopped(self) -> None:
        job = _job_with_attempts()
        job.cancelled = True
        assert {attempt.phase for attempt in _read_back(job)} == {Phase.STOPPING}

    def test_of_a_completed_task_are_stopped(self) -> None:
        job = _job_with_attempts()
        done = job.occurrences[0].steps[0].tasks[0]
        done.state = TaskState.DONE
        phases = {a.task.index: a.phase for a in _read_back(job)}
        assert phases == {0: Phase.STOPPING, 1: Phase.SENT, 2: Phase.SENT}
