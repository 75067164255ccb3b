"""What a pool's jobs ask for: now, soon, and by how fast they arrive."""

import math
import typing as t

import attrs

from ..scheduler.learning import learning_key
from ..scheduler.learning import RunTimes
from ..scheduler.model import Job
from ..scheduler.model import Occurrence
from ..scheduler.model import StepRun
from ..scheduler.model import TaskState

__all__ = ["ArrivalRate", "Demand", "pool_demand"]

RATE_SPAN_S = 3.0
"""Arrivals are averaged over this time: about the length of a job, so that a
burst shows within a second and one large job does not look like one."""


@attrs.frozen
class Demand:
    """Room that is asked for, in thousandths of a core and in megabytes.

    :param machines: the fewest that the spread of lasting tasks allows.
    """

    cpu: float = 0.0
    memory_mb: float = 0.0
    machines: int = 0


@attrs.define
class ArrivalRate:
    """How much work arrives a second, as the room that it takes on average."""

    _value: float = 0.0
    _at_s: float = 0.0

    def add(self, cpu_s: float, now_s: float) -> None:
        """Take a job's work: thousandths of a core times seconds."""
        self._value = self.value(now_s) + cpu_s / RATE_SPAN_S
        self._at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the thousandths of a core that arriving work takes."""
        return self._value * math.exp(-(now_s - self._at_s) / RATE_SPAN_S)


def job_work(job: Job, times: RunTimes) -> float:
    """Return a job's work: thousandths of a core times seconds."""
    total = 0.0
    for occurrence in job.occurrences.values():
        for step in occurrence.steps:
            if step.request.lasting or step.request.fills:
                continue
            run_s = times.expect_s(learning_key(step), step.request.estimate_ms)
            total += step.request.cpu * step.request.count * run_s
    return total


def pool_demand(jobs: t.Iterable[Job]) -> Demand:
    """Return the room that open jobs ask for now or as soon as a step ends."""
    cpu = 0.0
    memory_mb = 0.0
    machines = 0
    for job in jobs:
        for occurrence in job.occurrences.values():
            now = _open_room(occurrence, ready=True)
            soon = _open_room(occurrence, ready=False)
            cpu += max(now.cpu, soon.cpu)
            memory_mb += max(now.memory_mb, soon.memory_mb)
            machines = max(machines, now.machines)
    return Demand(cpu, memory_mb, machines)


def _open_room(occurrence: Occurrence, ready: bool) -> Demand:
    """Return what ready steps ask for, or those that only wait for ready ones."""
    cpu = 0.0
    memory_mb = 0.0
    machines = 0
    for step in occurrence.steps:
        if step.done or not _counts(occurrence, step, ready):
            continue
        request = step.request
        open_count = sum(task.state is not TaskState.DONE for task in step.tasks)
        cpu += 0 if request.fills else request.cpu * open_count
        memory_mb += request.memory_mb * open_count
        if request.most_per_runner:
            needed = math.ceil(open_count / request.most_per_runner)
            machines = max(machines, needed)
    return Demand(cpu, memory_mb, machines)


def _counts(occurrence: Occurrence, step: StepRun, ready: bool) -> bool:
    earlier = [occurrence.steps[number] for number in step.request.after]
    if all(other.done for other in earlier):
        return ready
    if ready:
        return False
    return all(_is_ready_or_done(occurrence, other) for other in earlier)


def _is_ready_or_done(occurrence: Occurrence, step: StepRun) -> bool:
    return step.done or all(occurrence.steps[n].done for n in step.request.after)
