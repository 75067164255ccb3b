"""Routes operators' requests about jobs to the holder of their pool."""

import typing as t

import attrs
import cattrs

from ..errors import ConflictError
from ..errors import NotHolderError
from ..errors import StreamthreadError
from ..fleet.pools import pool_key
from ..leases import LeaseService
from ..peers import PeerService
from ..providers import JsonObject
from .rows import Job
from .rows import JobSpec
from .service import JobService

__all__ = ["JobRouter", "JobsAnswer", "PoolJobsRequest"]


@attrs.frozen
class PoolJobsRequest:
    """Asks to submit, then cancel, then list jobs of one pool."""

    pool: str
    submit: tuple[JobSpec, ...] = ()
    cancel: tuple[str, ...] = ()
    list_jobs: bool = False


@attrs.frozen
class JobsAnswer:
    """Answers a request. ``error`` is empty if the request succeeded."""

    submitted: int = 0
    cancelled: int = 0
    jobs: tuple[Job, ...] = ()
    error: str = ""
    remedy: str = ""


class JobRouter:
    """Handles a request in this daemon or forwards it to the holder."""

    def __init__(self, leases: LeaseService, jobs: JobService) -> None:
        self._leases = leases
        self._jobs = jobs
        self.peers: PeerService | None = None

    async def handle(self, request: PoolJobsRequest) -> JobsAnswer:
        """Handle a request, whichever daemon holds its pool.

        :raises NotHolderError: no daemon holds the pool at the moment.
        :raises ConflictError: the holder refused the request.
        """
        key = pool_key(request.pool)
        if self._leases.holds(key):
            return await self._execute(request)
        holder = self._leases.holder_of(key)
        if holder is None or self.peers is None:
            raise NotHolderError(
                f"no daemon holds pool {request.pool!r} at the moment",
                remedy="retry in a few seconds",
                location=key,
            )
        value = await self.peers.forward_jobs(holder, cattrs.unstructure(request))
        answer = cattrs.structure(value, JobsAnswer)
        if answer.error:
            raise ConflictError(answer.error, remedy=answer.remedy, location=key)
        return answer

    async def serve(self, value: JsonObject) -> JsonObject:
        """Handle a request that a peer forwarded. Errors are returned as answers."""
        request = cattrs.structure(value, PoolJobsRequest)
        try:
            answer = await self._execute(request)
        except StreamthreadError as error:
            answer = JobsAnswer(error=error.message, remedy=error.remedy)
        return t.cast(JsonObject, cattrs.unstructure(answer))

    async def _execute(self, request: PoolJobsRequest) -> JobsAnswer:
        submitted = cancelled = 0
        jobs: tuple[Job, ...] = ()
        if request.submit:
            submitted = await self._jobs.submit(request.pool, request.submit)
        if request.cancel:
            cancelled = await self._jobs.cancel(request.pool, request.cancel)
        if request.list_jobs:
            jobs = tuple(await self._jobs.list_jobs(request.pool))
        return JobsAnswer(submitted, cancelled, jobs)
