"""What had just been started on a runner whose life ended."""

import typing as t

from .fleet import RunnerState
from .model import Attempt

__all__ = ["describe", "started_last"]

AT_START_S = 0.5
"""A run that takes its runner down does so within some 10 ms; the start, the call that
meets the closed connection and a busy loop add up to some 0.3 s."""


def started_last(runner: RunnerState, now_s: float) -> list[Attempt]:
    """Return the attempts whose starts were sent just before a runner fell silent.

    :param now_s: on the monotonic clock; counts where the runner was never silent.
    """
    silent_at_s = now_s if runner.silent_at_s is None else runner.silent_at_s
    return [
        attempt
        for attempt in runner.attempts.values()
        if attempt.sent_at_s and silent_at_s - attempt.sent_at_s <= AT_START_S
    ]


def describe(attempts: t.Iterable[Attempt]) -> list[list[t.Any]]:
    """Return the names and run numbers of attempts, for the logs."""
    return [[attempt.task.name, attempt.run] for attempt in attempts]
