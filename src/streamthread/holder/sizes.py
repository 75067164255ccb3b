"""Computes the size of each pool from its jobs and their arrivals."""

import collections
import math
import time
import typing as t

import attrs
import logbook

from ..capacity import CapacitySettings
from ..capacity import job_demand
from ..capacity import JobDemand
from ..capacity import MachineView
from ..capacity import pool_demand
from ..capacity import PoolArrivals
from ..capacity import target_size
from ..clocks import boot_s
from ..platform.manifest import Pool
from ..scheduler import Engine

__all__ = ["PoolSizes"]

log = logbook.Logger("streamthread.duties")

LISTING_S = 0.4
"""After a move, the machine's runner is listed and in use this much later."""

SIZES_LOG_INTERVAL_S = 1.0
"""Interval between log lines with the sizes; one per second is enough to follow a
burst."""


@attrs.frozen(order=True)
class _EarlyJob:
    """A job that arrived before the machines were known; the oldest sorts first."""

    at_s: float
    service: str
    work: float


_Demands = collections.defaultdict[str, list[JobDemand]]
"""What open jobs need, by pool."""


class PoolSizes:
    """Tracks each pool's arrivals and its sizes in the recent past.

    Machines that a pool needed recently are not returned to the spare pool, from which
    they would come back only later and at the price of two moves. A pool that lacks
    machines now may still take them. Where demand alternates between pools, the next
    pool thus has what it needs 2 s after its turn began, not 3 s, with 4 % fewer moves
    (pools of six machines whose turn needs ten, in virtual time).

    :param recent_max: the highest size that each pool has needed in the recent past.
    :param with_excess: the size that each pool needs for all its work, by pool. Where
        accounts have weights, targets are for the work within them that can still be in
        time: what is late already would keep machines from the turn of the next pool.
    """

    def __init__(self, engine: Engine, settings: CapacitySettings) -> None:
        self._engine = engine
        self._settings = settings
        self._arrivals: dict[str, PoolArrivals] = {}
        self._machine_cpu = 0
        self._early_jobs: list[_EarlyJob] = []
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self.recent_max: dict[str, int] = {}
        self.with_excess: dict[str, int] = {}
        # Each pool's needed cpu, forecast cpu of arrivals and needed size, for the log.
        self._demands: dict[str, tuple[int, int, int]] = {}
        self._began_at_s = boot_s()
        self._first_job_at_s: float | None = None
        self._initial_counts: collections.Counter[str] = collections.Counter()
        self._logged_at_s = 0.0

    def record_job(self, service: str, work: float, at_s: float) -> None:
        """Add a job's work to its pool's arrivals.

        The size of the machines determines how much work makes a burst. Jobs are
        buffered until that size is known: a new holder also records the jobs that were
        submitted before it acquired the cell.

        :param work: thousandths of a core times seconds.
        :param at_s: when it arrived, on the boot clock.
        """
        if not self._machine_cpu:
            self._early_jobs.append(_EarlyJob(at_s, service, work))
            return
        if self._first_job_at_s is None:
            self._first_job_at_s = at_s
        arrivals = self._arrivals.setdefault(service, PoolArrivals())
        min_rate = self._settings.burst_machines * self._machine_cpu
        if arrivals.add(work, at_s, min_rate) is not None:
            cpu = round(arrivals.rate(at_s))
            log.info("burst-begins", extra={"pool": service, "cpu": cpu})

    def _learn_machine_size(self, views: t.Iterable[MachineView]) -> None:
        """Use the smallest machine as a burst's measure, then add the early jobs."""
        self._machine_cpu = min((view.cpu for view in views), default=0)
        if not self._machine_cpu:
            return
        early, self._early_jobs = self._early_jobs, []
        for job in sorted(early):
            self.record_job(job.service, job.work, job.at_s)

    def targets(
        self, pools: t.Iterable[Pool], views: t.Collection[MachineView]
    ) -> dict[str, int]:
        """Return how many machines each pool needs now, without the spare pools."""
        now_s = boot_s()
        self._learn_machine_size(views)
        demands, deferred = self._open_demands()
        self.with_excess = {}
        targets: dict[str, int] = {}
        for name in [pool.name for pool in pools if not pool.is_spare]:
            if name in deferred:
                everything = demands[name] + deferred[name]
                wanted = self._wanted(name, everything, views, now_s)
                self.with_excess[name] = wanted
            targets[name] = self._wanted(name, demands[name], views, now_s)
            self.recent_max[name] = self._recent_max(name, targets[name], now_s)
        return targets

    def _open_demands(self) -> tuple[_Demands, _Demands]:
        """Return what the open jobs of each pool need, and what of it is deferred.

        Where accounts have weights, excess and what can't be in time any more get only
        machines that no pool needs for other work.
        """
        weighted = self._engine.shares.in_force
        now_s = time.time()
        demands: _Demands = collections.defaultdict(list)
        deferred: _Demands = collections.defaultdict(list)
        for job in self._engine.open_jobs():
            if job.over:
                continue
            demand = job_demand(job, self._engine.times, now_s)
            last = job.excess or (weighted and demand.late)
            (deferred if last else demands)[job.service].append(demand)
        return demands, deferred

    def retained_machines(self, views: t.Iterable[MachineView]) -> dict[str, int]:
        """Return how many machines each pool keeps out of the spare pool.

        Shortly after a start, and at the beginning of a burst, the jobs do not show yet
        what is needed; all machines stay then.
        """
        present = collections.Counter(view.pool for view in views)
        if not self._initial_counts:
            self._initial_counts = present
        now_s = boot_s()
        share = self._cold_share(now_s)
        retained = {
            pool: math.ceil(count * share)
            for pool, count in self._initial_counts.items()
        }
        for pool, arrivals in self._arrivals.items():
            if arrivals.begins(now_s):
                retained[pool] = present[pool]
        return retained

    def _cold_share(self, now_s: float) -> float:
        """Return the share of the initial machines to keep, which falls from 1 to 0."""
        first_s = self._first_job_at_s
        if first_s is None:
            return 1.0 if now_s - self._began_at_s < self._settings.cold_s else 0.0
        return max(0.0, 1 - (now_s - first_s) / self._settings.cold_leave_s)

    def _recent_max(self, pool: str, wanted: int, now_s: float) -> int:
        """Record a size; return the highest one needed within the shrink time."""
        history = self._history.setdefault(pool, collections.deque())
        history.append((now_s, wanted))
        while history and history[0][0] < now_s - self._settings.shrink_s:
            history.popleft()
        return max(size for _, size in history)

    def _wanted(
        self,
        pool: str,
        demands: t.Iterable[JobDemand],
        views: t.Collection[MachineView],
        now_s: float,
    ) -> int:
        """Return the size that the current jobs and arrivals need."""
        sizes = [view for view in views if view.pool == pool] or list(views)
        demand = pool_demand(demands, self._engine.accounts.cpu_limit_of)
        arriving_cpu = self._arriving_cpu(pool, now_s)
        cpu = max(demand.cpu, arriving_cpu + _long_running_cpu(demands))
        cpu = _with_lost_capacity(cpu, [view for view in views if view.pool == pool])
        wanted = target_size(
            attrs.evolve(demand, cpu=cpu),
            min(view.cpu for view in sizes),
            min(view.memory_mb for view in sizes),
            self._settings,
        )
        self._demands[pool] = (round(cpu), round(arriving_cpu), wanted)
        return wanted

    def _arriving_cpu(self, pool: str, now_s: float) -> float:
        """Return the forecast cpu of arriving work, in thousandths of a core."""
        arrivals = self._arrivals.get(pool)
        if arrivals is None:
            return 0.0
        arrivals.settle(now_s)
        return arrivals.forecast(now_s, self._settings.move_s + LISTING_S)

    def log_sizes(
        self, targets: dict[str, int], views: t.Collection[MachineView]
    ) -> None:
        """Log each pool's actual and target sizes once a second."""
        now_s = boot_s()
        if now_s - self._logged_at_s < SIZES_LOG_INTERVAL_S:
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


def _with_lost_capacity(cpu: float, views: t.Collection[MachineView]) -> float:
    """Return a pool's demand, plus capacity that its machines temporarily lack.

    At most what they lack is added, and nothing if there is no demand.
    """
    full = sum(view.cpu for view in views)
    lost = sum(view.cpu * view.lost_share for view in views)
    if not lost or lost >= full:
        return cpu + min(cpu, lost)
    return min(cpu * full / (full - lost), cpu + lost)


def _long_running_cpu(demands: t.Iterable[JobDemand]) -> float:
    """Return the thousandths of a core that long-running tasks use all the time."""
    return sum(demand.long_running_cpu for demand in demands)
