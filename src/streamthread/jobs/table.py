"""Loads the jobs of pools held by this daemon and commits updates to them."""

import asyncio
import typing as t

import cattrs

from ..clocks import boot_s
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import StoreThrottledError
from ..fleet.pools import pool_key
from ..fleet.views import PoolViews
from ..leases import LeaseService
from ..providers import CommitOutcome
from ..providers import CommitResult
from ..providers import Fence
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Row
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write
from ..timeline import Recorder
from .attempts import AttemptCalls
from .decide import JobUpdate
from .pool_jobs import PoolJobs
from .rows import Job
from .rows import job_key
from .rows import JobState

__all__ = ["JobTable"]

AREA = "jobs"


class JobTable:
    """Loads a pool's jobs when this daemon becomes its holder and commits updates.

    A commit carries the epoch and the versions of the rows. If a commit is refused or
    its outcome is unknown, the pool's jobs are read again before anything else. After a
    conflict on the pool's row alone they stay loaded, because only the view of the pool
    is out of date.

    :param throttled_pause_s: the pause before a commit that the store throttled is
        retried.
    """

    def __init__(
        self,
        tables: Tables,
        attempts: AttemptCalls,
        leases: LeaseService,
        recorder: Recorder,
        views: PoolViews,
        throttled_pause_s: float,
    ) -> None:
        self._tables = tables
        self._attempts = attempts
        self._leases = leases
        self._recorder = recorder
        self._views = views
        self._throttled_pause_s = throttled_pause_s
        self._pools: dict[str, PoolJobs] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    def lock(self, pool: str) -> asyncio.Lock:
        """Return the lock to hold while loading or committing a pool's jobs."""
        return self._locks.setdefault(pool, asyncio.Lock())

    def get(self, pool: str) -> PoolJobs | None:
        """Return a pool's jobs if they are loaded, under any epoch."""
        return self._pools.get(pool)

    def is_current(self, pool: str, jobs: PoolJobs) -> bool:
        """Return whether the jobs are still loaded, so no commit has failed since."""
        return self._pools.get(pool) is jobs

    def unload_all_but(self, held: t.AbstractSet[str]) -> None:
        """Unload the pools that this daemon does not hold."""
        for name in self._pools.keys() - held:
            del self._pools[name]

    # Loading.

    def loaded(self, pool: str) -> PoolJobs | None:
        """Return a pool's jobs if they were loaded under the current epoch.

        :raises NotHolderError: the pool's shard is not held here.
        """
        jobs = self._pools.get(pool)
        if jobs is None or jobs.fence != self._leases.fence(pool_key(pool)):
            return None
        return jobs

    async def get_or_load(self, pool: str) -> PoolJobs:
        """Return a pool's jobs and load them first if necessary.

        :raises NotHolderError: the pool's shard is not held here.
        :raises StoreUnavailableError: the jobs could not be read.
        """
        fence = self._leases.fence(pool_key(pool))
        jobs = self._pools.get(pool)
        if jobs is None or jobs.fence != fence:
            jobs = await self._load(pool, fence)
        return jobs

    async def _load(self, pool: str, fence: Fence) -> PoolJobs:
        jobs = PoolJobs(fence)
        for row in await self._tables.scan_all(f"job/{pool}/"):
            _restore(jobs, row, self._recorder.clock.now().physical_ms)
        await self._attempts.read_reports(jobs)
        # Each report arrives only once, and those of older attempts may have arrived
        # before the jobs were loaded.
        jobs.stop_superseded(self._attempts.running())
        self._pools[pool] = jobs
        return jobs

    # Commits.

    async def commit_or_raise(
        self, pool: str, jobs: PoolJobs, updates: t.Sequence[JobUpdate]
    ) -> None:
        """Commit the updates of an operator's request.

        :raises NotHolderError: another holder changed a row.
        :raises OutcomeUnknownError: the answer of the store was lost.
        """
        outcome = await self.commit(pool, jobs, updates)
        if outcome is CommitOutcome.CONFLICTED:
            raise NotHolderError(
                f"pool {pool!r} is now held by another daemon",
                remedy="send it again",
                location=pool_key(pool),
            )
        if outcome is CommitOutcome.UNKNOWN:
            raise OutcomeUnknownError(
                "the store did not confirm the commit; its outcome is unknown",
                remedy="send the same request again; a job_id is submitted only once",
                location=pool_key(pool),
            )

    async def commit(
        self, pool: str, jobs: PoolJobs, updates: t.Sequence[JobUpdate]
    ) -> CommitOutcome:
        """Commit updates in batches up to the first batch that is not committed."""
        for start in range(0, len(updates), MAX_ROWS_PER_TRANSACTION):
            batch = updates[start : start + MAX_ROWS_PER_TRANSACTION]
            writes = tuple(_write(pool, jobs, update) for update in batch)
            transaction = Transaction(writes, self._fences(pool, jobs, batch))
            result = await self._send(transaction)
            if result.conflicting_keys == (pool_key(pool),):
                return result.outcome
            if not result.committed:
                self._pools.pop(pool, None)
                return result.outcome
            for update in batch:
                self._apply(pool, jobs, update)
        return CommitOutcome.COMMITTED

    def _fences(
        self, pool: str, jobs: PoolJobs, updates: t.Iterable[JobUpdate]
    ) -> tuple[Fence, ...]:
        """Return the fences of a commit: the epoch, and for starts the pool's row.

        The version of the pool's row keeps a job from starting on a worker that is
        granted to a wave, a hold or another pool at the same time.
        """
        view = self._views.view(pool)
        starts = any(update.job.state is JobState.STARTED for update in updates)
        if not starts or view is None:
            return (jobs.fence,)
        return jobs.fence, Fence(pool_key(pool), view.version)

    async def _send(self, transaction: Transaction) -> CommitResult:
        while True:
            try:
                return await self._leases.committer.commit(transaction)
            except StoreThrottledError:
                await asyncio.sleep(self._throttled_pause_s)

    def _apply(self, pool: str, jobs: PoolJobs, update: JobUpdate) -> None:
        job = update.job
        job_id = job.spec.job_id
        jobs.replace(job, jobs.version_of(job_id) + 1)
        self._recorder.record(
            AREA,
            f"job-{job.state.value}",
            f"job/{pool}/{job_id}",
            f"attempt {job.attempt} on {job.worker_id or 'no worker'}: {update.cause}",
            epoch=jobs.fence.version,
        )


def _restore(jobs: PoolJobs, row: Row, now_ms: int) -> None:
    """Load a job as an earlier holder left it. Its latest attempt may still run."""
    job = cattrs.structure(row.value, Job)
    job_id = job.spec.job_id
    begun_at_s = boot_s() - max(0, now_ms - job.started_ms) / 1000
    jobs.put(job, row.version)
    if job.state is JobState.STARTED:
        jobs.begun_at_s[job_id] = begun_at_s
        jobs.unconfirmed.add(job_id)
        jobs.outcome_unknown.add(job_id)
    elif job.attempt and job.state is not JobState.DONE:
        jobs.pending_stops[(job_id, job.attempt)] = False
    if job.lost_with and job.lost_with[-1] == job.worker_id:
        jobs.pause_after_loss(job, begun_at_s)


def _write(pool: str, jobs: PoolJobs, update: JobUpdate) -> Write:
    job_id = update.job.spec.job_id
    value = cattrs.unstructure(update.job)
    return Write(job_key(pool, job_id), value, jobs.version_of(job_id))
