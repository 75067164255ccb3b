"""A search for runners that asks every question of every runner, for comparisons."""

import collections
import typing as t

from streamthread.scheduler import placement
from streamthread.scheduler import RunnerState
from streamthread.scheduler import StepRun
from streamthread.scheduler import Task
from streamthread.scheduler.placement import Placement
from streamthread.scheduler.probation import accepts_job
from streamthread.scheduler.probation import probation_runners

__all__ = ["place_step"]


def place_step(
    step: StepRun,
    runners: t.Sequence[RunnerState],
    now_s: float,
    tickets: t.Collection[str] | None = None,
    max_count: int | None = None,
    hall_counts: t.Mapping[str, int] | None = None,
) -> list[Placement]:
    """Return placements for the step's waiting tasks, as far as capacity is free.

    A gang is placed completely or not at all.

    :param tickets: ids of the runners that may run the step; None means all.
    :param max_count: the maximum number of tasks to place; None means no limit.
    :param hall_counts: how many tasks of the step each hall has; the step is spread
        over halls. None means that halls make no difference.
    """
    waiting = [task for task in step.waiting() if task.not_before_s <= now_s]
    if not waiting:
        return []
    if step.request.gang and len(waiting) < len(step.tasks) - step.done_count:
        return []
    if max_count is not None and len(waiting) > max_count:
        if step.request.gang:
            return []
        waiting = waiting[:max_count]
    suitable = [
        runner
        for runner in runners
        if placement.has_required_label(step, runner)
        and (tickets is None or runner.runner_id in tickets)
    ]
    if not step.request.lasting:
        suitable = placement._without_penalized(suitable, now_s)
    placed = _fill(step, waiting, suitable, now_s, hall_counts)
    if step.request.gang and len(placed) < len(waiting):
        return []
    return placed


def _fill(
    step: StepRun,
    waiting: t.Sequence[Task],
    runners: t.Sequence[RunnerState],
    now_s: float,
    hall_counts: t.Mapping[str, int] | None,
) -> list[Placement]:
    """Place a step's tasks, each on the fitting runner with the lowest cost.

    Suspect tasks go only to the runners that probation allows for them.
    """
    placed_counts = placement._count_per_runner(step)
    job, clock_s = step.occurrence.job, placement.boot_s()
    open_runners = [runner for runner in runners if accepts_job(job, runner, clock_s)]
    suspects = [task for task in waiting if task.suspect]
    for_probation: list[RunnerState] = []
    if suspects:
        waits_since_s = min(task.waiting_since_s for task in suspects)
        for_probation = probation_runners(job, runners, waits_since_s, clock_s)
    spread = hall_counts is not None
    avoiding = any(task.avoid for task in waiting)
    if step.request.same_rack or suspects or avoiding or spread:
        return placement._fill_one_by_one(
            waiting, open_runners, for_probation, placed_counts, now_s, hall_counts
        )
    return _fill_in_order(waiting, open_runners, placed_counts, now_s)


def _fill_in_order(
    waiting: t.Sequence[Task],
    runners: t.Sequence[RunnerState],
    placed_counts: collections.Counter[str],
    now_s: float,
) -> list[Placement]:
    """Place tasks that all have the same costs, visiting each runner once.

    A runner that is the best choice for one task remains the best for the next one
    until it is full.
    """
    request = waiting[0].step.request
    cpu = waiting[0].step.reserved_cpu
    fitting = [r for r in runners if r.fits(cpu, request.memory_mb, request.gpu)]
    fitting.sort(key=lambda runner: placement._cost(waiting[0], runner, 0, now_s, ()))
    placed: list[Placement] = []
    for runner in fitting:
        left = len(waiting) - len(placed)
        if not left:
            break
        if request.most_per_runner:
            left = min(left, request.most_per_runner - placed_counts[runner.runner_id])
        max_starts = runner.max_starts(placement.boot_s())
        if max_starts is not None:
            left = min(left, max_starts)
        count = runner.count_fitting(cpu, request.memory_mb, request.gpu, left)
        tasks = waiting[len(placed) : len(placed) + count]
        placed.extend(Placement(task, runner) for task in tasks)
    return placed
