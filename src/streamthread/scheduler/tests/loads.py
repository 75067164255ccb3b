"""Loads on one pool, played in virtual time with the real engine.

Twenty accounts send jobs of one to four steps. Tasks take as long as the scheduler
expects, give or take a fifth.
"""

import collections
import heapq
import random
import typing as t

import attrs
import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import choices
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler import Task

__all__ = ["ACCOUNTS", "Load", "Outcome", "Played", "arrivals", "bound", "play"]

ACCOUNTS = 20
MACHINES = 30
MACHINE_CPUS = (16_000, 32_000)
CAPACITY = MACHINES * sum(MACHINE_CPUS) // len(MACHINE_CPUS)
JOBS_PER_S = 6.0
"""The usual load of all accounts, three fifths of the pool."""

TASK_CPUS = (1_500, 2_000, 3_000, 4_000, 6_000)
TASKS = 8
STRETCH = 1.6
TARGET_S = 0.6
STEP_S = 0.02
FIRST_S = 1_000.0
LATE_WORTH = 1 / 14


@attrs.frozen
class Load:
    """How much comes of the accounts.

    :param factors: factors on the usual load by account, during the load.
    """

    seed: int = 1
    usual_s: float = 4.0
    load_s: float = 20.0
    after_s: float = 6.0
    factors: t.Mapping[int, float] = attrs.field(factory=dict)
    crowd: float = 1.0
    weight_scale: float = 1.0

    def weights(self) -> dict[str, float]:
        """Return the weights: ten times for the largest what the smallest has."""
        return {
            f"a{n}": self.weight_scale * (9 + n * 84 / (ACCOUNTS - 1))
            for n in range(ACCOUNTS)
        }

    @property
    def end_s(self) -> float:
        """When the last job arrives."""
        return FIRST_S + self.usual_s + self.load_s + self.after_s


@attrs.define(eq=False)
class Outcome:
    """One job and what became of it."""

    job: Job
    work: float
    chain_s: float
    arrived_s: float
    ended_s: float | None = None
    refused: bool = False

    @property
    def objective_s(self) -> float:
        """The time that the job has."""
        return STRETCH * self.chain_s + TARGET_S

    @property
    def in_time(self) -> bool:
        """Whether the job met its objective."""
        return self._took_s() <= self.objective_s

    @property
    def worth(self) -> float:
        """What the job earns."""
        if self.in_time:
            return 1.0
        return LATE_WORTH if self._took_s() <= 3 * self.objective_s else 0.0

    def _took_s(self) -> float:
        return float("inf") if self.ended_s is None else self.ended_s - self.arrived_s


def arrivals(load: Load) -> list[Outcome]:
    """Return the jobs of a load in the order in which they arrive.

    The jobs of each account are drawn apart, so that other accounts send the same
    whatever one sends.
    """
    weights = load.weights()
    total = sum(weights.values())
    found: list[Outcome] = []
    for number, (account, weight) in enumerate(weights.items()):
        drawn = random.Random(f"{load.seed} {account}")
        at_s = FIRST_S
        while True:
            factor = 1.0
            if load.usual_s <= at_s - FIRST_S < load.usual_s + load.load_s:
                factor = load.factors.get(number, load.crowd)
            at_s += drawn.expovariate(JOBS_PER_S * weight / total * factor)
            if at_s >= load.end_s:
                break
            found.append(_draw_job(drawn, account, at_s, len(found)))
    return sorted(found, key=lambda outcome: outcome.arrived_s)


def _draw_job(drawn: random.Random, account: str, at_s: float, number: int) -> Outcome:
    steps = tuple(
        StepRequest(
            count=TASKS,
            cpu=drawn.choice(TASK_CPUS),
            memory_mb=64,
            estimate_ms=drawn.uniform(800, 1_700),
            after=(step - 1,) if step else (),
            image=f"{account}-{number}-{step}",
        )
        for step in range(drawn.choice((1, 2, 3, 4)))
    )
    job = Job(
        f"{account}-{number:05d}",
        JobTerms("r", "desk", stretch=STRETCH, target_s=TARGET_S, account=account),
        JobRequest("", steps),
        b"",
        at_s,
    )
    work = sum(step.cpu * step.count * step.estimate_ms / 1000 for step in steps)
    chain_s = sum(step.estimate_ms / 1000 for step in steps)
    return Outcome(job, work, chain_s, at_s)


@attrs.frozen
class Played:
    """All jobs of a load, and the engine that played them."""

    outcomes: tuple[Outcome, ...]
    engine: Engine

    def worth(self, *accounts: str) -> float:
        """Return what all jobs earned, or those of some accounts."""
        return sum(
            outcome.worth
            for outcome in self.outcomes
            if not accounts or outcome.job.account in accounts
        )

    def work_in_time(self) -> float:
        """Return the work of the jobs that met their objectives."""
        return sum(o.work for o in self.outcomes if o.in_time)

    def share_in_time(self, outcomes: t.Collection[Outcome]) -> float:
        """Return which part of some jobs met their objectives."""
        return sum(outcome.in_time for outcome in outcomes) / len(outcomes)


Submit = t.Callable[[Engine, Outcome, float], bool]
"""Whether a job is accepted at a time."""


def play(
    patch: pytest.MonkeyPatch,
    outcomes: t.Sequence[Outcome],
    weights: t.Mapping[str, float],
    submit: Submit = lambda engine, outcome, now_s: True,
    prepare: t.Callable[[Engine], None] = lambda engine: None,
    drain_s: float = 12.0,
) -> Played:
    """Play a load on one pool whose machines are all there."""
    now_s = FIRST_S
    patch.setattr(choices, "boot_s", lambda: now_s)
    engine = Engine(lambda job: None, weights=lambda: weights)
    prepare(engine)
    for number in range(MACHINES):
        cpu = MACHINE_CPUS[number % len(MACHINE_CPUS)]
        runner = RunnerState(f"i-{number}", "desk", "x:1", "z", ("a",), cpu, 1 << 20, 0)
        runner.ready = True
        engine.add_runner(runner)
    drawn = random.Random(7)
    ends: list[tuple[float, int, t.Any]] = []
    waiting = collections.deque(outcomes)
    by_job = {outcome.job.job_id: outcome for outcome in outcomes}
    count = 0
    end_s = outcomes[-1].arrived_s + drain_s
    while now_s < end_s:
        now_s += STEP_S
        changed = False
        while ends and ends[0][0] <= now_s:
            _, _, attempt = heapq.heappop(ends)
            finish(engine, attempt.task, attempt)
            changed = True
            job = attempt.task.step.occurrence.job
            if job.over:
                by_job[job.job_id].ended_s = now_s
        while waiting and waiting[0].arrived_s <= now_s:
            outcome = waiting.popleft()
            outcome.refused = not submit(engine, outcome, now_s)
            if outcome.refused:
                continue
            engine.add(outcome.job)
            outcome.job.begin(0)
            changed = True
        if not changed:
            continue
        for attempt in engine.place_all(now_s, lambda step: None):
            attempt.sent_at_s = now_s
            run_s = attempt.task.step.request.estimate_ms / 1000
            count += 1
            took_s = run_s * drawn.uniform(0.8, 1.2)
            heapq.heappush(ends, (now_s + took_s, count, attempt))
    return Played(tuple(outcomes), engine)


def finish(engine: Engine, task: Task, attempt: t.Any) -> None:
    """End a run as done."""
    ledger = engine._ledger
    ledger.remove(attempt, engine.runners.get(attempt.runner_id))
    ledger.mark_done(task)
    ledger.settle_job(task.step.occurrence.job)


def bound(outcomes: t.Sequence[Outcome], capacity: float = CAPACITY) -> float:
    """Return the most work that any order can do in time, knowing the arrivals.

    Work counts in parts here and needs no chain: at any time, what ends first of the
    work that is still in time is done, which loses the least.
    """
    live: list[list[float]] = []
    waiting = collections.deque(outcomes)
    now_s, done = FIRST_S, 0.0
    while waiting or live:
        now_s += STEP_S
        while waiting and waiting[0].arrived_s <= now_s:
            outcome = waiting.popleft()
            end_s = outcome.arrived_s + outcome.objective_s
            heapq.heappush(live, [end_s, outcome.work])
        room = capacity * STEP_S
        while live and room > 0:
            if live[0][0] <= now_s:
                heapq.heappop(live)
                continue
            part = min(room, live[0][1])
            live[0][1] -= part
            room -= part
            done += part
            if live[0][1] <= 0:
                heapq.heappop(live)
    return done
