"""Forecasts whether a new job can start in time, and refuses those that cannot."""

import bisect
import collections
import hashlib
import math
import time
import typing as t

import attrs

from ..clocks import boot_s
from ..scheduler import Engine
from ..scheduler import Job
from ..scheduler import RunnerState
from ..scheduler.accounts import AccountUsage
from ..scheduler.choices import cache_s
from ..scheduler.choices import CHOICE_CACHE_S
from ..scheduler.choices import has_changed
from ..scheduler.intervals import IntervalSet
from ..scheduler.overload import Choice
from ..scheduler.overload import fair_order
from ..scheduler.overload import OpenWork
from ..scheduler.overload import Standing
from ..scheduler.timeline import Capacity
from ..scheduler.timeline import Timeline

__all__ = ["CapacityParts", "ForecastErrors", "Forecasts", "Refusal"]

CapacityParts = tuple[tuple[float, float], ...]
"""Thousandths of a core, each with the wall time from which on they are there."""

RUNNERS_CACHE_S = 0.1
"""Runners are assigned to pools this often: with 18,000 of them this takes 2 ms. What
each of them has free is always the present state."""

LATE_FACTOR = 3.0
"""A job is worth something until this multiple of its objective."""

MIN_RETRY_S = 1.0
MAX_RETRY_S = 20.0
"""Callers return no earlier than the first, and room is not forecast beyond the second.
"""

MIN_SPREAD_S = 1.5
RETRY_SPREAD = 0.5
"""Callers return over this time after there is room, or over this part of the time
until then if that is longer, so as not to return together."""

ERROR_BOUNDS_S = (-1.0, -0.3, -0.1, 0.1, 0.3, 1.0, 3.0, 10.0)
"""Upper bounds of the histogram of errors; positive where a job started later."""


@attrs.frozen
class Refusal:
    """Why there is no room for a job now, and when there will be.

    :param inputs: what the decision was made of, for the log.
    """

    reason: str
    retry_after_s: float
    inputs: dict[str, t.Any]


class ForecastErrors:
    """A histogram of how much later jobs started than was forecast."""

    def __init__(self) -> None:
        self._counts = [0] * (len(ERROR_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def observe(self, error_s: float) -> None:
        """Add one job."""
        self._counts[bisect.bisect_left(ERROR_BOUNDS_S, error_s)] += 1
        self.sum_s += error_s

    def buckets(self) -> list[tuple[str, float]]:
        """Return the cumulative counts by upper bound, as Prometheus has them."""
        bounds = [*map(str, ERROR_BOUNDS_S), "+Inf"]
        total = 0
        found: list[tuple[str, float]] = []
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            found.append((bound, float(total)))
        return found


class _Profile:
    """What is left of the most that a pool can have, after its open work."""

    def __init__(
        self,
        works: t.Sequence[OpenWork],
        capacity: Capacity,
        standing: Standing,
        choice: Choice | None,
        now_s: float,
        usable_cpu: float,
        further_jobs: int,
        cpu_limit_of: t.Callable[[str], float | None],
    ) -> None:
        # What is accepted until then is added.
        self.at_s = now_s
        self.until_s = now_s + cache_s(len(works) + further_jobs)
        self.jobs = len(works)
        self.capacity = capacity
        self._usable_cpu = usable_cpu
        self._standing = standing
        self._cpu_limit_of = cpu_limit_of
        self._open: dict[str, float] = collections.defaultdict(float)
        self._open_within: dict[str, float] = collections.defaultdict(float)
        self._all = Timeline(capacity, now_s, standing.limits)
        self._within = Timeline(capacity, now_s, standing.limits)
        for timeline in (self._all, self._within):
            for work in works:
                timeline.reserve_running(work.steps, work.account)
        for work in fair_order(works, standing, capacity.rate):
            self._count(work)
            if choice is None or work.key not in choice.left_out:
                self._all.reserve(work.steps, work.latest_end_s, work.account)
            if not work.excess:
                self._within.reserve(work.steps, _worthless_s(work), work.account)

    def holds(self, usable_cpu: float, now_s: float) -> bool:
        """Whether it still counts for a pool whose usable runners have some cpu now."""
        if not self.at_s <= now_s < self.until_s:
            return False
        young = now_s - self.at_s < CHOICE_CACHE_S
        return young or not has_changed(self._usable_cpu, usable_cpu)

    def _count(self, work: OpenWork) -> None:
        self._open[work.account] += work.work
        if not work.excess:
            self._open_within[work.account] += work.work

    def add(self, work: OpenWork) -> float | None:
        """Reserve capacity for a new job.

        :return: when it will start, or None if it surely can't end in time. Time is its
            objective for excess, and otherwise ``LATE_FACTOR`` times that.
        """
        if self.exceeds_limit(work):
            return None
        end_s = work.latest_end_s if work.excess else _worthless_s(work)
        timeline = self._all if work.excess else self._within
        found = timeline.reserve(work.steps, end_s, work.account)
        if found is None and not self._is_within_share(work, end_s):
            return None
        in_time = found
        if not work.excess:
            in_time = self._all.reserve(work.steps, work.latest_end_s, work.account)
        # What can't be in time runs behind all that is open.
        behind_s = self.at_s + self.backlog(True) / self.rate()
        self._count(work)
        return in_time.start_s if in_time is not None else behind_s

    def exceeds_limit(self, work: OpenWork) -> bool:
        """Whether the open work of an account takes too long under its limit.

        All of it counts, also what is late: it was accepted and will run. A further job
        ends too late to be worth anything, or makes another one end so late. The whole
        limit counts, as what the account has in other pools may end at any time.
        """
        limit = self._cpu_limit_of(work.account)
        if limit is None:
            return False
        own = self.backlog_of(work.account) + work.work
        return own > limit * (_worthless_s(work) - self.at_s)

    def rate(self) -> float:
        """Return the work that the pool can do in a second once all cpu is there."""
        last_s = max(from_s for from_s, _ in self.capacity.parts)
        return self.capacity.between(last_s, last_s + 1.0)

    def _is_within_share(self, work: OpenWork, end_s: float) -> bool:
        """Whether the open work of an account is less than its share until a time.

        Its work then comes before that of accounts that have more.
        """
        open_work = self._open if work.excess else self._open_within
        weights = self._standing.weights
        active = {name for name, amount in open_work.items() if amount > 0}
        total = sum(weights.get(name, 0.0) for name in active | {work.account})
        if total <= 0:
            return False
        share = weights.get(work.account, 0.0) / total
        own = open_work.get(work.account, 0.0) + work.work
        limit = self.limit_of(work.account)
        if limit is not None and own > limit * (end_s - self.at_s):
            return False
        return own <= share * self.capacity.between(self.at_s, end_s)

    def backlog(self, excess: bool) -> float:
        """Return the open work that is before excess, or before other work."""
        return sum((self._open if excess else self._open_within).values())

    def backlog_of(self, account: str) -> float:
        """Return the open work of one account."""
        return self._open.get(account, 0.0)

    def limit_of(self, account: str) -> float | None:
        """Return the cpu that an account may have in this pool; None: no limit."""
        return self._standing.limits.get(account)


class Forecasts:
    """Judges new jobs by the open work of their pools and the most they can get.

    :param capacity: returns the cpu that is on its way into a pool or that it may get,
        or None if the machines are not known; no job is refused then.
    :param errors: how much later jobs started than was forecast.
    """

    def __init__(
        self, engine: Engine, capacity: t.Callable[[str], CapacityParts | None]
    ) -> None:
        self._engine = engine
        self._capacity = capacity
        self._profiles: dict[str, _Profile] = {}
        self._runners: dict[str, list[RunnerState]] = {}
        self._runners_at_s: float | None = None
        self.errors = ForecastErrors()
        engine.choices.on_forecast_error = self.errors.observe

    def judge(self, job: Job) -> Refusal | None:
        """Return why a new job is refused, or None; its start is forecast then.

        For a pool that has no machine and gets none for now, nothing is forecast. Its
        jobs are accepted, since a pool gets machines for the work that it has.
        """
        if not self._engine.shares.in_force or not _is_forecast(job):
            return None
        further = self._capacity(job.service)
        if further is None:
            return None
        now_s = time.time()
        usable = self._usable_runners(job.service)
        free = _has_free_runner(job, usable, self._engine.accounts)
        if free and not self._waits_for_limit(job, usable, further, now_s):
            job.start_forecast_s = now_s
            return None
        profile = self._profile(job.service, usable, further, now_s)
        if profile is None:
            return None
        work = self._work_of(job)
        start_s = profile.add(work)
        if start_s is not None:
            job.start_forecast_s = max(now_s, start_s)
            return None
        return _refuse(job, work, profile, now_s)

    def _waits_for_limit(
        self,
        job: Job,
        usable: t.Sequence[RunnerState],
        further: CapacityParts,
        now_s: float,
    ) -> bool:
        """Whether a job is behind too much other work for its account's limit.

        Between the end of a run and the next pass, the limit leaves room that belongs
        to the account's waiting work. A forecast is made only if the last one of the
        pool says that there is such work.
        """
        known = self._profiles.get(job.service)
        if known is None or self._engine.accounts.cpu_limit_of(job.account) is None:
            return False
        work = self._work_of(job)
        if not known.exceeds_limit(work):
            return False
        profile = self._profile(job.service, usable, further, now_s)
        return profile is not None and profile.exceeds_limit(work)

    def _usable_runners(self, service: str) -> list[RunnerState]:
        """Return a pool's usable runners, those of the last tenth of a second."""
        now_s = boot_s()
        at_s = self._runners_at_s
        if at_s is None or now_s - at_s >= RUNNERS_CACHE_S:
            self._runners = collections.defaultdict(list)
            for runner in self._engine.runners.values():
                self._runners[runner.service].append(runner)
            self._runners_at_s = now_s
        return [r for r in self._runners.get(service, ()) if r.usable()]

    def _profile(
        self,
        service: str,
        usable: t.Sequence[RunnerState],
        further: CapacityParts,
        now_s: float,
    ) -> _Profile | None:
        """Return what is left of a pool's capacity, or None if it has none at all."""
        cpu = float(sum(runner.cpu for runner in usable))
        known = self._profiles.get(service)
        if known is not None and known.holds(cpu, now_s):
            return known
        engine = self._engine
        capacity = engine.choices.capacity(service, usable, now_s, further)
        if capacity.rate <= 0:
            return None
        works = engine.choices.open_works(service, now_s)
        profile = _Profile(
            works,
            capacity,
            engine.choices.standing(works, now_s),
            engine.choices.current(service),
            now_s,
            cpu,
            # The profiles of all pools together take no more than that of one.
            self._jobs_elsewhere(service, now_s),
            self._engine.accounts.cpu_limit_of,
        )
        self._profiles[service] = profile
        return profile

    def _jobs_elsewhere(self, service: str, now_s: float) -> int:
        """Return the number of jobs in the present profiles of other pools."""
        return sum(
            profile.jobs
            for name, profile in self._profiles.items()
            if name != service and profile.at_s <= now_s < profile.until_s
        )

    def _work_of(self, job: Job) -> OpenWork:
        """Return the work of a job that is not accepted yet."""
        shares = self._engine.shares
        excess = shares.would_exceed(job.account, job.accepted_at_s)
        trial = attrs.evolve(
            job, occurrences={}, done_times=IntervalSet(), excess=excess
        )
        return self._engine.choices.work_of(trial.begin(0))


def _has_free_runner(
    job: Job, runners: t.Iterable[RunnerState], accounts: AccountUsage
) -> bool:
    """Whether a task of a step that may begin at once fits on a runner.

    No runner is free for an account that has reached its limit.
    """
    first = [
        step
        for step in job.request.steps
        if not step.after and accounts.count_fitting(job, step, 1)
    ]
    return any(
        runner.fits(step.cpu, step.memory_mb, step.gpu)
        for runner in runners
        for step in first
    )


def _is_forecast(job: Job) -> bool:
    """Whether a job's start is forecast: it ends, and it begins at once."""
    if job.request.times > 0 or not job.request.steps:
        return False
    return not any(step.lasting or step.fills for step in job.request.steps)


def _worthless_s(work: OpenWork) -> float:
    """Return the wall time from which on work is worth nothing."""
    return work.due_s + LATE_FACTOR * (work.latest_end_s - work.due_s)


def _refuse(job: Job, work: OpenWork, profile: _Profile, now_s: float) -> Refusal:
    """Return the refusal of a job, with the time at which there will be room."""
    end_s = work.latest_end_s if work.excess else _worthless_s(work)
    backlog = profile.backlog(work.excess)
    room_s = (backlog + work.work) / profile.rate() - (end_s - now_s)
    limited = profile.exceeds_limit(work)
    limit = profile.limit_of(job.account)
    if limited:
        end_s = _worthless_s(work)
    if limit:
        own_s = (profile.backlog_of(job.account) + work.work) / limit
        room_s = max(room_s, own_s - (end_s - now_s))
    room_s = min(MAX_RETRY_S, max(0.0, room_s))
    digest = hashlib.blake2b(job.job_id.encode(), digest_size=2).digest()
    spread_s = max(MIN_SPREAD_S, RETRY_SPREAD * room_s)
    retry_s = room_s + spread_s * int.from_bytes(digest) / 65_536
    what = "its account's excess" if work.excess else "the job"
    reason = f"the pool is overloaded: {what} can't end in time"
    if limited:
        reason = "the account's accepted jobs use its limit for too long"
    return Refusal(
        reason,
        float(math.ceil(max(MIN_RETRY_S, retry_s))),
        {
            "excess": work.excess,
            "limited": limited,
            "work": round(work.work),
            "backlog": round(backlog),
            "cpu": round(profile.capacity.rate),
            "left_s": round(end_s - now_s, 3),
            "room_s": round(room_s, 3),
        },
    )
