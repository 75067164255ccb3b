"""How many instances of one pool a wave may have away at once."""

import attrs

__all__ = ["WaveProgress", "wave_limit"]


@attrs.frozen
class WaveProgress:
    """Where a wave stands in one pool.

    :param failed: reboots that did not come back in time.
    """

    done: int
    away: int
    failed: int


def wave_limit(progress: WaveProgress, max_failed_fraction: float) -> int:
    """Return how many may be away: one first, then doubling; 0 when halted.

    The first instance is the canary. Each instance that came back well allows
    one more than it, so the number away doubles from batch to batch.
    """
    ended = progress.done + progress.failed
    if progress.failed and progress.failed > max_failed_fraction * ended:
        return 0
    return progress.done + 1
