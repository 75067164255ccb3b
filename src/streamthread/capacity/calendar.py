"""When each pool's next burst is to be expected, from those that it has had."""

import attrs

__all__ = ["BurstCalendar", "CalendarSettings"]

TURNS_KEPT = 3
"""Of each pool: the least that make two gaps, so that one can confirm the other."""

REGULAR_WITHIN = 0.2
"""Two gaps that differ by less than this share of the longer one are regular."""


@attrs.frozen
class CalendarSettings:
    """How an expected burst is prepared for.

    :param ahead_s: machines are ordered so long before it: a move takes 1.5 s, and
        its runner is listed and held some tenths later. Arrivals are forecast for
        the same time ahead.
    :param late_s: it is waited for so long beyond its time.
    """

    ahead_s: float = 2.3
    late_s: float = 1.0


@attrs.define
class BurstCalendar:
    """The beginnings of all pools' bursts.

    A pool's next burst is expected once its last three came at regular times. Less
    is no evidence: on the users' days, guesses from one round, or from the turns of
    other pools, brought machines for nothing.
    """

    settings: CalendarSettings = attrs.field(factory=CalendarSettings)
    _begun_at_s: dict[str, list[float]] = attrs.field(factory=dict)

    def note(self, pool: str, at_s: float) -> None:
        """Take the beginning of a pool's burst, on the monotonic clock."""
        times = self._begun_at_s.setdefault(pool, [])
        times.append(at_s)
        del times[:-TURNS_KEPT]

    def next_at_s(self, pool: str) -> float | None:
        """Return when a pool's next burst should begin, or None: not known."""
        times = self._begun_at_s.get(pool, [])
        if len(times) < TURNS_KEPT:
            return None
        first, second, third = times
        gap_before_s, gap_s = second - first, third - second
        if abs(gap_s - gap_before_s) > REGULAR_WITHIN * max(gap_s, gap_before_s):
            return None
        return third + gap_s

    def is_expected(self, pool: str, now_s: float) -> bool:
        """Whether machines should be there for a burst that is about to begin."""
        next_at_s = self.next_at_s(pool)
        if next_at_s is None:
            return False
        first_s = next_at_s - self.settings.ahead_s
        return first_s <= now_s <= next_at_s + self.settings.late_s
