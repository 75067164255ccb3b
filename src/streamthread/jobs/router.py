"""Brings operators' wishes about jobs to the holder of their pool."""

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
    """Something asked about the jobs of one pool: submit, cancel, then list."""

    pool: str
    submit: tuple[JobSpec, ...] = ()
    cancel: tuple[str, ...] = ()
    list_jobs: bool = False


@attrs.frozen
class JobsAnswer:
    """What came of a wish; ``error`` is empty where it was carried out."""

    submitted: int = 0
    cancelled: int = 0
    jobs: tuple[Job, ...] = ()
    error: str = ""
    remedy: str = ""


class JobRouter:
    """Carries a wish out here, or has the holder do it."""

    def __init__(self, leases: LeaseService, jobs: JobService) -> None:
        self._leases = leases
        self._jobs = jobs
        self.peers: PeerService | None = None

    async def handle(self, wish: PoolJobsRequest) -> JobsAnswer:
        """Carry a wish out, wherever its pool is held.

        :raises NotHolderError: nobody holds the pool at the moment.
        :raises ConflictError: the holder refused it.
        """
        key = pool_key(wish.pool)
        if self._leases.holds(key):
            return await self._carry_out(wish)
        holder = self._leases.holder_of(key)
        if holder is None or self.peers is None:
            raise NotHolderError(
                f"nobody holds pool {wish.pool!r} at the moment",
                remedy="send it again in some seconds",
                location=key,
            )
        value = await self.peers.forward_jobs(holder, cattrs.unstructure(wish))
        answer = cattrs.structure(value, JobsAnswer)
        if answer.error:
            raise ConflictError(answer.error, remedy=answer.remedy, location=key)
        return answer

    async def serve(self, value: JsonObject) -> JsonObject:
        """Carry out a wish that a peer forwarded; its errors are answers."""
        wish = cattrs.structure(value, PoolJobsRequest)
        try:
            answer = await self._carry_out(wish)
        except StreamthreadError as error:
            answer = JobsAnswer(error=error.message, remedy=error.remedy)
        return t.cast(JsonObject, cattrs.unstructure(answer))

    async def _carry_out(self, wish: PoolJobsRequest) -> JobsAnswer:
        submitted = cancelled = 0
        jobs: tuple[Job, ...] = ()
        if wish.submit:
            submitted = await self._jobs.submit(wish.pool, wish.submit)
        if wish.cancel:
            cancelled = await self._jobs.cancel(wish.pool, wish.cancel)
        if wish.list_jobs:
            jobs = tuple(await self._jobs.list_jobs(wish.pool))
        return JobsAnswer(submitted, cancelled, jobs)
