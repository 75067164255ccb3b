"""Chooses runners for tasks, as pure decisions over the present state."""

import collections
import typing as t

import attrs

from ..clocks import boot_s
from .fleet import RunnerState
from .free_capacity import FreeCapacity
from .free_capacity import needed
from .learning import learning_key
from .learning import RunTimes
from .model import Occurrence
from .model import Outlook
from .model import StepRun
from .model import Task
from .overload import Choice
from .probation import accepts_job
from .probation import is_starting
from .probation import max_on_probation
from .probation import probation_runners
from .probation import starts_alone
from .stability import EXIT_WINDOW_S

__all__ = [
    "FreeCapacity",
    "Placement",
    "has_required_label",
    "is_avoided",
    "order_steps",
    "outlook",
    "place_step",
    "urgency",
]

URGENCY_CACHE_S = 0.3
"""How long a step's urgency is cached. It depends on learned run times and the time of
day, which change slowly compared with the slack of a second or more that jobs have."""


LARGE_TASK_LEAD_S = 0.1
"""Chosen steps of an overloaded pool come this much earlier for each core of a task.
Large tasks find room on a machine more rarely. Without it, the largest tenth of the
jobs is in time 0.47 to 0.77 times as often as all, with it 0.68 to 0.77 times."""

STABLE_RUNNER_WAIT_S = 2.5
"""How long a task waits for a runner that has been up for a while and starts nothing
else. A job counts as neglected if it runs nothing for 3 s though there is room."""

AVOID_WAIT_S = 1.5
"""How long a task that avoids runners waits for free capacity on another one. This is
about as long as a task runs."""


@attrs.frozen
class Placement:
    """A task and the runner that is to run it."""

    task: Task
    runner: RunnerState


def _chains_s(occurrence: Occurrence, times: RunTimes) -> tuple[float, float]:
    """Return the expected run times of the longest chains of an occurrence's steps.

    Long-running steps count as 0.

    :return: the longest chain of all steps, and the longest one where steps that are
        done count as 0 as well.
    """
    ends: list[float] = []
    open_ends: list[float] = []
    for step in occurrence.steps:
        request = step.request
        end_s = open_end_s = 0.0
        for number in request.after:
            end_s = max(end_s, ends[number])
            open_end_s = max(open_end_s, open_ends[number])
        if not request.lasting:
            step_s = times.expect_s(learning_key(step), request.estimate_ms)
            end_s += step_s
            if not step.done:
                open_end_s += step_s
        ends.append(end_s)
        open_ends.append(open_end_s)
    return max(ends, default=0.0), max(open_ends, default=0.0)


def outlook(occurrence: Occurrence, times: RunTimes) -> tuple[float, float]:
    """Return how long an occurrence still takes, and when it has to end.

    It is kept until a run time is learned or a task of the occurrence is done.

    :return: the length of the longest chain of open steps in seconds, and the latest
        wall time at which the occurrence may end to meet the job's objective.
    """
    known = occurrence.outlook
    if known is None or known.version != times.version or known.times is not times:
        job = occurrence.job
        chain_s, open_s = _chains_s(occurrence, times)
        objective_s = job.terms.stretch * chain_s + job.terms.target_s
        latest_end_s = occurrence.due_at_s + objective_s
        known = Outlook(open_s, latest_end_s, times, times.version)
        occurrence.outlook = known
    return known.open_s, known.latest_end_s


def urgency(
    step: StepRun, times: RunTimes, now_s: float, choice: Choice | None = None
) -> tuple[t.Any, ...]:
    """Return the sort key of a step; steps that sort first are placed first.

    Steps are sorted by priority. Within a priority, long-running tasks come first,
    since they are productive for as long as they run. Next come the jobs that can still
    meet their objective, those with the least slack first, and then all others, those
    that should have started earliest first. In an overloaded pool the jobs that were
    chosen to end in time come before all others.

    :param choice: the order of an overloaded pool; None if the pool is not overloaded.
    """
    job = step.occurrence.job
    if step.request.lasting:
        return (job.priority, 0, 0, step.occurrence.due_at_s)
    open_s, latest_end_s = outlook(step.occurrence, times)
    latest_start_s = latest_end_s - open_s
    if choice is not None:
        key = (job.job_id, step.occurrence.number)
        lead_s = LARGE_TASK_LEAD_S * step.reserved_cpu / 1000
        place = choice.sort_key(key, job.excess, latest_start_s - lead_s)
        return (job.priority, 1, *place)
    lost = now_s > latest_start_s
    return (job.priority, 1, lost, latest_start_s)


def order_steps(
    steps: t.Iterable[StepRun],
    times: RunTimes,
    now_s: float,
    choice: Choice | None = None,
) -> list[StepRun]:
    """Return the steps in the order in which they are given resources.

    :param choice: the order of an overloaded pool; None if the pool is not overloaded.
    """
    return sorted(steps, key=lambda step: _cached_urgency(step, times, now_s, choice))


def _cached_urgency(
    step: StepRun, times: RunTimes, now_s: float, choice: Choice | None
) -> tuple[t.Any, ...]:
    """Return a step's urgency, recomputed only when the cached value is too old.

    Keys of different choices can't be compared.
    """
    old = now_s - step.urgency_at_s > URGENCY_CACHE_S
    if step.urgency is None or old or step.urgency_choice is not choice:
        step.urgency = urgency(step, times, now_s, choice)
        step.urgency_at_s = now_s
        step.urgency_choice = choice
    return step.urgency


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
    suitable = _Suitable(step, runners, tickets, now_s)
    placed = _fill(waiting, suitable, now_s, hall_counts)
    if step.request.gang and len(placed) < len(waiting):
        return []
    return placed


@attrs.frozen
class _Suitable:
    """The runners on which a step's tasks may be placed.

    :param tickets: ids of the runners that may run the step; None means all.
    """

    step: StepRun
    runners: t.Sequence[RunnerState]
    tickets: t.Collection[str] | None
    now_s: float

    def with_room(self) -> list[RunnerState]:
        """Return those with room for one task.

        Most runners of a busy pool have none, so the other questions come after it.
        """
        cpu, memory_mb, gpu = needed(self.step)
        found = self._allowed(
            [
                runner
                for runner in self.runners
                if runner.used_cpu + cpu <= runner.cpu
                and runner.used_memory_mb + memory_mb <= runner.memory_mb
                and runner.used_gpu + gpu <= runner.gpu
            ]
        )
        if self.step.request.lasting:
            return found
        healthy = [r for r in found if r.penalty_until_s <= self.now_s]
        if len(healthy) == len(found) or len(self.all()) == len(self._all_allowed()):
            return found
        return healthy

    def all(self) -> list[RunnerState]:
        """Return those with and without room."""
        allowed = self._all_allowed()
        if self.step.request.lasting:
            return allowed
        return _without_penalized(allowed, self.now_s)

    def _all_allowed(self) -> list[RunnerState]:
        return self._allowed(self.runners)

    def _allowed(self, runners: t.Sequence[RunnerState]) -> list[RunnerState]:
        needs, tickets = self.step.request.requires, self.tickets
        if not needs and tickets is None:
            return list(runners)
        return [
            runner
            for runner in runners
            if has_required_label(self.step, runner)
            and (tickets is None or runner.runner_id in tickets)
        ]


def _without_penalized(runners: list[RunnerState], now_s: float) -> list[RunnerState]:
    """Exclude runners with a penalty, unless they are more than half of all.

    A runner that fails every task immediately always has free capacity and would
    attract all tasks.
    """
    healthy = [runner for runner in runners if runner.penalty_until_s <= now_s]
    return healthy if 2 * len(healthy) >= len(runners) else runners


def _may_run_on(task: Task, runner: RunnerState, runners: int) -> bool:
    """Whether a task may be placed on a runner, considering its earlier attempts.

    A runner with an attempt of the task is never allowed, nor is one that has just come
    up if the task needs a stable one. One that the task avoids is allowed for a
    long-running task, if the task avoids as many runners as there are, or once it has
    waited for ``AVOID_WAIT_S``.

    :param runners: the number of runners that are considered for the task.
    """
    if any(attempt.runner_id == runner.runner_id for attempt in task.attempts):
        return False
    if task.needs_stable_runner and not _is_stable_enough(task, runner):
        return False
    if not is_avoided(task, runner) or task.step.request.lasting:
        return True
    if len(task.avoid) >= runners:
        return True
    return boot_s() - task.waiting_since_s > AVOID_WAIT_S


def _is_stable_enough(task: Task, runner: RunnerState) -> bool:
    """Whether a runner has been up for a while, or the task has waited too long."""
    return _has_waited_for_stable_runner(task) or runner.is_stable(boot_s())


def _has_waited_for_stable_runner(task: Task) -> bool:
    return boot_s() - task.waiting_since_s > STABLE_RUNNER_WAIT_S


def is_avoided(task: Task, runner: RunnerState) -> bool:
    """Whether a task is to run elsewhere than on this incarnation of a runner.

    It failed or lagged there, or the runner became silent while it had the task.
    """
    return bool(task.avoid) and runner.incarnation in task.avoid


def has_required_label(step: StepRun, runner: RunnerState) -> bool:
    """Whether a runner has the label that a step requires."""
    needs = step.request.requires
    return not needs or needs in runner.labels


def _fill(
    waiting: t.Sequence[Task],
    suitable: _Suitable,
    now_s: float,
    hall_counts: t.Mapping[str, int] | None,
) -> list[Placement]:
    """Place a step's tasks, each on the fitting runner with the lowest cost.

    Suspect tasks go only to the runners that probation allows for them.
    """
    step, clock_s = suitable.step, boot_s()
    fitting = suitable.with_room()
    if not fitting:
        return []
    job = step.occurrence.job
    placed_counts = _count_per_runner(step)
    suspects = [task for task in waiting if task.suspect]
    avoiding = any(task.avoid for task in waiting)
    spread = hall_counts is not None
    if not (step.request.same_rack or suspects or avoiding or spread):
        fitting = [runner for runner in fitting if accepts_job(job, runner, clock_s)]
        return _fill_in_order(waiting, fitting, placed_counts, now_s)
    # How many runners there are, with and without room, counts here.
    runners = suitable.all()
    open_runners = [runner for runner in runners if accepts_job(job, runner, clock_s)]
    for_probation: list[RunnerState] = []
    if suspects:
        waits_since_s = min(task.waiting_since_s for task in suspects)
        for_probation = probation_runners(job, runners, waits_since_s, clock_s)
    return _fill_one_by_one(
        waiting, open_runners, for_probation, placed_counts, now_s, hall_counts
    )


def _fill_in_order(
    waiting: t.Sequence[Task],
    runners: t.Sequence[RunnerState],
    placed_counts: collections.Counter[str],
    now_s: float,
) -> list[Placement]:
    """Place tasks that all have the same costs, visiting each runner once.

    A runner that is the best choice for one task remains the best for the next one
    until it is full.

    :param runners: the runners with room for one task.
    """
    request = waiting[0].step.request
    cpu = waiting[0].step.reserved_cpu
    fitting = sorted(
        runners, key=lambda runner: _cost(waiting[0], runner, 0, now_s, ())
    )
    placed: list[Placement] = []
    for runner in fitting:
        left = len(waiting) - len(placed)
        if not left:
            break
        if request.most_per_runner:
            left = min(left, request.most_per_runner - placed_counts[runner.runner_id])
        max_starts = runner.max_starts(boot_s())
        if max_starts is not None:
            left = min(left, max_starts)
        count = runner.count_fitting(cpu, request.memory_mb, request.gpu, left)
        tasks = waiting[len(placed) : len(placed) + count]
        placed.extend(Placement(task, runner) for task in tasks)
    return placed


def _fill_one_by_one(
    waiting: t.Sequence[Task],
    runners: t.Sequence[RunnerState],
    for_probation: t.Sequence[RunnerState],
    placed_counts: collections.Counter[str],
    now_s: float,
    hall_counts: t.Mapping[str, int] | None,
) -> list[Placement]:
    """Place tasks whose costs differ, counting what earlier ones take.

    :param for_probation: the runners for tasks that may cause runner exits.
    """
    planned: collections.Counter[str] = collections.Counter()
    in_halls = None if hall_counts is None else collections.Counter(hall_counts)
    placed: list[Placement] = []
    taken: set[str] = set()
    for task in waiting:
        usable = for_probation if task.suspect else runners
        if taken:
            usable = [runner for runner in usable if runner.runner_id not in taken]
        alone = starts_alone(task)
        if alone and len(taken) >= max_on_probation(len(runners)):
            continue
        best = _best_runner(
            task,
            _without_starts(usable, planned) if alone else usable,
            placed_counts,
            planned,
            now_s,
            placed,
            in_halls,
        )
        if best is None and alone and _has_waited_for_stable_runner(task):
            # Each runner starts other tasks all the time.
            best = _best_runner(
                task, usable, placed_counts, planned, now_s, placed, in_halls
            )
        if best is None:
            if not task.avoid and not task.suspect:
                break
            continue
        planned[best.runner_id] += 1
        if alone:
            taken.add(best.runner_id)
        if in_halls is not None:
            in_halls[best.zone] += 1
        placed.append(Placement(task, best))
    return placed


def _without_starts(
    runners: t.Sequence[RunnerState], planned: t.Mapping[str, int]
) -> list[RunnerState]:
    """Return the runners on which a task may start alone.

    :param planned: the number of tasks that are about to be added to each runner.
    """
    now_s = boot_s()
    return [
        runner
        for runner in runners
        if not planned.get(runner.runner_id) and not is_starting(runner, now_s)
    ]


def _best_runner(
    task: Task,
    runners: t.Sequence[RunnerState],
    placed_counts: collections.Counter[str],
    planned: collections.Counter[str],
    now_s: float,
    placed: t.Sequence[Placement],
    in_halls: collections.Counter[str] | None,
) -> RunnerState | None:
    """Return the runner with capacity for one more task that has the lowest cost.

    :param placed_counts: the number of the step's tasks that each runner already has.
    :param planned: the number of tasks that this call adds to each runner.
    :param in_halls: the number of the step's tasks in each hall, including these.
    """
    request = task.step.request
    cpu = task.step.reserved_cpu
    limit = request.most_per_runner
    clock_s = boot_s()
    best: RunnerState | None = None
    best_cost: tuple[t.Any, ...] = ()
    for runner in runners:
        count = planned[runner.runner_id]
        if not _may_run_on(task, runner, len(runners)):
            continue
        if limit and placed_counts[runner.runner_id] + count >= limit:
            continue
        max_starts = runner.max_starts(clock_s)
        if max_starts is not None and count >= max_starts:
            continue
        if not runner.fits(
            cpu * (count + 1),
            request.memory_mb * (count + 1),
            request.gpu * (count + 1),
        ):
            continue
        beside = 0 if in_halls is None else in_halls[runner.zone]
        cost = _cost(task, runner, cpu * count, now_s, placed, beside)
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
    hall_tasks: int = 0,
) -> tuple[t.Any, ...]:
    """Return the cost of a runner, lower being better.

    Runners without recent failures come first, then warm ones, then those near the
    data, then those in halls with the fewest tasks of the step, then the fullest. A
    suspect task goes beside other tasks of its job that are placed with it, and then to
    the runner with the fewest attempts, where the fewest are lost with it. One that the
    next exit may hold back goes to a runner that has been up for long: its exit is the
    least likely to have another cause.

    :param hall_tasks: the number of the step's tasks in the runner's hall if the step
        is spread over halls, else 0.
    """
    request = task.step.request
    unhealthy = runner.penalty_until_s > now_s or is_avoided(task, runner)
    cold = runner.cold_until_s > 0 and runner.warms_up(boot_s())
    far = bool(request.near_rack) and request.near_rack != runner.rack
    split = bool(request.same_rack and placed and placed[0].runner.rack != runner.rack)
    if task.suspect:
        apart = not any(placement.runner is runner for placement in placed)
        up_s = 0.0
        if task.needs_stable_runner:
            up_s = min(runner.up_for_s(boot_s()), EXIT_WINDOW_S)
        return (unhealthy, cold, far, split, apart, -up_s, len(runner.attempts))
    free_cpu = runner.free_cpu - planned_cpu
    return (unhealthy, cold, far, split, hall_tasks, free_cpu)
