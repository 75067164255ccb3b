"""Detects lagging runs from the progress in the runners' lists."""

import enum

import attrs

from .model import Attempt
from .model import Phase

__all__ = ["Lag", "ProgressSettings", "detect_lag"]

COMPLETE_PERCENT = 100.0


class Lag(enum.Enum):
    """Why a run should be done elsewhere; the values are in the logs."""

    STALLED = "stands-still"
    SLOW = "slow"


@attrs.frozen
class ProgressSettings:
    """When a run counts as lagging.

    :param judge_s: a run is observed for at least this long; lists arrive every 0.8 s.
    :param still_s: a run whose progress has not changed for this long is stalled. The
        users' runs take at most 5 s, so one percent takes 50 ms.
    :param slow_factor: a run is slow if its remaining time exceeds this multiple of the
        time that a whole run takes elsewhere. The longest run of a kind takes 2.5 times
        the mean.
    :param slow_extra_s: additional time for a stop and a start before a run counts as
        slow.
    :param most_moves: the maximum number of times that a task is stopped because it
        lags.
    """

    judge_s: float = 0.7
    still_s: float = 1.2
    slow_factor: float = 2.5
    slow_extra_s: float = 0.6
    most_moves: int = 2


def detect_lag(
    attempt: Attempt, expected_s: float | None, settings: ProgressSettings
) -> Lag | None:
    """Return why a run lags, or None if it does not or this is unknown.

    Only reports from the runner count; silent runners are handled elsewhere.

    :param expected_s: the learned duration of such a run on a healthy runner, or None.
        The callers' estimates are too inaccurate.
    """
    if not _is_monitored(attempt):
        return None
    observed_s = attempt.seen_at_s - attempt.first_seen_at_s
    if observed_s < settings.judge_s:
        return None
    if attempt.seen_at_s - attempt.progress_changed_at_s >= settings.still_s:
        return Lag.STALLED
    done = attempt.percent - attempt.first_percent
    if done <= 0 or expected_s is None or attempt.task.step.request.near_rack:
        # A run that is far from its data is expected to be slow.
        return None
    left_s = (COMPLETE_PERCENT - attempt.percent) * observed_s / done
    if left_s > settings.slow_factor * expected_s + settings.slow_extra_s:
        return Lag.SLOW
    return None


def _is_monitored(attempt: Attempt) -> bool:
    """Whether a run should progress steadily, so that a lack of progress is a lag.

    Members of a gang depend on each other, long-running tasks have no end, and filling
    tasks and those with a reduced pace leave resources to others.
    """
    request = attempt.task.step.request
    if request.gang or request.lasting or request.fills:
        return False
    return attempt.phase is Phase.CONFIRMED and attempt.pace_percent in (None, 100)
