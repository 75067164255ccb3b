"""The runs of tasks."""

import typing as t

import attrs

from ..clocks import boot_s
from .states import Phase
from .states import Stop
from .states import TaskState

if t.TYPE_CHECKING:
    from .model import Task

__all__ = ["Attempt"]


@attrs.define(eq=False)
class Attempt:
    """One run of one task on one runner.

    :param confirmed_clock_ms: the runner's clock when it last confirmed the run.
    :param first_confirmed_ms: the runner's clock when it first confirmed the run; 0 if
        it has not yet.
    :param began_ms: the runner's clock when the run began; an estimate if the start's
        answer names no clock, 0 if unknown.
    :param born_ms: start time of the runner incarnation that the run was meant for;
        None if unknown.
    :param machine_id: the machine of the runner; empty if unknown. It is persisted for
        long-running tasks, so that the next holder can tell whether the runner is over.
    :param read_back: an earlier holder persisted the attempt.
    :param open_starts: the number of start orders without an answer. Each of them may
        still be carried out.
    :param sent_at_s: boot clock time at which this holder first sent the start; 0 if it
        has not.
    :param began_at_s: boot clock time at which the run was confirmed; 0 if it is not
        yet.
    :param percent: progress as last reported by the runner.
    :param first_percent: progress in the runner's first report.
    :param first_seen_at_s: the runner's clock in the first report; 0 if there is none.
    :param seen_at_s: the runner's clock in the last report.
    :param listed_at_s: boot clock time at which the last list with the run was read.
    :param progress_changed_at_s: the runner's clock when the reported progress last
        changed.
    :param missing_since_ms: the runner's clock since when its lists do not contain the
        run; 0 if they contain it.
    :param unlisted_since_s: boot clock time since when the runner does not list the
        run, although it is presumed to exist; 0 if it is listed.
    :param unlisted_logged: the missing listing has been logged.
    :param blamed: a runner exit has been attributed to this attempt; persisted with it.
    :param cleared: the run has certainly not crashed its runner, because its start has
        not been sent yet or the runner has outlived it. It is persisted for tasks to
        which a runner exit has been attributed before, so that the next holder does not
        attribute another one to the run.
    :param suspected: the runner became silent as the run started and has not answered
        since.
    :param stop: the state of the stop if the run is to be stopped.
    :param usage: the value that the runner last reported: the tail latency in ms of a
        long-running task, or the thousandths of a core that another task used; None if
        unknown.
    :param pace_percent: the share of full speed at which the run works; None if unknown
        because an earlier holder may have changed it.
    :param pace_open_until_s: boot clock time until which an unanswered pace order may
        still replace a newer one; 0 if there is none.
    """

    task: "Task"
    run: int
    runner_id: str
    phase: Phase = Phase.PLANNED
    born_ms: int | None = None
    machine_id: str = ""
    read_back: bool = False
    confirmed_clock_ms: int = 0
    first_confirmed_ms: int = 0
    began_ms: int = 0
    open_starts: int = 0
    sent_at_s: float = 0.0
    began_at_s: float = 0.0
    percent: float = 0.0
    first_percent: float = 0.0
    first_seen_at_s: float = 0.0
    seen_at_s: float = 0.0
    listed_at_s: float = 0.0
    progress_changed_at_s: float = 0.0
    usage: float | None = None
    pace_percent: int | None = 100
    pace_open_until_s: float = 0.0
    missing_since_ms: int = 0
    unlisted_since_s: float = 0.0
    unlisted_logged: bool = False
    blamed: bool = False
    cleared: bool = False
    suspected: bool = False
    stop: Stop | None = None

    @property
    def stop_reason(self) -> str:
        """Why the run is to be stopped; empty if it is not."""
        return self.stop.reason if self.stop is not None else ""

    @property
    def must_end(self) -> bool:
        """Whether the run is no longer needed, or is not known to have started."""
        task = self.task
        if task.step.occurrence.job.over or task.state is TaskState.DONE:
            return True
        return not self.began_at_s

    def mark_stopping(self, reason: str) -> None:
        """Mark the run as to be stopped; the caller has the stop sent."""
        self.phase = Phase.STOPPING
        self.stop = Stop(reason, boot_s())

    @property
    def ends_with_incarnation(self) -> bool:
        """Whether the run is certainly gone when this runner incarnation ends.

        An unanswered order may still be carried out by the next incarnation.
        """
        if self.phase is Phase.PLANNED:
            return True
        return bool(self.seen_at_s) and not self.read_back and not self.open_starts

    def is_of_other_incarnation(self, born_ms: int | None) -> bool:
        """Whether the run was meant for a different incarnation of its runner."""
        return None not in (born_ms, self.born_ms) and born_ms != self.born_ms

    def reset_confirmation(self, born_ms: int | None) -> None:
        """Discard what an earlier incarnation of the runner reported about the run.

        :param born_ms: start time of the incarnation that is queried from now on.
        """
        self.born_ms = born_ms
        self.confirmed_clock_ms = self.first_confirmed_ms = self.began_ms = 0
        self.began_at_s = self.listed_at_s = 0.0
        self.first_seen_at_s = self.seen_at_s = self.progress_changed_at_s = 0.0
        self.missing_since_ms = 0
        self.unlisted_since_s = 0.0

    def cancel_stop(self) -> None:
        """Record that the run continues and is no longer to be stopped."""
        self.phase = Phase.CONFIRMED
        self.stop = None

    def pace_unanswered(self, latest_s: float) -> None:
        """Record that an unanswered pace order may take effect until ``latest_s``."""
        self.pace_percent = None
        self.pace_open_until_s = latest_s

    def pace_answered(self, percent: int, sent_at_s: float) -> None:
        """Record a confirmed pace, which is final if no older order can replace it."""
        self.pace_percent = percent
        if sent_at_s > self.pace_open_until_s:
            self.pace_open_until_s = 0.0

    def note_progress(self, percent: float, now_s: float) -> None:
        """Record the progress that the runner reported.

        :param now_s: the runner's clock in the report.
        """
        if not self.first_seen_at_s:
            self.first_percent, self.first_seen_at_s = percent, now_s
        if percent != self.percent or not self.progress_changed_at_s:
            self.progress_changed_at_s = now_s
        self.percent = percent
        self.seen_at_s = now_s
