"""How much work a pass does where more waits than fits: `a long queue`."""

import random
import time
import typing as t

import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import placement
from streamthread.scheduler import placer as module
from streamthread.scheduler import RunnerState
from streamthread.scheduler import Task
from streamthread.scheduler import TaskState
from streamthread.scheduler.learning import RunTimes
from streamthread.scheduler.placement import FreeCapacity

JOBS = 50
"""Enough that a pass which looks at all runners for each job stands out."""

SIZES = (1, 2, 5, 11)
"""Thousands of cpu and of memory that tasks ask for and runners have free."""


def _runner(number: int, cpu: int, memory_mb: int) -> RunnerState:
    runner = RunnerState(
        f"i-{number}", "desk", f"x:{number}", "z", ("a", "r"), cpu, memory_mb, 0
    )
    runner.ready = True
    return runner


def _engine(runners: t.Iterable[RunnerState], steps: t.Iterable[StepRequest]) -> Engine:
    """Return an engine with one job for each step."""
    engine = Engine(lambda job: None)
    for runner in runners:
        engine.add_runner(runner)
    for number, step in enumerate(steps):
        job = Job(
            f"{number:016x}", JobTerms("r", "desk"), JobRequest("", (step,)), b"", 0.0
        )
        engine.add(job)
    engine.begin_due(time.time())
    return engine


def _scattered() -> Engine:
    """Return an engine whose free cpu and free memory are on different runners."""
    runners = [
        _runner(0, cpu=16_000, memory_mb=100),
        _runner(1, cpu=1_000, memory_mb=64_000),
    ]
    step = StepRequest(count=4, cpu=4_000, memory_mb=1_000, estimate_ms=500)
    return _engine(runners, [step] * JOBS)


def _drawn(seed: int) -> Engine:
    """Return an engine with runners and steps of drawn sizes."""
    drawn = random.Random(seed)

    def size() -> int:
        return 1_000 * drawn.choice(SIZES)

    runners = [_runner(number, size(), size()) for number in range(12)]
    steps = [
        StepRequest(
            count=drawn.randint(1, 4),
            cpu=size(),
            memory_mb=size(),
            gang=drawn.random() < 0.2,
            most_per_runner=drawn.choice((0, 0, 1)),
        )
        for _ in range(JOBS)
    ]
    return _engine(runners, steps)


def _placed(engine: Engine, now_s: float) -> list[tuple[str, int, str]]:
    """Run two passes; return what was placed, in order."""
    attempts = [
        attempt
        for _ in range(2)
        for attempt in engine.place_all(now_s, lambda step: None)
    ]
    return [(a.task.name, a.run, a.runner_id) for a in attempts]


class CountedCapacity(FreeCapacity):
    """Counts how often all runners are looked at for what is free."""

    count = 0

    @classmethod
    def among(cls, runners: t.Iterable[RunnerState]) -> FreeCapacity:
        cls.count += 1
        return super().among(runners)


def test_runners_are_looked_at_again_only_after_placements(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pass that takes longer with each job that fits nowhere."""
    engine = _scattered()
    monkeypatch.setattr(CountedCapacity, "count", 0)
    monkeypatch.setattr(module, "FreeCapacity", CountedCapacity)
    assert engine.place_all(time.time(), lambda step: None) == []
    assert CountedCapacity.count == 1


def test_no_runner_is_looked_at_for_a_step_that_fits_nowhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a search through all runners for each job of a long queue."""
    engine = _scattered()
    searched: list[object] = []
    monkeypatch.setattr(module, "place_step", lambda *given: searched.append(given))
    assert engine.place_all(time.time(), lambda step: None) == []
    assert not searched


@pytest.mark.parametrize("seed", range(20))
def test_skipping_what_fits_nowhere_changes_no_placement(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Guards against a step that is left out though a runner has room for it."""
    now_s = time.time()
    placed = _placed(_drawn(seed), now_s)
    monkeypatch.setattr(FreeCapacity, "fits", lambda free, step: True)
    assert placed == _placed(_drawn(seed), now_s)
    assert placed


def test_tasks_are_looked_at_again_only_after_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pass that looks at all tasks of all open jobs."""
    engine = _scattered()
    engine.place_all(time.time(), lambda step: None)
    looked_at: list[Task] = []

    def needs_attempt(task: Task) -> bool:
        looked_at.append(task)
        return task.state is TaskState.WAITING

    monkeypatch.setattr(Task, "needs_attempt", property(needs_attempt))
    engine.place_all(time.time(), lambda step: None)
    assert not looked_at
    job = next(iter(engine.open_jobs()))
    changed = job.occurrences[0].steps[0].tasks[0]
    changed.state = TaskState.PLACED
    engine.place_all(time.time(), lambda step: None)
    assert set(looked_at) <= set(changed.step.tasks)


def test_begun_jobs_are_not_looked_at_for_due_occurrences(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pass that asks each open job for its next occurrence."""
    engine = _scattered()
    now_s = time.time()
    request = JobRequest("", (StepRequest(),), 3, round(now_s * 1000), 1_000)
    scheduled = Job("scheduled", JobTerms("r", "desk"), request, b"", now_s)
    engine.add(scheduled)
    next_s = engine.begin_due(now_s)
    assert next_s == scheduled.due_at_s(1) - engine.settings.early_s
    looked_at: list[Job] = []

    def over(job: Job) -> bool:
        looked_at.append(job)
        return False

    monkeypatch.setattr(Job, "over", property(over))
    assert engine.begin_due(now_s) == next_s
    assert looked_at == [scheduled]
    assert engine.begin_due(now_s + 2) is None
    looked_at.clear()
    assert engine.begin_due(now_s + 2) is None
    assert not looked_at
    assert list(scheduled.occurrences) == [0, 1, 2]


def test_runners_without_room_are_asked_nothing_else(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a search that asks all questions of the runners that are full."""
    runners = [_runner(number, cpu=0, memory_mb=100) for number in range(50)]
    runners.append(_runner(50, cpu=2_000, memory_mb=100))
    asked: list[RunnerState] = []

    def accepts_job(job: Job, runner: RunnerState, now_s: float) -> bool:
        asked.append(runner)
        return True

    monkeypatch.setattr(placement, "accepts_job", accepts_job)
    engine = _engine(runners, [StepRequest(cpu=1_000), StepRequest(cpu=1_000)])
    assert len(engine.place_all(time.time(), lambda step: None)) == 2
    assert asked == [runners[-1]] * 2


def test_chains_are_computed_again_only_after_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against computing an occurrence's chains for each question about it."""
    engine = _scattered()
    job = next(iter(engine.open_jobs()))
    occurrence = job.occurrences[0]
    asked: list[str] = []
    expect_s = RunTimes.expect_s

    def counted(times: RunTimes, key: str, estimate_ms: float) -> float:
        asked.append(key)
        return expect_s(times, key, estimate_ms)

    monkeypatch.setattr(RunTimes, "expect_s", counted)
    for _ in range(3):
        assert placement.outlook(occurrence, engine.times)[0] == 0.5
    assert asked == ["r/0"]
    engine.times.learn("r/0", 2.0)
    engine.times.learn("r/0", 2.0)
    assert placement.outlook(occurrence, engine.times)[0] == 2.0
    occurrence.steps[0].done_count = len(occurrence.steps[0].tasks)
    assert placement.outlook(occurrence, engine.times)[0] == 0.0
    assert asked == ["r/0"] * 3


def test_limits_are_looked_up_only_for_steps_that_may_fit() -> None:
    """Guards against asking for the account's limit for each job of a long queue."""
    asked: list[str] = []

    def limit_of(account: str) -> None:
        asked.append(account)

    engine = Engine(lambda job: None, limit_of=limit_of)
    engine.add_runner(_runner(0, cpu=1_000, memory_mb=100))
    request = JobRequest("", (StepRequest(cpu=1_000),))
    for number in range(JOBS):
        job = Job(
            f"{number:016x}", JobTerms("r", "desk", account="a"), request, b"", 0.0
        )
        engine.add(job)
    engine.begin_due(time.time())
    assert len(engine.place_all(time.time(), lambda step: None)) == 1
    # The second one finds that the runner is full now.
    assert len(asked) == 2
