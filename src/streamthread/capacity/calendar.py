"""When each pool's next burst is to be expected, from those that it has had."""

import itertools
import statistics
import typing as t

import attrs

__all__ = ["BurstCalendar", "CalendarSettings"]

REGULAR_WITHIN = 0.2
"""Gaps that differ by less than this share of their mean count as regular."""

LEAST_GAP_S = 1.0
"""Two beginnings closer together are one burst, told twice."""


@attrs.frozen
class CalendarSettings:
    """How an expected burst is prepared for.

    :param ahead_s: machines are ordered so long before it: a move takes 1.5 s, and
        its runner is listed and held some tenths later.
    :param late_s: it is waited for so long beyond its time.
    """

    ahead_s: float = 2.3
    late_s: float = 1.0


@attrs.define
class BurstCalendar:
    """The beginnings of all pools' bursts.

    Traffic goes from service to service in turns. Once a pool has had two bursts,
    the time between them is taken as the length of one round. Before that, the
    round is told from pools that follow each other at regular times, once each of
    them has had its turn.
    """

    settings: CalendarSettings = attrs.field(factory=CalendarSettings)
    _begun_at_s: dict[str, list[float]] = attrs.field(factory=dict)

    def note(self, pool: str, at_s: float) -> None:
        """Take the beginning of a pool's burst, on the monotonic clock."""
        times = self._begun_at_s.setdefault(pool, [])
        if times and at_s - times[-1] < LEAST_GAP_S:
            return
        times.append(at_s)

    def next_at_s(self, pool: str, pools: t.Collection[str]) -> float | None:
        """Return when a pool's next burst should begin, or None: not known.

        :param pools: all pools that may have bursts.
        """
        times = self._begun_at_s.get(pool)
        if not times:
            return None
        round_s = _last_gap_s(times) or self._round_s(pools)
        return None if round_s is None else times[-1] + round_s

    def is_expected(self, pool: str, pools: t.Collection[str], now_s: float) -> bool:
        """Whether machines should be there for a burst that is about to begin."""
        next_at_s = self.next_at_s(pool, pools)
        if next_at_s is None:
            return False
        first_s = next_at_s - self.settings.ahead_s
        return first_s <= now_s <= next_at_s + self.settings.late_s

    def _round_s(self, pools: t.Collection[str]) -> float | None:
        """Return the length of one round over all pools, if it can be told."""
        gaps = [_last_gap_s(times) for times in self._begun_at_s.values()]
        known = [gap for gap in gaps if gap is not None]
        if known:
            return statistics.median(known)
        if len(pools) < 2 or any(pool not in self._begun_at_s for pool in pools):
            return None
        firsts = sorted(self._begun_at_s[pool][0] for pool in pools)
        spacings = [after - first for first, after in itertools.pairwise(firsts)]
        mean_s = sum(spacings) / len(spacings)
        if any(abs(gap - mean_s) > REGULAR_WITHIN * mean_s for gap in spacings):
            return None
        return mean_s * len(pools)


def _last_gap_s(times: t.Sequence[float]) -> float | None:
    return times[-1] - times[-2] if len(times) > 1 else None
