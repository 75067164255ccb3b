"""Tests that a run's end that is listed twice counts once.

Guards against a long-running task that counts as done for good: its run ended `done`,
and the runner listed that end again, to the next holder or after a lost answer. The job
then ended and nothing restarted the task.
"""

import json

from streamthread.platform.manifest import Route
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobState
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState

ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)


def _list_end_twice(lasting: bool) -> Job:
    """Return a job of one task whose only run is listed as done twice."""
    engine = Engine(lambda job: None)
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 1000, 1000, 0)
    runner.ready = True
    engine.add_runner(runner)
    step = {"count": 1, "cpu": 100, "memMb": 10, "longRunning": lasting}
    body = json.dumps({"spec": "", "steps": [step]}).encode()
    job = new_job("a" * 16, JobTerms.of_route(ROUTE), body)
    engine.add(job)
    engine.begin_due(job.accepted_at_s + 1)
    (attempt,) = engine.place_all(0.0, lambda step: None)
    attempt.phase = Phase.SENT
    engine.confirm(attempt, 1_000)
    ended = EndedRun(1, attempt.task.name, attempt.run, EndKind.DONE, "")
    for clock_ms in (2_000, 3_000):
        engine.on_hold(runner, HoldReply(clock_ms, (), (ended,)))
    return job


class TestDoneRunThatIsListedAgain:
    def test_restarts_a_long_running_task(self) -> None:
        job = _list_end_twice(lasting=True)
        assert job.state is JobState.RUNNING
        assert job.occurrences[0].steps[0].tasks[0].needs_attempt

    def test_keeps_other_tasks_done(self) -> None:
        assert _list_end_twice(lasting=False).state is JobState.COMPLETED
