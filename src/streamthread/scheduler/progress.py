"""Runs that lag behind, as far as the runners' lists tell."""

import enum

import attrs

from .model import Attempt
from .model import Phase

__all__ = ["Lag", "ProgressSettings", "detect_lag"]

COMPLETE_PERCENT = 100.0


class Lag(enum.Enum):
    """Why a run is better done elsewhere; the values are in the logs."""

    STALLED = "stands-still"
    SLOW = "slow"


@attrs.frozen
class ProgressSettings:
    """When a run counts as lagging.

    :param judge_s: a run is watched for at least so long: lists come every 0.8 s.
    :param still_s: a run whose percent did not change for so long stands still;
        those of the users take 5 s at most, so that a percent takes 50 ms.
    :param slow_factor: a run that still needs this many times what a whole one
        takes elsewhere is slow; the longest one of a kind takes 2.5 times the mean.
    :param slow_extra_s: and this much more, for a stop and a start.
    :param most_moves: a task is stopped for its lag so often at most.
    """

    judge_s: float = 0.7
    still_s: float = 1.2
    slow_factor: float = 2.5
    slow_extra_s: float = 0.6
    most_moves: int = 2


def detect_lag(
    attempt: Attempt, expected_s: float | None, settings: ProgressSettings
) -> Lag | None:
    """Return why a run lags behind, or None: it does not, or is not known to.

    Only what its runner has said counts: a silent runner is judged elsewhere.

    :param expected_s: how long such a run takes on a sound runner, where that was
        learned; what callers estimate is too far off.
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
        # Away from its data a run is slow for a good reason.
        return None
    left_s = (COMPLETE_PERCENT - attempt.percent) * observed_s / done
    if left_s > settings.slow_factor * expected_s + settings.slow_extra_s:
        return Lag.SLOW
    return None


def _is_monitored(attempt: Attempt) -> bool:
    """Whether a run goes on by itself, at full speed: others wait or yield."""
    request = attempt.task.step.request
    if request.gang or request.lasting or request.fills:
        return False
    return attempt.phase is Phase.CONFIRMED and attempt.pace_percent in (None, 100)
