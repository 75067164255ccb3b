"""What a pool's open jobs ask for."""

import math
import typing as t

import attrs

from ..scheduler.learning import learning_key
from ..scheduler.learning import request_key
from ..scheduler.learning import RunTimes
from ..scheduler.model import Job
from ..scheduler.model import Occurrence
from ..scheduler.placement import outlook

__all__ = ["Demand", "Work", "job_work", "pool_demand", "room_for_work"]

LATE_SPREAD = 1.5
"""A job that is late already gets room for its work over so many chains."""

LEAST_SPREAD_S = 0.3
"""Keeps a job that is nearly done from asking for a burst of machines."""


@attrs.frozen
class Demand:
    """Room that is asked for, in thousandths of a core and in megabytes.

    :param machines: the fewest that the spread of any step that may run allows.
    """

    cpu: float = 0.0
    memory_mb: float = 0.0
    machines: int = 0


@attrs.frozen
class Work:
    """Open work that has to be done within a time.

    :param over_s: over how long it may be spread.
    :param cpu_s: thousandths of a core times seconds.
    :param memory_s: megabytes times seconds.
    """

    over_s: float
    cpu_s: float
    memory_s: float


@attrs.frozen
class _Part:
    """What one time of a job asks for: room all the time, and work by a time."""

    lasting: Demand
    work: Work | None = None


def job_work(job: Job, times: RunTimes) -> float:
    """Return the work that a job brings when it is handed in.

    Timed jobs bring none then: each time counts once it is open.

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


def pool_demand(jobs: t.Iterable[Job], times: RunTimes, now_s: float) -> Demand:
    """Return the room that open jobs need so as to meet their objectives.

    A job's open work may be spread over the time that it has left: less room than all
    of its tasks at once, more as it falls behind.

    :param now_s: wall time.
    """
    parts = [
        _occurrence_demand(occurrence, times, now_s)
        for job in jobs
        for occurrence in job.occurrences.values()
    ]
    lasting = [part.lasting for part in parts]
    in_time = room_for_work([part.work for part in parts if part.work is not None])
    return Demand(
        sum(part.cpu for part in lasting) + in_time.cpu,
        sum(part.memory_mb for part in lasting) + in_time.memory_mb,
        max((part.machines for part in lasting), default=0),
    )


def room_for_work(works: t.Iterable[Work]) -> Demand:
    """Return the least room in which all work ends within its time.

    What ends first leaves its room to what may end later, so that the room is that of
    the most pressing moment: all work that has to be done by then, over the time until
    then. The sum over jobs of work over time, without that, is twice as much for a
    steady stream of jobs with three times the time that they need, and machines that
    one pool holds in vain are missing in another.
    """
    cpu = memory_mb = cpu_s = memory_s = 0.0
    for work in sorted(works, key=lambda work: work.over_s):
        cpu_s += work.cpu_s
        memory_s += work.memory_s
        cpu = max(cpu, cpu_s / work.over_s)
        memory_mb = max(memory_mb, memory_s / work.over_s)
    return Demand(cpu, memory_mb)


def _occurrence_demand(occurrence: Occurrence, times: RunTimes, now_s: float) -> _Part:
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
    lasting = Demand(cpu, memory_mb, machines)
    if not work_cpu_s and not work_memory_s:
        return _Part(lasting)
    over_s = _time_left_s(occurrence, times, now_s)
    return _Part(lasting, Work(over_s, work_cpu_s, work_memory_s))


def _time_left_s(occurrence: Occurrence, times: RunTimes, now_s: float) -> float:
    """Return over how long a time's open work is to be spread.

    Not less than its longest open chain takes; a time that is late anyway is
    not hurried further.
    """
    open_s, latest_end_s = outlook(occurrence, times)
    left_s = latest_end_s - now_s
    if left_s < open_s:
        return max(open_s * LATE_SPREAD, LEAST_SPREAD_S)
    return max(left_s, LEAST_SPREAD_S)
