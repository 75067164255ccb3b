"""Calls the platform's workers to start, stop and follow attempts of jobs."""

import asyncio
import typing as t

from ..errors import ConflictError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..providers import Task
from ..providers import TaskStart
from ..providers import TaskState
from ..providers import Workers
from .pool_jobs import PoolJobs
from .rows import Job
from .rows import JobState

__all__ = ["AttemptCalls", "OnRefused"]

PARALLEL_CALLS = 20
"""Maximum number of concurrent calls about the attempts of one pool."""

OnRefused = t.Callable[[Job, str, bool], t.Awaitable[None]]
"""Handles a job whose worker refused its attempt.

Receives the job, the cause, and whether an earlier start call may have started the
attempt or may still start it.
"""


class AttemptCalls:
    """Starts and stops attempts and reads the reports about them."""

    def __init__(self, workers: Workers) -> None:
        self._workers = workers
        self._cursor = 0
        self._running: dict[tuple[str, int], Task] = {}

    async def changes(self) -> tuple[Task, ...]:
        """Return the reports that arrived since the previous call."""
        changes = await self._workers.task_changes(self._cursor)
        self._cursor = changes.cursor
        for task in changes.tasks:
            self._track(task)
        return changes.tasks

    def running(self) -> tuple[Task, ...]:
        """Return the attempts of all pools that run according to the reports so far."""
        return tuple(self._running.values())

    def _track(self, task: Task) -> None:
        """Remember running attempts, because each report arrives only once."""
        key = (task.job_id, task.attempt)
        if task.state is TaskState.RUNNING:
            self._running[key] = task
        else:
            self._running.pop(key, None)

    async def read_reports(self, jobs: PoolJobs) -> None:
        """Read the reports of the unconfirmed attempts, which may have ended."""
        limit = asyncio.Semaphore(PARALLEL_CALLS)

        async def read(job: Job) -> None:
            async with limit:
                task = await self._workers.find_task(job.spec.job_id, job.attempt)
            if task is not None:
                jobs.pending_reports.append(task)

        started = [jobs.jobs[job_id].job for job_id in jobs.unconfirmed]
        await asyncio.gather(*(read(job) for job in started))

    async def start_all(self, jobs: PoolJobs, on_refused: OnRefused) -> None:
        """Start the attempts committed as started whose start is unconfirmed."""
        limit = asyncio.Semaphore(PARALLEL_CALLS)

        async def start(job: Job) -> None:
            async with limit:
                await self._start(jobs, job, on_refused)

        waiting = [
            jobs.jobs[job_id].job
            for job_id in sorted(jobs.unconfirmed)
            if jobs.jobs[job_id].job.state is JobState.STARTED
        ]
        await asyncio.gather(*(start(job) for job in waiting))

    async def _start(self, jobs: PoolJobs, job: Job, on_refused: OnRefused) -> None:
        job_id = job.spec.job_id
        try:
            await self._workers.start(_task_start(job))
        except OutcomeUnknownError:
            jobs.outcome_unknown.add(job_id)
        except StoreUnavailableError:
            return
        except ConflictError as error:
            await self._handle_refusal(jobs, job, str(error), on_refused)
        else:
            jobs.unconfirmed.discard(job_id)

    async def _handle_refusal(
        self, jobs: PoolJobs, job: Job, cause: str, on_refused: OnRefused
    ) -> None:
        """Handle a refusal, which is about this start call only.

        If the outcome of an earlier call is unknown, that call may have started the
        attempt. Its report is therefore looked up first.
        """
        job_id = job.spec.job_id
        if job_id not in jobs.outcome_unknown:
            await on_refused(job, cause, False)
            return
        try:
            task = await self._workers.find_task(job_id, job.attempt)
        except StoreUnavailableError:
            return
        if task is None:
            await on_refused(job, cause, True)
            return
        jobs.pending_reports.append(task)
        jobs.unconfirmed.discard(job_id)

    async def stop_all(self, jobs: PoolJobs) -> None:
        """Send all pending stops, then drop those whose attempts do not run.

        An answer does not complete a stop. The stop of an attempt that was reported as
        running is sent again until a report says that the attempt ended.

        :raises StoreUnavailableError: not every call was answered. All stops remain
            pending.
        """
        stops = dict(jobs.pending_stops)
        plain = [task for task, checkpoint in stops.items() if not checkpoint]
        if plain:
            await self._workers.stop_many(plain)
        for (job_id, attempt), checkpoint in stops.items():
            if checkpoint:
                await self._workers.stop(job_id, attempt, checkpoint)
        for task in stops.keys() - self._running.keys():
            jobs.pending_stops.pop(task, None)


def _task_start(job: Job) -> TaskStart:
    spec = job.spec
    return TaskStart(
        job_id=spec.job_id,
        attempt=job.attempt,
        worker_id=job.worker_id,
        cores=spec.cores,
        memory_bytes=spec.memory_bytes,
        accelerators=spec.accelerators,
        run_s=spec.run_s,
    )
