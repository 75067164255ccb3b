"""Carries out decisions about the jobs of the pools that are held here."""

import asyncio
import time
import typing as t

import attrs
import cattrs
from mode import Service

from ..configuration import ConfigurationService
from ..configuration import ItemKind
from ..configuration import PoolSpec
from ..configuration import TeamSpec
from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import StoreThrottledError
from ..errors import StoreUnavailableError
from ..fleet.catalog import Catalog
from ..fleet.held import HeldPools
from ..fleet.pools import MemberState
from ..fleet.pools import pool_key
from ..fleet.views import PoolViews
from ..leases import LeaseService
from ..providers import ABSENT
from ..providers import CommitOutcome
from ..providers import CommitResult
from ..providers import Fence
from ..providers import InstanceStatus
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Platform
from ..providers import Task
from ..providers import TaskStart
from ..providers import Transaction
from ..providers import Write
from ..timeline import Recorder
from .decide import decide_jobs
from .decide import JobsSnapshot
from .decide import JobStep
from .decide import WorkerFacts
from .pool_jobs import ended_steps
from .pool_jobs import PoolJobs
from .rows import Job
from .rows import job_key
from .rows import JobSpec
from .rows import JobState

__all__ = ["JobService", "JobSettings"]

AREA = "jobs"
PARALLEL_CALLS = 20


@attrs.frozen
class JobSettings:
    """Times of the jobs slice.

    :param sweep_s: queued jobs are looked at so often even if nothing changed.
    """

    tick_s: float = 1.0
    sweep_s: float = 5.0


class JobService(Service):
    """Takes jobs in, places them, follows their attempts.

    A row that says STARTED is committed before the task is started. The start
    is then repeated until it is answered: the platform runs one attempt once.
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
        self._platform = platform
        self._leases = leases
        self._configuration = configuration
        self._recorder = recorder
        self._catalog = catalog
        self._views = views
        self._held = held
        self._settings = settings
        self._pools: dict[str, PoolJobs] = {}
        self._task_cursor = 0
        self._locks: dict[str, asyncio.Lock] = {}
        views.listen(self._on_view)

    # What operators ask.

    async def submit(self, pool: str, specs: t.Sequence[JobSpec]) -> int:
        """Take jobs in; return how many were new.

        :raises NotHolderError: the pool is held elsewhere.
        :raises ConflictError: a job of the same id but other content exists.
        """
        self._check_specs(pool, specs)
        async with self._lock(pool):
            jobs = await self._load_if_needed(pool)
            new: list[JobStep] = []
            submitted_ms = self._recorder.clock.now().physical_ms
            for spec in specs:
                known = jobs.jobs.get(spec.job_id)
                if known is None:
                    job = Job(spec, submitted_ms=submitted_ms)
                    new.append(JobStep(job, "submitted"))
                elif known.job.spec != spec:
                    raise ConflictError(
                        f"job {spec.job_id!r} exists with other content",
                        remedy="choose another job_id",
                        location=f"job/{pool}/{spec.job_id}",
                    )
            await self._commit_or_raise(pool, jobs, new)
        return len(new)

    async def cancel(self, pool: str, job_ids: t.Sequence[str]) -> int:
        """Cancel jobs in batches; return how many had not ended. Idempotent."""
        async with self._lock(pool):
            jobs = await self._load_if_needed(pool)
            steps = [
                JobStep(attrs.evolve(stored.job, state=JobState.CANCELLED), "cancelled")
                for job_id in job_ids
                if (stored := jobs.jobs.get(job_id)) and not stored.job.ended
            ]
            await self._commit_or_raise(pool, jobs, steps)
        return len(steps)

    async def list_jobs(self, pool: str) -> list[Job]:
        """Return the jobs of a pool that is held here."""
        async with self._lock(pool):
            jobs = await self._load_if_needed(pool)
        return [stored.job for stored in jobs.jobs.values()]

    def is_busy(self, instance_id: str) -> bool:
        """Whether an attempt may run on an instance of a pool held here."""
        pool = self._views.pool_of(instance_id)
        jobs = self._pools.get(pool)
        if jobs is None:
            return False
        return jobs.on_worker[instance_id] > 0 or bool(jobs.stops)

    def _check_specs(self, pool: str, specs: t.Sequence[JobSpec]) -> None:
        if self._configuration.active.spec(pool_key(pool), PoolSpec) is None:
            raise BadInputError(
                f"there is no pool {pool!r}", remedy="see 'get pools'", location="pool"
            )
        for spec in specs:
            if spec.pool != pool:
                raise BadInputError(
                    f"job {spec.job_id!r} names another pool",
                    remedy="submit the jobs of one pool at a time",
                    location=f"job/{spec.job_id}",
                )

    def _lock(self, pool: str) -> asyncio.Lock:
        return self._locks.setdefault(pool, asyncio.Lock())

    # Loading.

    async def _load_if_needed(self, pool: str) -> PoolJobs:
        fence = self._leases.fence(pool_key(pool))
        loaded = self._pools.get(pool)
        if loaded is not None and loaded.fence == fence:
            return loaded
        rows = await self._platform.tables.scan_all(f"job/{pool}/")
        jobs = PoolJobs(fence)
        for row in rows:
            job = cattrs.structure(row.value, Job)
            jobs.keep(job, row.version)
            if job.state is JobState.STARTED:
                jobs.unconfirmed.add(job.spec.job_id)
            elif job.attempt and job.state is not JobState.DONE:
                jobs.stops[(job.spec.job_id, job.attempt)] = False
        await self._read_reports(jobs)
        self._pools[pool] = jobs
        return jobs

    async def _read_reports(self, jobs: PoolJobs) -> None:
        """Ask for each started attempt's report: it may have ended meanwhile."""
        limit = asyncio.Semaphore(PARALLEL_CALLS)

        async def read(job: Job) -> None:
            async with limit:
                task = await self._platform.workers.find_task(
                    job.spec.job_id, job.attempt
                )
            if task is not None:
                jobs.reported.append(task)

        started = [jobs.jobs[job_id].job for job_id in jobs.unconfirmed]
        await asyncio.gather(*(read(job) for job in started))

    # The loop.

    @Service.task
    async def _work(self) -> None:
        while not self.should_stop:
            await self.tick()
            await self.sleep(self._settings.tick_s)

    async def tick(self) -> None:
        """Follow the tasks and decide about every pool held here, once."""
        try:
            tasks = await self._read_tasks()
            for pool in self._held_pools():
                if tasks or self._has_work(pool):
                    await self._decide(pool, tasks)
        except (NotHolderError, StoreUnavailableError) as error:
            self.log.info("jobs not decided: %s", error)

    def _has_work(self, pool: str) -> bool:
        """Whether a held pool is not loaded, or something waits in it."""
        jobs = self._pools.get(pool)
        if jobs is None or jobs.fence != self._leases.fence(pool_key(pool)):
            return True
        waiting = bool(jobs.unconfirmed or jobs.stops)
        return waiting or self._may_decide(jobs)

    async def _read_tasks(self) -> tuple[Task, ...]:
        cursor = self._task_cursor
        changes = await self._platform.workers.task_changes(cursor)
        self._task_cursor = changes.cursor
        return changes.tasks

    def _held_pools(self) -> frozenset[str]:
        held = self._held.names()
        for name in self._pools.keys() - held:
            del self._pools[name]
        return held

    async def _decide(self, pool: str, tasks: t.Sequence[Task]) -> None:
        async with self._lock(pool):
            jobs = await self._load_if_needed(pool)
            reports = [*jobs.reported, *tasks]
            jobs.reported.clear()
            await self._commit(pool, jobs, ended_steps(jobs, reports))
            if self._pools.get(pool) is jobs and self._is_due(jobs):
                steps = decide_jobs(self._snapshot(pool, jobs))
                await self._commit(pool, jobs, steps)
        await self._stop_tasks(jobs)
        await self._start_tasks(pool, jobs)

    def _may_decide(self, jobs: PoolJobs) -> bool:
        return jobs.needs_decision(time.monotonic(), self._settings.sweep_s)

    def _is_due(self, jobs: PoolJobs) -> bool:
        due = self._may_decide(jobs)
        if due:
            jobs.changed = False
            jobs.decided_at_s = time.monotonic()
        return due

    def _on_view(self, pool: str) -> None:
        jobs = self._pools.get(pool)
        if jobs is not None:
            jobs.changed = True

    def _snapshot(self, pool: str, jobs: PoolJobs) -> JobsSnapshot:
        teams = self._configuration.active.specs(ItemKind.TEAM, TeamSpec)
        quotas = {
            name: spec.cores_quota for name, spec in teams.items() if spec.cores_quota
        }
        current = [jobs.jobs[job_id].job for job_id in jobs.current]
        current.sort(key=lambda job: (job.submitted_ms, job.spec.job_id))
        return JobsSnapshot(tuple(current), tuple(self._workers(pool, jobs)), quotas)

    def _workers(self, pool: str, jobs: PoolJobs) -> t.Iterator[WorkerFacts]:
        view = self._views.view(pool)
        states = view.states if view else {}
        for instance_id in states:
            if instance_id in self._catalog.instances:
                boot = self._catalog.instances[instance_id].boot
                jobs.quarantine.note_boot(instance_id, boot)
        refused = jobs.quarantine.members(list(states))
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
                open=serving and live and instance_id not in refused,
                leaving=state is MemberState.DRAINING,
                labels=self._catalog.labels(instance_id),
            )

    # Commits.

    async def _commit_or_raise(
        self, pool: str, jobs: PoolJobs, steps: list[JobStep]
    ) -> None:
        outcome = await self._commit(pool, jobs, steps)
        if outcome is CommitOutcome.CONFLICTED:
            raise NotHolderError(
                f"pool {pool!r} is held elsewhere by now",
                remedy="send it again",
                location=pool_key(pool),
            )
        if outcome is CommitOutcome.UNKNOWN:
            raise OutcomeUnknownError(
                "the answer of the store was lost",
                remedy="send the same jobs again: the same job_id is the same job",
                location=pool_key(pool),
            )

    async def _commit(
        self, pool: str, jobs: PoolJobs, steps: list[JobStep]
    ) -> CommitOutcome:
        for start in range(0, len(steps), MAX_ROWS_PER_TRANSACTION):
            chunk = steps[start : start + MAX_ROWS_PER_TRANSACTION]
            writes = tuple(self._write(pool, jobs, step) for step in chunk)
            transaction = Transaction(writes, self._fences(pool, jobs, chunk))
            result = await self._send(transaction)
            if result.conflicting_keys == (pool_key(pool),):
                return result.outcome
            if not result.committed:
                self._pools.pop(pool, None)
                return result.outcome
            for step in chunk:
                self._keep(pool, jobs, step)
        return CommitOutcome.COMMITTED

    def _fences(
        self, pool: str, jobs: PoolJobs, steps: t.Iterable[JobStep]
    ) -> tuple[Fence, ...]:
        """The shard's epoch; for starts also the pool's row as it was decided on.

        So no job starts on a worker that is granted away at the same time.
        """
        view = self._views.view(pool)
        starts = any(step.job.state is JobState.STARTED for step in steps)
        if not starts or view is None:
            return (jobs.fence,)
        return jobs.fence, Fence(pool_key(pool), view.version)

    async def _send(self, transaction: Transaction) -> CommitResult:
        while True:
            try:
                return await self._leases.committer.commit(transaction)
            except StoreThrottledError:
                await asyncio.sleep(self._settings.tick_s)

    @staticmethod
    def _write(pool: str, jobs: PoolJobs, step: JobStep) -> Write:
        job_id = step.job.spec.job_id
        known = jobs.jobs.get(job_id)
        version = known.version if known else ABSENT
        return Write(job_key(pool, job_id), cattrs.unstructure(step.job), version)

    def _keep(self, pool: str, jobs: PoolJobs, step: JobStep) -> None:
        job = step.job
        job_id = job.spec.job_id
        known = jobs.jobs.get(job_id)
        jobs.replace(job, (known.version if known else ABSENT) + 1)
        self._recorder.record(
            AREA,
            f"job-{job.state.value}",
            f"job/{pool}/{job_id}",
            f"attempt {job.attempt} on {job.worker_id or 'no worker'}: {step.cause}",
            epoch=jobs.fence.version,
        )

    # Tasks.

    async def _start_tasks(self, pool: str, jobs: PoolJobs) -> None:
        limit = asyncio.Semaphore(PARALLEL_CALLS)

        async def start(job: Job) -> None:
            async with limit:
                await self._start(pool, jobs, job)

        waiting = [
            jobs.jobs[job_id].job
            for job_id in sorted(jobs.unconfirmed)
            if jobs.jobs[job_id].job.state is JobState.STARTED
        ]
        await asyncio.gather(*(start(job) for job in waiting))

    async def _start(self, pool: str, jobs: PoolJobs, job: Job) -> None:
        spec = job.spec
        start = TaskStart(
            spec.job_id,
            job.attempt,
            job.worker_id,
            spec.cores,
            spec.memory_bytes,
            spec.accelerators,
            spec.run_s,
        )
        try:
            await self._platform.workers.start(start)
        except (StoreUnavailableError, OutcomeUnknownError):
            return
        except ConflictError as error:
            await self._note_refused(pool, jobs, job, str(error))
            return
        jobs.unconfirmed.discard(spec.job_id)

    async def _note_refused(
        self, pool: str, jobs: PoolJobs, job: Job, cause: str
    ) -> None:
        """Queue again what the worker certainly did not start."""
        async with self._lock(pool):
            stored = jobs.jobs[job.spec.job_id]
            if stored.job == job and self._pools.get(pool) is jobs:
                queued = attrs.evolve(job, state=JobState.QUEUED, reason=cause)
                await self._commit(pool, jobs, [JobStep(queued, cause)])
                jobs.stops.pop((job.spec.job_id, job.attempt), None)

    async def _stop_tasks(self, jobs: PoolJobs) -> None:
        stops = dict(jobs.stops)
        plain = [task for task, checkpoint in stops.items() if not checkpoint]
        try:
            if plain:
                await self._platform.workers.stop_many(plain)
            for (job_id, attempt), checkpoint in stops.items():
                if checkpoint:
                    await self._platform.workers.stop(job_id, attempt, checkpoint)
        except StoreUnavailableError as error:
            self.log.info("stops asked again later: %s", error)
            return
        for task in stops:
            jobs.stops.pop(task, None)
