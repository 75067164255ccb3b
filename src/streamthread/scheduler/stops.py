"""Runs that are to be stopped: until their runners no longer list them.

A stop is settled by the runner's lists alone. An answer says that the runner has taken
it, not that the run has ended; a refusal says that nothing was done. What is still
listed once a stop must have worked gets its stop again, so that no lost, refused or
ineffective order leaves a run behind that nobody wants.
"""

import time
import typing as t

import logbook

from .model import Attempt
from .model import Stop

__all__ = ["StopWatch", "Stops"]

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

    @property
    def waiting(self) -> bool:
        """Whether there are stops that nobody has taken to send them."""
        return bool(self._to_send)

    def want(self, attempt: Attempt, reason: str) -> None:
        """Have a run stopped."""
        if attempt.stop is not None:
            return
        attempt.be_stopped(reason)
        self._queue(attempt)
        log.info("run-to-stop", extra=_describe(attempt))

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
        if attempt.must_end:
            self._queue(attempt)
        else:
            attempt.go_on()

    @staticmethod
    def on_refused(attempt: Attempt, why: str) -> None:
        """Take it that a runner has refused a stop: its next list tells the rest."""
        log.warning("stop-refused", extra=_describe(attempt) | {"why": why})


class StopWatch:
    """Tells of each run that has been to be stopped for too long, once.

    :param overdue: how many there are now.
    """

    def __init__(self) -> None:
        self.overdue = 0
        self._told: set[Stop] = set()

    def look(self, attempts: t.Iterable[Attempt]) -> None:
        """Look for overdue runs among all attempts."""
        since_s = time.monotonic() - OVERDUE_S
        found: set[Stop] = set()
        for attempt in attempts:
            stop = attempt.stop
            if stop is None or stop.since_s >= since_s:
                continue
            found.add(stop)
            if stop not in self._told:
                log.warning("stop-overdue", extra=_describe(attempt))
        self._told = found
        self.overdue = len(found)


def _describe(attempt: Attempt) -> dict[str, t.Any]:
    """Return what the logs tell of a run that is to be stopped."""
    stop = attempt.stop
    assert stop is not None
    now_s = time.monotonic()
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
