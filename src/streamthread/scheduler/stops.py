"""Runs that are to be stopped, until their runners no longer list them.

Only the runner's lists complete a stop. An answer means that the runner has accepted
the stop, not that the run has ended; a refusal means that nothing was done. If a run is
still listed after its stop must have taken effect, the stop is sent again, so that a
lost, refused or ineffective order leaves no unneeded run behind.
"""

import typing as t

import logbook

from ..clocks import boot_s
from .model import Attempt
from .model import Stop

__all__ = ["Stops"]

log = logbook.Logger("streamthread.scheduler")

OVERDUE_S = 3.0
"""No run of a cancelled job may continue for longer than this after the cancel,
according to the users' documentation. A stop takes at most 0.9 s."""


class Stops:
    """The runs to be stopped, and those whose stop is due to be sent.

    :param effect_ms: measured on the runner's clock. A run that is still listed this
        long after the runner accepted a stop was not stopped by it.
    """

    def __init__(self, effect_ms: int) -> None:
        self._effect_ms = effect_ms
        self._to_send: list[Attempt] = []
        self._stopping: set[Attempt] = set()
        self._logged_overdue: set[Stop] = set()

    @property
    def count(self) -> int:
        """The number of runs that are to be stopped."""
        return len(self._stopping)

    @property
    def waiting(self) -> bool:
        """Whether there are stops that have not been taken for sending."""
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
        """Have a run stopped whose runner has restarted and knows of no stop."""
        if attempt.stop is None:
            self.request_stop(attempt, reason)
            return
        attempt.stop.answered_ms = 0
        if not attempt.stop.under_way:
            self._queue(attempt)

    def read_back(self, attempt: Attempt) -> None:
        """Add a run of an earlier holder; its stop is sent once its runner is seen."""
        if attempt.stop is not None:
            self._stopping.add(attempt)

    def forget(self, attempt: Attempt) -> None:
        """Remove a run that is over."""
        self._stopping.discard(attempt)

    def _queue(self, attempt: Attempt) -> None:
        assert attempt.stop is not None
        attempt.stop.under_way = True
        self._to_send.append(attempt)

    def take(self) -> list[Attempt]:
        """Return the runs whose stop is due to be sent; the caller sends it."""
        taken, self._to_send = self._to_send, []
        return taken

    def on_listed(self, attempt: Attempt, clock_ms: int) -> None:
        """Handle that a runner lists a run, with its clock at that time.

        If the run is still needed and every stop order has been answered, the run
        continues, and whoever requested its stop decides again. The reason that
        permitted the stop may no longer apply, for example that the other tasks of its
        step are running.
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
        """Handle that a runner does not list a run.

        Its start may still be carried out, unless the runner has accepted a stop
        before.
        """
        stop = attempt.stop
        if stop is None or stop.under_way or stop.answered_ms:
            return
        if not attempt.must_end:
            # The run began, so this list is older than it or reports its end.
            return
        log.warning("stop-without-effect", extra=_describe(attempt))
        self._queue(attempt)

    @staticmethod
    def on_refused(attempt: Attempt, why: str) -> None:
        """Log that a runner refused a stop; its next list decides what follows."""
        log.warning("stop-refused", extra=_describe(attempt) | {"why": why})

    @property
    def overdue(self) -> int:
        """The number of overdue stops at the last call of `log_overdue`."""
        return len(self._logged_overdue)

    def log_overdue(self) -> None:
        """Log each overdue stop once."""
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
    """Return the log fields for a run that is to be stopped."""
    stop = attempt.stop
    assert stop is not None
    now_s = boot_s()
    listed_at_s = attempt.listed_at_s
    listed_s_ago = round(now_s - listed_at_s, 3) if listed_at_s else None
    return {
        "task": attempt.task.name,
        "run": attempt.run,
        "runner": attempt.runner_id,
        "reason": stop.reason,
        "since_s": round(now_s - stop.since_s, 3),
        "answered_ms": stop.answered_ms,
        "listed_s_ago": listed_s_ago,
    }
