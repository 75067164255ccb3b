"""Reads together what a decision about one pool depends on."""

import typing as t

from ..configuration import ActiveConfiguration
from ..configuration import ItemKind
from ..configuration import PoolSpec
from ..configuration import WaveSpec
from ..maintenance import InstanceFacts
from ..maintenance import is_reboot_due
from ..maintenance import PoolSnapshot
from ..maintenance import run_key
from ..maintenance import WaveFacts
from ..providers import InstanceStatus
from .assignment import best_pool
from .assignment import PoolNeed
from .assignment import should_leave_for
from .catalog import Catalog
from .planner import Planner
from .pools import pool_key
from .pools import PoolRow
from .progress import Progress
from .rows import JOINS_PER_STEP
from .views import PoolViews

__all__ = ["POOL_PREFIX", "SnapshotReader"]

POOL_PREFIX = "pool/"


class SnapshotReader:
    """Makes snapshots from the catalog, the views and the configuration."""

    def __init__(
        self,
        active: ActiveConfiguration,
        catalog: Catalog,
        views: PoolViews,
        planner: Planner,
        progress: Progress,
    ) -> None:
        self._active = active
        self._catalog = catalog
        self._views = views
        self._planner = planner
        self._progress = progress

    def read(self, name: str, row: PoolRow, fresh: bool) -> PoolSnapshot:
        """Return the snapshot of a pool.

        :param fresh: whether the membership list was read lately.
        """
        spec = self._active.spec(pool_key(name), PoolSpec)
        candidates = self._candidates(name) if spec else []
        facts = {
            instance_id: self._facts(name, instance_id)
            for instance_id in [*row.members, *candidates]
            if instance_id in self._catalog.instances
        }
        return PoolSnapshot(
            name=name,
            row=row,
            min_available=spec.min_available if spec else 0,
            target=self._planner.target(name, spec) if spec else None,
            facts=facts,
            waves=self._waves(name),
            candidates=tuple(candidates),
            fresh=fresh,
        )

    def _waves(self, pool: str) -> dict[str, WaveFacts]:
        """Return the present runs of all waves; in a burst of the pool all pause."""
        in_burst = self._planner.in_burst(pool)
        now = self._planner.now()
        return {
            run_key(f"wave/{name}", spec.period_days, now): WaveFacts(
                spec.paused or in_burst, spec.max_failed_fraction
            )
            for name, spec in self._active.specs(ItemKind.WAVE, WaveSpec).items()
        }

    def _facts(self, pool: str, instance_id: str) -> InstanceFacts:
        instance = self._catalog.instances[instance_id]
        matches = instance_id in self._catalog.matching(pool_key(pool))
        current = self._need(pool) if matches else None
        better = should_leave_for(current, self._matching(instance_id))
        return InstanceFacts(
            live=instance.status is InstanceStatus.LIVE,
            boot=instance.boot,
            hall=instance.hall,
            rack=instance.rack,
            idle=self._progress.is_idle(instance_id),
            wanted_by=tuple(self._wanted_by(instance_id)),
            better_pool=better,
            better_pool_vacancies=self._room(better),
            matches_pool=matches,
            overdue=self._progress.is_overdue(instance_id),
        )

    def _need(self, name: str) -> PoolNeed:
        spec = self._active.spec(pool_key(name), PoolSpec)
        assert spec is not None
        view = self._views.view(name)
        present = len(view.states) if view else 0
        return PoolNeed(name, spec.priority, self._planner.target(name, spec), present)

    def _room(self, name: str) -> int:
        """Return how many more a pool takes."""
        if not name:
            return 0
        need = self._need(name)
        return JOINS_PER_STEP if need.target is None else need.target - need.present

    def _candidates(self, name: str) -> list[str]:
        """Return the live instances in no pool that this pool should take."""
        free = [
            instance_id
            for instance_id in self._catalog.matching(pool_key(name))
            if not self._views.pool_of(instance_id)
            and self._catalog.is_live(instance_id)
            and best_pool(self._matching(instance_id)) == name
        ]
        return sorted(free)[:JOINS_PER_STEP]

    def _matching(self, instance_id: str) -> t.Iterator[PoolNeed]:
        for key in self._catalog.matched_by(instance_id):
            if key.startswith(POOL_PREFIX):
                yield self._need(key.removeprefix(POOL_PREFIX))

    def _wanted_by(self, instance_id: str) -> t.Iterator[str]:
        """Yield the holds, then the runs of waves, that want an instance now."""
        now = self._planner.now()
        for key in sorted(self._catalog.matched_by(instance_id)):
            wave = self._active.spec(key, WaveSpec)
            if wave is not None:
                if is_reboot_due(instance_id, wave.period_days, now):
                    yield run_key(key, wave.period_days, now)
            elif not key.startswith(POOL_PREFIX):
                yield key
