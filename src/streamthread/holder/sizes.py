"""How many machines each pool should have, from its jobs and their arrivals."""

import collections
import time
import typing as t

import attrs
import logbook

from ..capacity import ArrivalRate
from ..capacity import CapacitySettings
from ..capacity import MachineView
from ..capacity import pool_demand
from ..capacity import target_size
from ..platform.documents import Pool
from ..scheduler import Engine
from ..scheduler import Job

__all__ = ["PoolSizes"]

log = logbook.Logger("streamthread.duties")

SIZES_LOG_S = 1.0
"""The sizes are logged this often: a line a second is enough to follow a burst."""


class PoolSizes:
    """Remembers each pool's arrivals and its sizes of the last moments."""

    def __init__(self, engine: Engine, settings: CapacitySettings) -> None:
        self._engine = engine
        self._settings = settings
        self._arrivals: dict[str, ArrivalRate] = {}
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self._demands: dict[str, tuple[int, int, int]] = {}
        self._logged_at_s = 0.0

    def note_job(self, service: str, work: float) -> None:
        """Count a job's work among a pool's arrivals.

        :param work: thousandths of a core times seconds.
        """
        rate = self._arrivals.setdefault(service, ArrivalRate())
        rate.add(work, time.monotonic())

    def targets(
        self, pools: t.Iterable[Pool], views: t.Collection[MachineView]
    ) -> dict[str, int]:
        """Return how many machines each pool should have, spare pools left out."""
        now_s = time.monotonic()
        jobs: dict[str, list[Job]] = collections.defaultdict(list)
        for job in self._engine.open_jobs():
            if not job.over:
                jobs[job.service].append(job)
        return {
            pool.name: self._target(pool.name, jobs[pool.name], views, now_s)
            for pool in pools
            if not pool.is_spare
        }

    def _target(
        self,
        pool: str,
        jobs: t.Iterable[Job],
        views: t.Collection[MachineView],
        now_s: float,
    ) -> int:
        """Return the highest size that was needed within the shrink time."""
        wanted = self._wanted(pool, jobs, views, now_s)
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
        rate = self._arrivals.get(pool)
        arriving_cpu = rate.value(now_s) if rate is not None else 0.0
        cpu = max(demand.cpu, arriving_cpu + _lasting_cpu(jobs))
        wanted = target_size(
            attrs.evolve(demand, cpu=cpu),
            min(view.cpu for view in sizes),
            min(view.memory_mb for view in sizes),
            self._settings,
        )
        self._demands[pool] = (round(cpu), round(arriving_cpu), wanted)
        return wanted

    def tell(self, targets: dict[str, int], views: t.Collection[MachineView]) -> None:
        """Log once a second how many machines each pool has and should have."""
        now_s = time.monotonic()
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
