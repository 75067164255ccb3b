"""The holder: accepts jobs and cancels, and starts, extends and stops the runs."""

import asyncio
import time
import typing as t

import logbook

from ..capacity.demand import job_work
from ..cell import AcquiredCell
from ..cell import cell_pb2 as pb
from ..cell import CommitLog
from ..cell import TABLE_INBOX
from ..clocks import boot_s
from ..errors import NotHolderError
from ..halls import HallOutages
from ..loops import Loop
from ..loops import LoopKeeper
from ..loops import RecentCount
from ..platform.store import Page
from ..platform.table_feed import TableFeed
from ..runners import RunnerLink
from ..scheduler import Attempt
from ..scheduler import Engine
from ..scheduler import Job
from ..scheduler import StepRun
from ..scheduler.fleet import RunnerState
from ..scheduler.fleet import usable_runners
from ..scheduler.orders import OrderSender
from ..scheduler.orders import SenderOwner
from .admission import AdmissionPolicy
from .advice import AdviceCache
from .advice_coverage import Coverage
from .context import HolderContext
from .duties import DutyLoop
from .forecasts import CapacityParts
from .forecasts import Forecasts
from .housekeeping import Housekeeping
from .inbox import InboxReader
from .intake import Intake
from .job_rows import JobRows
from .lease_validity import LeaseValidity
from .listing import RunnerListing
from .outage_watch import OutageWatch
from .queue import QueueLoop
from .queue import QueueOwner
from .replay import read_jobs
from .replay import read_with_retry
from .runner_manager import RunnerManager
from .runner_manager import RunnerManagerOwner

__all__ = ["Holder"]

log = logbook.Logger("streamthread.holder")

T = t.TypeVar("T")
"""The result of a call that is made while the lease is valid."""

MAX_FAILURES = 10
"""The cell is released after more unexpected failures of loops than this within
:data:`FAILURES_PERIOD_S`. The next holder rebuilds its memory from the rows, which
clears a fault in this holder's memory. If a row is the cause, the next holder fails
too; each holder then keeps the cell for about 15 s, in which runs are extended and
most callers are answered."""

FAILURES_PERIOD_S = 30.0
"""A loop that always fails is restarted every 2 s, about 17 times in this period."""


class Holder(SenderOwner, RunnerManagerOwner, QueueOwner):
    """Runs everything that only the cell's holder does, from acquisition to loss.

    :param active: the jobs and the inbox have been read, and requests are answered.
    :param failed: unexpected failures have ended this holder.
    :param outages: the halls that are lost now.
    """

    def __init__(self, context: HolderContext, taken: AcquiredCell) -> None:
        self.context = context
        self.settings = context.settings
        self.taken = taken
        self.token = taken.owner.token
        self.links: dict[str, RunnerLink] = {}
        self.admission = AdmissionPolicy(context.documents)
        self.engine = Engine(
            self._record_progress,
            self.settings.engine,
            self.admission.limit_of,
            self.admission.are_limits_known,
            context.halls,
            self.admission.weights,
            taken.observed_from_s,
        )
        self.active = False
        self.log = self._open_log()
        self.rows = JobRows(self.log, self.settings.max_row_bytes)
        self.lease_validity = LeaseValidity(
            self.log, self.settings.times, self.settings.links.most_hold_s
        )
        self.sender = OrderSender(
            context.runners, self.engine, self, self.settings.orders
        )
        self.duties: DutyLoop | None = None
        if context.cloud is not None:
            self.duties = DutyLoop(self, context.cloud, self.settings.duties)
        self.advice = self._open_advice()
        self.queue = QueueLoop(self)
        self._runner_manager = RunnerManager(self)
        self.listing = RunnerListing(
            context.store,
            self.links,
            context.documents,
            self.settings.list_pause_s,
            self._runner_manager,
            context.notes,
        )
        self.forecasts = Forecasts(self.engine, self._obtainable)
        self.engine.choices.arriving = self._arriving
        self.engine.on_fault = context.failures.note
        self.intake = self._open_intake()
        self.inbox = self._open_inbox()
        self.outages = HallOutages()
        watch = OutageWatch(self.links, self.outages)
        self._housekeeping = Housekeeping(
            self,
            self.inbox,
            self.intake,
            watch if self.settings.watches_halls else None,
        )
        self._supervisor = LoopKeeper(
            context.failures, (NotHolderError,), self._on_failure
        )
        # An order concerns one task or one machine: its failure is no reason to release
        # the cell, as the next holder sends the same order.
        self._calls = LoopKeeper(context.failures, (NotHolderError,))
        self._failed_loops = RecentCount()
        self.failed = False
        self._group: asyncio.TaskGroup | None = None
        self._lost: asyncio.Future[None] | None = None

    # Components.

    def _open_log(self) -> CommitLog:
        return CommitLog(
            self.context.store,
            self.settings.part,
            self.token,
            self.taken.head_version,
            self.taken.acquired_at_s,
            self.settings.times.renew_s,
            self.settings.times,
            self.settings.max_row_bytes,
            self._on_row_refused,
        )

    def _open_advice(self) -> AdviceCache | None:
        if self.context.advice is None:
            return None
        return AdviceCache(
            self.context.advice,
            self.admission.advice_of,
            self._usable_runners,
            self.kick,
        )

    def _usable_runners(self, pool: str, last_resort: bool) -> list[RunnerState]:
        return usable_runners(self.engine.runners.values(), pool, last_resort)

    def _open_intake(self) -> Intake:
        return Intake(
            self.engine,
            self.log,
            self.admission,
            self.token,
            lambda: self.inbox,
            lambda: self.lease_validity.trusted,
            self.lease_validity.may_accept,
            self._on_accepted,
            self.kick,
            self.settings.forget_s,
            self.context.notes,
            self.forecasts,
            self.rows,
        )

    def _obtainable(self, pool: str) -> CapacityParts | None:
        """Return what a pool gets or may get; None if its machines are unknown."""
        return self.duties.obtainable(pool) if self.duties is not None else None

    def _arriving(self, pool: str) -> CapacityParts:
        """Return what is on its way into a pool."""
        return self.duties.arriving(pool) if self.duties is not None else ()

    def _open_inbox(self) -> InboxReader:
        feed = TableFeed(
            self.context.store,
            TABLE_INBOX,
            self.settings.part,
            self.settings.times.feed_wait_s,
        )
        return InboxReader(feed, self.intake)

    # Lifecycle.

    async def run(self) -> None:
        """Hold the cell until it is lost or released."""
        self._lost = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.TaskGroup() as group:
                self._group = group
                group.create_task(self._until_lost())
                group.create_task(self.log.run())
                await self._replay()
                await self.inbox.read()
                self.active = True
                for name, loop in self._loops():
                    group.create_task(self._supervisor.keep(name, loop))
        except* NotHolderError as group_error:
            reasons = [str(error) for error in group_error.exceptions]
            log.warning("holder-ends", extra={"token": self.token, "why": reasons})
        except* Exception as group_error:
            # Without the commits or the replay, the holder can't do anything.
            self.failed = True
            self.context.failures.note("holder", group_error)
        finally:
            self.active = False
            self._group = None

    def _loops(self) -> t.Iterator[tuple[str, Loop]]:
        """Yield the named loops that run from the replay until the cell is lost."""
        yield "listing", self.listing.run
        yield "inbox", self.inbox.run
        yield "queue", self.queue.run
        yield "forget", self._housekeeping.forget_ended_jobs
        yield "orphans", self._housekeeping.drop_orphans
        yield "watch-runs", self._housekeeping.watch_runs
        yield "trouble", self._housekeeping.extend_while_commits_fail
        if self.duties is not None:
            yield "duties", self.duties.run
        if self.advice is not None:
            yield "advice", self.advice.run

    def _on_failure(self, name: str) -> None:
        """Release the cell after too many unexpected failures of its loops."""
        self._failed_loops.add()
        if self._failed_loops.within(FAILURES_PERIOD_S) > MAX_FAILURES:
            self.failed = True
            self.give_up(f"too many unexpected failures, the last one in {name}")

    async def _until_lost(self) -> None:
        assert self._lost is not None
        await self._lost

    def give_up(self, why: str) -> None:
        """End this holder and stop all its loops."""
        self.active = False
        if self._lost is not None and not self._lost.done():
            self._lost.set_exception(
                NotHolderError(why, remedy="the next holder continues")
            )

    async def _replay(self) -> None:
        replayed = await read_with_retry(
            lambda: read_jobs(self.context.store, self.settings.part), "replay-failed"
        )
        for job in sorted(replayed.jobs, key=lambda job: job.accepted_at_s):
            self.engine.add(job)
            self.rows.restore(job, replayed.chunks.get(job.job_id, ()))
            self._record_arrival(job)
        self.rows.delete_unused(replayed.unused)
        for job_id, error in replayed.unreadable.items():
            self.intake.exclude_job(job_id, error)
        log.info(
            "replayed",
            extra={
                "token": self.token,
                "jobs": len(replayed.jobs),
                "open": len(self.engine.open_jobs()),
                "to_stop": self.engine.stops.count,
                "unreadable": len(replayed.unreadable),
                "took_s": round(replayed.took_s, 4),
            },
        )

    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run a coroutine concurrently for as long as the cell is held."""
        if self._group is None:
            call.close()
            return
        self._group.create_task(self._calls.once(_name_of(call), call))

    async def read_cell_table(self, table: str) -> Page:
        """Read one of the cell's tables, retrying until the store answers."""
        return await read_with_retry(
            lambda: self.context.store.read_all(table, self.settings.part),
            "unreadable",
            table=table,
        )

    # Lease validity.

    @property
    def trusted(self) -> bool:
        """Whether this daemon's lease on the cell is certainly valid."""
        return self.lease_validity.trusted

    @property
    def releasing(self) -> bool:
        """Whether the cell is being released; no new orders are sent then."""
        return self.lease_validity.releasing

    async def until_trusted(self) -> None:
        """Wait until this daemon's lease on the cell is certainly valid."""
        await self.lease_validity.until_trusted()

    async def while_trusted(self, call: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Return a call's result; cancel it once the lease is not certainly valid.

        :raises OrderAbortedError: it was cancelled, and may have been carried out.
        """
        return await self.lease_validity.while_trusted(call)

    async def until_durable(self) -> None:
        """Return once all changes that were recorded before are durable."""
        await self.log.flushed()

    def may_extend_s(self, wanted_s: float) -> float:
        """Return for how long runs may be extended now; 0 means not at all."""
        return self.lease_validity.may_extend_s(wanted_s)

    # Persistence.

    def _record_progress(self, job: Job) -> None:
        self.rows.record(job)

    def _on_row_refused(self, table: str, key: str) -> None:
        """Give up the job of which a row can't be written; the others go on."""
        self.intake.on_row_refused(table, key)

    # Jobs.

    async def handle(self, request: pb.CallRequest) -> pb.CallReply:
        """Answer a caller's request that arrived here or was forwarded by a peer."""
        if not self.active:
            return pb.CallReply(outcome=pb.NOT_HOLDER)
        return await self.intake.answer(request)

    def _on_accepted(self, job: Job) -> None:
        self.queue.run_pass_soon()
        self._request_advice(job)
        self._record_arrival(job)

    def _record_arrival(self, job: Job) -> None:
        """Report a job's arrival, here or at an earlier holder, to the duties."""
        if self.duties is None or job.excess:
            # Excess gets only what no pool needs, so it is no burst.
            return
        if self.engine.accounts.has_used_limit(job.account):
            # Its jobs wait for the account's own runs to end, so they need no machines.
            return
        work = job_work(job, self.engine.times)
        if work:
            age_s = max(0.0, time.time() - job.accepted_at_s)
            self.duties.record_job(job.service, work, boot_s() - age_s)

    def _request_advice(self, job: Job) -> None:
        """Request tickets for all steps now, so that later steps don't wait."""
        if self.advice is None:
            return
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                self.advice.request(step)

    # The queue.

    @property
    def may_place(self) -> bool:
        """Whether new tasks may be sent to runners now."""
        return self.trusted and not self.releasing and self._group is not None

    def kick(self) -> None:
        """Schedule a pass over the queue soon."""
        self.queue.kick()

    def tickets_for(self, step: StepRun) -> t.Collection[str] | None:
        """Return the ids of the runners that may run a step; None means all."""
        return None if self.advice is None else self.advice.allowed(step)

    def policy_coverage(self) -> dict[str, Coverage]:
        """Return by pool whether policies permit the runners that waiting steps need.

        Pools without a waiting step that has a policy are left out.
        """
        return {} if self.advice is None else self.advice.coverage()

    def ticket_for(self, attempt: Attempt) -> str:
        """Return the ticket that a start must carry, or an empty string."""
        if self.advice is None:
            return ""
        return self.advice.ticket(attempt.task.step, attempt.runner_id)

    def forget_tickets(self, runner_id: str) -> None:
        """Discard the tickets for a runner incarnation that has exited."""
        if self.advice is not None:
            self.advice.forget_runner(runner_id)

    def on_bad_ticket(self, attempt: Attempt) -> None:
        """Handle a runner's rejection of a ticket."""
        if self.advice is not None:
            self.advice.reject(attempt.task.step, attempt.runner_id)

    # Runners.

    def is_excluded(self, job_id: str) -> bool:
        """Whether a job is excluded because one of its rows can't be decoded."""
        return self.intake.is_excluded(job_id)

    def on_runner_exit(self, link: RunnerLink, why: str) -> None:
        """Handle the exit of this runner incarnation."""
        if self.links.get(link.runner.runner_id) is not link:
            # The next incarnation under this id already has a link.
            return
        del self.links[link.runner.runner_id]
        self.engine.runner_exited(link.runner.runner_id, why)
        self.kick()

    def on_fenced(self, link: RunnerLink) -> None:
        """Handle a runner's report that it has seen a higher fencing token."""
        log.warning("fenced", extra={"runner": link.runner.runner_id})
        self.give_up("a runner has seen a higher fencing token")


def _name_of(call: t.Coroutine[t.Any, t.Any, None]) -> str:
    """Return the name of a coroutine's function, for the logs."""
    return getattr(call, "__qualname__", "call")
