"""Where tasks go that may have ended a runner: apart from others on trial."""

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
    "probation_runners",
]

SIMULTANEOUS_START_S = 0.1
"""Starts that went to a runner so close together are not told apart by its end: that
comes some 10 ms after the start that brought it about, and is seen 50 ms later."""

PROBATION_S = 0.5
"""A runner gets nothing else for so long after the start of a task on trial: what ends
its runners has done so by then. Without it, three tasks at fault among nine that came
together had one of the others given up in two runs of three."""

MAX_PROBATION_SHARE = 0.5
"""At most this share of a pool's runners is on trial at a time, so that the others'
work goes on."""


MAX_PROBATION_WAIT_S = 1.0
"""A task on trial that has waited for so long goes wherever no trial is under way and
no other suspect is being started, and begins no trial. Many come at once where a runner
ends just after a store has come back; one after the other they would wait for longer
than the 3 s in which a job is to run."""


def accepts_job(job: Job, runner: RunnerState, now_s: float) -> bool:
    """Whether a runner is not on trial with another job's task.

    :param now_s: on the boot clock.
    """
    return runner.probation_until_s <= now_s or runner.probation_job is job


def begin_probation(task: Task, runner: RunnerState) -> None:
    """Keep a runner for a task on trial until it has shown what it does.

    One that has waited for too long keeps nobody off, so that others need not wait.
    """
    now_s = boot_s()
    if _has_waited(task.waiting_since_s, now_s):
        return
    runner.probation_job = task.step.occurrence.job
    runner.probation_until_s = now_s + PROBATION_S


def _has_waited(since_s: float, now_s: float) -> bool:
    return now_s - since_s > MAX_PROBATION_WAIT_S


def probation_runners(
    job: Job,
    runners: t.Sequence[RunnerState],
    waits_since_s: float,
    now_s: float,
) -> list[RunnerState]:
    """Return the runners on which a job's task may be tried now.

    :param waits_since_s: on the boot clock: since when the first of them waits.
    :param now_s: on the boot clock.
    """
    open_runners = [runner for runner in runners if accepts_job(job, runner, now_s)]
    if _has_waited(waits_since_s, now_s):
        return [r for r in open_runners if not _is_starting_suspects(job, r, now_s)]
    on_probation = sum(runner.probation_until_s > now_s for runner in runners)
    max_count = max(1, int(len(runners) * MAX_PROBATION_SHARE))
    return [
        runner
        for runner in open_runners
        if (on_probation < max_count or runner.probation_until_s > now_s)
        and not _is_starting_others(job, runner, now_s)
    ]


def _is_starting_others(job: Job, runner: RunnerState, now_s: float) -> bool:
    """Whether a runner has tasks of other jobs whose own start may yet end it."""
    return any(
        attempt.task.suspect or _is_starting(attempt, now_s)
        for attempt in _attempts_of_others(job, runner)
    )


def _is_starting_suspects(job: Job, runner: RunnerState, now_s: float) -> bool:
    """Whether an end of a runner would be laid to suspects of other jobs as well.

    Tried together again and again, the tasks beside the one at fault would be given up
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
    """Whether what is sent now can't be told apart from an attempt by an end."""
    planned = attempt.phase is Phase.PLANNED
    return planned or attempt.sent_at_s > now_s - SIMULTANEOUS_START_S
