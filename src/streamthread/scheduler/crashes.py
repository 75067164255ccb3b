"""Tasks that end the runners which start them, told from what only ran beside them.

The end of a runner comes with no list, so that nothing else counts it against the
tasks that were there: they lapse and are placed again. Two tasks that crash their
runners took down 9 a second, of a pool of 16, for as long as they were placed again;
each is given up after three or four. What they ran beside goes on: an end is laid to
those alone that had been started there last, and these run apart until it is known
which of them it was.
"""

import typing as t

import attrs
import logbook

from ..clocks import boot_s
from .fleet import RunnerState
from .ledger import Ledger
from .model import Attempt
from .model import Blame
from .model import Phase
from .model import RunnerIncarnation
from .model import Task
from .probation import SIMULTANEOUS_START_S
from .settings import EngineSettings
from .stability import PoolStability

__all__ = ["Crashes", "describe", "started_last"]

log = logbook.Logger("streamthread.scheduler")

MIN_OUTLIVED_MS = 50
"""By its clock: a runner that has lived on for so long after a start was not taken down
by that start alone, which takes some 10 ms."""

START_CRASH_WINDOW_S = 0.5
"""A run that takes its runner down does so within some 10 ms; the start, the call that
meets the closed connection and a busy loop add up to some 0.3 s."""

STABLE_RUN_S = 2.0
"""A run that has worked for so long does not crash each runner that starts it. Where a
runner is silent with open connections, it is known no better since when: a call takes
1.5 s at most to find out."""


def started_last(runner: RunnerState, now_s: float) -> list[Attempt]:
    """Return the attempts that were started last before a runner fell silent, if any.

    Those whose starts were sent at the same moment are not told apart.

    :param now_s: on the boot clock; counts where the runner was never silent.
    """
    found = _started_within(runner, START_CRASH_WINDOW_S, now_s)
    latest_s = max((attempt.sent_at_s for attempt in found), default=0.0)
    return [a for a in found if a.sent_at_s >= latest_s - SIMULTANEOUS_START_S]


def _started_within(
    runner: RunnerState, within_s: float, now_s: float
) -> list[Attempt]:
    silent_at_s = now_s if runner.silent_at_s is None else runner.silent_at_s
    return [
        attempt
        for attempt in runner.attempts.values()
        if attempt.sent_at_s and silent_at_s - attempt.sent_at_s <= within_s
    ]


def describe(attempts: t.Iterable[Attempt]) -> list[list[t.Any]]:
    """Return the names and run numbers of attempts, for the logs."""
    return [[attempt.task.name, attempt.run] for attempt in attempts]


@attrs.frozen
class _Attribution:
    """What the end of a runner is laid to.

    :param exact: it is known that this had just been started there.
    :param later: the runner had surely lived on after the start.
    """

    blamed: t.Sequence[Attempt]
    exact: bool = False
    later: bool = False

    @property
    def at_start(self) -> bool:
        """Whether the start of what is blamed explains the end."""
        return self.exact and bool(self.blamed) and not self.later

    @property
    def one_job_there(self) -> bool:
        """Whether all that is blamed is of one job, and has surely begun there."""
        jobs = {id(attempt.task.step.occurrence.job) for attempt in self.blamed}
        return len(jobs) == 1 and all(
            attempt.first_confirmed_ms for attempt in self.blamed
        )


class Crashes:
    """Counts the ends of runners against the tasks that may have brought them about."""

    def __init__(self, ledger: Ledger, settings: EngineSettings) -> None:
        self._ledger = ledger
        self._settings = settings
        self._stability = PoolStability(settings.unsteady_ends)

    def suspect(self, runner: RunnerState) -> None:
        """Doubt what a runner began as it fell silent, until it is heard again."""
        if runner.hung:
            return
        for attempt in started_last(runner, boot_s()):
            attempt.suspected = True

    @staticmethod
    def may_copy(task: Task) -> bool:
        """Whether a copy of a task may be started before its run's end is sure.

        One that silenced two runners, or one after it had ended one, waits until their
        fate is known.
        """
        return task.lost_runners + sum(a.suspected for a in task.attempts) < 2

    def on_runner_response(self, runner: RunnerState) -> None:
        """Take it that a runner lives: it was cut off, and nothing crashed it."""
        for attempt in runner.attempts.values():
            attempt.suspected = False
        for blame in runner.blamed:
            self._withdraw_blame(blame)
        runner.blamed.clear()

    def _withdraw_blame(self, blame: Blame) -> None:
        task = blame.task
        if blame.later:
            task.later_ends = max(0, task.later_ends - 1)
        else:
            task.crashes = max(0, task.crashes - 1)
        task.on_probation = task.on_probation and task.lost_runners > 0
        self._ledger.changed(task.step.occurrence.job)

    def clear_crashes(self, task: Task) -> None:
        """Take it that a run of a task ended, or went on, without harm."""
        if not task.lost_runners:
            return
        task.crashes = task.later_ends = 0
        task.on_probation = False
        self._ledger.changed(task.step.occurrence.job)

    def clear_crashes_if_stable(self, attempt: Attempt) -> None:
        """Acquit the task of a run that its runner has listed for long enough."""
        if not attempt.task.lost_runners or not attempt.began_at_s:
            return
        if boot_s() - attempt.began_at_s > STABLE_RUN_S:
            self.clear_crashes(attempt.task)

    # Ends.

    def attribute_exit(self, runner: RunnerState) -> list[Task]:
        """Lay a runner's end to tasks; return those that are to be given up.

        What we ordered, or the runner announced, is no crash.
        """
        if runner.draining or runner.reserved:
            return []
        attribution = self._attribute(runner)
        if not attribution.at_start:
            self._stability.record_exit(runner.service, runner.incarnation)
        for attempt in attribution.blamed:
            runner.blamed.append(Blame(attempt.task, attribution.later))
            self._blame(attempt, attribution, runner)
        stable = not self._stability.is_unstable(runner.service)
        conclusive = attribution.at_start and attribution.one_job_there and stable
        return [
            a.task for a in attribution.blamed if self._is_at_fault(a.task, conclusive)
        ]

    def _attribute(self, runner: RunnerState) -> _Attribution:
        """Return what a runner's end is laid to."""
        now_s = boot_s()
        exact = not runner.hung and bool(started_last(runner, now_s))
        candidates = self._candidates(runner, now_s, exact)
        not_outlived = [a for a in candidates if not _is_outlived(a, runner)]
        if not_outlived:
            return _Attribution(not_outlived, exact)
        return _Attribution(candidates, exact, later=True)

    def attribute_orphan_exit(self, attempt: Attempt) -> list[Task]:
        """Do the same for a run on a runner that was gone before this holder came."""
        if not self._may_be_at_fault(attempt):
            return []
        pool = attempt.task.step.occurrence.job.service
        incarnation = RunnerIncarnation(attempt.runner_id, attempt.born_ms)
        self._stability.record_exit(pool, incarnation)
        self._blame(attempt, _Attribution((attempt,)))
        return (
            [attempt.task] if self._is_at_fault(attempt.task, conclusive=False) else []
        )

    def _candidates(
        self, runner: RunnerState, now_s: float, exact: bool
    ) -> list[Attempt]:
        """Return what may have ended a runner.

        :param exact: it is known what was started last before its end.
        """
        if exact:
            found = started_last(runner, now_s)
        else:
            # Of an earlier holder's runs it is not known when they began.
            unknown = [
                attempt
                for attempt in runner.attempts.values()
                if attempt.read_back and not attempt.seen_at_s
            ]
            found = _started_within(runner, STABLE_RUN_S, now_s) + unknown
        return [attempt for attempt in found if self._may_be_at_fault(attempt)]

    @staticmethod
    def _may_be_at_fault(attempt: Attempt) -> bool:
        # A run that waits for its stop on the next life was not started there.
        over = attempt.task.step.occurrence.job.over or attempt.blamed
        return not over and attempt.phase is not Phase.PLANNED

    def _blame(
        self,
        attempt: Attempt,
        attribution: _Attribution,
        runner: RunnerState | None = None,
    ) -> None:
        """Count an end against a task, and have it run apart where that is telling.

        :param runner: what has ended; None: not known here.
        """
        task = attempt.task
        attempt.blamed = True
        if attribution.later:
            task.later_ends += 1
        else:
            task.crashes += 1
        task.on_probation = (
            task.on_probation or attribution.exact or task.lost_runners > 1
        )
        # The next holder must not count this end again.
        self._ledger.changed(task.step.occurrence.job)
        self._ledger.count("crashed")
        log.info(
            "run-crashed",
            extra={
                "task": task.name,
                "run": attempt.run,
                "runner": attempt.runner_id,
                "crashes": task.crashes,
                "later_ends": task.later_ends,
                "just_started": attribution.exact,
                "silent_s_after": _silent_s_after(attempt, runner),
                "outlived_ms": runner.outlived_ms(attempt) if runner else None,
            },
        )

    def _is_at_fault(self, task: Task, conclusive: bool) -> bool:
        if conclusive and task.crashes >= self._settings.crashes_alone:
            return True
        if task.crashes >= self._settings.most_crashes:
            return True
        return task.lost_runners >= self._settings.most_lost_runners


def _is_outlived(attempt: Attempt, runner: RunnerState) -> bool:
    """Whether a runner surely lived on for a while after the start of a run."""
    outlived_ms = runner.outlived_ms(attempt)
    return outlived_ms is not None and outlived_ms >= MIN_OUTLIVED_MS


def _silent_s_after(attempt: Attempt, runner: RunnerState | None) -> float | None:
    """Return how long after its start was sent the runner of a run fell silent."""
    if runner is None or runner.silent_at_s is None or not attempt.sent_at_s:
        return None
    return round(runner.silent_at_s - attempt.sent_at_s, 3)
