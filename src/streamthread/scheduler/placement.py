"""Which task goes to which runner: pure decisions over the present state."""

import collections
import typing as t

import attrs

from .fleet import RunnerState
from .learning import learning_key
from .learning import RunTimes
from .model import Occurrence
from .model import StepRun
from .model import Task

__all__ = ["Placement", "open_chain_s", "order_steps", "place_step", "urgency"]


@attrs.frozen
class Placement:
    """One task and the runner that is to run it."""

    task: Task
    runner: RunnerState


def open_chain_s(occurrence: Occurrence, times: RunTimes, only_open: bool) -> float:
    """Return the length of the longest chain of a time's (open) steps."""
    ends: list[float] = []
    for step in occurrence.steps:
        own_s = 0.0
        if not (only_open and step.done) and not step.request.lasting:
            own_s = times.expect_s(learning_key(step), step.request.estimate_ms)
        before_s = max((ends[n] for n in step.request.after), default=0.0)
        ends.append(before_s + own_s)
    return max(ends, default=0.0)


def urgency(step: StepRun, times: RunTimes, now_s: float) -> tuple[t.Any, ...]:
    """Return the sort key of a step: what sorts first is placed first.

    Lasting tasks first, since they earn for as long as they are at work; then by
    priority; then the jobs that can still meet their objective, the tightest
    first; then the others, the oldest first.
    """
    job = step.occurrence.job
    if step.request.lasting:
        return (job.priority, 0, 0, step.occurrence.due_at_s)
    chain_s = open_chain_s(step.occurrence, times, only_open=False)
    open_s = open_chain_s(step.occurrence, times, only_open=True)
    objective_s = job.stretch * chain_s + job.target_s
    latest_start_s = step.occurrence.due_at_s + objective_s - open_s
    lost = now_s > latest_start_s
    return (job.priority, 1, lost, latest_start_s)


def order_steps(
    steps: t.Iterable[StepRun], times: RunTimes, now_s: float
) -> list[StepRun]:
    """Return the steps in the order in which they get room."""
    return sorted(steps, key=lambda step: urgency(step, times, now_s))


def place_step(
    step: StepRun,
    runners: t.Sequence[RunnerState],
    now_s: float,
    tickets: t.Collection[str] | None = None,
) -> list[Placement]:
    """Return where the step's waiting tasks go, as far as there is room.

    A gang goes all at once or not at all.

    :param tickets: ids of the runners that may run the step; None: all.
    """
    waiting = [task for task in step.waiting() if task.not_before_s <= now_s]
    if not waiting:
        return []
    if step.request.gang and len(waiting) < len(step.tasks) - step.done_count:
        return []
    suitable = [
        runner
        for runner in runners
        if _suits(step, runner) and (tickets is None or runner.runner_id in tickets)
    ]
    placed = _fill(step, waiting, suitable, now_s)
    if step.request.gang and len(placed) < len(waiting):
        return []
    return placed


def _suits(step: StepRun, runner: RunnerState) -> bool:
    needs = step.request.requires
    return not needs or needs in runner.labels


def _fill(
    step: StepRun,
    waiting: t.Sequence[Task],
    runners: t.Sequence[RunnerState],
    now_s: float,
) -> list[Placement]:
    """Place task by task, with the room that earlier ones of this call take."""
    planned: collections.Counter[str] = collections.Counter()
    there = _count_per_runner(step)
    placed: list[Placement] = []
    for task in waiting:
        best = _best_runner(task, runners, there, planned, now_s, placed)
        if best is None:
            if not task.avoid:
                break
            continue
        planned[best.runner_id] += 1
        placed.append(Placement(task, best))
    return placed


def _best_runner(
    task: Task,
    runners: t.Sequence[RunnerState],
    there: collections.Counter[str],
    planned: collections.Counter[str],
    now_s: float,
    placed: t.Sequence[Placement],
) -> RunnerState | None:
    """Return the runner with room for one more task that costs least.

    :param there: how many of the step's tasks each runner has.
    :param planned: how many more it gets by this call.
    """
    request = task.step.request
    cpu = 0 if request.fills else request.cpu
    limit = request.most_per_runner
    best: RunnerState | None = None
    best_cost: tuple[t.Any, ...] = ()
    for runner in runners:
        count = planned[runner.runner_id]
        if limit and there[runner.runner_id] + count >= limit:
            continue
        if not runner.fits(
            cpu * (count + 1),
            request.memory_mb * (count + 1),
            request.gpu * (count + 1),
        ):
            continue
        cost = _cost(task, runner, cpu * count, now_s, placed)
        if best is None or cost < best_cost:
            best, best_cost = runner, cost
    return best


def _count_per_runner(step: StepRun) -> collections.Counter[str]:
    return collections.Counter(
        attempt.runner_id for task in step.tasks for attempt in task.attempts
    )


def _cost(
    task: Task,
    runner: RunnerState,
    planned_cpu: int,
    now_s: float,
    placed: t.Sequence[Placement],
) -> tuple[t.Any, ...]:
    """Return how unwelcome a runner is: sound, near the data, then fullest."""
    request = task.step.request
    unsound = runner.penalty_until_s > now_s or runner.runner_id in task.avoid
    far = bool(request.near_rack) and request.near_rack != runner.rack
    split = bool(request.same_rack and placed and placed[0].runner.rack != runner.rack)
    return (unsound, far, split, runner.free_cpu - planned_cpu)
