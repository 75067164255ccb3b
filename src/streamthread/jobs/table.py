"""The jobs of the pools held here: loaded, kept in memory, committed in updates."""

import asyncio
import typing as t

import cattrs

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
    """Loads pools' jobs at take-over, and commits updates of them.

    A commit carries the epoch and the rows' versions. One that is refused or
    unknown makes the pool's jobs be read again before anything else.

    :param throttled_pause_s: the pause after a commit that the store throttled.
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
        """Return the lock to hold while a pool's jobs are loaded or committed."""
        return self._locks.setdefault(pool, asyncio.Lock())

    def get(self, pool: str) -> PoolJobs | None:
        """Return a pool's jobs where they are loaded, under whatever epoch."""
        return self._pools.get(pool)

    def is_current(self, pool: str, jobs: PoolJobs) -> bool:
        """Whether these are still the pool's jobs: no commit failed since."""
        return self._pools.get(pool) is jobs

    def unload_all_but(self, held: t.AbstractSet[str]) -> None:
        """Forget the pools that are not held here."""
        for name in self._pools.keys() - held:
            del self._pools[name]

    # Loading.

    def loaded(self, pool: str) -> PoolJobs | None:
        """Return a pool's jobs where they were loaded under the present epoch.

        :raises NotHolderError: the pool's shard is not held here.
        """
        jobs = self._pools.get(pool)
        if jobs is None or jobs.fence != self._leases.fence(pool_key(pool)):
            return None
        return jobs

    async def get_or_load(self, pool: str) -> PoolJobs:
        """Return a pool's jobs, reading them where they are not loaded.

        :raises NotHolderError: the pool's shard is not held here.
        :raises StoreUnavailableError: they could not be read.
        """
        fence = self._leases.fence(pool_key(pool))
        jobs = self._pools.get(pool)
        if jobs is None or jobs.fence != fence:
            jobs = await self._load(pool, fence)
        return jobs

    async def _load(self, pool: str, fence: Fence) -> PoolJobs:
        jobs = PoolJobs(fence)
        for row in await self._tables.scan_all(f"job/{pool}/"):
            _restore(jobs, row)
        await self._attempts.read_reports(jobs)
        # Reports come once: those of older attempts came before the jobs were known.
        jobs.stop_superseded(self._attempts.running())
        self._pools[pool] = jobs
        return jobs

    # Commits.

    async def commit_or_raise(
        self, pool: str, jobs: PoolJobs, updates: t.Sequence[JobUpdate]
    ) -> None:
        """Commit what an operator asked for.

        :raises NotHolderError: a row was changed by another holder.
        :raises OutcomeUnknownError: the answer was lost.
        """
        outcome = await self.commit(pool, jobs, updates)
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

    async def commit(
        self, pool: str, jobs: PoolJobs, updates: t.Sequence[JobUpdate]
    ) -> CommitOutcome:
        """Commit updates in batches, up to the first that is not committed."""
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
        """The shard's epoch; for starts also the pool's row as it was decided on.

        So no job starts on a worker that is granted away at the same time.
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


def _restore(jobs: PoolJobs, row: Row) -> None:
    """Keep a job as an earlier holder left it; its last attempt may still run."""
    job = cattrs.structure(row.value, Job)
    job_id = job.spec.job_id
    jobs.put(job, row.version)
    if job.state is JobState.STARTED:
        jobs.unconfirmed.add(job_id)
        jobs.outcome_unknown.add(job_id)
    elif job.attempt and job.state is not JobState.DONE:
        jobs.pending_stops[(job_id, job.attempt)] = False


def _write(pool: str, jobs: PoolJobs, update: JobUpdate) -> Write:
    job_id = update.job.spec.job_id
    value = cattrs.unstructure(update.job)
    return Write(job_key(pool, job_id), value, jobs.version_of(job_id))
