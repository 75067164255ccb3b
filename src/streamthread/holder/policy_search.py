"""Grows a pool until it has a machine that the policy of a waiting step permits."""

import typing as t

import attrs
import logbook

from .advice_coverage import Coverage

__all__ = ["PolicySearch", "PoolCount"]

log = logbook.Logger("streamthread.duties")

FRUITLESS_S = 10.0
"""A search ends when the pool has got no machine for this time."""

PAUSE_S = 60.0
"""Pause after a search that found no permitted machine. The machines that were added
are of use to other pools meanwhile."""


@attrs.frozen
class PoolCount:
    """The machines of a pool.

    :param present: usable machines, and those on their way into the pool.
    :param arriving: only those on their way.
    """

    present: int
    arriving: int


@attrs.define
class _Search:
    """A search in progress.

    :param size: the number of machines that the pool should have.
    :param present: the highest number that it has had.
    :param grown_at_s: when it reached that number, on the boot clock.
    """

    size: int
    present: int
    grown_at_s: float


class PolicySearch:
    """Sizes the pools of which a policy permits no machine that they have.

    The advice service names only runners that it was asked about, and a machine that is
    switched off has none. So the pool doubles each time it was denied as a whole, until
    a step can start or no further machine is to be had.
    """

    def __init__(self) -> None:
        self._searches: dict[str, _Search] = {}
        self._paused_until_s: dict[str, float] = {}

    def sizes(self) -> dict[str, int]:
        """Return how many machines each pool needs for its search, if it needs one."""
        return {pool: search.size for pool, search in self._searches.items()}

    def update(
        self,
        coverage: t.Mapping[str, Coverage],
        counts: t.Mapping[str, PoolCount],
        now_s: float,
    ) -> None:
        """Begin, continue and end searches.

        :param coverage: by pool, that of the waiting step which lacks most.
        :param counts: the machines of these pools.
        :param now_s: boot clock time.
        """
        for pool in [pool for pool in self._searches if pool not in coverage]:
            del self._searches[pool]
        for pool, found in coverage.items():
            self._update_pool(pool, found, counts[pool], now_s)

    def _update_pool(
        self, pool: str, coverage: Coverage, count: PoolCount, now_s: float
    ) -> None:
        search = self._searches.get(pool)
        if coverage is Coverage.PERMITTED:
            self._searches.pop(pool, None)
            self._paused_until_s.pop(pool, None)
            return
        if search is not None and count.present > search.present:
            search.present, search.grown_at_s = count.present, now_s
        if coverage is Coverage.UNKNOWN or count.arriving:
            return
        if search is not None and count.present < search.size:
            if now_s - search.grown_at_s >= FRUITLESS_S:
                self._give_up(pool, count, now_s)
            return
        if now_s >= self._paused_until_s.get(pool, 0.0):
            self._grow(pool, count, now_s)

    def _grow(self, pool: str, count: PoolCount, now_s: float) -> None:
        size = count.present + max(1, count.present)
        self._searches[pool] = _Search(size, count.present, now_s)
        log.info("policy-search", extra={"pool": pool, "size": size})

    def _give_up(self, pool: str, count: PoolCount, now_s: float) -> None:
        del self._searches[pool]
        self._paused_until_s[pool] = now_s + PAUSE_S
        details = {"pool": pool, "denied": count.present, "pause_s": PAUSE_S}
        log.warning("policy-search-in-vain", extra=details)
