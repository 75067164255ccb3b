"""Detects bursts of arriving jobs in one pool, and estimates the work they bring.

Rates count jobs, and a count is multiplied by the mean work of a job. The work of
single jobs differs by a factor of ten and more, so the work of a few jobs says little
about the next ones.
"""

import collections
import math

import attrs

__all__ = ["ArrivalRate", "Burst", "MeanWork", "PoolArrivals"]

FAST_SPAN_S = 0.6
"""Averaging time of the fast mean, which shows the start of a burst within some tenths
of a second."""

SLOW_SPAN_S = 2.5
"""Averaging time of the slow mean. It is about the length of a job, so that one large
job does not look like a burst."""

MARGIN_DEVIATIONS = 1.0
"""The margin of error of a rate, in standard deviations: a single job says nothing
about the rate, ten jobs at once do."""

BURST_MARGIN_DEVIATIONS = 0.5
"""The slow mean of a burst is reduced by this number of standard deviations: bursts are
detected when jobs happen to arrive close together, which overstates their rate, and two
or three large jobs do not make a rate yet."""

BURST_END_SHARE = 0.15
"""A burst ends when the arrival rate falls below this share of the burst's rate."""

MIN_BURST_S = 1.0
"""The rate of a burst is its job count divided by its duration, but at least by this
time."""

RISE_DEVIATIONS = 1.5
"""A burst is rising if its second half has more jobs than its first by more than this
number of standard deviations: a hundred jobs can show this, ten cannot."""

MAX_RISE_FACTOR = 2.0
"""Upper limit of a forecast, as a multiple of the present rate."""

JOBS_IN_MEAN = 30
"""The mean work of a pool's jobs covers about this number of the newest jobs. It is
steady compared to the rate, but the kind of jobs in a pool may change."""


@attrs.define
class ArrivalRate:
    """An exponentially weighted mean of the jobs that arrive per second.

    :param span_s: the averaging time; newer arrivals have a higher weight.
    """

    span_s: float = SLOW_SPAN_S
    _mean: float = 0.0
    _variance: float = 0.0
    _at_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Record the arrival of a job."""
        decay = self._decay(now_s)
        self._mean = self._mean * decay + 1 / self.span_s
        self._variance = self._variance * decay**2 + 1 / self.span_s**2
        self._at_s = max(self._at_s, now_s)

    def value(self, now_s: float) -> float:
        """Return the rate in jobs per second."""
        return self._mean * self._decay(now_s)

    def margin(self, now_s: float) -> float:
        """Return the margin of error of the rate, as jobs arrive at random times."""
        deviation = math.sqrt(self._variance) * self._decay(now_s)
        return MARGIN_DEVIATIONS * deviation

    def lower_bound(self, now_s: float) -> float:
        """Return the rate less its margin of error, which is 0 after a single job."""
        return max(0.0, self.value(now_s) - self.margin(now_s))

    def converged_share(self, for_s: float) -> float:
        """Return the share of a steady rate that the mean has reached after a time."""
        return 1.0 - math.exp(-for_s / self.span_s)

    def _decay(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._at_s) / self.span_s)


@attrs.define
class MeanWork:
    """The mean work of a pool's jobs, in thousandths of a core times seconds."""

    value: float = 0.0
    _jobs: int = 0

    def add(self, cpu_s: float) -> None:
        """Record the work of a job."""
        self._jobs = min(self._jobs + 1, JOBS_IN_MEAN)
        self.value += (cpu_s - self.value) / self._jobs


@attrs.define
class Burst:
    """A burst of arrivals.

    :param began_at_s: arrival time of the first job, on the boot clock.
    :param last_at_s: arrival time of the last job, on the boot clock.
    :param jobs: number of jobs.
    """

    began_at_s: float
    last_at_s: float
    jobs: int

    @property
    def rate(self) -> float:
        """Average number of jobs per second."""
        return self.jobs / max(MIN_BURST_S, self.last_at_s - self.began_at_s)


@attrs.define
class PoolArrivals:
    """Tracks the arrivals in one pool, and the bursts among them.

    A burst starts at its full rate, without a rise. When it starts, the slow mean is
    built anew from the jobs of the burst alone. As it approaches a rate only gradually,
    it is divided by the share of a steady rate that it can have reached since then.

    :param present: the current burst, or None.
    """

    present: Burst | None = None
    _mean_work: MeanWork = attrs.field(factory=MeanWork)
    _fast: ArrivalRate = attrs.field(factory=lambda: ArrivalRate(FAST_SPAN_S))
    _slow: ArrivalRate = attrs.field(factory=lambda: ArrivalRate(SLOW_SPAN_S))
    _recent_arrivals_s: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def add(self, cpu_s: float, now_s: float, min_rate: float) -> Burst | None:
        """Record a job's work; return the burst that starts with it, or None.

        :param cpu_s: the work in thousandths of a core times seconds.
        :param min_rate: lowest rate of a burst, in thousandths of a core.
        """
        self.settle(now_s)
        self._mean_work.add(cpu_s)
        self._remember(now_s)
        self._fast.add(now_s)
        self._slow.add(now_s)
        if self.present is not None:
            self.present.jobs += 1
            self.present.last_at_s = now_s
            return None
        if self._fast.lower_bound(now_s) * self._mean_work.value <= min_rate:
            return None
        self.present = self._start_burst()
        return self.present

    def _remember(self, at_s: float) -> None:
        """Store an arrival, and drop those older than the span of the slow mean."""
        self._recent_arrivals_s.append(at_s)
        while self._recent_arrivals_s[0] < at_s - SLOW_SPAN_S:
            self._recent_arrivals_s.popleft()

    def _start_burst(self) -> Burst:
        """Return a burst of the newest arrivals; rebuild the slow mean from them."""
        newest_s = self._recent_arrivals_s[-1]
        latest = [s for s in self._recent_arrivals_s if s >= newest_s - FAST_SPAN_S]
        self._slow = ArrivalRate(SLOW_SPAN_S)
        for at_s in latest:
            self._slow.add(at_s)
        return Burst(latest[0], latest[-1], len(latest))

    def begins(self, now_s: float) -> bool:
        """Whether a burst has started so recently that its rate may be far off."""
        burst = self.present
        return burst is not None and now_s - burst.began_at_s < SLOW_SPAN_S

    def settle(self, now_s: float) -> None:
        """End the current burst if its arrivals have ceased."""
        burst = self.present
        if burst is None:
            return
        if self._fast.value(now_s) < BURST_END_SHARE * burst.rate:
            self.present = None

    def rate(self, now_s: float) -> float:
        """Return the CPU that arriving work takes, in thousandths of a core.

        This is the slow mean, limited to the range that the fast mean allows.
        """
        return self._jobs_per_s(now_s) * self._mean_work.value

    def forecast(self, now_s: float, ahead_s: float) -> float:
        """Return the rate after a time, if the present rise continues until then.

        Only the part of the rise that is unlikely to be chance counts.

        :param ahead_s: the time that it takes to add capacity.
        """
        rate = self._jobs_per_s(now_s)
        rise = self._rise_per_s(now_s) * (ahead_s + FAST_SPAN_S)
        return min(rate + rise, rate * MAX_RISE_FACTOR) * self._mean_work.value

    def _rise_per_s(self, now_s: float) -> float:
        """Return the lowest likely rise of the rate, in jobs per second per second.

        It compares the two halves of the current burst, or of its last seconds if the
        burst is longer than the span of the slow mean.
        """
        if self.present is None:
            return 0.0
        span_s = min(now_s - self.present.began_at_s, SLOW_SPAN_S)
        if span_s < FAST_SPAN_S:
            return 0.0
        half_s = span_s / 2
        newer = sum(at_s > now_s - half_s for at_s in self._recent_arrivals_s)
        both = sum(at_s > now_s - span_s for at_s in self._recent_arrivals_s)
        older = both - newer
        excess = newer - older - RISE_DEVIATIONS * math.sqrt(both)
        return max(0.0, excess) / half_s**2

    def _jobs_per_s(self, now_s: float) -> float:
        fast = self._fast.value(now_s)
        margin = self._fast.margin(now_s)
        return min(max(self._slow_rate(now_s), fast - margin), fast + margin)

    def _slow_rate(self, now_s: float) -> float:
        mean = self._slow.value(now_s)
        if self.present is None:
            return mean
        burst_age_s = max(FAST_SPAN_S, now_s - self.present.began_at_s)
        reduced = max(0.0, mean - BURST_MARGIN_DEVIATIONS * self._slow.margin(now_s))
        return reduced / self._slow.converged_share(burst_age_s)
