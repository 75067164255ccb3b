"""Attributes runner exits to the tasks that may have caused them.

A runner exit comes with no list, so nothing else counts it against the tasks that ran
there: their runs expire and the tasks are placed again. Two tasks that crashed their
runners took down 9 runners a second, in a pool of 16, for as long as they were placed
again. Each such task is quarantined after three or four crashes. The tasks that ran
beside it continue: an exit is attributed only to the tasks that had been started last
on the runner, and these run apart from others until it is known which of them caused
it.
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
from .quarantine import Quarantine
from .settings import EngineSettings
from .stability import EXIT_WINDOW_S
from .stability import PoolStability

__all__ = ["Crashes", "describe", "started_last"]

log = logbook.Logger("streamthread.scheduler")

MIN_OUTLIVED_MS = 50
"""Measured on the runner's clock. A runner that stayed alive for this long after a
start was not crashed by that start alone, which takes some 10 ms."""

SURVIVED_MS = 500
"""Measured on the runner's clock. A task that crashes each runner that starts it leaves
none alive for this long, even if the runner is slow to exit."""

START_CRASH_WINDOW_S = 0.5
"""A run that crashes its runner does so within some 10 ms. The start, the call that
meets the closed connection and a busy event loop add up to some 0.3 s."""

STABLE_RUN_S = 2.0
"""A run that has worked for this long does not crash every runner that starts it."""

SILENCE_DELAY_S = 2.5
"""If a runner is silent with open connections, the start of its silence is not known
more precisely than this: a call to an idle runner takes up to 2.2 s to detect it."""


def started_last(runner: RunnerState, now_s: float) -> list[Attempt]:
    """Return the attempts that were started last before a runner became silent.

    Attempts whose starts were sent at nearly the same time are not told apart.

    :param now_s: boot clock time; used if the runner was never silent.
    """
    found = _started_within(runner, START_CRASH_WINDOW_S, now_s)
    latest_s = max((attempt.sent_at_s for attempt in found), default=0.0)
    return [a for a in found if a.sent_at_s >= latest_s - SIMULTANEOUS_START_S]


def _started_within(
    runner: RunnerState, within_s: float, now_s: float
) -> list[Attempt]:
    silent_at_s = _silent_at_s(runner, now_s)
    return [
        attempt
        for attempt in runner.attempts.values()
        if attempt.sent_at_s and silent_at_s - attempt.sent_at_s <= within_s
    ]


def _carried_out_late(runner: RunnerState, now_s: float) -> list[Attempt]:
    """Return the attempts that may have begun shortly before a runner became silent.

    A try to start them got no answer, and may have been carried out seconds later.
    """
    silent_at_s = _silent_at_s(runner, now_s)
    return [
        attempt
        for attempt in runner.attempts.values()
        if attempt.open_starts
        and silent_at_s - (attempt.began_at_s or silent_at_s) <= SILENCE_DELAY_S
    ]


def _silent_at_s(runner: RunnerState, now_s: float) -> float:
    """Return the boot clock time at which a runner became silent, by default now."""
    return now_s if runner.silent_at_s is None else runner.silent_at_s


def describe(attempts: t.Iterable[Attempt]) -> list[list[t.Any]]:
    """Return the names and run numbers of attempts for the log."""
    return [[attempt.task.name, attempt.run] for attempt in attempts]


@attrs.frozen
class Attribution:
    """The attempts to which a runner exit is attributed.

    :param exact: the attempts are known to have been started last, shortly before the
        exit.
    :param later: the runner certainly stayed alive after the start.
    :param in_stable_pool: hardly any other runner of the pool has exited lately.
    :param stable_runner: the runner had been up for a while.
    :param long_lived_runner: the runner had been up for so long that it does not
        exit in a series.
    """

    blamed: t.Sequence[Attempt]
    exact: bool = False
    later: bool = False
    in_stable_pool: bool = False
    stable_runner: bool = False
    long_lived_runner: bool = False

    @property
    def at_start(self) -> bool:
        """Whether the start of the blamed attempts explains the exit."""
        return self.exact and bool(self.blamed) and not self.later

    @property
    def late_crash(self) -> bool:
        """Whether the blamed attempt presumably caused the exit after its start."""
        alone = self.exact and len(self.blamed) == 1
        return self.later and alone and self.long_lived_runner

    @property
    def conclusive(self) -> bool:
        """Whether the exit can hardly have another cause than the blamed attempts."""
        return self.at_start and self._single_confirmed_job and self.in_stable_pool

    @property
    def _single_confirmed_job(self) -> bool:
        """Whether the blamed attempts belong to one job and certainly began there."""
        jobs = {id(attempt.task.step.occurrence.job) for attempt in self.blamed}
        return len(jobs) == 1 and all(
            attempt.first_confirmed_ms for attempt in self.blamed
        )


class Crashes:
    """Counts runner exits against the tasks that may have caused them."""

    def __init__(
        self,
        ledger: Ledger,
        quarantine: Quarantine,
        settings: EngineSettings,
        observed_from_s: float,
    ) -> None:
        self._ledger = ledger
        self._quarantine = quarantine
        self._stability = PoolStability(settings.unsteady_ends, observed_from_s)
        # What exits of runners that this holder has never listed were attributed to.
        self._blamed_unlisted: dict[RunnerIncarnation, list[Blame]] = {}

    def suspect(self, runner: RunnerState) -> None:
        """Suspect the runs started last before a runner's silence, until it answers."""
        if runner.hung:
            return
        for attempt in started_last(runner, boot_s()):
            attempt.suspected = True

    @staticmethod
    def may_copy(task: Task) -> bool:
        """Whether a task may be copied before the end of its current run is certain.

        A task that silenced two runners, or one runner after it had crashed another
        one, waits until it is known whether they exited.
        """
        return task.lost_runners + sum(a.suspected for a in task.attempts) < 2

    def on_runner_listed(self, runner: RunnerState) -> None:
        """Keep what was attributed to a runner's exit while it was not listed.

        The list may not have been readable, or the runner's entry had expired.
        """
        runner.blamed.extend(self._blamed_unlisted.pop(runner.incarnation, ()))

    def on_runner_response(self, runner: RunnerState) -> None:
        """Clear suspicions and withdraw attributed exits, since the runner is alive.

        It was unreachable, and no run crashed it.
        """
        for attempt in runner.attempts.values():
            attempt.suspected = False
        for blame in runner.blamed:
            self._withdraw_blame(blame)
        runner.blamed.clear()

    def _withdraw_blame(self, blame: Blame) -> None:
        task = blame.task
        if blame.late_crash:
            task.late_crashes = max(0, task.late_crashes - 1)
        if blame.later:
            task.later_ends = max(0, task.later_ends - 1)
        else:
            task.crashes = max(0, task.crashes - 1)
        if blame.observed:
            self._quarantine.on_withdrawn_exit(task)
        self._on_fewer_exits(task)

    def _on_fewer_exits(self, task: Task) -> None:
        """Apply that fewer exits count against a task than before."""
        task.on_probation = task.on_probation and task.lost_runners > 0
        self._quarantine.review(task)
        self._ledger.task_changed(task)

    def clear_crashes(self, task: Task) -> None:
        """Reset a task's counts: a run of it ended or went on without a runner exit."""
        if not task.lost_runners:
            return
        task.crashes = task.later_ends = task.late_crashes = 0
        self._on_fewer_exits(task)

    def clear_crashes_if_stable(self, attempt: Attempt) -> None:
        """Reset the counts if the task's runner has listed the run for long enough."""
        if not attempt.task.lost_runners or not attempt.began_at_s:
            return
        if boot_s() - attempt.began_at_s > STABLE_RUN_S:
            self.clear_crashes(attempt.task)

    def clear_if_outlived(self, attempt: Attempt, runner: RunnerState) -> None:
        """Record that a runner has outlived the start of a suspect task's run.

        Without the record, the next holder could not tell an exit that follows from one
        that the start caused.
        """
        if not attempt.task.lost_runners:
            return
        if _is_outlived(attempt, runner) and not attempt.cleared:
            attempt.cleared = True
            self._ledger.task_changed(attempt.task)
        self._forgive_if_survived(attempt, runner)

    def _forgive_if_survived(self, attempt: Attempt, runner: RunnerState) -> None:
        """Count no earlier exit as a crash once a runner has survived a task's start.

        What a task does to its runners it does at each start, so the other exits at its
        starts were chance.
        """
        task = attempt.task
        outlived_ms = runner.outlived_ms(attempt) or 0
        counted = task.crashes or task.late_crashes
        if not counted or outlived_ms < SURVIVED_MS:
            return
        task.crashes = task.late_crashes = 0
        self._on_fewer_exits(task)

    # Runner exits.

    def attribute_exit(self, runner: RunnerState) -> Attribution:
        """Attribute a runner exit to tasks.

        An exit for an ordered move or upkeep, or one that the runner announced, is not
        a crash.
        """
        if runner.draining or runner.reserved:
            return Attribution(())
        silent_at_s = _silent_at_s(runner, boot_s())
        attribution = attrs.evolve(
            self._attribute(runner),
            stable_runner=runner.is_stable(silent_at_s),
            long_lived_runner=runner.up_for_s(silent_at_s) >= EXIT_WINDOW_S,
        )
        if not attribution.at_start:
            self._stability.record_exit(runner.service, runner.incarnation)
        for attempt in attribution.blamed:
            self._forgive_if_survived(attempt, runner)
            runner.blamed.append(self._blame(attempt, attribution, runner))
        stable = not self._stability.is_unstable(runner.service)
        return attrs.evolve(attribution, in_stable_pool=stable)

    def _attribute(self, runner: RunnerState) -> Attribution:
        """Return the attempts to which a runner exit is attributed."""
        now_s = boot_s()
        exact = not runner.hung and bool(started_last(runner, now_s))
        candidates = self._candidates(runner, now_s, exact)
        not_outlived = [a for a in candidates if not _is_outlived(a, runner)]
        if not_outlived:
            return Attribution(not_outlived, exact)
        return Attribution(candidates, exact, later=True)

    def attribute_orphan_exit(self, attempt: Attempt) -> None:
        """Attribute to a run the exit of its runner before this holder took over."""
        if attempt.blamed or attempt.task.step.occurrence.job.over:
            return
        pool = attempt.task.step.occurrence.job.service
        incarnation = RunnerIncarnation(attempt.runner_id, attempt.born_ms)
        self._stability.record_exit(pool, incarnation)
        if self._may_be_at_fault(attempt):
            blame = self._blame(attempt, Attribution((attempt,)))
            self._blamed_unlisted.setdefault(incarnation, []).append(blame)

    def _candidates(
        self, runner: RunnerState, now_s: float, exact: bool
    ) -> list[Attempt]:
        """Return the attempts that may have caused a runner's exit.

        :param exact: it is known which attempts were started last before the exit.
        """
        if exact:
            found = started_last(runner, now_s)
        else:
            # The start times of an earlier holder's runs are unknown.
            unknown = [
                attempt
                for attempt in runner.attempts.values()
                if attempt.read_back and not attempt.seen_at_s
            ]
            found = _started_within(runner, SILENCE_DELAY_S, now_s) + unknown
        found += [a for a in _carried_out_late(runner, now_s) if a not in found]
        return [attempt for attempt in found if self._may_be_at_fault(attempt)]

    @staticmethod
    def _may_be_at_fault(attempt: Attempt) -> bool:
        # A runner exit is attributed to an attempt only once: afterwards, the attempt
        # only awaits its stop on the next incarnation, which did not start it.
        over = attempt.task.step.occurrence.job.over or attempt.blamed
        # This holder has not seen the run, but an earlier one has cleared it.
        cleared_before = attempt.cleared and not attempt.first_confirmed_ms
        return not over and not cleared_before and attempt.phase is not Phase.PLANNED

    def _blame(
        self,
        attempt: Attempt,
        attribution: Attribution,
        runner: RunnerState | None = None,
    ) -> Blame:
        """Count an exit against a task, and put the task on probation.

        It is not put on probation for its first exit if it is unknown what was started
        last, since the exit then says too little about the task.

        :param runner: the runner that exited; None if this holder does not know it.
        :return: what to withdraw if the runner answers again.
        """
        task = attempt.task
        attempt.blamed = True
        task.late_crashes += attribution.late_crash
        if attribution.later:
            task.later_ends += 1
        else:
            task.crashes += 1
        task.on_probation = (
            task.on_probation or attribution.exact or task.lost_runners > 1
        )
        # The next holder must not count this exit again.
        self._ledger.task_changed(task)
        self._ledger.count("crashed")
        log.info(
            "run-crashed",
            extra={
                "task": task.name,
                "run": attempt.run,
                "runner": attempt.runner_id,
                "crashes": task.crashes,
                "later_ends": task.later_ends,
                "late_crashes": task.late_crashes,
                "just_started": attribution.exact,
                "read_back": attempt.read_back,
                "silent_s_after": _silent_s_after(attempt, runner),
                "outlived_ms": runner.outlived_ms(attempt) if runner else None,
            },
        )
        return Blame(
            task, attribution.later, attribution.late_crash, attribution.at_start
        )


def _is_outlived(attempt: Attempt, runner: RunnerState) -> bool:
    """Whether a runner certainly stayed alive for a while after a run's start."""
    outlived_ms = runner.outlived_ms(attempt)
    return outlived_ms is not None and outlived_ms >= MIN_OUTLIVED_MS


def _silent_s_after(attempt: Attempt, runner: RunnerState | None) -> float | None:
    """Return the time between a run's start order and its runner's silence."""
    if runner is None or runner.silent_at_s is None or not attempt.sent_at_s:
        return None
    return round(runner.silent_at_s - attempt.sent_at_s, 3)
