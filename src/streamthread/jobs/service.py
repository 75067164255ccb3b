"""Accepts, places and follows the jobs of the pools that this daemon holds."""

import typing as t

import attrs
from mode import Service

from ..clocks import boot_s
from ..configuration import ConfigurationService
from ..configuration import PoolSpec
from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import NotHolderError
from ..errors import StoreUnavailableError
from ..fleet.catalog import Catalog
from ..fleet.held import HeldPools
from ..fleet.pools import pool_key
from ..fleet.views import PoolViews
from ..leases import LeaseService
from ..providers import Platform
from ..providers import Task
from ..timeline import Recorder
from .attempts import AttemptCalls
from .decide import decide_jobs
from .decide import JobUpdate
from .pool_jobs import PoolJobs
from .pool_jobs import updates_after_end
from .rows import Job
from .rows import JobSpec
from .rows import JobState
from .snapshots import JobsSnapshotReader
from .table import JobTable

__all__ = ["JobService", "JobSettings"]


@attrs.frozen
class JobSettings:
    """Holds the intervals of the job service.

    :param tick_s: the interval in which task reports are read and decisions made. It
        is also the pause before a commit that the store throttled is retried.
    :param sweep_s: the interval in which queued jobs are reconsidered even if nothing
        has changed.
    """

    tick_s: float = 1.0
    sweep_s: float = 5.0


class JobService(Service):
    """Accepts jobs, places them on workers and follows their attempts.

    A row that says STARTED is committed before the task is started. The start is then
    repeated until it is answered: the platform runs an attempt only once.
    """

    def __init__(
        self,
        platform: Platform,
        leases: LeaseService,
        configuration: ConfigurationService,
        recorder: Recorder,
        catalog: Catalog,
        views: PoolViews,
        held: HeldPools,
        settings: JobSettings,
    ) -> None:
        super().__init__()
        self._configuration = configuration
        self._recorder = recorder
        self._views = views
        self._held = held
        self._settings = settings
        self._attempts = AttemptCalls(platform.workers)
        self._table = JobTable(
            platform.tables, self._attempts, leases, recorder, views, settings.tick_s
        )
        self._snapshots = JobsSnapshotReader(configuration.active, catalog, views)
        views.listen(self._on_view)

    # Requests of operators.

    async def submit(self, pool: str, specs: t.Sequence[JobSpec]) -> int:
        """Submit jobs and return how many of them were new.

        :raises NotHolderError: another daemon holds the pool.
        :raises ConflictError: a job with the same id but different content exists.
        """
        self._check_specs(pool, specs)
        async with self._table.lock(pool):
            jobs = await self._table.get_or_load(pool)
            updates = self._submission_updates(pool, jobs, specs)
            await self._table.commit_or_raise(pool, jobs, updates)
        return len(updates)

    def _check_specs(self, pool: str, specs: t.Sequence[JobSpec]) -> None:
        if self._configuration.active.spec(pool_key(pool), PoolSpec) is None:
            raise BadInputError(
                f"there is no pool {pool!r}", remedy="see 'get pools'", location="pool"
            )
        for spec in specs:
            if spec.pool != pool:
                raise BadInputError(
                    f"job {spec.job_id!r} belongs to a different pool",
                    remedy="submit the jobs of one pool at a time",
                    location=f"job/{spec.job_id}",
                )

    def _submission_updates(
        self, pool: str, jobs: PoolJobs, specs: t.Sequence[JobSpec]
    ) -> list[JobUpdate]:
        """Return the updates that add new jobs. Known jobs remain unchanged."""
        updates: list[JobUpdate] = []
        submitted_ms = self._recorder.clock.now().physical_ms
        for spec in specs:
            known = jobs.jobs.get(spec.job_id)
            if known is None:
                job = Job(spec, submitted_ms=submitted_ms)
                updates.append(JobUpdate(job, "submitted"))
            elif known.job.spec != spec:
                raise ConflictError(
                    f"job {spec.job_id!r} already exists with different content",
                    remedy="choose another job_id",
                    location=f"job/{pool}/{spec.job_id}",
                )
        return updates

    async def cancel(self, pool: str, job_ids: t.Sequence[str]) -> int:
        """Cancel jobs in batches and return how many had not ended. Idempotent."""
        async with self._table.lock(pool):
            jobs = await self._table.get_or_load(pool)
            updates = [
                JobUpdate(
                    attrs.evolve(stored.job, state=JobState.CANCELLED), "cancelled"
                )
                for job_id in job_ids
                if (stored := jobs.jobs.get(job_id)) and not stored.job.ended
            ]
            await self._table.commit_or_raise(pool, jobs, updates)
        return len(updates)

    async def list_jobs(self, pool: str) -> list[Job]:
        """Return the jobs of a pool that this daemon holds."""
        async with self._table.lock(pool):
            jobs = await self._table.get_or_load(pool)
        return [stored.job for stored in jobs.jobs.values()]

    def is_busy(self, instance_id: str) -> bool:
        """Return whether an attempt may run on an instance of a pool held here.

        Any attempt may while the pool's jobs are not loaded: after a change of the
        holder, or after a commit that failed.
        """
        try:
            jobs = self._table.loaded(self._views.pool_of(instance_id))
        except NotHolderError:
            return True
        if jobs is None:
            return True
        return jobs.attempts_on_worker[instance_id] > 0 or bool(jobs.pending_stops)

    # The loop.

    @Service.task
    async def _work(self) -> None:
        while not self.should_stop:
            await self.tick()
            await self.sleep(self._settings.tick_s)

    async def tick(self) -> None:
        """Process the task reports, then decide once about each pool held here."""
        try:
            tasks = await self._attempts.changes()
        except StoreUnavailableError as error:
            self.log.info("task reports not read: %s", error)
            return
        for pool in self._held_pools():
            try:
                if tasks or self._has_work(pool):
                    await self._decide(pool, tasks)
            except (NotHolderError, StoreUnavailableError) as error:
                self.log.info("no decision about the jobs of pool %s: %s", pool, error)

    def _held_pools(self) -> frozenset[str]:
        held = self._held.names()
        self._table.unload_all_but(held)
        return held

    def _has_work(self, pool: str) -> bool:
        """Return whether a pool has to be loaded or has pending work."""
        jobs = self._table.loaded(pool)
        if jobs is None:
            return True
        waiting = bool(jobs.unconfirmed or jobs.pending_stops or jobs.pending_reports)
        return waiting or self._may_decide(jobs)

    async def _decide(self, pool: str, tasks: t.Sequence[Task]) -> None:
        async with self._table.lock(pool):
            jobs = await self._table.get_or_load(pool)
            # Each report arrives only once. Keep it until its updates are committed.
            jobs.pending_reports.extend(tasks)
            jobs.stop_superseded(jobs.pending_reports)
            updates = updates_after_end(jobs, jobs.pending_reports)
            await self._table.commit(pool, jobs, updates)
            jobs.pending_reports.clear()
            if self._table.is_current(pool, jobs) and self._is_due(jobs):
                now_ms = self._recorder.clock.now().physical_ms
                updates = decide_jobs(self._snapshots.read(pool, jobs, now_ms))
                await self._table.commit(pool, jobs, updates)
        await self._stop_attempts(jobs)
        await self._start_attempts(pool, jobs)

    def _may_decide(self, jobs: PoolJobs) -> bool:
        return jobs.needs_decision(boot_s(), self._settings.sweep_s)

    def _is_due(self, jobs: PoolJobs) -> bool:
        due = self._may_decide(jobs)
        if due:
            jobs.changed = False
            jobs.decided_at_s = boot_s()
        return due

    def _on_view(self, pool: str) -> None:
        jobs = self._table.get(pool)
        if jobs is not None:
            jobs.changed = True

    # Attempts.

    async def _stop_attempts(self, jobs: PoolJobs) -> None:
        try:
            await self._attempts.stop_all(jobs)
        except StoreUnavailableError as error:
            self.log.info("stops not confirmed, sending them again later: %s", error)

    async def _start_attempts(self, pool: str, jobs: PoolJobs) -> None:
        async def on_refused(job: Job, cause: str, may_run: bool) -> None:
            await self._requeue_or_park(pool, jobs, job, cause, may_run)

        await self._attempts.start_all(jobs, on_refused)

    async def _requeue_or_park(
        self, pool: str, jobs: PoolJobs, job: Job, cause: str, may_run: bool
    ) -> None:
        """Queue a refused job again, or park it if it might then run twice.

        :param may_run: whether an earlier start call may have started the attempt. It
            is stopped in that case.
        """
        unsafe_to_repeat = may_run and not job.spec.repeat_safe
        state = JobState.PARKED if unsafe_to_repeat else JobState.QUEUED
        async with self._table.lock(pool):
            stored = jobs.jobs[job.spec.job_id]
            if stored.job == job and self._table.is_current(pool, jobs):
                after = attrs.evolve(job, state=state, reason=cause)
                await self._table.commit(pool, jobs, [JobUpdate(after, cause)])
                if not may_run:
                    jobs.pending_stops.pop((job.spec.job_id, job.attempt), None)
