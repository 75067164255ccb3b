"""Holds back tasks whose starts seem to crash their runners.

A job does not fail for it: a runner exit is no failed run, and exits of other causes
look the same. The task itself waits instead, and the other tasks of its job go on. Only
exits that prove the task guilty hold it back for long, which bounds what it can damage.
"""

import enum

import attrs
import logbook

from ..clocks import boot_s
from .model import Job
from .model import Task
from .model import TaskState
from .settings import EngineSettings

__all__ = ["Quarantine", "QuarantineCause", "judge_exits", "needs_stable_runner"]

log = logbook.Logger("streamthread.scheduler")

FIRST_PAUSE_S = 1.0
"""The pause after as many exits as put a task in quarantine, if they prove nothing."""

NEXT_PAUSE_S = 2.0
"""The pause after each further exit that proves nothing. A job counts as neglected if
it runs nothing for 3 s though there is room."""

PROVEN_PAUSE_S = 600.0
"""The pause of a task that certainly crashes its runners. Each start after it may cost
one more runner."""

MIN_OBSERVED = 2
"""A single exit at a start may be chance even on a stable runner."""


class QuarantineCause(enum.Enum):
    """Why a task is in quarantine; the values are in logs and metrics."""

    CRASHES_RUNNERS = "crashes-runners"
    """Holders have observed that its starts crash runners, or each of its last starts
    was followed by an exit."""
    LOST_RUNNERS = "lost-runners"
    """Many runners exited while they had the task, and the reason is not known."""


@attrs.frozen
class Verdict:
    """How long a task is held back, and why."""

    cause: QuarantineCause
    pause_s: float


def is_proven(
    task: Task, conclusive: bool, stable_runner: bool, settings: EngineSettings
) -> bool:
    """Return whether an exit that this holder observed at a start proves a task guilty.

    Exits that nobody observed are counted, but do not suffice, nor does that of a
    runner which had just come up: in a series of exits of runners and holders they
    happen to any task.

    :param conclusive: the exit can hardly have another cause than the task.
    :param stable_runner: the runner had been up for a while.
    """
    if task.crashes > settings.most_crashes:
        return True
    if task.observed_crashes < MIN_OBSERVED or not stable_runner:
        return False
    least = settings.crashes_alone if conclusive else settings.most_crashes
    return task.crashes >= least


def judge_exits(task: Task, settings: EngineSettings) -> Verdict | None:
    """Return whether the exits that are attributed to a task put it in quarantine.

    A task that no runner has outlived for a while since so many exits may get no
    further start, whoever observed them.
    """
    proven = task.crashes_runners or task.crashes > settings.most_crashes
    if proven or task.late_crashes >= settings.most_lost_runners:
        return Verdict(QuarantineCause.CRASHES_RUNNERS, PROVEN_PAUSE_S)
    excess = max(
        task.crashes - settings.most_crashes,
        task.lost_runners - settings.most_lost_runners,
    )
    if excess < 0:
        return None
    pause_s = NEXT_PAUSE_S if excess else FIRST_PAUSE_S
    return Verdict(QuarantineCause.LOST_RUNNERS, pause_s)


def needs_stable_runner(task: Task, settings: EngineSettings) -> bool:
    """Whether a task should start only on a runner that has been up for a while.

    The next exit may put it in quarantine. That of a runner which exits in series
    proves nothing about the task.
    """
    return (
        task.crashes >= settings.crashes_alone - 1
        or task.lost_runners >= settings.most_lost_runners
    )


class Quarantine:
    """The tasks that are held back.

    :param entered: how often tasks were put in quarantine, by cause.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._tasks: set[Task] = set()
        self.entered: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def on_observed_exit(
        self, task: Task, conclusive: bool, stable_runner: bool
    ) -> None:
        """Note that this holder observed a runner exit at a task's start.

        :param conclusive: the exit can hardly have another cause than the task.
        :param stable_runner: the runner had been up for a while.
        """
        task.observed_crashes += 1
        if is_proven(task, conclusive, stable_runner, self._settings):
            task.crashes_runners = True

    def on_withdrawn_exit(self, task: Task) -> None:
        """Note that a runner whose exit counted as observed lives on.

        The proof may rest on it. The next observed exit proves the task guilty again if
        the others suffice.
        """
        task.observed_crashes = max(0, task.observed_crashes - 1)
        task.crashes_runners = False

    def judge(self, task: Task) -> None:
        """Hold a task back if its attributed exits require it.

        A run that it still has goes on; the pause applies once it has none.
        """
        task.needs_stable_runner = needs_stable_runner(task, self._settings)
        verdict = judge_exits(task, self._settings)
        if verdict is None or task.state is TaskState.DONE:
            return
        self._tasks.add(task)
        task.quarantined_until_s = boot_s() + verdict.pause_s
        if task.state is TaskState.WAITING:
            task.state = TaskState.QUARANTINED
        cause = verdict.cause.value
        self.entered[cause] = self.entered.get(cause, 0) + 1
        log.warning(
            "task-quarantined",
            extra={
                "task": task.name,
                "cause": cause,
                "pause_s": verdict.pause_s,
                "crashes": task.crashes,
                "later_ends": task.later_ends,
                "late_crashes": task.late_crashes,
            },
        )

    def judge_job(self, job: Job) -> None:
        """Hold back the tasks of a job that was read back."""
        for occurrence in job.occurrences.values():
            for task in occurrence.tasks:
                if task.lost_runners:
                    self.judge(task)

    def review(self, task: Task) -> None:
        """Release a task, or shorten its pause, by the exits that count now."""
        task.observed_crashes = min(task.observed_crashes, task.crashes)
        if task.crashes < self._settings.crashes_alone:
            task.crashes_runners = False
        task.needs_stable_runner = needs_stable_runner(task, self._settings)
        verdict = judge_exits(task, self._settings)
        if verdict is None:
            self._release(task)
        elif task in self._tasks:
            latest_s = boot_s() + verdict.pause_s
            task.quarantined_until_s = min(task.quarantined_until_s, latest_s)

    def release_due(self) -> None:
        """Release the tasks whose pause is over or whose job is."""
        now_s = boot_s()
        for task in list(self._tasks):
            if task.quarantined_until_s <= now_s or task.step.occurrence.job.over:
                self._release(task)

    def _release(self, task: Task) -> None:
        if task not in self._tasks:
            return
        self._tasks.remove(task)
        task.quarantined_until_s = 0.0
        if task.state is TaskState.QUARANTINED:
            task.state = TaskState.WAITING
            log.info("task-released", extra={"task": task.name})
