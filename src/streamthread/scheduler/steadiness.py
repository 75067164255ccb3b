"""Which pools have runners that end by themselves."""

import collections

from ..clocks import boot_s

__all__ = ["Steadiness"]

LATELY_S = 10.0
"""Ends count for so long: a runner that goes down and up by turns does so within it."""


class Steadiness:
    """Counts the ends of runners, by pool, that no start explains.

    :param unsteady_ends: so many of them lately make a pool unsteady.
    """

    def __init__(self, unsteady_ends: int) -> None:
        self._unsteady_ends = unsteady_ends
        self._ended_at_s: dict[str, collections.deque[float]] = {}

    def note_end(self, pool: str) -> None:
        """Note that a runner of a pool has ended by itself."""
        ends = self._ended_at_s.setdefault(
            pool, collections.deque(maxlen=self._unsteady_ends)
        )
        ends.append(boot_s())

    def is_unsteady(self, pool: str) -> bool:
        """Whether runners of a pool have ended by themselves lately."""
        ends = self._ended_at_s.get(pool)
        if ends is None or len(ends) < self._unsteady_ends:
            return False
        return boot_s() - ends[0] < LATELY_S
