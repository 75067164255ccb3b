"""Limits how many instances of one pool a wave may drain or reboot at once."""

import attrs

__all__ = ["GROWTH", "WaveProgress", "wave_limit"]

GROWTH = 4
"""How many more instances may be in progress for each one that completed.

A wave that doubled its batches took 1.1 to 1.2 times as long:
docs/design/budgets-and-waves.md.
"""


@attrs.frozen
class WaveProgress:
    """The progress of a wave in one pool.

    :param done: how many instances have completed the wave.
    :param in_progress: how many instances drain or reboot for the wave.
    :param failed: how many of these have not returned from the reboot in time.
    """

    done: int
    in_progress: int
    failed: int


def wave_limit(progress: WaveProgress, max_failed_fraction: float) -> int:
    """Return how many instances may be in progress at once; 0 halts the wave.

    The first instance is the canary. Each instance that completes the wave allows
    ``GROWTH`` more, so each batch is ``GROWTH + 1`` times as large as the one before.

    :param max_failed_fraction: the wave halts when the failed instances exceed this
        fraction of those that completed or failed.
    """
    ended = progress.done + progress.failed
    if progress.failed and progress.failed > max_failed_fraction * ended:
        return 0
    return GROWTH * progress.done + 1
