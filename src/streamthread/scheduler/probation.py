"""Places tasks that may have caused a runner exit apart from other tasks."""

import typing as t

from ..clocks import boot_s
from .fleet import RunnerState
from .model import Attempt
from .model import Job
from .model import Phase
from .model import Task

__all__ = [
    "PROBATION_S",
    "SIMULTANEOUS_START_S",
    "accepts_job",
    "begin_probation",
    "is_starting",
    "max_on_probation",
    "probation_runners",
    "starts_alone",
]

SIMULTANEOUS_START_S = 0.1
"""Starts that were sent to a runner within this interval can't be told apart by the
runner's exit. The exit follows some 10 ms after the start that caused it and is noticed
50 ms later."""

PROBATION_S = 0.5
"""How long a runner gets no other tasks after the start of a task on probation. A task
that crashes its runners has done so by then. Without this interval, if three faulty
tasks were among nine that arrived together, one of the other tasks was taken for a
faulty one in two runs out of three."""

MAX_PROBATION_SHARE = 0.5
"""The maximum share of a pool's runners that are on probation at a time, so that other
tasks can continue."""


MAX_PROBATION_WAIT_S = 1.0
"""A task on probation that has waited longer than this is placed on any runner that is
on probation for no other job and is not starting another suspect, and it reserves no
runner. If a runner exits just after the store has recovered, many tasks are on
probation at once; one after the other, they would wait for longer than the 3 s within
which a job has to run."""


def accepts_job(job: Job, runner: RunnerState, now_s: float) -> bool:
    """Whether a runner may get a job's tasks: no other task or job has it on probation.

    :param now_s: boot clock time.
    """
    if runner.probation_until_s <= now_s:
        return True
    return runner.probation_job is job and not runner.probation_alone


def starts_alone(task: Task) -> bool:
    """Whether no other task may start with a task, so that an exit concerns it alone.

    The tasks of a job start together until the next exit may put one of them in
    quarantine. Members of a gang have to start together.
    """
    return task.needs_stable_runner and not task.step.request.gang


def is_starting(runner: RunnerState, now_s: float) -> bool:
    """Whether an exit of a runner could be due to a start that is under way there."""
    return any(_is_starting(attempt, now_s) for attempt in runner.attempts.values())


def max_on_probation(runner_count: int) -> int:
    """Return how many of a pool's runners may be on probation at a time."""
    return max(1, int(runner_count * MAX_PROBATION_SHARE))


def begin_probation(task: Task, runner: RunnerState) -> None:
    """Reserve a runner for a task on probation until its effect is known.

    A task that has waited too long reserves no runner, so that others need not wait,
    unless the next exit may put it in quarantine.
    """
    now_s = boot_s()
    if _has_waited(task.waiting_since_s, now_s) and not starts_alone(task):
        return
    runner.probation_job = task.step.occurrence.job
    runner.probation_alone = starts_alone(task)
    runner.probation_until_s = now_s + PROBATION_S


def _has_waited(since_s: float, now_s: float) -> bool:
    return now_s - since_s > MAX_PROBATION_WAIT_S


def probation_runners(
    job: Job,
    runners: t.Sequence[RunnerState],
    waits_since_s: float,
    now_s: float,
) -> list[RunnerState]:
    """Return the runners on which a job's suspect task may be placed now.

    :param waits_since_s: boot clock time since when the first such task waits.
    :param now_s: boot clock time.
    """
    open_runners = [runner for runner in runners if accepts_job(job, runner, now_s)]
    if _has_waited(waits_since_s, now_s):
        return [r for r in open_runners if not _is_starting_suspects(job, r, now_s)]
    on_probation = sum(runner.probation_until_s > now_s for runner in runners)
    max_count = max_on_probation(len(runners))
    return [
        runner
        for runner in open_runners
        if (on_probation < max_count or runner.probation_until_s > now_s)
        and not _is_starting_others(job, runner, now_s)
    ]


def _is_starting_others(job: Job, runner: RunnerState, now_s: float) -> bool:
    """Whether a runner has tasks of other jobs whose start may still crash it."""
    return any(
        attempt.task.suspect or _is_starting(attempt, now_s)
        for attempt in _attempts_of_others(job, runner)
    )


def _is_starting_suspects(job: Job, runner: RunnerState, now_s: float) -> bool:
    """Whether a runner exit would be attributed to suspects of other jobs as well.

    If they repeatedly start together, tasks beside the faulty one would be held back
    with it.
    """
    return any(
        attempt.task.suspect and _is_starting(attempt, now_s)
        for attempt in _attempts_of_others(job, runner)
    )


def _attempts_of_others(job: Job, runner: RunnerState) -> t.Iterator[Attempt]:
    for attempt in runner.attempts.values():
        if attempt.task.step.occurrence.job is not job:
            yield attempt


def _is_starting(attempt: Attempt, now_s: float) -> bool:
    """Whether a runner exit could be due to this attempt as well as to a new one.

    A start without an answer is sent again, also one that an earlier holder recorded.
    """
    pending = attempt.phase in (Phase.PLANNED, Phase.SENT)
    return pending or attempt.sent_at_s > now_s - SIMULTANEOUS_START_S
