"""Spaces the attempts of a job that is lost with its workers again and again.

Nothing tells a job that brings its workers down from one that happened to run there.
No number of losses ends a job. The pauses bound how many workers it could bring down.
"""

import typing as t

__all__ = ["add_loss", "restart_pause_s"]

FIRST_PAUSE_S = 10.0
"""Pause after the second loss, from the start of the lost attempt to the next start."""

PAUSE_FACTOR = 4
"""Factor by which the pause grows with each further loss."""

MAX_PAUSE_S = 600.0

MAX_REMEMBERED_WORKERS = 8
"""Number of workers remembered per job, which bounds the size of its row."""


def restart_pause_s(lost_attempts: int) -> float:
    """Return the least time from the start of a lost attempt to the next start.

    :param lost_attempts: the number of attempts lost so far. The first loss needs no
        pause. An attempt that ran for longer than the pause needs none, either.
    """
    pause_s = 0.0
    for loss in range(2, lost_attempts + 1):
        pause_s = FIRST_PAUSE_S if loss == 2 else pause_s * PAUSE_FACTOR
        if pause_s >= MAX_PAUSE_S:
            return MAX_PAUSE_S
    return pause_s


def add_loss(lost_with: t.Sequence[str], worker_id: str) -> tuple[str, ...]:
    """Return the workers of the latest losses, the latest one last."""
    others = [other for other in lost_with if other != worker_id]
    return (*others, worker_id)[-MAX_REMEMBERED_WORKERS:]
