"""Computes the resources that a pool's open jobs need."""

import math
import typing as t

import attrs

from ..scheduler.learning import learning_key
from ..scheduler.learning import request_key
from ..scheduler.learning import RunTimes
from ..scheduler.model import Job
from ..scheduler.model import Occurrence
from ..scheduler.placement import outlook

__all__ = [
    "Demand",
    "JobDemands",
    "Work",
    "job_work",
    "pool_demand",
    "required_resources",
]

LATE_SPREAD_FACTOR = 1.5
"""The open work of a job that can no longer end in time is spread over the length of
its longest open chain times this factor."""

MIN_SPREAD_S = 0.3
"""Shortest time over which work is spread, so that a job that is nearly done does not
request many machines at once."""


@attrs.frozen
class Demand:
    """Resources that are needed.

    :param cpu: thousandths of a core.
    :param machines: the minimum number of machines, given by the runnable step whose
        limit of tasks per runner needs the most of them.
    """

    cpu: float = 0.0
    memory_mb: float = 0.0
    machines: int = 0


@attrs.frozen
class Work:
    """Open work with a deadline.

    :param spread_s: the time over which it may be spread.
    :param cpu_s: thousandths of a core times seconds.
    :param memory_s: megabytes times seconds.
    """

    spread_s: float
    cpu_s: float
    memory_s: float


@attrs.frozen
class _OccurrenceDemand:
    """Needs of one occurrence of a job: constant resources and work with a deadline."""

    long_running: Demand
    work: Work | None = None


def job_work(job: Job, times: RunTimes) -> float:
    """Return the work that a job brings when it is submitted.

    A scheduled job brings none at that time: each of its occurrences counts once it is
    open.

    :return: thousandths of a core times seconds.
    """
    if job.request.times > 0:
        return 0.0
    total = 0.0
    for number, step in enumerate(job.request.steps):
        if step.lasting or step.fills:
            continue
        run_s = times.expect_s(request_key(job.route, number, step), step.estimate_ms)
        total += step.cpu * step.count * run_s
    return total


CpuLimit = t.Callable[[str], float | None]
"""Returns the cpu that an account may have running at once; None: no limit."""


@attrs.frozen
class JobDemands:
    """What some jobs need.

    :param long_running_cpu: thousandths of a core that their long-running tasks use all
        the time.
    """

    _parts: tuple[tuple[str, _OccurrenceDemand], ...] = ()
    long_running_cpu: float = 0.0

    @classmethod
    def of(cls, jobs: t.Iterable[Job], times: RunTimes, now_s: float) -> "JobDemands":
        """Return the needs of jobs.

        :param now_s: wall time.
        """
        jobs = tuple(jobs)
        parts = tuple(
            (job.account, _occurrence_demand(occurrence, times, now_s))
            for job in jobs
            for occurrence in job.occurrences.values()
        )
        return cls(parts, float(sum(_long_running_cpu(job) for job in jobs)))

    def __add__(self, other: "JobDemands") -> "JobDemands":
        return JobDemands(
            self._parts + other._parts, self.long_running_cpu + other.long_running_cpu
        )

    def total(self, cpu_limit_of: CpuLimit = lambda account: None) -> Demand:
        """Return the resources that the jobs need to meet their objectives.

        The open work of a job is spread over the time that it has left. This takes
        fewer resources than all of its tasks at once, and more as the job falls behind.

        :param cpu_limit_of: an account whose work needs more than its limit needs its
            limit only, as no more of it can run.
        """
        works: dict[str, list[Work]] = {}
        for account, demand in self._parts:
            if demand.work is not None:
                works.setdefault(account, []).append(demand.work)
        work_demand = _limited_resources(works, cpu_limit_of)
        long_running = [demand.long_running for _, demand in self._parts]
        return Demand(
            sum(demand.cpu for demand in long_running) + work_demand.cpu,
            sum(demand.memory_mb for demand in long_running) + work_demand.memory_mb,
            max((demand.machines for demand in long_running), default=0),
        )


def _long_running_cpu(job: Job) -> int:
    """Return the thousandths of a core that a job's long-running tasks use."""
    return sum(
        step.cpu * step.count
        for step in job.request.steps
        if step.lasting and not step.fills
    )


def pool_demand(
    jobs: t.Iterable[Job],
    times: RunTimes,
    now_s: float,
    cpu_limit_of: CpuLimit = lambda account: None,
) -> Demand:
    """Return the resources that open jobs need to meet their objectives."""
    return JobDemands.of(jobs, times, now_s).total(cpu_limit_of)


def _limited_resources(works: dict[str, list[Work]], cpu_limit_of: CpuLimit) -> Demand:
    """Return the resources for the open work of all accounts, within their limits."""
    unlimited: list[Work] = []
    cpu = memory_mb = 0.0
    for account, own in works.items():
        limit = cpu_limit_of(account)
        needed = required_resources(own) if limit is not None else Demand()
        if limit is None or needed.cpu <= limit:
            unlimited += own
            continue
        cpu += limit
        memory_mb += needed.memory_mb * limit / needed.cpu
    rest = required_resources(unlimited)
    return Demand(cpu + rest.cpu, memory_mb + rest.memory_mb)


def required_resources(works: t.Iterable[Work]) -> Demand:
    """Return the smallest constant resources with which all work ends in time.

    Work that ends early frees its resources for work that may end later. The result is
    therefore the maximum over all deadlines of the work that is due by the deadline,
    divided by the time until then. Adding up work divided by time for each job would
    give twice as much for a steady stream of jobs that have three times the time that
    they need, and the machines that one pool holds without use are missing in another.
    """
    cpu = memory_mb = cpu_s = memory_s = 0.0
    for work in sorted(works, key=lambda work: work.spread_s):
        cpu_s += work.cpu_s
        memory_s += work.memory_s
        cpu = max(cpu, cpu_s / work.spread_s)
        memory_mb = max(memory_mb, memory_s / work.spread_s)
    return Demand(cpu, memory_mb)


def _occurrence_demand(
    occurrence: Occurrence, times: RunTimes, now_s: float
) -> _OccurrenceDemand:
    cpu = memory_mb = work_cpu_s = work_memory_s = 0.0
    machines = 0
    for step in occurrence.steps:
        if step.done:
            continue
        request = step.request
        count = len(step.tasks) - step.done_count
        step_cpu = 0.0 if request.fills else float(request.cpu * count)
        if request.most_per_runner and not step.blocked_by():
            machines = max(machines, math.ceil(count / request.most_per_runner))
        if request.lasting:
            cpu += step_cpu
            memory_mb += request.memory_mb * count
            continue
        run_s = times.expect_s(learning_key(step), request.estimate_ms)
        work_cpu_s += step_cpu * run_s
        work_memory_s += request.memory_mb * count * run_s
    long_running = Demand(cpu, memory_mb, machines)
    if not work_cpu_s and not work_memory_s:
        return _OccurrenceDemand(long_running)
    spread_s = _time_left_s(occurrence, times, now_s)
    return _OccurrenceDemand(long_running, Work(spread_s, work_cpu_s, work_memory_s))


def _time_left_s(occurrence: Occurrence, times: RunTimes, now_s: float) -> float:
    """Return the time over which an occurrence's open work is spread.

    It is not shorter than the longest open chain. An occurrence that can no longer end
    in time does not get more resources the later it is.
    """
    open_s, latest_end_s = outlook(occurrence, times)
    left_s = latest_end_s - now_s
    if left_s < open_s:
        return max(open_s * LATE_SPREAD_FACTOR, MIN_SPREAD_S)
    return max(left_s, MIN_SPREAD_S)
