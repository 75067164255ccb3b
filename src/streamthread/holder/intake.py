"""Accepts jobs and cancels from callers and from the inbox, and reports job states."""

import typing as t

import logbook

from ..cell import cell_pb2 as pb
from ..cell import CommitLog
from ..cell import TABLE_INBOX
from ..cell import TABLE_RUNS
from ..errors import BadInputError
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnknownKindError
from ..errors import UnreadableError
from ..scheduler import Engine
from ..scheduler import Job
from ..scheduler import JobState
from ..scheduler import new_job
from ..scheduler.accounts import may_see
from ..scheduler.accounts import over_limit
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .admission import AdmissionPolicy
from .forecasts import Forecasts
from .forecasts import Refusal
from .inbox import InboxEntry
from .inbox import InboxOwner
from .inbox import InboxReader
from .inbox import RequestKind
from .job_rows import job_id_of_row
from .job_rows import JobRows
from .pending_cancels import Cancel
from .pending_cancels import pending_cancel_key
from .pending_cancels import PendingCancels
from .submissions import Submissions

__all__ = ["Intake"]

log = logbook.Logger("streamthread.holder")

MAX_OPEN_TASKS = 120_000
"""Large jobs are refused while the open jobs would have more tasks than this. A task
takes 0.5 KB of the holder's memory and 1 KB with a run, and each next holder has to
take over all of them; the smallest daemons have 200 MB. A single job has 100,000 tasks
at most."""

TASKS_RETRY_AFTER_S = 5.0
"""The `retry_after_s` of refusals for the number of open tasks."""

STORE_RETRY_AFTER_S = 1.0
"""The `retry_after_s` of refusals while the store is down; outages last some
seconds."""


class Intake(InboxOwner):
    """Handles every request of a caller about a job.

    :param token: the holder's fencing token, for the logs.
    :param inbox: returns the reader of the inbox, which passes its rows to the intake.
    :param is_trusted: whether this daemon's lease on the cell is certainly valid.
    :param may_accept: whether a job that is accepted now can be made durable.
    :param on_accepted: called with each new job, before the job is durable.
    :param kick: schedules a pass over the queue.
    :param notes: collects reports of jobs that can't be decoded.
    :param forecasts: judges whether a new job can start in time; None accepts all.
    :param rows: persists the jobs.
    :param refused: number of submissions refused because of their account, by account.
    :param refused_overload: number refused because they could not end in time.
    :param retain_cancels_s: how long the cancel of an unknown job is retained while the
        job may still arrive.
    """

    def __init__(
        self,
        engine: Engine,
        commits: CommitLog,
        admission: AdmissionPolicy,
        token: int,
        inbox: t.Callable[[], InboxReader],
        is_trusted: t.Callable[[], bool],
        may_accept: t.Callable[[], bool],
        on_accepted: t.Callable[[Job], None],
        kick: t.Callable[[], None],
        retain_cancels_s: float,
        notes: UnreadableNotes | None = None,
        forecasts: Forecasts | None = None,
        rows: JobRows | None = None,
    ) -> None:
        self._forecasts = forecasts
        self._rows = rows or JobRows(commits)
        self.refused_overload: dict[str, int] = {}
        self._notes = notes or UnreadableNotes()
        # Accepted jobs with a row that can't be decoded.
        self._excluded: set[str] = set()
        # Jobs that requests of a later version refer to.
        self._unknown_requests: set[str] = set()
        self._engine = engine
        self._commits = commits
        self._admission = admission
        self._token = token
        self._inbox = inbox
        self._is_trusted = is_trusted
        self._may_accept = may_accept
        self._on_accepted = on_accepted
        self._kick = kick
        self._pending_cancels = PendingCancels(retain_cancels_s)
        self._submissions = Submissions(engine, commits, self._rows.withdraw)
        self.refused: dict[str, int] = {}

    # Calls.

    async def answer(self, request: pb.CallRequest) -> pb.CallReply:
        """Answer a caller's request that arrived here or was forwarded by a peer."""
        account = self._admission.authorize(request)
        if account is None:
            reason = "the API key is not in the newer configuration"
            return pb.CallReply(outcome=pb.NOT_ADMITTED, reason=reason)
        request.account = account
        if request.job_id in self._excluded:
            return pb.CallReply(
                outcome=pb.UNCERTAIN, reason="the job's row can't be decoded"
            )
        if request.kind == pb.PENDING:
            count = self._engine.pending_count(request.route)
            return pb.CallReply(outcome=pb.OK, pending=count)
        try:
            if request.kind == pb.SUBMIT:
                return await self._submit(request)
            if request.kind == pb.CANCEL:
                return await self._cancel(request)
            if request.kind == pb.STATE:
                return await self._report_state(request)
            return pb.CallReply(
                outcome=pb.UNCERTAIN, reason="the holder does not know this request"
            )
        except (NotHolderError, StoreUnavailableError, OutcomeUnknownError):
            # Another daemon may know more, or may have accepted the job that this one
            # did not commit.
            return pb.CallReply(outcome=pb.UNCERTAIN)

    async def _find(self, job_id: str) -> Job | None:
        """Return a job; read the inbox before reporting that there is none.

        If the lease may have expired, as in an outage of the store, this first waits
        for a commit, since commits are retried anyway.

        :raises NotHolderError: the cell is lost.
        :raises StoreUnavailableError: the inbox can't be read.
        :raises OutcomeUnknownError: the inbox can't be read.
        """
        job = self._engine.jobs.get(job_id)
        if job is not None:
            return job
        if not self._is_trusted():
            await self._commits.confirmed()
        await self._inbox().catch_up()
        return self._engine.jobs.get(job_id)

    # States.

    async def _report_state(self, request: pb.CallRequest) -> pb.CallReply:
        """Report a state as it is known here.

        A holder whose lease may have expired reports it too, so that an outage of the
        store hides no job. The state of an open job may then be outdated; the state of
        an ended job is final.
        """
        job_id = request.job_id
        job = await self._find(job_id)
        if job is None:
            # If another daemon holds the cell by now, it may have removed jobs from the
            # inbox that are unknown here. A confirmed commit rules that out.
            await self._commits.confirmed()
            job = self._engine.jobs.get(job_id)
        if job is None:
            return self._report_waiting(request)
        if not self._refers_to(job, request):
            return pb.CallReply(outcome=pb.UNKNOWN_JOB)
        await self._until_durable(job)
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    def _refers_to(self, job: Job, request: pb.CallRequest) -> bool:
        """Whether a request refers to the job that has the request's job id."""
        return self._admission.refers_to(job, request.route, request.account)

    def _report_waiting(self, request: pb.CallRequest) -> pb.CallReply:
        """Report the state of a job that waits in the inbox for its route."""
        if not self._inbox().has_waiting_job(request.job_id, request.account):
            if request.job_id in self._unknown_requests:
                reason = "only a later version can tell whether the job exists"
                return pb.CallReply(outcome=pb.UNCERTAIN, reason=reason)
            return pb.CallReply(outcome=pb.UNKNOWN_JOB)
        cancelled = any(
            may_see(cancel.account, request.account)
            for cancel in self._pending_cancels.of_job(request.job_id)
        )
        state = JobState.CANCELLED if cancelled else JobState.PENDING
        return pb.CallReply(outcome=pb.OK, state=state.value)

    async def _until_durable(self, job: Job) -> None:
        """Wait until a job, and its end if it has ended, are durable.

        :raises NotHolderError: the cell is lost.
        :raises OutcomeUnknownError: the job was withdrawn and is not persisted.
        """
        if not await self._submissions.until_durable(job):
            raise OutcomeUnknownError(
                "the job was withdrawn before it was durable", remedy="submit it again"
            )
        while job.over and self._commits.is_marked(TABLE_RUNS, job.job_id):
            await self._commits.flushed()

    # Submissions.

    async def _submit(self, request: pb.CallRequest) -> pb.CallReply:
        job = self._engine.jobs.get(request.job_id)
        if job is None:
            refusal = await self._until_may_accept()
            if refusal is not None:
                return refusal
            found = self._engine.jobs.get(request.job_id) or self._submit_new(request)
            if isinstance(found, Refusal):
                found = await self._refuse_for_overload(request, found)
            if isinstance(found, pb.CallReply):
                return found
            job = found
        if not may_see(request.account, job.account):
            # The id belongs to another account's job, which stays hidden.
            return pb.CallReply(outcome=pb.UNKNOWN_JOB)
        if not await self._submissions.until_durable(job):
            if job.rejected:
                return _reject("the job can't be stored")
            return _refuse("the store does not accept commits")
        await self._until_durable(job)
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    async def _until_may_accept(self) -> pb.CallReply | None:
        """Return None once a new job may be accepted, or a refusal.

        The inbox may contain the cancel of a job that is being submitted again.
        """
        if not self._may_accept():
            return _refuse("the store does not accept commits")
        if not self._inbox().behind:
            return None
        try:
            await self._inbox().refresh()
        except (StoreUnavailableError, OutcomeUnknownError):
            return _refuse("the store does not return the inbox")
        return None

    def _submit_new(self, request: pb.CallRequest) -> Job | pb.CallReply | Refusal:
        """Accept a new job, or return the reason for a refusal."""
        route = self._admission.route(request.route)
        version, account = request.configuration_version, request.account
        if self._admission.is_behind(route, version, request.pool, account):
            return pb.CallReply(outcome=pb.BEHIND)
        if route is None:
            return pb.CallReply(outcome=pb.UNKNOWN_JOB, reason="no such queue")
        try:
            terms = self._admission.terms_for(request, route)
            job = new_job(request.job_id, terms, request.job)
        except BadInputError as error:
            return _reject(str(error))
        tasks = self._count_tasks(job) if job.chunked else 0
        if tasks > MAX_OPEN_TASKS:
            reason = f"the open jobs would have more than {MAX_OPEN_TASKS} tasks"
            return Refusal(reason, TASKS_RETRY_AFTER_S, {"tasks": tasks})
        refusal = over_limit(job, self._admission.limit_of(account))
        if refusal:
            return self._refuse_for_account(account, refusal)
        overload = self._forecasts.judge(job) if self._forecasts is not None else None
        return overload if overload is not None else self._accept(job)

    def _count_tasks(self, job: Job) -> int:
        """Return how many tasks the open jobs have with one more job."""
        return job.request.task_count + sum(
            max(1, len(other.occurrences)) * other.request.task_count
            for other in self._engine.open_jobs()
        )

    async def _refuse_for_overload(
        self, request: pb.CallRequest, refusal: Refusal
    ) -> Job | pb.CallReply:
        """Refuse a job that there is no room for, unless it is in the inbox.

        Another daemon may have acknowledged it, or an earlier try may have left it
        there without an answer. The refusal would be false then, since the job runs.
        """
        try:
            await self._inbox().catch_up()
        except (StoreUnavailableError, OutcomeUnknownError):
            return _refuse("the store does not return the inbox")
        job = self._engine.jobs.get(request.job_id)
        if job is not None:
            return job
        if self._inbox().has_waiting_job(request.job_id, request.account):
            return pb.CallReply(outcome=pb.UNCERTAIN)
        if not self._is_trusted():
            # Another daemon may hold the cell by now and have accepted the job.
            return pb.CallReply(outcome=pb.UNCERTAIN)
        account = request.account
        self.refused_overload[account] = self.refused_overload.get(account, 0) + 1
        log.info(
            "job-refused",
            extra={
                "job": request.job_id,
                "route": request.route,
                "account": account,
                "retry_after_s": refusal.retry_after_s,
                **refusal.inputs,
            },
        )
        return pb.CallReply(
            outcome=pb.REFUSED,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
        )

    def _accept(self, job: Job) -> Job:
        """Accept a job; it may be acknowledged once it is durable.

        If its cancel arrived before it, none of its tasks start.
        """
        job_id = job.job_id
        self._engine.add(job)
        self._rows.add(job)
        log.info(
            "job-accepted",
            extra={
                "job": job_id,
                "route": job.route,
                "service": job.service,
                "account": job.account,
                "tasks": sum(step.count for step in job.request.steps),
                "token": self._token,
            },
        )
        cancels = self._pending_cancels.of_job(job_id)
        self._pending_cancels.forget_job(job_id)
        if any(self._admission.covers(cancel, job) for cancel in cancels):
            self._cancel_now(job, "kept")
        else:
            self._on_accepted(job)
        return job

    def _refuse_for_account(self, account: str, reason: str) -> pb.CallReply:
        """Refuse a submission for a reason that concerns its account."""
        self.refused[account] = self.refused.get(account, 0) + 1
        return pb.CallReply(outcome=pb.REFUSED, reason=reason)

    def refuse_overdue(self, late_s: float = 0.0) -> None:
        """Refuse submissions whose commits are overdue, if they can be withdrawn.

        :param late_s: how much later than planned this check runs.
        """
        self._submissions.withdraw_if_overdue(self._may_accept(), late_s)

    # Cancels.

    async def _cancel(self, request: pb.CallRequest) -> pb.CallReply:
        job = await self._find(request.job_id)
        if job is None:
            return await self._cancel_unknown(request)
        if not self._refers_to(job, request):
            return pb.CallReply(outcome=pb.UNKNOWN_JOB)
        if not job.over:
            self._cancel_now(job, "call")
        if not self._is_trusted():
            await self._commits.confirmed()
        await self._commits.flushed()
        return pb.CallReply(outcome=pb.OK, state=job.state.value)

    async def _cancel_unknown(self, request: pb.CallRequest) -> pb.CallReply:
        """Acknowledge an unknown job's cancel once it applies to later submissions.

        The commit that persists the cancel begins after the inbox was read. If another
        daemon had already taken the job out of the inbox, that commit would fail.
        """
        job_id = request.job_id
        self._log_unknown_job(job_id, "call")
        cancel = Cancel(job_id, request.route, request.account)
        self._pending_cancels.add(cancel)
        entry = InboxEntry(
            RequestKind.CANCEL, job_id, request.route, account=request.account
        )
        row = entry.encode()
        self._commits.mark(TABLE_INBOX, pending_cancel_key(cancel), lambda: row)
        await self._commits.flushed()
        return self._report_waiting(request)

    def _cancel_now(self, job: Job, source: str) -> None:
        """Cancel a job; the cancel is not durable yet.

        :param source: "call", "inbox", or "kept" for a cancel that arrived before the
            job.
        """
        runs = sum(1 for _ in job.attempts())
        self._engine.cancel(job)
        log.info(
            "job-cancelled",
            extra={
                "job": job.job_id,
                "by": source,
                "runs": runs,
                "token": self._token,
            },
        )
        self._kick()

    def _log_unknown_job(self, job_id: str, source: str) -> None:
        """Log that a cancel finds no job and is retained."""
        log.info(
            "cancel-without-job",
            extra={"job": job_id, "by": source, "token": self._token},
        )

    # Jobs that can't be decoded.

    def exclude_job(self, job_id: str, error: BadInputError) -> None:
        """Exclude an acknowledged job, one of whose rows can't be decoded.

        Its rows stay unchanged for a daemon that can decode them. Until then this
        daemon neither starts nor stops any of the job's tasks, and tells callers
        neither that the job does not exist nor that it was not accepted.
        """
        if job_id not in self._excluded:
            log.error("job-kept-aside", extra={"job": job_id, "why": str(error)})
        self._excluded.add(job_id)
        if isinstance(error, UnreadableError):
            self._notes.note(Source.CELL_ROW, error)

    def keep_unknown_request(self, job_id: str, error: UnknownKindError) -> None:
        """Note a request of a later version; its row stays in the inbox.

        It may have submitted the job, so that this daemon does not report that the job
        does not exist.
        """
        self._unknown_requests.add(job_id)
        self._notes.note(Source.CELL_ROW, error)

    def on_row_refused(self, table: str, key: str) -> None:
        """Give up a job of which a row can't be written.

        One that has not been acknowledged is withdrawn. Another one fails: what is not
        durable must not be started, and no repetition makes it durable.
        """
        job_id = job_id_of_row(table, key)
        job = self._engine.jobs.get(job_id)
        if job is None:
            return
        log.error("job-not-storable", extra={"job": job_id, "table": table, "key": key})
        if self._submissions.reject(job):
            # Its other rows may have been written, and must not be found.
            self._rows.forget(job)
            return
        self._engine.abandon(job)
        self._kick()

    def is_excluded(self, job_id: str) -> bool:
        """Whether a job is excluded because one of its rows can't be decoded."""
        return job_id in self._excluded

    # The inbox.

    def knows_job(self, job_id: str) -> bool:
        """Whether a job is known, whatever its state."""
        return job_id in self._engine.jobs

    def mark_acknowledged(self, job_id: str) -> None:
        """Note that another daemon has acknowledged a job; it is then never refused."""
        self._engine.jobs[job_id].left_in_inbox = True

    def accept_from_inbox(self, entry: InboxEntry) -> bool:
        """Accept a job; return False if its terms or account are not known here yet.

        An excluded job returns False as well, so that its row stays in the inbox.
        """
        if self.is_excluded(entry.job_id):
            return False
        terms = self._admission.terms_of(entry)
        if terms is None:
            log.warning(
                "inbox-terms-unknown",
                extra={
                    "job": entry.job_id,
                    "route": entry.route,
                    "configuration": entry.configuration_version,
                },
            )
            return False
        try:
            job = new_job(entry.job_id, terms, entry.body.encode())
            if self._engine.shares.in_force and entry.submitted_at_s > 0:
                # Jobs that are read at once did not come at once, and are no excess.
                job.accepted_at_s = min(job.accepted_at_s, entry.submitted_at_s)
            self._accept(job)
            job.left_in_inbox = True
        except BadInputError as error:
            log.warning(
                "inbox-row-bad", extra={"job": entry.job_id, "error": str(error)}
            )
        return True

    def cancel_from_inbox(self, cancel: Cancel) -> None:
        """Cancel a known job if the cancel applies to it."""
        job = self._engine.jobs[cancel.job_id]
        self._pending_cancels.forget(cancel)
        if not job.over and self._admission.covers(cancel, job):
            self._cancel_now(job, "inbox")

    def retain_cancel(self, cancel: Cancel, may_arrive: bool) -> bool:
        """Retain the cancel of an unknown job; return whether its row is still needed.

        :param may_arrive: whether the job is known to wait for its route.
        """
        if not self._pending_cancels.knows(cancel):
            self._log_unknown_job(cancel.job_id, "inbox")
            self._pending_cancels.add(cancel)
        elif may_arrive:
            self._pending_cancels.add(cancel)
        if self._pending_cancels.covers(cancel):
            return True
        self._pending_cancels.forget(cancel)
        return False

    def delete_row(self, key: str) -> None:
        """Delete a row from the inbox."""
        self._commits.mark(TABLE_INBOX, key, lambda: None)


def _reject(reason: str) -> pb.CallReply:
    """Return the answer to a job that will never be accepted as it is."""
    return pb.CallReply(outcome=pb.INVALID, reason=reason)


def _refuse(reason: str) -> pb.CallReply:
    return pb.CallReply(
        outcome=pb.REFUSED, reason=reason, retry_after_s=STORE_RETRY_AFTER_S
    )
