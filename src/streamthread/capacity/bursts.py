"""Bursts of one pool: when they begin and end, and how much work they bring."""

import collections
import math

import attrs

__all__ = ["ArrivalRate", "Burst", "PoolArrivals"]

FAST_SPAN_S = 0.6
"""Of the fast mean: shows the beginning of a burst within some tenths of a second."""

SLOW_SPAN_S = 2.5
"""Of the slow mean: about the length of a job, so that one large job does not look
like a burst."""

SURE_DEVIATIONS = 1.0
"""The fast mean counts less so many standard deviations: a single job says nothing
of the rate, ten jobs at once do."""

BURST_SHARE_ENDED = 0.15
"""A burst is over once arrivals have fallen to this share of its own rate."""

LEAST_BURST_S = 1.0
"""A burst's rate is its work over its length, or over this time if that is more."""


@attrs.define
class ArrivalRate:
    """How much work arrives a second, as the room that it takes on average.

    :param span_s: arrivals are averaged over this time, the newest count most.
    """

    span_s: float = SLOW_SPAN_S
    _mean: float = 0.0
    _variance: float = 0.0
    _at_s: float = 0.0

    def add(self, cpu_s: float, now_s: float) -> None:
        """Take a job's work: thousandths of a core times seconds."""
        self._decay(now_s)
        share = cpu_s / self.span_s
        self._mean += share
        self._variance += share**2

    def value(self, now_s: float) -> float:
        """Return the thousandths of a core that arriving work takes."""
        return self._mean * self._kept(now_s)

    def doubt(self, now_s: float) -> float:
        """Return how far the rate may be off, since jobs come by chance."""
        deviation = math.sqrt(self._variance) * self._kept(now_s)
        return SURE_DEVIATIONS * deviation

    def sure_value(self, now_s: float) -> float:
        """Return the part of the rate that is not owed to a few large jobs."""
        return max(0.0, self.value(now_s) - self.doubt(now_s))

    def filled(self, for_s: float) -> float:
        """Return the share of a steady rate that the mean shows after a time."""
        return 1.0 - math.exp(-for_s / self.span_s)

    def _decay(self, now_s: float) -> None:
        kept = self._kept(now_s)
        self._mean *= kept
        self._variance *= kept**2
        self._at_s = max(self._at_s, now_s)

    def _kept(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._at_s) / self.span_s)


@attrs.frozen
class Arrival:
    """One job's work, in thousandths of a core times seconds, and when it came."""

    at_s: float
    cpu_s: float


@attrs.define
class Burst:
    """Arrivals that came close together.

    :param began_at_s: when its first job came, on the monotonic clock.
    :param last_at_s: the same of its last job.
    :param work: of all its jobs: thousandths of a core times seconds.
    """

    began_at_s: float
    last_at_s: float
    work: float = 0.0

    @property
    def rate(self) -> float:
        """The thousandths of a core that its work took on average."""
        return self.work / max(LEAST_BURST_S, self.last_at_s - self.began_at_s)


@attrs.define
class PoolArrivals:
    """One pool's arrivals, and the bursts among them.

    A burst begins at once, at its full rate: from its beginning on the slow mean is
    made of its jobs alone, and read as far as it is filled by then.

    :param present: the burst that is under way, or None.
    """

    present: Burst | None = None
    _fast: ArrivalRate = attrs.field(factory=lambda: ArrivalRate(FAST_SPAN_S))
    _slow: ArrivalRate = attrs.field(factory=lambda: ArrivalRate(SLOW_SPAN_S))
    _latest: collections.deque[Arrival] = attrs.field(factory=collections.deque)

    def add(self, cpu_s: float, now_s: float, least_rate: float) -> Burst | None:
        """Take a job's work; return the burst that begins with it, if one does.

        :param least_rate: thousandths of a core; fewer arrivals are no burst.
        """
        self.settle(now_s)
        self._remember(Arrival(now_s, cpu_s))
        self._fast.add(cpu_s, now_s)
        self._slow.add(cpu_s, now_s)
        if self.present is not None:
            self.present.work += cpu_s
            self.present.last_at_s = now_s
            return None
        if self._fast.sure_value(now_s) <= least_rate:
            return None
        self.present = self._begin()
        return self.present

    def _remember(self, arrival: Arrival) -> None:
        """Keep the arrivals that the fast mean is made of."""
        self._latest.append(arrival)
        while self._latest[0].at_s < arrival.at_s - FAST_SPAN_S:
            self._latest.popleft()

    def _begin(self) -> Burst:
        """Return a burst of the latest arrivals, and fill the slow mean from them."""
        first, last = self._latest[0], self._latest[-1]
        self._slow = ArrivalRate(SLOW_SPAN_S)
        for arrival in self._latest:
            self._slow.add(arrival.cpu_s, arrival.at_s)
        work = sum(arrival.cpu_s for arrival in self._latest)
        return Burst(first.at_s, last.at_s, work)

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
        fast = self._fast.value(now_s)
        doubt = self._fast.doubt(now_s)
        return min(max(self._slow_rate(now_s), fast - doubt), fast + doubt)

    def _slow_rate(self, now_s: float) -> float:
        mean = self._slow.value(now_s)
        if self.present is None:
            return mean
        begun_for_s = max(FAST_SPAN_S, now_s - self.present.began_at_s)
        return mean / self._slow.filled(begun_for_s)
