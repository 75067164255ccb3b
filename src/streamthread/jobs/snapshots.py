"""Collects the inputs of a decision about the jobs of one pool."""

import typing as t

from ..configuration import ActiveConfiguration
from ..configuration import ItemKind
from ..configuration import TeamSpec
from ..fleet.catalog import Catalog
from ..fleet.pools import MemberState
from ..fleet.views import PoolViews
from ..providers import InstanceStatus
from .decide import JobsSnapshot
from .decide import WorkerFacts
from .pool_jobs import PoolJobs
from .rows import Job

__all__ = ["JobsSnapshotReader"]


class JobsSnapshotReader:
    """Creates snapshots from the catalog, the views and the configuration."""

    def __init__(
        self, active: ActiveConfiguration, catalog: Catalog, views: PoolViews
    ) -> None:
        self._active = active
        self._catalog = catalog
        self._views = views

    def read(self, pool: str, jobs: PoolJobs, now_ms: int) -> JobsSnapshot:
        """Return the snapshot of a pool's jobs at a time of the hybrid clock."""
        return JobsSnapshot(
            jobs=_in_order_of_submission(jobs),
            workers=tuple(self._workers(pool, jobs)),
            quota_cores=self._quotas(),
            paused=jobs.paused(),
            now_ms=now_ms,
        )

    def _quotas(self) -> dict[str, int]:
        teams = self._active.specs(ItemKind.TEAM, TeamSpec)
        return {
            name: spec.cores_quota for name, spec in teams.items() if spec.cores_quota
        }

    def _workers(self, pool: str, jobs: PoolJobs) -> t.Iterator[WorkerFacts]:
        view = self._views.view(pool)
        states = view.states if view else {}
        quarantined = self._quarantined(states, jobs)
        for instance_id, state in states.items():
            instance = self._catalog.instances.get(instance_id)
            if instance is None or not instance.cores:
                continue
            serving = state is MemberState.SERVING
            live = instance.status is InstanceStatus.LIVE
            yield WorkerFacts(
                instance_id,
                instance.cores,
                instance.memory_bytes,
                instance.accelerators,
                open=serving and live and instance_id not in quarantined,
                leaving=state is MemberState.DRAINING,
                labels=self._catalog.labels(instance_id),
            )

    def _quarantined(
        self, instance_ids: t.Collection[str], jobs: PoolJobs
    ) -> t.Container[str]:
        """Return the quarantined workers. A reboot ends a quarantine."""
        for instance_id in instance_ids:
            if instance_id in self._catalog.instances:
                boot = self._catalog.instances[instance_id].boot
                jobs.quarantine.record_boot(instance_id, boot)
        return jobs.quarantine.members(list(instance_ids))


def _in_order_of_submission(jobs: PoolJobs) -> tuple[Job, ...]:
    current = [jobs.jobs[job_id].job for job_id in jobs.unfinished]
    current.sort(key=lambda job: (job.submitted_ms, job.spec.job_id))
    return tuple(current)
