"""What the soak checks once all jobs have ended, from what runners and callers saw."""

import collections
import itertools
import time
import typing as t

import attrs

from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import Duty
from streamthread.standins.cell import StartedRun

__all__ = [
    "ENDED",
    "OPEN_S",
    "OVERLAP_S",
    "TASK_CPU",
    "SubmittedJob",
    "check_crashes",
    "check_duties",
    "check_evacuations",
    "check_jobs",
    "check_rooms",
    "check_runs",
    "check_stops",
    "gone_by_s",
    "run_spans",
]

CANCEL_S = 3.0
"""Nothing of a cancelled job starts later than this after its confirmation."""

STOP_S = 0.4
"""A stop takes so long at most: `stop_ms` of the users' pages."""

CONTACT_S = 3.0
"""A run that was started late counts from then on: `contactMs` of the users' pages."""

MOST_CRASHES = 5
"""After three runners that a task has crashed, two starts more are borne."""

BEAT_S = 1.5
"""A runner tells of its room so often; `heartbeatMs` of the users' pages."""

OVERLAP_S = 0.02
"""Two clocks of one process are read some milliseconds apart."""

OPEN_S = 1e18
"""When a run ends that has not ended."""


ENDED = ("completed", "failed", "cancelled")
"""The states of jobs that are over."""

TASK_CPU = 1500
"""The cpu of each task of nearly all jobs, in thousandths of a core."""


@attrs.define
class SubmittedJob:
    """What a caller was told of one job.

    :param uncertain: a try got no answer, or one that says that it may be accepted.
    :param lasting: its tasks run until it is cancelled.
    :param lasting_tasks: how many of them never end by themselves, and wait for no
        limit of their account.
    :param sound_tasks: if one of its tasks crashes its runners and is therefore held
        back, how many others it has; else None.
    :param task_cpu: the cpu of each of its tasks, in thousandths of a core.
    :param cancel_sent: a cancel was sent, whether confirmed or not.
    :param cancelled_at_s: when a cancel was confirmed, on the monotonic clock.
    :param confirmed_by: which daemon confirmed it, and the status.
    :param states: all that it was shown as.
    :param shown: when it was first shown so during the play, and by which daemon.
    """

    job_id: str
    pool: str
    accepted: bool = False
    uncertain: bool = False
    lasting: bool = False
    lasting_tasks: int = 0
    sound_tasks: int | None = None
    task_cpu: int = TASK_CPU
    cancel_sent: bool = False
    cancelled_at_s: float | None = None
    confirmed_by: str = ""
    states: set[str] = attrs.field(factory=set)
    shown: list[str] = attrs.field(factory=list)


def check_runs(world: CellWorld) -> t.Iterator[str]:
    """Yield a line for each task that ran twice."""
    spans: dict[str, list[tuple[float, float, str]]] = {}
    for started, end_s, how in run_spans(world):
        spans.setdefault(started.task, []).append((started.at_s, end_s, how))
    for task, runs in spans.items():
        runs.sort()
        for before, after in itertools.pairwise(runs):
            if after[0] < before[1] - OVERLAP_S:
                yield f"TWICE {task} ran twice at one time"
            if before[2] == "done":
                yield f"TWICE {task} started after it was done"


def run_spans(world: CellWorld) -> t.Iterator[tuple[StartedRun, float, str]]:
    """Yield each start with the end of its run: when it came, and how.

    One run may be started on two lives of a runner, each with an end of its own. An end
    that was confirmed too late or never is "not known": it says nothing against another
    run of its task, which must still not overlap.
    """
    ends: dict[tuple[str, int], list[tuple[float, str]]] = {}
    for task, run, how, at_s in world.ended:
        ends.setdefault((task, run), []).append((at_s, how))
    lives = {(life.runner_id, life.born_ms): life for life in world.runners}
    for started in world.started:
        key = (started.task, started.run)
        later = [end for end in ends.get(key, ()) if end[0] >= started.at_s]
        end_s, how = min(later, default=(OPEN_S, "open"))
        life = lives.get((started.runner_id, started.born_ms))
        if life is not None and key in life.unknown_ends:
            how = "not known"
        yield started, end_s, how


def check_jobs(world: CellWorld, jobs: t.Mapping[str, SubmittedJob]) -> t.Iterator[str]:
    """Yield a line for each start and each state that no caller's call explains."""
    for started in world.started:
        job = jobs.get(started.task.split(".")[0])
        if job is None:
            yield f"UNASKED {started.task}"
        elif not job.accepted and not job.uncertain:
            yield f"REFUSED {started.task} was refused"
        elif started.late:
            # An order that was held up breaks no time bound; see check_stops.
            continue
        elif job.cancelled_at_s and started.at_s > job.cancelled_at_s + CANCEL_S:
            yield f"UNASKED {started.task} was cancelled"
    for job in jobs.values():
        if "failed" in job.states:
            yield (
                f"LOST {job.job_id} failed, and no run of it did so too often:"
                f" {job.shown}"
            )
        endless = job.lasting or job.sound_tasks is not None
        if endless and "completed" in job.states:
            yield f"MIXED {job.job_id} completed, and it never ends: {job.shown}"
        if "cancelled" in job.states and not job.cancel_sent:
            yield f"LOST {job.job_id} was cancelled by nobody"


def check_crashes(world: CellWorld) -> t.Iterator[str]:
    """Yield a line for each task that was started on after it had crashed runners."""
    starts = collections.Counter(
        started.task
        for started in world.started
        if (started.task, started.run) in world.crashed_runs
    )
    for task, count in starts.items():
        if count > MOST_CRASHES:
            yield f"BUDGET {task} crashed {count} runners"


def check_duties(world: CellWorld) -> t.Iterator[str]:
    """Yield a line for each order for a machine that came after a newer holder's."""
    newest: dict[str, Duty] = {}
    for duty in world.cloud.received:
        newer = newest.get(duty.machine_id, duty)
        if duty.token < newer.token:
            yield (
                f"ONE {duty.kind} of {duty.machine_id} by {duty.holder}, token"
                f" {duty.token}, came {duty.at_s - newer.at_s:.2f} s after the"
                f" {newer.kind} by {newer.holder}, token {newer.token}"
            )
        else:
            newest[duty.machine_id] = duty


def check_evacuations(world: CellWorld) -> t.Iterator[str]:
    """Yield a line for each start in a hall that had been evacuated for too long.

    A start that a runner carried out late by its own fault is not checked. One that a
    stopped or partitioned daemon has sent is checked: its deadline prevents it.
    """
    for evacuation in world.evacuations:
        end_s = evacuation.acknowledged_at_s + (world.evacuate_ms or 0) / 1000
        for started in world.started_in(evacuation.hall):
            if end_s < started.at_s < evacuation.withdrawn_at_s and not started.late:
                yield (
                    f"EVACUATED {started.task}/{started.run} was started on"
                    f" {started.runner_id} in {evacuation.hall},"
                    f" {started.at_s - end_s:.2f} s too late"
                )


def check_rooms(world: CellWorld) -> t.Iterator[str]:
    """Yield a line for each start over the room of a runner that does not guard it."""
    for runner in world.runners:
        for task, at_s in runner.over_capacity:
            if at_s > runner.resized_at_s + CONTACT_S + BEAT_S:
                yield f"LIMIT {task} was started over the room of {runner.runner_id}"


def gone_by_s(job: SubmittedJob, quiet_at_s: float) -> float:
    """Return when nothing of a cancelled job may run any more."""
    assert job.cancelled_at_s is not None
    return max(quiet_at_s, job.cancelled_at_s) + CANCEL_S + STOP_S


def check_stops(
    world: CellWorld, jobs: t.Mapping[str, SubmittedJob], quiet_at_s: float
) -> t.Iterator[str]:
    """Yield a line for each run of a cancelled job that went on for too long.

    :param quiet_at_s: when the last fault was over.
    """
    late = {(run.task, run.run): run.at_s for run in world.started if run.late}
    for task, run, how, end_s in [*world.ended, *_open_runs(world)]:
        job = jobs.get(task.split(".")[0])
        if job is None or job.cancelled_at_s is None:
            continue
        limit_s = gone_by_s(job, quiet_at_s)
        if (task, run) in late:
            limit_s = max(limit_s, late[task, run] + CONTACT_S)
        if end_s > limit_s:
            yield (
                f"UNASKED {task} run {run} runs on: {how}, {end_s - limit_s:.1f} s"
                f" too long, cancelled by {job.confirmed_by}"
                f" {quiet_at_s - job.cancelled_at_s:.1f} s before all was quiet"
                f"{'' if job.accepted else ', its submit got no answer'}"
            )


def _open_runs(world: CellWorld) -> t.Iterator[tuple[str, int, str, float]]:
    """Yield the runs that have not ended, as if they ended now."""
    now_s = time.monotonic()
    for runner in world.runners:
        if runner.alive:
            for task, run in runner.runs():
                yield task, run, f"still on {runner.runner_id}", now_s
