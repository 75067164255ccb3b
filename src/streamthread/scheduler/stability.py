"""Detects pools whose runners exit on their own."""

from ..clocks import boot_s
from .model import RunnerIncarnation

__all__ = ["EXIT_WINDOW_S", "PoolStability"]

EXIT_WINDOW_S = 10.0
"""How long a runner exit counts. A runner that repeatedly goes down and up does so
within this time."""


class PoolStability:
    """Counts, by pool, the runner exits that no task start explains.

    What an earlier holder has counted is not known, so that a pool counts as unstable
    until it has been observed for as long as an exit counts.

    :param unsteady_ends: the number of recent exits from which a pool counts as
        unstable.
    :param observed_from_s: boot clock time from which on all exits are known.
    """

    def __init__(self, unsteady_ends: int, observed_from_s: float) -> None:
        self._unsteady_ends = unsteady_ends
        self._observed_from_s = observed_from_s
        self._ended_at_s: dict[str, dict[RunnerIncarnation, float]] = {}

    def record_exit(self, pool: str, incarnation: RunnerIncarnation) -> None:
        """Record that a runner exited on its own, once for each incarnation."""
        self._forget_old(pool)
        self._ended_at_s.setdefault(pool, {}).setdefault(incarnation, boot_s())

    def is_unstable(self, pool: str) -> bool:
        """Whether enough runners of a pool may have recently exited on their own."""
        if boot_s() - self._observed_from_s < EXIT_WINDOW_S:
            return True
        self._forget_old(pool)
        return len(self._ended_at_s.get(pool, ())) >= self._unsteady_ends

    def _forget_old(self, pool: str) -> None:
        since_s = boot_s() - EXIT_WINDOW_S
        ends = self._ended_at_s.get(pool, {})
        for incarnation in [
            incarnation for incarnation, at_s in ends.items() if at_s < since_s
        ]:
            del ends[incarnation]
