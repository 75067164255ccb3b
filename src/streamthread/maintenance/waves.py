"""How many instances of one pool a wave may have away at once."""

import attrs

__all__ = ["GROWTH", "WaveProgress", "wave_limit"]

GROWTH = 4
"""Doubling took 1.1 to 1.2 times as long: docs/design/budgets-and-waves.md."""


@attrs.frozen
class WaveProgress:
    """Where a wave stands in one pool.

    :param failed: reboots that did not come back in time.
    """

    done: int
    away: int
    failed: int


def wave_limit(progress: WaveProgress, max_failed_fraction: float) -> int:
    """Return how many may be away: one first, then quickly more; 0 when halted.

    The first instance is the canary. Each that came back well allows
    ``GROWTH`` more, so the number away grows that many times a batch.
    """
    ended = progress.done + progress.failed
    if progress.failed and progress.failed > max_failed_fraction * ended:
        return 0
    return GROWTH * progress.done + 1
