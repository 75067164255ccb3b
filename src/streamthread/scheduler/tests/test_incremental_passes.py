"""Whether what passes keep between events is what a full computation finds."""

import collections
import typing as t

import pytest

from streamthread.scheduler import Engine
from streamthread.scheduler import placement
from streamthread.scheduler import placer
from streamthread.scheduler import RunnerState
from streamthread.scheduler import StepRun
from streamthread.scheduler import Task
from streamthread.scheduler import TaskState
from streamthread.scheduler.learning import learning_key
from streamthread.scheduler.model import Occurrence

from . import reference
from .drawn import DrawnCell
from .loads import ACCOUNTS
from .loads import arrivals
from .loads import Load
from .loads import play

ROUNDS = 200
MIN_KINDS = 5
"""Kinds of searches that each drawn engine has to contain at least."""


def needs_attempt(task: Task) -> bool:
    copied = task.copy_requested and task.state is TaskState.PLACED
    return copied or task.state is TaskState.WAITING


def is_done(step: StepRun) -> bool:
    done = sum(task.state is TaskState.DONE for task in step.tasks)
    assert step.done_count == done
    return done == len(step.tasks)


def ready_steps(engine: Engine) -> dict[str, list[StepRun]]:
    """Return the steps with tasks to place, from the state of all tasks."""
    found: dict[str, list[StepRun]] = {}
    for job in engine.open_jobs():
        for occurrence in job.occurrences.values():
            steps = occurrence.steps
            for step in steps:
                if job.over or is_done(step):
                    continue
                if not all(is_done(steps[number]) for number in step.request.after):
                    continue
                if any(needs_attempt(task) for task in step.tasks):
                    found.setdefault(job.service, []).append(step)
    return found


def check_steps(engine: Engine, now_s: float) -> None:
    expected = ready_steps(engine)
    found = engine.ready_steps()
    assert list(found.items()) == list(expected.items())
    for job in engine.open_jobs():
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                waiting = [task for task in step.tasks if needs_attempt(task)]
                assert list(step.waiting()) == waiting


def check_occurrences(engine: Engine, now_s: float) -> None:
    """Check that what is due has begun, and when something is due next."""
    next_s: list[float] = []
    for job in engine.open_jobs():
        known = job.done_times | set(job.occurrences)
        missing = [n for n in range(job.times) if n not in known]
        if missing and not job.over:
            next_s.append(job.due_at_s(missing[0]) - engine.settings.early_s)
    assert engine.begin_due(now_s) == min(next_s, default=None)
    assert min(next_s, default=now_s + 1) > now_s


def chain_s(engine: Engine, occurrence: Occurrence, only_open: bool) -> float:
    """Return the length of the longest chain, from the state of all tasks."""
    ends: list[float] = []
    for step in occurrence.steps:
        step_s = 0.0
        if not (only_open and is_done(step)) and not step.request.lasting:
            key = learning_key(step)
            step_s = engine.times.expect_s(key, step.request.estimate_ms)
        ends.append(step_s + max((ends[n] for n in step.request.after), default=0.0))
    return max(ends)


def check_outlooks(engine: Engine, now_s: float) -> None:
    for job in engine.open_jobs():
        for occurrence in job.occurrences.values():
            objective_s = job.terms.stretch * chain_s(
                engine, occurrence, only_open=False
            )
            latest_end_s = occurrence.due_at_s + (objective_s + job.terms.target_s)
            open_s = chain_s(engine, occurrence, only_open=True)
            found = placement.outlook(occurrence, engine.times)
            assert found == (open_s, latest_end_s)


def check(engine: Engine, now_s: float) -> None:
    check_outlooks(engine, now_s)
    check_occurrences(engine, now_s)
    check_steps(engine, now_s)


class CheckedSearch:
    """Compares each search for runners with one that asks all of every runner.

    :param placed: how many tasks found a runner, by what was special about the search.
    """

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.placed: collections.Counter[str] = collections.Counter()
        patch.setattr(placer, "place_step", self._place_step)

    def _place_step(
        self,
        step: StepRun,
        runners: t.Sequence[RunnerState],
        now_s: float,
        *limits: t.Any,
    ) -> list[placement.Placement]:
        found = placement.place_step(step, runners, now_s, *limits)
        assert found == reference.place_step(step, runners, now_s, *limits)
        request = step.request
        kinds = {
            "gang": request.gang,
            "label": request.requires,
            "limited": request.most_per_runner,
            "lasting": request.lasting,
            "advised": limits[0] is not None,
            "copied": any(task.copy_requested for task in step.tasks),
            "suspect": any(task.suspect for task in step.tasks),
            "penalty": any(runner.penalty_until_s > now_s for runner in runners),
        }
        self.placed.update({kind: len(found) for kind, is_so in kinds.items() if is_so})
        return found


@pytest.mark.parametrize("seed", range(12))
def test_drawn_events(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    """Guards against an event after which a pass decides on an outdated state."""
    search = CheckedSearch(monkeypatch)
    cell = DrawnCell(monkeypatch, seed, check)
    cell.play(ROUNDS)
    assert cell.placed > ROUNDS / 4
    assert len(+search.placed) >= MIN_KINDS


@pytest.mark.parametrize(
    "load",
    [Load(1, factors={ACCOUNTS - 1: 8.0}, load_s=6.0), Load(2, crowd=3.0, load_s=6.0)],
)
def test_loads(monkeypatch: pytest.MonkeyPatch, load: Load) -> None:
    """Guards against a state that is outdated in a flood or a crowd."""
    place_all = Engine.place_all

    def checked(engine: Engine, now_s: float, tickets: object) -> object:
        check(engine, now_s)
        return place_all(engine, now_s, tickets)  # type: ignore[arg-type]

    CheckedSearch(monkeypatch)
    monkeypatch.setattr(Engine, "place_all", checked)
    played = play(monkeypatch, arrivals(load), load.weights())
    assert any(outcome.in_time for outcome in played.outcomes)
