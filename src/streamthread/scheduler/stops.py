"""Runs that nobody wants any more and that their runners list all the same."""

import time
import typing as t

import logbook

from .model import Attempt
from .model import Phase

__all__ = ["StopWatch"]

log = logbook.Logger("streamthread.scheduler")

OVERDUE_S = 3.0
"""Nothing of a cancelled job is to run for longer after its cancel (the users' pages);
a stop takes 0.9 s at most."""


class StopWatch:
    """Tells of each run that has been to be stopped for too long, once.

    :param overdue: how many there are now.
    """

    def __init__(self) -> None:
        self.overdue = 0
        self._told: set[Attempt] = set()

    def look(self, attempts: t.Iterable[Attempt]) -> None:
        """Look for overdue runs among all attempts."""
        since_s = time.monotonic() - OVERDUE_S
        found = {
            attempt
            for attempt in attempts
            if attempt.phase is Phase.STOPPING and attempt.stopping_since_s < since_s
        }
        for attempt in found - self._told:
            _tell(attempt)
        self._told = found
        self.overdue = len(found)


def _tell(attempt: Attempt) -> None:
    """Log an overdue run, with what its runner last said of it."""
    now_s = time.monotonic()
    listed_s = now_s - attempt.seen_at_s if attempt.seen_at_s else None
    log.warning(
        "stop-overdue",
        extra={
            "task": attempt.task.name,
            "run": attempt.run,
            "runner": attempt.runner_id,
            "reason": attempt.stop_reason,
            "since_s": round(now_s - attempt.stopping_since_s, 3),
            "answered_clock_ms": attempt.confirmed_clock_ms,
            "listed_s_ago": listed_s if listed_s is None else round(listed_s, 3),
        },
    )
