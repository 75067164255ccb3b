"""Runs that are to be stopped: until their runners no longer list them.

A stop is settled by the runner's lists alone. An answer says that the runner has taken
it, not that the run has ended; a refusal says that nothing was done. What is still
listed once a stop must have worked gets its stop again, so that no lost, refused or
ineffective order leaves a run behind that nobody wants.
"""

import typing as t

import logbook

from ..clocks import boot_s
from .model import Attempt
from .model import Stop

__all__ = ["Stops"]

log = logbook.Logger("streamthread.scheduler")

OVERDUE_S = 3.0
"""Nothing of a cancelled job is to run for longer after its cancel (the users' pages);
a stop takes 0.9 s at most."""


class Stops:
    """Which runs are to be stopped, and for which of them a stop is to be sent now.

    :param effect_ms: on the runner's clock: what it still lists so long after it took a
        stop was not stopped by it.
    """

    def __init__(self, effect_ms: int) -> None:
        self._effect_ms = effect_ms
        self._to_send: list[Attempt] = []
        self._stopping: set[Attempt] = set()
        self._logged_overdue: set[Stop] = set()

    @property
    def count(self) -> int:
        """How many runs are to be stopped."""
        return len(self._stopping)

    @property
    def waiting(self) -> bool:
        """Whether there are stops that nobody has taken to send them."""
        return bool(self._to_send)

    def request_stop(self, attempt: Attempt, reason: str) -> None:
        """Have a run stopped."""
        if attempt.stop is not None:
            return
        attempt.mark_stopping(reason)
        self._stopping.add(attempt)
        self._queue(attempt)
        log.info("run-to-stop", extra=_describe(attempt))

    def request_stop_again(self, attempt: Attempt, reason: str) -> None:
        """Have a run stopped whose runner has started again and knows of no stop."""
        if attempt.stop is None:
            self.request_stop(attempt, reason)
            return
        attempt.stop.answered_ms = 0
        if not attempt.stop.under_way:
            self._queue(attempt)

    def read_back(self, attempt: Attempt) -> None:
        """Take a run of an earlier holder; who sees its runner sends the stop."""
        if attempt.stop is not None:
            self._stopping.add(attempt)

    def forget(self, attempt: Attempt) -> None:
        """Take it that a run is over."""
        self._stopping.discard(attempt)

    def _queue(self, attempt: Attempt) -> None:
        assert attempt.stop is not None
        attempt.stop.under_way = True
        self._to_send.append(attempt)

    def take(self) -> list[Attempt]:
        """Return the runs for which a stop is to be sent; who takes them sends it."""
        taken, self._to_send = self._to_send, []
        return taken

    def on_listed(self, attempt: Attempt, clock_ms: int) -> None:
        """Take it that a runner lists a run, by its clock at that moment.

        Where a run might as well go on, it does, and whoever wanted it elsewhere
        decides anew: what allowed the stop then may have changed, such as the other
        tasks of its step being at work.
        """
        stop = attempt.stop
        if stop is None or stop.under_way:
            return
        if clock_ms <= stop.answered_ms + self._effect_ms:
            return
        log.warning("stop-without-effect", extra=_describe(attempt))
        if attempt.must_end or stop.uncertain:
            self._queue(attempt)
        else:
            attempt.cancel_stop()
            self._stopping.discard(attempt)

    def on_missing(self, attempt: Attempt) -> None:
        """Take it that a runner does not list a run.

        Its start may still come, unless the runner has taken a stop before.
        """
        stop = attempt.stop
        if stop is None or stop.under_way or stop.answered_ms:
            return
        if not attempt.must_end:
            # It began, so that this list is an older one, or tells of its end.
            return
        log.warning("stop-without-effect", extra=_describe(attempt))
        self._queue(attempt)

    @staticmethod
    def on_refused(attempt: Attempt, why: str) -> None:
        """Take it that a runner has refused a stop: its next list tells the rest."""
        log.warning("stop-refused", extra=_describe(attempt) | {"why": why})

    @property
    def overdue(self) -> int:
        """How many runs had been to be stopped for too long, at the last look."""
        return len(self._logged_overdue)

    def log_overdue(self) -> None:
        """Tell of each run that has been to be stopped for too long, once."""
        since_s = boot_s() - OVERDUE_S
        overdue = {
            attempt.stop: attempt
            for attempt in self._stopping
            if attempt.stop is not None and attempt.stop.since_s < since_s
        }
        for stop, attempt in overdue.items():
            if stop not in self._logged_overdue:
                log.warning("stop-overdue", extra=_describe(attempt))
        self._logged_overdue = set(overdue)


def _describe(attempt: Attempt) -> dict[str, t.Any]:
    """Return what the logs tell of a run that is to be stopped."""
    stop = attempt.stop
    assert stop is not None
    now_s = boot_s()
    listed_s_ago = round(now_s - attempt.seen_at_s, 3) if attempt.seen_at_s else None
    return {
        "task": attempt.task.name,
        "run": attempt.run,
        "runner": attempt.runner_id,
        "reason": stop.reason,
        "since_s": round(now_s - stop.since_s, 3),
        "answered_ms": stop.answered_ms,
        "listed_s_ago": listed_s_ago,
    }
