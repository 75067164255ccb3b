"""Which pools have runners that end by themselves."""

from ..clocks import boot_s
from .model import RunnerIncarnation

__all__ = ["PoolStability"]

EXIT_WINDOW_S = 10.0
"""Ends count for so long: a runner that goes down and up by turns does so within it."""


class PoolStability:
    """Counts the ends of runners, by pool, that no start explains.

    :param unsteady_ends: so many of them lately make a pool unsteady.
    """

    def __init__(self, unsteady_ends: int) -> None:
        self._unsteady_ends = unsteady_ends
        self._ended_at_s: dict[str, dict[RunnerIncarnation, float]] = {}

    def record_exit(self, pool: str, incarnation: RunnerIncarnation) -> None:
        """Note that a runner of a pool has ended by itself, once for each life."""
        self._forget_old(pool)
        self._ended_at_s.setdefault(pool, {}).setdefault(incarnation, boot_s())

    def is_unstable(self, pool: str) -> bool:
        """Whether runners of a pool have ended by themselves lately."""
        self._forget_old(pool)
        return len(self._ended_at_s.get(pool, ())) >= self._unsteady_ends

    def _forget_old(self, pool: str) -> None:
        since_s = boot_s() - EXIT_WINDOW_S
        ends = self._ended_at_s.get(pool, {})
        for incarnation in [
            incarnation for incarnation, at_s in ends.items() if at_s < since_s
        ]:
            del ends[incarnation]
