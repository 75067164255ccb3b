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

__all__ = ["Demand", "job_work", "pool_demand"]

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

    A job needs its open work, spread evenly over the time that it has left: less
    room than all of its tasks at once, more as it falls behind.

    :param now_s: wall time.
    """
    parts = [
        _occurrence_demand(occurrence, times, now_s)
        for job in jobs
        for occurrence in job.occurrences.values()
    ]
    return Demand(
        sum(part.cpu for part in parts),
        sum(part.memory_mb for part in parts),
        max((part.machines for part in parts), default=0),
    )


def _occurrence_demand(occurrence: Occurrence, times: RunTimes, now_s: float) -> Demand:
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
    if work_cpu_s or work_memory_s:
        over_s = _time_left_s(occurrence, times, now_s)
        cpu += work_cpu_s / over_s
        memory_mb += work_memory_s / over_s
    return Demand(cpu, memory_mb, machines)


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
