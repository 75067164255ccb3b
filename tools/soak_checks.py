"""What the soak checks once all jobs have ended, from what runners and callers saw."""

import itertools
import typing as t

import attrs

from streamthread.standins.cell import CellWorld

__all__ = ["SubmittedJob", "check_jobs", "check_runs"]

CANCEL_S = 3.0
"""Nothing of a cancelled job starts later than this after its confirmation."""

OVERLAP_S = 0.02
"""Two clocks of one process are read some milliseconds apart."""

OPEN_S = 1e18
"""When a run ends that has not ended."""


@attrs.define
class SubmittedJob:
    """What a caller was told of one job.

    :param uncertain: a try got no answer, or one that says that it may be accepted.
    :param cancelled_at_s: when a cancel was confirmed, on the monotonic clock.
    :param states: all that it was shown as.
    """

    job_id: str
    pool: str
    accepted: bool = False
    uncertain: bool = False
    cancelled_at_s: float | None = None
    states: set[str] = attrs.field(factory=set)


def check_runs(world: CellWorld) -> t.Iterator[str]:
    """Yield a line for each task that ran twice."""
    ends = {(task, run): (how, at) for task, run, how, at in world.ended}
    for end in _unknown_ends(world):
        ends[end] = ("not known", ends[end][1])
    spans: dict[str, list[tuple[float, float, str]]] = {}
    for started in world.started:
        how, end_s = ends.get((started.task, started.run), ("open", OPEN_S))
        spans.setdefault(started.task, []).append((started.at_s, end_s, how))
    for task, runs in spans.items():
        runs.sort()
        for before, after in itertools.pairwise(runs):
            if after[0] < before[1] - OVERLAP_S:
                yield f"TWICE {task} ran twice at one time"
            if before[2] == "done":
                yield f"TWICE {task} started after it was done"


def _unknown_ends(world: CellWorld) -> set[tuple[str, int]]:
    """Return the ends that say nothing against another run of their tasks.

    They were confirmed too late or never, so that the task counted as running
    nowhere. A second run must still not overlap.
    """
    unknown = set[tuple[str, int]]()
    for runner in world.runners:
        unknown |= runner.unknown_ends
    return unknown


def check_jobs(world: CellWorld, jobs: t.Mapping[str, SubmittedJob]) -> t.Iterator[str]:
    """Yield a line for each start and each state that no caller's call explains."""
    for started in world.started:
        job = jobs.get(started.task.split(".")[0])
        if job is None:
            yield f"UNASKED {started.task}"
        elif not job.accepted and not job.uncertain:
            yield f"REFUSED {started.task} was refused"
        elif job.cancelled_at_s and started.at_s > job.cancelled_at_s + CANCEL_S:
            yield f"UNASKED {started.task} was cancelled"
    for job in jobs.values():
        if "failed" in job.states:
            yield f"LOST {job.job_id} failed though it can be done"
        if "cancelled" in job.states and job.cancelled_at_s is None:
            yield f"LOST {job.job_id} was cancelled by nobody"
