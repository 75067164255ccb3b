"""New jobs that are not durable yet, and the calls that wait for them."""

import asyncio
import typing as t

import logbook

from ..cell import CommitLog
from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..scheduler import Engine
from ..scheduler import Job

__all__ = ["Submissions"]

log = logbook.Logger("streamthread.holder")

COMMIT_OVERDUE_S = 0.75
"""A commit that has been tried for longer probably waits for an unresponsive store: one
takes 0.55 s in a store that is 60 times slower. Callers' requests are forwarded for
a second, so a refusal after this time still reaches them."""

OVERDUE_COMMITS = 1.3
"""Factor for slow commits: a commit is not overdue before it has been tried for this
multiple of the duration of recent commits."""

LATE_CHECK_S = 0.05
"""A check that runs later than this decides nothing: the event loop stood still, and
the answer to the commit may be unread. The checks are 0.1 s apart."""


class Submissions:
    """Withdraws new jobs that no transaction has carried to the store.

    An unresponsive store is only noticed by its missing answers. A caller that submits
    a job meanwhile would wait for its whole time limit and then get an unknown outcome.
    A job that waits for the commit after the hanging one has not left this process, so
    it can be refused safely, and its caller told when to retry.

    :param on_withdrawn: called with each job that is withdrawn.
    """

    def __init__(
        self,
        engine: Engine,
        commits: CommitLog,
        on_withdrawn: t.Callable[[Job], None] = lambda job: None,
    ) -> None:
        self._engine = engine
        self._commits = commits
        self._on_withdrawn = on_withdrawn
        # Jobs with a future that is resolved when the job is withdrawn.
        self._waiting: dict[str, tuple[Job, asyncio.Future[None]]] = {}
        # For how long the current commit had been tried at the last check, and for how
        # much of that time the event loop stood still.
        self._tried_s = 0.0
        self._stalled_s = 0.0
        self._postponed = False

    async def until_durable(self, job: Job) -> bool:
        """Wait until a job is durable; return False if it was withdrawn and never runs.

        :raises NotHolderError: the cell is lost; the job may be durable.
        """
        if job.durable:
            return True
        withdrawn = self._withdrawal_of(job)
        written = asyncio.ensure_future(self._commits.written(TABLE_JOBS, job.job_id))
        try:
            await asyncio.wait(
                (written, withdrawn), return_when=asyncio.FIRST_COMPLETED
            )
            if withdrawn.done():
                return False
            await written
            job.durable = True
            return True
        finally:
            written.cancel()
            self._forget_if_written(job)

    def _withdrawal_of(self, job: Job) -> "asyncio.Future[None]":
        known = self._waiting.get(job.job_id)
        if known is not None and known[0] is job:
            return known[1]
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[job.job_id] = (job, future)
        return future

    def _forget_if_written(self, job: Job) -> None:
        """Stop tracking a job once its row is written."""
        known = self._waiting.get(job.job_id)
        if known is None or known[0] is not job:
            return
        if not self._commits.is_marked(TABLE_JOBS, job.job_id):
            del self._waiting[job.job_id]

    def withdraw_if_overdue(self, may_accept: bool, late_s: float = 0.0) -> int:
        """Withdraw the jobs that no transaction has carried, if commits are overdue.

        :param may_accept: whether new jobs are accepted now; if not, the jobs are
            withdrawn at once.
        :param late_s: how much later than planned this check runs.
        :return: how many jobs were withdrawn.
        """
        # A job whose callers gave up before its row was written is still tracked.
        for job, _ in list(self._waiting.values()):
            self._forget_if_written(job)
        self._count_stall(late_s)
        if self._postpone(late_s):
            return 0
        if may_accept and not self._is_overdue():
            return 0
        withdrawn_ids = [
            job_id for job_id in list(self._waiting) if self._withdraw(job_id)
        ]
        if withdrawn_ids:
            log.warning(
                "hand-ins-taken-back",
                extra={
                    "jobs": withdrawn_ids,
                    "tried_for_s": round(self._commits.tried_for_s(), 3),
                    "stalled_s": round(self._stalled_s, 3),
                },
            )
        return len(withdrawn_ids)

    def _count_stall(self, late_s: float) -> None:
        """Add to the time for which the event loop stood still in this commit."""
        tried_s = self._commits.tried_for_s()
        if tried_s < self._tried_s:
            # Another commit has begun since the last check.
            self._stalled_s = 0.0
        self._tried_s = tried_s
        self._stalled_s = min(self._stalled_s + late_s, tried_s)

    def _postpone(self, late_s: float) -> bool:
        """Whether to leave the decision to the next check, which then decides."""
        self._postponed = late_s > LATE_CHECK_S and not self._postponed
        return self._postponed

    def _is_overdue(self) -> bool:
        """Whether the current commit has been tried for too long.

        The time for which the event loop stood still doesn't count.
        """
        limit_s = max(COMMIT_OVERDUE_S, OVERDUE_COMMITS * self._commits.commit_s)
        return self._commits.tried_for_s() - self._stalled_s > limit_s

    def _withdraw(self, job_id: str) -> bool:
        job, future = self._waiting[job_id]
        if job.durable or job.over or future.done():
            return False
        if job.left_in_inbox:
            # The next commit deletes its inbox row; then only this holder has the job.
            return False
        if not self._commits.unmark(TABLE_JOBS, job_id):
            return False
        self._drop(job)
        return True

    def reject(self, job: Job) -> bool:
        """Withdraw a job whose rows the store never takes; return whether it was new.

        A job that has been acknowledged stays.
        """
        if job.durable or job.left_in_inbox or job.over:
            return False
        self._commits.unmark(TABLE_JOBS, job.job_id)
        job.rejected = True
        self._drop(job)
        return True

    def _drop(self, job: Job) -> None:
        self._commits.unmark(TABLE_RUNS, job.job_id)
        self._engine.withdraw(job)
        self._on_withdrawn(job)
        known = self._waiting.get(job.job_id)
        if known is not None and known[0] is job:
            del self._waiting[job.job_id]
            known[1].set_result(None)
