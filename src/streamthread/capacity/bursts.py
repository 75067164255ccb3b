"""Bursts of one pool: when they begin and end, and how much work they bring.

Jobs are counted, and a count is worth as many times their mean work: the work of single
jobs differs by ten times and more, and a few of them say little of the next.
"""

import collections
import math

import attrs

__all__ = ["ArrivalRate", "Burst", "MeanWork", "PoolArrivals"]

FAST_SPAN_S = 0.6
"""Of the fast mean: shows the beginning of a burst within some tenths of a second."""

SLOW_SPAN_S = 2.5
"""Of the slow mean: about the length of a job, so that one large job does not look
like a burst."""

SURE_DEVIATIONS = 1.0
"""The fast mean counts less so many standard deviations: a single job says nothing
of the rate, ten jobs at once do."""

CAREFUL_DEVIATIONS = 0.5
"""A burst's rate is read so many standard deviations lower: bursts are noticed when
jobs happen to come close together, and two or three large ones are no rate yet."""

BURST_SHARE_ENDED = 0.15
"""A burst is over once arrivals have fallen to this share of its own rate."""

LEAST_BURST_S = 1.0
"""A burst's rate is its jobs over its length, or over this time if that is more."""

RISE_DEVIATIONS = 1.5
"""A burst rises where its second half has so many standard deviations more jobs than
its first: a hundred jobs show it, ten do not."""

MOST_RISE = 2.0
"""A forecast is this many times the present rate at most."""

JOBS_IN_MEAN = 30
"""The mean work of a pool's jobs is that of about so many of the newest: it is steady
beside the rate, and what is asked of a pool may change."""


@attrs.define
class ArrivalRate:
    """How many jobs arrive a second.

    :param span_s: arrivals are averaged over this time, the newest count most.
    """

    span_s: float = SLOW_SPAN_S
    _mean: float = 0.0
    _variance: float = 0.0
    _at_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Take a job's arrival."""
        kept = self._kept(now_s)
        self._mean = self._mean * kept + 1 / self.span_s
        self._variance = self._variance * kept**2 + 1 / self.span_s**2
        self._at_s = max(self._at_s, now_s)

    def value(self, now_s: float) -> float:
        """Return the jobs a second."""
        return self._mean * self._kept(now_s)

    def doubt(self, now_s: float) -> float:
        """Return how far the rate may be off, since jobs come by chance."""
        deviation = math.sqrt(self._variance) * self._kept(now_s)
        return SURE_DEVIATIONS * deviation

    def sure_value(self, now_s: float) -> float:
        """Return the part of the rate that is not owed to a job or two."""
        return max(0.0, self.value(now_s) - self.doubt(now_s))

    def filled(self, for_s: float) -> float:
        """Return the share of a steady rate that the mean shows after a time."""
        return 1.0 - math.exp(-for_s / self.span_s)

    def _kept(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._at_s) / self.span_s)


@attrs.define
class MeanWork:
    """The mean work of a pool's jobs: thousandths of a core times seconds."""

    value: float = 0.0
    _jobs: int = 0

    def add(self, cpu_s: float) -> None:
        """Take a job's work."""
        self._jobs = min(self._jobs + 1, JOBS_IN_MEAN)
        self.value += (cpu_s - self.value) / self._jobs


@attrs.define
class Burst:
    """Arrivals that came close together.

    :param began_at_s: when its first job came, on the boot clock.
    :param last_at_s: the same of its last job.
    :param jobs: how many came.
    """

    began_at_s: float
    last_at_s: float
    jobs: int

    @property
    def rate(self) -> float:
        """The jobs a second that it has brought on average."""
        return self.jobs / max(LEAST_BURST_S, self.last_at_s - self.began_at_s)


@attrs.define
class PoolArrivals:
    """One pool's arrivals, and the bursts among them.

    A burst begins at once, at its full rate: from its beginning on the slow mean is
    made of its jobs alone, and read as far as it is filled by then.

    :param present: the burst that is under way, or None.
    """

    present: Burst | None = None
    _work: MeanWork = attrs.field(factory=MeanWork)
    _fast: ArrivalRate = attrs.field(factory=lambda: ArrivalRate(FAST_SPAN_S))
    _slow: ArrivalRate = attrs.field(factory=lambda: ArrivalRate(SLOW_SPAN_S))
    _latest_at_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def add(self, cpu_s: float, now_s: float, min_rate: float) -> Burst | None:
        """Take a job's work; return the burst that begins with it, if one does.

        :param min_rate: thousandths of a core; fewer arrivals are no burst.
        """
        self.settle(now_s)
        self._work.add(cpu_s)
        self._remember(now_s)
        self._fast.add(now_s)
        self._slow.add(now_s)
        if self.present is not None:
            self.present.jobs += 1
            self.present.last_at_s = now_s
            return None
        if self._fast.sure_value(now_s) * self._work.value <= min_rate:
            return None
        self.present = self._begin()
        return self.present

    def _remember(self, at_s: float) -> None:
        """Keep the arrivals of the last seconds."""
        self._latest_at_s.append(at_s)
        while self._latest_at_s[0] < at_s - SLOW_SPAN_S:
            self._latest_at_s.popleft()

    def _begin(self) -> Burst:
        """Return a burst of the newest arrivals, and fill the slow mean from them."""
        newest_s = self._latest_at_s[-1]
        latest = [s for s in self._latest_at_s if s >= newest_s - FAST_SPAN_S]
        self._slow = ArrivalRate(SLOW_SPAN_S)
        for at_s in latest:
            self._slow.add(at_s)
        return Burst(latest[0], latest[-1], len(latest))

    def begins(self, now_s: float) -> bool:
        """Whether a burst is so young that its rate may still be far off."""
        burst = self.present
        return burst is not None and now_s - burst.began_at_s < SLOW_SPAN_S

    def settle(self, now_s: float) -> None:
        """Close the present burst once its arrivals have ceased."""
        burst = self.present
        if burst is None:
            return
        if self._fast.value(now_s) < BURST_SHARE_ENDED * burst.rate:
            self.present = None

    def rate(self, now_s: float) -> float:
        """Return the room that arriving work takes: thousandths of a core.

        The slow mean, as far as the newest arrivals do not speak against it.
        """
        return self._jobs_per_s(now_s) * self._work.value

    def forecast(self, now_s: float, ahead_s: float) -> float:
        """Return the rate in a while, if it goes on to rise as it surely does now.

        :param ahead_s: the time that it takes to have more room.
        """
        rate = self._jobs_per_s(now_s)
        rise = self._rise_per_s(now_s) * (ahead_s + FAST_SPAN_S)
        return min(rate + rise, rate * MOST_RISE) * self._work.value

    def _rise_per_s(self, now_s: float) -> float:
        """Return by how much the rate surely rises: jobs a second, each second.

        Told by the two halves of the present burst, or of its last seconds.
        """
        if self.present is None:
            return 0.0
        span_s = min(now_s - self.present.began_at_s, SLOW_SPAN_S)
        if span_s < FAST_SPAN_S:
            return 0.0
        half_s = span_s / 2
        newer = sum(at_s > now_s - half_s for at_s in self._latest_at_s)
        both = sum(at_s > now_s - span_s for at_s in self._latest_at_s)
        older = both - newer
        sure = newer - older - RISE_DEVIATIONS * math.sqrt(both)
        return max(0.0, sure) / half_s**2

    def _jobs_per_s(self, now_s: float) -> float:
        fast = self._fast.value(now_s)
        doubt = self._fast.doubt(now_s)
        return min(max(self._slow_rate(now_s), fast - doubt), fast + doubt)

    def _slow_rate(self, now_s: float) -> float:
        mean = self._slow.value(now_s)
        if self.present is None:
            return mean
        begun_for_s = max(FAST_SPAN_S, now_s - self.present.began_at_s)
        careful = max(0.0, mean - CAREFUL_DEVIATIONS * self._slow.doubt(now_s))
        return careful / self._slow.filled(begun_for_s)
