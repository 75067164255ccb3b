"""How many machines each pool should have, from its jobs and their arrivals."""

import collections
import math
import time
import typing as t

import attrs
import logbook

from ..capacity import CapacitySettings
from ..capacity import MachineView
from ..capacity import pool_demand
from ..capacity import PoolArrivals
from ..capacity import target_size
from ..clocks import boot_s
from ..platform.manifest import Pool
from ..scheduler import Engine
from ..scheduler import Job

__all__ = ["PoolSizes"]

log = logbook.Logger("streamthread.duties")

AHEAD_S = 1.9
"""Arrivals are forecast for so long: a move takes 1.5 s, and its runner is listed and
held some tenths later."""

SIZES_LOG_S = 1.0
"""The sizes are logged this often: a line a second is enough to follow a burst."""


@attrs.frozen(order=True)
class _EarlyJob:
    """A job that came before the machines were known; the oldest sorts first."""

    at_s: float
    service: str
    work: float


class PoolSizes:
    """Remembers each pool's arrivals and its sizes of the last moments.

    What a pool has needed lately is kept from the spare pool, from which it comes back
    in 1.5 s and for the price of two moves. It is not kept from a pool that lacks
    machines now: where demand goes from one pool to the next by turns, the next one
    has what it needs 2 s after its turn began, not 3 s, with 4 % fewer moves (pools of
    six machines whose turn needs ten, in virtual time).

    :param lately: the most machines that each pool has needed in the last moments.
    """

    def __init__(self, engine: Engine, settings: CapacitySettings) -> None:
        self._engine = engine
        self._settings = settings
        self._arrivals: dict[str, PoolArrivals] = {}
        self._machine_cpu = 0
        self._early: list[_EarlyJob] = []
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self.lately: dict[str, int] = {}
        self._demands: dict[str, tuple[int, int, int]] = {}
        self._began_at_s = boot_s()
        self._first_job_at_s: float | None = None
        self._there_first: collections.Counter[str] = collections.Counter()
        self._logged_at_s = 0.0

    def note_job(self, service: str, work: float, at_s: float) -> None:
        """Count a job's work among a pool's arrivals.

        How much work makes a burst is told by the size of machines. Until these are
        known, jobs are kept: a new holder takes those that were handed in before.

        :param work: thousandths of a core times seconds.
        :param at_s: when it arrived, on the boot clock.
        """
        if not self._machine_cpu:
            self._early.append(_EarlyJob(at_s, service, work))
            return
        if self._first_job_at_s is None:
            self._first_job_at_s = at_s
        arrivals = self._arrivals.setdefault(service, PoolArrivals())
        min_rate = self._settings.burst_machines * self._machine_cpu
        if arrivals.add(work, at_s, min_rate) is not None:
            cpu = round(arrivals.rate(at_s))
            log.info("burst-begins", extra={"pool": service, "cpu": cpu})

    def _learn_machine_size(self, views: t.Iterable[MachineView]) -> None:
        """Take the smallest machine as a burst's measure, then the early jobs."""
        self._machine_cpu = min((view.cpu for view in views), default=0)
        if not self._machine_cpu:
            return
        early, self._early = self._early, []
        for job in sorted(early):
            self.note_job(job.service, job.work, job.at_s)

    def targets(
        self, pools: t.Iterable[Pool], views: t.Collection[MachineView]
    ) -> dict[str, int]:
        """Return how many machines each pool needs now, spare pools left out."""
        now_s = boot_s()
        self._learn_machine_size(views)
        jobs: dict[str, list[Job]] = collections.defaultdict(list)
        for job in self._engine.open_jobs():
            if not job.over:
                jobs[job.service].append(job)
        targets: dict[str, int] = {}
        for name in [pool.name for pool in pools if not pool.is_spare]:
            targets[name] = self._wanted(name, jobs[name], views, now_s)
            self.lately[name] = self._highest_lately(name, targets[name], now_s)
        return targets

    def keeps(self, views: t.Iterable[MachineView]) -> dict[str, int]:
        """Return how many machines each pool keeps out of the spare pool.

        Shortly after a start the jobs have not told yet what is needed, nor at the
        beginning of a burst: then all stay.
        """
        there = collections.Counter(view.pool for view in views)
        if not self._there_first:
            self._there_first = there
        now_s = boot_s()
        share = self._cold_share(now_s)
        kept = {
            pool: math.ceil(count * share) for pool, count in self._there_first.items()
        }
        for pool, arrivals in self._arrivals.items():
            if arrivals.begins(now_s):
                kept[pool] = there[pool]
        return kept

    def _cold_share(self, now_s: float) -> float:
        """Return which share of the first machines is kept: all, fewer, none."""
        first_s = self._first_job_at_s
        if first_s is None:
            return 1.0 if now_s - self._began_at_s < self._settings.cold_s else 0.0
        return max(0.0, 1 - (now_s - first_s) / self._settings.cold_leave_s)

    def _highest_lately(self, pool: str, wanted: int, now_s: float) -> int:
        """Return the highest size that was needed within the shrink time."""
        history = self._history.setdefault(pool, collections.deque())
        history.append((now_s, wanted))
        while history and history[0][0] < now_s - self._settings.shrink_s:
            history.popleft()
        return max(size for _, size in history)

    def _wanted(
        self,
        pool: str,
        jobs: t.Iterable[Job],
        views: t.Collection[MachineView],
        now_s: float,
    ) -> int:
        """Return the size that the present jobs and arrivals need."""
        sizes = [view for view in views if view.pool == pool] or list(views)
        demand = pool_demand(jobs, self._engine.times, time.time())
        arriving_cpu = self._arriving_cpu(pool, now_s)
        cpu = max(demand.cpu, arriving_cpu + _lasting_cpu(jobs))
        cpu = _with_lost_room(cpu, [view for view in views if view.pool == pool])
        wanted = target_size(
            attrs.evolve(demand, cpu=cpu),
            min(view.cpu for view in sizes),
            min(view.memory_mb for view in sizes),
            self._settings,
        )
        self._demands[pool] = (round(cpu), round(arriving_cpu), wanted)
        return wanted

    def _arriving_cpu(self, pool: str, now_s: float) -> float:
        """Return the thousandths of a core that arriving work will soon take."""
        arrivals = self._arrivals.get(pool)
        if arrivals is None:
            return 0.0
        arrivals.settle(now_s)
        return arrivals.forecast(now_s, AHEAD_S)

    def tell(self, targets: dict[str, int], views: t.Collection[MachineView]) -> None:
        """Log once a second how many machines each pool has and should have."""
        now_s = boot_s()
        if now_s - self._logged_at_s < SIZES_LOG_S:
            return
        self._logged_at_s = now_s
        sizes = {
            pool: [
                target,
                sum(view.pool == pool and view.usable for view in views),
                sum(view.pool == pool and view.arriving for view in views),
                *self._demands.get(pool, ()),
            ]
            for pool, target in targets.items()
        }
        log.info("pool-sizes", extra={"sizes": sizes})


def _with_lost_room(cpu: float, views: t.Collection[MachineView]) -> float:
    """Return a pool's demand with what its machines lack for a while added to it.

    Not more than they lack, and nothing where there is no demand.
    """
    full = sum(view.cpu for view in views)
    lost = sum(view.cpu * view.lost_share for view in views)
    if not lost or lost >= full:
        return cpu + min(cpu, lost)
    return min(cpu * full / (full - lost), cpu + lost)


def _lasting_cpu(jobs: t.Iterable[Job]) -> float:
    """Return the thousandths of a core that lasting tasks take all the time."""
    return float(
        sum(
            step.cpu * step.count
            for job in jobs
            for step in job.request.steps
            if step.lasting and not step.fills
        )
    )
