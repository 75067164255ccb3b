"""All members of a gang start with the same checkpoint, whatever each one saved."""

import typing as t

import attrs
import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState

MEMBERS = 4


class _Gang:
    """A gang of which each member has a runner of its own, and one runner is spare."""

    def __init__(self, before: Job | None = None) -> None:
        self.engine = Engine(lambda job: None)
        self.clock_ms = 1_000
        self.runners = [self._add_runner(number) for number in range(MEMBERS + 1)]
        step = StepRequest(count=MEMBERS, cpu=1000, memory_mb=1, gang=True)
        request = JobRequest("", (step,))
        terms = JobTerms("r", "desk", max_attempts=9)
        self.job = Job("a" * 16, terms, request, b"", 1.0)
        if before is not None:
            restore_progress(self.job, encode_progress(before))
        self.engine.add(self.job)
        self.engine.begin_due(2.0)

    def _add_runner(self, number: int) -> RunnerState:
        address = f"x:{number}"
        runner = RunnerState(f"i-{number}", "desk", address, "z", ("a",), 1000, 100, 0)
        runner.ready = True
        self.engine.add_runner(runner)
        return runner

    @property
    def checkpoints(self) -> list[str]:
        """What each member starts with."""
        return [task.checkpoint for task in self.job.occurrences[0].steps[0].tasks]

    def start(self) -> list[Attempt]:
        attempts = self.engine.place_all(0.0, lambda step: None)
        assert len(attempts) == MEMBERS
        for attempt in attempts:
            attempt.phase = Phase.SENT
            self.engine.confirm(attempt, self.clock_ms)
        return attempts

    def report(
        self, attempt: Attempt, checkpoint: str, ends: EndKind | None = None
    ) -> None:
        """List a member's run with its checkpoint, as running or as ended."""
        self.clock_ms += 100
        name = attempt.task.name
        running = (RunningTask(name, attempt.run, checkpoint, 50.0),)
        ended: tuple[EndedRun, ...] = ()
        if ends is not None:
            running = ()
            ended = (EndedRun(attempt.run, name, attempt.run, ends, checkpoint),)
        runner = self.engine.runners[attempt.runner_id]
        self.engine.on_hold(runner, HoldReply(self.clock_ms, running, ended))

    def end_all(self, attempts: t.Iterable[Attempt], *checkpoints: str) -> None:
        for attempt, checkpoint in zip(attempts, checkpoints, strict=False):
            self.report(attempt, checkpoint, EndKind.BROKEN)


class TestGang:
    # Guards against members that start with different checkpoints after the runner of
    # one of them has crashed, whose last checkpoint nobody has seen.
    @pytest.mark.parametrize("crashed", range(MEMBERS))
    def test_starts_again_with_the_newest_checkpoint_of_all(self, crashed: int) -> None:
        gang = _Gang()
        attempts = gang.start()
        assert gang.checkpoints == [""] * MEMBERS
        for number, attempt in enumerate(attempts):
            gang.report(attempt, f"{number}-at-1s")
        lost = attempts.pop(crashed)
        gang.engine.runner_exited(lost.runner_id, "crash")
        gang.end_all(attempts, *(f"{a.task.index}-at-2s" for a in attempts))
        gang.start()
        assert gang.checkpoints == [f"{attempts[-1].task.index}-at-2s"] * MEMBERS

    # Guards against members whose next holder repeats their starts with their own.
    def test_starts_alike_at_the_next_holder(self) -> None:
        gang = _Gang()
        attempts = gang.start()
        for attempt, text in zip(attempts, ("b", "c", "", "a"), strict=True):
            gang.report(attempt, text)
        gang.end_all(attempts, "b", "c", "", "a")
        after = _Gang(gang.job)
        assert after.checkpoints == ["b", "c", "", "a"]
        after.start()
        assert len(set(after.checkpoints)) == 1 and after.checkpoints[0]
        repeated = _Gang(after.job)
        assert repeated.checkpoints == after.checkpoints

    # Guards against other tasks that lose their own progress.
    def test_alone_shares_checkpoints(self) -> None:
        gang = _Gang()
        step = gang.job.occurrences[0].steps[0]
        step.request = attrs.evolve(step.request, gang=False)
        attempts = gang.start()
        texts = [f"{attempt.task.index}" for attempt in attempts]
        gang.end_all(attempts, *texts)
        gang.start()
        assert sorted(gang.checkpoints) == sorted(texts)
