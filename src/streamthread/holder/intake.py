"""Takes jobs and cancels, from callers and from the inbox, and tells their states."""

import typing as t

import logbook

from ..cell import cell_pb2 as pb
from ..cell import CommitLog
from ..cell import TABLE_INBOX
from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..errors import BadInputError
from ..errors import NotHolderError
from ..platform.documents import Route
from ..scheduler import encode_definition
from ..scheduler import Engine
from ..scheduler import Job
from ..scheduler import new_job
from .context import ManifestSource
from .inbox import InboxEntry
from .inbox import InboxOwner

__all__ = ["Intake"]

log = logbook.Logger("streamthread.holder")

STORE_COME_BACK_S = 1.0
"""When to come back while the store is down: outages last some seconds."""


class Intake(InboxOwner):
    """Everything about a job that its caller sees.

    :param token: the holder's fencing token, for the logs.
    :param may_accept: whether what is accepted now can be made durable.
    :param accepted: called with each new job, before it is durable.
    :param kick: has the queue looked at soon.
    """

    def __init__(
        self,
        engine: Engine,
        commits: CommitLog,
        documents: ManifestSource,
        token: int,
        may_accept: t.Callable[[], bool],
        accepted: t.Callable[[Job], None],
        kick: t.Callable[[], None],
    ) -> None:
        self._engine = engine
        self._commits = commits
        self._documents = documents
        self._token = token
        self._may_accept = may_accept
        self._accepted = accepted
        self._kick = kick

    def route(self, name: str) -> Route | None:
        """Return a route of the manifest in force."""
        manifest = self._documents.manifest
        if manifest is None:
            return None
        return manifest.routes_by_name.get(name)

    def _is_behind(self, route: Route | None, version: int, pool: str) -> bool:
        """Whether only an older configuration than a sender's is known here.

        Where it says the same of the route, the job is taken nevertheless.

        :param route: as it is known here.
        :param version: of the configuration by which the sender found the route.
        :param pool: to which that one sends the route's jobs.
        """
        manifest = self._documents.manifest
        if manifest is not None and manifest.version >= version:
            return False
        return route is None or route.service != pool

    # Calls.

    async def answer(self, request: pb.CallRequest) -> pb.CallReply:
        """Answer a caller's request, here or passed on by a peer."""
        if request.kind == pb.PENDING:
            count = self._engine.pending_count(request.route)
            return pb.CallReply(outcome=pb.OK, pending=count)
        if request.kind == pb.SUBMIT:
            return await self._submit(request)
        job = self._engine.jobs.get(request.job_id)
        if job is None or job.route != request.route:
            if request.kind == pb.CANCEL:
                self._tell_no_job(request, job)
            return pb.CallReply(outcome=pb.UNKNOWN_JOB)
        if request.kind == pb.CANCEL:
            return await self._cancel(job)
        ended = job.over and self._commits.is_marked(TABLE_RUNS, job.job_id)
        if not job.durable or ended:
            await self._commits.flushed()
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    async def _submit(self, request: pb.CallRequest) -> pb.CallReply:
        job = self._engine.jobs.get(request.job_id)
        if job is None:
            if not self._may_accept():
                return pb.CallReply(
                    outcome=pb.REFUSED,
                    reason="the store does not take commits",
                    retry_after_s=STORE_COME_BACK_S,
                )
            route = self.route(request.route)
            version = request.configuration_version
            if self._is_behind(route, version, request.pool):
                return pb.CallReply(outcome=pb.BEHIND)
            if route is None:
                return pb.CallReply(outcome=pb.UNKNOWN_JOB, reason="no such queue")
            try:
                job = self._accept(request.job_id, route, request.job)
            except BadInputError as error:
                return pb.CallReply(outcome=pb.REFUSED, reason=str(error))
        if not job.durable:
            try:
                await self._commits.flushed()
            except NotHolderError:
                return pb.CallReply(outcome=pb.UNCERTAIN)
            job.durable = True
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    def _accept(self, job_id: str, route: Route, body: bytes) -> Job:
        """Take a job; it may be acknowledged once it is durable.

        :raises BadInputError: the body is no job.
        """
        job = new_job(job_id, route, body)
        self._engine.add(job)
        self._commits.mark(TABLE_JOBS, job_id, lambda: encode_definition(job))
        log.info(
            "job-accepted",
            extra={
                "job": job_id,
                "route": route.name,
                "service": route.service,
                "tasks": sum(step.count for step in job.request.steps),
                "token": self._token,
            },
        )
        self._accepted(job)
        return job

    async def _cancel(self, job: Job) -> pb.CallReply:
        if not job.over:
            self._cancel_now(job, "call")
        try:
            await self._commits.flushed()
        except NotHolderError:
            return pb.CallReply(outcome=pb.UNCERTAIN)
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    def _cancel_now(self, job: Job, came_by: str) -> None:
        """Cancel a job; the cancel is not durable yet."""
        runs = sum(1 for _ in job.attempts())
        self._engine.cancel(job)
        log.info(
            "job-cancelled",
            extra={
                "job": job.job_id,
                "by": came_by,
                "runs": runs,
                "token": self._token,
            },
        )
        self._kick()

    def _tell_no_job(self, request: pb.CallRequest, job: Job | None) -> None:
        """Say that a cancel finds nothing: it is confirmed, and stops nothing."""
        log.info(
            "cancel-without-job",
            extra={
                "job": request.job_id,
                "route": request.route,
                "known_route": job.route if job is not None else "",
                "by": "call",
                "token": self._token,
            },
        )

    # The inbox.

    def knows_job(self, job_id: str) -> bool:
        """Whether a job is known, whatever its state."""
        return job_id in self._engine.jobs

    def accept_left(self, entry: InboxEntry) -> bool:
        """Take a job; return False where the configuration has not come here yet."""
        route = self.route(entry.route)
        behind = self._is_behind(route, entry.configuration_version, entry.pool)
        if route is None or behind:
            log.warning(
                "inbox-route-unknown", extra={"job": entry.job_id, "behind": behind}
            )
            return False
        try:
            self._accept(entry.job_id, route, entry.body.encode())
        except BadInputError as error:
            log.warning(
                "inbox-row-bad", extra={"job": entry.job_id, "error": str(error)}
            )
        return True

    def cancel_left(self, job_id: str) -> None:
        """Cancel a job, where there is one."""
        job = self._engine.jobs.get(job_id)
        if job is None:
            log.info(
                "cancel-without-job",
                extra={"job": job_id, "by": "inbox", "token": self._token},
            )
        elif not job.over:
            self._cancel_now(job, "inbox")

    def drop_left(self, key: str) -> None:
        """Have a row removed from the inbox."""
        self._commits.mark(TABLE_INBOX, key, lambda: None)
