"""Keeps the current choice of work for each overloaded pool."""

import collections
import typing as t

import attrs

from ..clocks import boot_s
from .fleet import RunnerState
from .learning import learning_key
from .learning import RunTimes
from .ledger import Ledger
from .model import Attempt
from .model import Job
from .model import Occurrence
from .model import StepRun
from .model import Task
from .model import TaskState
from .overload import Choice
from .overload import choose
from .overload import OpenWork
from .overload import Standing
from .overload import WorkKey
from .placement import outlook
from .shares import Shares
from .timeline import Capacity
from .timeline import OpenStep

__all__ = ["CHOICE_CACHE_S", "ForecastSink", "PoolChoices", "cache_s", "has_changed"]

CHOICE_CACHE_S = 0.3
"""How long the choice for a pool holds at least, as long as a step's urgency."""

CHOICE_CACHE_S_PER_JOB = 0.001
"""It holds at least this long for each open job of all pools that choose. A choice
among 1,000 takes 40 ms, so that choices use at most 4 % of a core."""

CHANGED_SHARE = 0.1
"""A pool whose cpu changed by more than this part gets a new choice after
``CHOICE_CACHE_S`` already: it may have lost a hall, or got what it lacked."""

OVERLOAD_GAP_S = 2.0
"""An overload that has been over for longer than this is forgotten."""

ForecastSink = t.Callable[[float], None]
"""Takes by how many seconds a job started later than was forecast."""

CapacityParts = tuple[tuple[float, float], ...]


@attrs.frozen
class _Cached:
    at_s: float
    until_s: float
    choice: Choice | None
    jobs: int
    cpu: float

    def holds(self, cpu: float, now_s: float) -> bool:
        """Whether the choice still counts for a pool that has some cpu now."""
        if not self.at_s <= now_s < self.until_s:
            return False
        return now_s - self.at_s < CHOICE_CACHE_S or not has_changed(self.cpu, cpu)


class PoolChoices:
    """Computes and caches the choices, and charges accounts for what is placed.

    It does nothing where no account has a weight.

    :param arriving: returns the cpu that is on its way into a pool, with the wall times
        at which it will be usable.
    :param on_forecast_error: called at the first start of a job with a forecast.
    """

    def __init__(self, ledger: Ledger, times: RunTimes, shares: Shares) -> None:
        self._ledger = ledger
        self._times = times
        self._shares = shares
        self._cached: dict[str, _Cached] = {}
        self._jobs: dict[str, list[Job]] = {}
        self._grouped_at_s: float | None = None
        self.arriving: t.Callable[[str], CapacityParts] = lambda service: ()
        self.on_forecast_error: ForecastSink = lambda error_s: None

    def choice(
        self,
        service: str,
        ready: t.Sequence[StepRun],
        runners: t.Sequence[RunnerState],
        now_s: float,
    ) -> Choice | None:
        """Return the order of a pool's work, or None if the pool is not overloaded.

        :param ready: the steps that may get resources now. If all of them fit, their
            order does not matter.
        :param runners: the pool's usable runners.
        """
        if not self._shares.in_force:
            return None
        jobs = self._jobs_of(service, now_s)
        self._shares.rebuild(service, jobs, runners, self._times, now_s)
        cached = self._cached.get(service)
        cpu = float(sum(runner.cpu for runner in runners))
        if cached is not None and cached.holds(cpu, now_s):
            return cached.choice
        if _fit_together(ready, runners):
            return None
        jobs = self._jobs_of(service, now_s)
        before = None
        if cached is not None and now_s - cached.until_s < OVERLOAD_GAP_S:
            before = cached.choice
        works = self._open_works(jobs, before)
        choice = choose(
            works,
            self._capacity(service, jobs, runners, now_s),
            self.standing(works, now_s),
            now_s,
            overloaded=before is not None,
        )
        until_s = now_s + cache_s(len(jobs) + self._jobs_elsewhere(service, now_s))
        self._cached[service] = _Cached(now_s, until_s, choice, len(jobs), cpu)
        return choice

    def current(self, service: str) -> Choice | None:
        """Return a pool's last choice, or None if the pool was not overloaded."""
        cached = self._cached.get(service)
        return cached.choice if cached is not None else None

    def _jobs_elsewhere(self, service: str, now_s: float) -> int:
        """Return the number of jobs among which other pools choose at present.

        The choices of all pools together then use no more than those of one.
        """
        return sum(
            cached.jobs
            for name, cached in self._cached.items()
            if name != service and cached.at_s <= now_s < cached.until_s
        )

    def open_works(self, service: str, now_s: float) -> list[OpenWork]:
        """Return the open work of a pool, without long-running tasks."""
        self._grouped_at_s = None
        return self._open_works(self._jobs_of(service, now_s))

    def standing(self, works: t.Iterable[OpenWork], now_s: float) -> Standing:
        """Return what each account was served, its weight, and what it may have.

        :param works: the open work of the pool.
        """
        running: collections.defaultdict[str, float] = collections.defaultdict(float)
        for work in works:
            running[work.account] += sum(step.running_cpu for step in work.steps)
        limits: dict[str, float] = {}
        for account, cpu in running.items():
            limit = self._ledger.accounts.limit_of(account)
            if limit is not None and limit.cpu:
                elsewhere = self._ledger.accounts.of(account).cpu - cpu
                limits[account] = max(0.0, limit.cpu - max(0.0, elsewhere))
        return attrs.evolve(self._shares.standing(now_s), limits=limits)

    def work_of(self, occurrence: Occurrence) -> OpenWork:
        """Return the open work of an occurrence."""
        return self._open_work(occurrence, ())

    def capacity(
        self,
        service: str,
        runners: t.Sequence[RunnerState],
        now_s: float,
        further: CapacityParts = (),
    ) -> Capacity:
        """Return what a pool has for work that ends, now and later.

        :param further: cpu that it can get in addition.
        """
        found = self._capacity(service, self._jobs_of(service, now_s), runners, now_s)
        return Capacity(found.parts + further)

    def note_placed(
        self,
        placed: t.Sequence[Attempt],
        runners: t.Sequence[RunnerState],
        now_s: float,
    ) -> None:
        """Charge accounts for tasks that are placed, and compare forecasts."""
        if not placed or not self._shares.in_force:
            return
        tasks = [attempt.task for attempt in placed]
        self._shares.charge(tasks, runners, self._times, now_s)
        for task in tasks:
            job = task.step.occurrence.job
            if job.start_forecast_s is not None:
                self.on_forecast_error(now_s - job.start_forecast_s)
                job.start_forecast_s = None

    def _jobs_of(self, service: str, now_s: float) -> list[Job]:
        """Return a pool's open jobs; jobs are assigned to pools a few times a second.

        Jobs that came since are behind those that were chosen.
        """
        at_s = self._grouped_at_s
        if at_s is None or not 0 <= now_s - at_s < CHOICE_CACHE_S:
            self._jobs = collections.defaultdict(list)
            for job in self._ledger.open.values():
                if not job.over:
                    self._jobs[job.service].append(job)
            self._grouped_at_s = now_s
        return self._jobs.get(service, [])

    def _capacity(
        self,
        service: str,
        jobs: t.Iterable[Job],
        runners: t.Iterable[RunnerState],
        now_s: float,
    ) -> Capacity:
        cpu = sum(runner.cpu for runner in runners) - _long_running_cpu(jobs)
        parts = ((now_s, float(max(0, cpu))), *self.arriving(service))
        return Capacity(parts)

    def _open_works(
        self, jobs: t.Iterable[Job], before: Choice | None = None
    ) -> list[OpenWork]:
        """Return the open work of jobs.

        :param before: the previous choice. What it left out and ran in a gap is not
            preferred for having begun, unless it had begun before it was left out.
        """
        in_gaps: t.AbstractSet[WorkKey] = frozenset()
        if before is not None:
            in_gaps = before.left_out.keys() - before.begun
        works = [
            self._open_work(occurrence, in_gaps)
            for job in jobs
            if not job.over
            for occurrence in job.occurrences.values()
        ]
        return [work for work in works if work.steps]

    def _open_work(
        self, occurrence: Occurrence, in_gaps: t.Container[WorkKey]
    ) -> OpenWork:
        job = occurrence.job
        key = (job.job_id, occurrence.number)
        _, latest_end_s = outlook(occurrence, self._times)
        steps = [
            self._open_step(step)
            for step in occurrence.steps
            if not (step.done or step.request.lasting or step.request.fills)
        ]
        begun = any(step.done for step in occurrence.steps)
        begun = begun or any(step.running_cpu for step in steps)
        return OpenWork(
            key,
            job.account,
            tuple(steps),
            occurrence.due_at_s,
            latest_end_s,
            job.accepted_at_s,
            job.priority,
            job.excess,
            begun and key not in in_gaps,
        )

    def _open_step(self, step: StepRun) -> OpenStep:
        request = step.request
        run_s = self._times.expect_s(learning_key(step), request.estimate_ms)
        placed = [task for task in step.tasks if task.state is TaskState.PLACED]
        waiting = sum(task.state is TaskState.WAITING for task in step.tasks)
        running_s = sum(_left_s(task, run_s) for task in placed) / max(1, len(placed))
        return OpenStep(
            step.number,
            request.after,
            run_s,
            request.cpu * waiting,
            request.cpu * len(placed),
            running_s,
        )


def cache_s(jobs: int) -> float:
    """Return how long a choice or a forecast among open jobs holds."""
    return max(CHOICE_CACHE_S, CHOICE_CACHE_S_PER_JOB * jobs)


def has_changed(before: float, after: float) -> bool:
    """Whether the cpu of a pool is so different that its work is judged anew."""
    return abs(after - before) > CHANGED_SHARE * max(after, before)


def _left_s(task: Task, run_s: float) -> float:
    """Return how long a placed task will probably still run."""
    sent_s = max((attempt.sent_at_s for attempt in task.attempts), default=0.0)
    if not sent_s:
        return run_s
    return max(0.0, run_s - (boot_s() - sent_s))


def _fit_together(steps: t.Iterable[StepRun], runners: t.Iterable[RunnerState]) -> bool:
    """Whether the free cpu certainly suffices for all steps that wait."""
    free = sum(max(0, runner.free_cpu) for runner in runners)
    wanted = sum(step.reserved_cpu * len(step.waiting()) for step in steps)
    return 2 * wanted <= free


def _long_running_cpu(jobs: t.Iterable[Job]) -> int:
    """Return the cpu that long-running tasks use all the time."""
    return sum(
        step.reserved_cpu * len(step.tasks)
        for job in jobs
        for occurrence in job.occurrences.values()
        for step in occurrence.steps
        if step.request.lasting
    )
