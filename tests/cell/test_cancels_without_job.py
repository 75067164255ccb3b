"""A cancel that finds no job is effective even if the job arrives later."""

import base64
import time

from streamthread.cell.rows import Head
from streamthread.cell.rows import HEAD_KEY
from streamthread.cell.rows import TABLE_HEAD
from streamthread.cell.rows import TABLE_INBOX
from streamthread.cell.rows import TABLE_JOBS
from streamthread.gateway import CellDaemon
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import RequestKind
from streamthread.platform.manifest import Route
from streamthread.scheduler import encode_definition
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job

from .support import Caller
from .support import Cell
from .support import job
from .support import running_cell
from .support import until

JOB_ID = "a" * 16
PART = "main"
ROUTE = "route-desk"
CONFIRMED = (200, 410)
"""The statuses that confirm a cancel, according to the user documentation."""

SILENT_FEED_S = 2.5
"""Within this time, the holder notices that its feed of the inbox gives no answers."""


def _long_running_job() -> bytes:
    return job(run_s=60, longRunning=True)


async def _put(cell: Cell, table: str, key: str, value: bytes) -> None:
    text = base64.b64encode(value).decode()
    await cell.world.store.put(table, key, text, part=PART)


async def _write_job(cell: Cell, route: str = ROUTE) -> None:
    """Write a job to the inbox, like a daemon that reaches no holder."""
    entry = InboxEntry(RequestKind.SUBMIT, JOB_ID, route, _long_running_job().decode())
    await _put(cell, TABLE_INBOX, f"{JOB_ID}.job", entry.encode())


async def _write_cancel(cell: Cell) -> None:
    entry = InboxEntry(RequestKind.CANCEL, JOB_ID, ROUTE)
    await _put(cell, TABLE_INBOX, f"{JOB_ID}.cancel", entry.encode())


def _known_job(cell: Cell) -> Job | None:
    """Return the job as the current holder knows it."""
    daemon = cell.holder()
    if daemon is None or daemon.holder is None:
        return None
    return daemon.holder.engine.jobs.get(JOB_ID)


async def _assert_cancelled(cell: Cell) -> None:
    """Wait until the holder has the job, and assert that it is cancelled."""
    known_job: Job = await until(lambda: _known_job(cell), "the holder has the job")
    assert known_job.cancelled, "the job runs though its cancel was confirmed"
    await until(lambda: not _is_running(cell), "no run of the job is left")


def _is_running(cell: Cell) -> bool:
    return any(runner.running() for runner in cell.world.runners)


async def _cancel(caller: Caller, at: int = 0) -> int:
    status, _, _ = await caller.call("DELETE", JOB_ID, at=at)
    return status


async def _until_confirmed(caller: Caller, at: int = 0) -> None:
    deadline_at_s = time.monotonic() + 20
    while await _cancel(caller, at) not in CONFIRMED:
        assert time.monotonic() < deadline_at_s, "no cancel is confirmed"


async def _silence_inbox(cell: Cell) -> None:
    """Have the feed of the inbox give no answers from now on."""
    cell.world.store.faults.silent_feed = TABLE_INBOX


class TestJobThatWaitsInTheInbox:
    """A job was accepted into the inbox, and the holder's feed has not returned it yet.

    The caller has got a 2xx, so every answer for the cell has to account for the job.
    """

    async def test_is_cancelled_by_a_call(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _silence_inbox(cell)
            await _write_job(cell)
            assert await _cancel(caller) in CONFIRMED
            cell.world.store.faults.silent_feed = ""
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_is_reported(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            await _silence_inbox(cell)
            await _write_job(cell)
            assert await cell.caller().state(JOB_ID) in ("pending", "running")

    async def test_is_reported_while_the_holder_does_not_know_its_route(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            inbox = daemon.holder.inbox
            await _write_job(cell, "route-new")
            await until(lambda: inbox.waiting, "the job waits")
            assert await cell.caller().state(JOB_ID) == "pending"

    async def test_is_cancelled_while_the_holder_does_not_know_its_route(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            inbox = daemon.holder.inbox
            await _write_job(cell, "route-new")
            await until(lambda: inbox.waiting, "the job waits")
            assert await _cancel(cell.caller()) in CONFIRMED
            await cell.world.write_manifest(9, name="route-new")
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_that_was_cancelled_there_does_not_start_when_resubmitted(
        self,
    ) -> None:
        """Callers may submit a job, cancel it, and submit it again.

        The first two requests are in the inbox, whose feed has been silent; the third
        one reaches the holder.
        """
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            await _silence_inbox(cell)
            silent_since_s = time.monotonic()
            await _write_job(cell)
            await _write_cancel(cell)
            await until(
                lambda: time.monotonic() - silent_since_s > SILENT_FEED_S,
                "the holder notices that the feed is silent",
            )
            assert await cell.caller().submit(JOB_ID, _long_running_job()) == 200
            await _assert_cancelled(cell)
            assert cell.world.started == []


class TestUnavailableStore:
    """The holder can't read the inbox, so it doesn't know all jobs."""

    async def test_no_cancel_is_confirmed(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            cell.world.store.faults.refuse = 503
            assert await _cancel(caller) not in CONFIRMED
            cell.world.store.faults.refuse = 0
            await _until_confirmed(caller)

    async def test_no_job_is_reported_as_unknown(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.store.faults.refuse = 503
            assert await cell.caller().state(JOB_ID) == "504"


async def _replace_holder_silently(cell: Cell) -> None:
    """Write the rows of a new holder that has accepted a job, without notice to the old
    holder."""
    route = Route(
        name=ROUTE,
        host="desk.example",
        path_prefix="/jobs/",
        service="desk",
        priority=0,
        max_attempts=3,
        stretch=1.6,
        target_s=0.6,
    )
    accepted = new_job(JOB_ID, JobTerms.of_route(route), _long_running_job())
    await _put(cell, TABLE_HEAD, HEAD_KEY, Head("another", 99).encode())
    await _put(cell, TABLE_JOBS, JOB_ID, encode_definition(accepted))


class TestHolderThatWasReplaced:
    """The holder has lost the cell without noticing; the next holder has more jobs."""

    async def test_confirms_no_cancel_of_a_job_that_it_does_not_know(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _replace_holder_silently(cell)
            await _until_confirmed(caller)
            await _assert_cancelled(cell)

    async def test_reports_no_job_as_unknown(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _replace_holder_silently(cell)
            assert await caller.state(JOB_ID) != "410"


class TestCancelInTheInbox:
    """The caller has got a 2xx, and the job's row is written after the cancel's row.

    A store may apply a write seconds after the write timed out without an answer.
    """

    async def test_stops_a_job_whose_row_is_written_later(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            await _write_cancel(cell)
            await _until_read(daemon)
            await _write_job(cell)
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_survives_the_holder_that_read_it(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            await _write_cancel(cell)
            await _until_read(old)
            await _until_next_holder(cell, old)
            await _write_job(cell)
            await _assert_cancelled(cell)
            assert cell.world.started == []


async def _until_read(daemon: CellDaemon) -> None:
    """Wait until the holder has processed the inbox.

    The row that a test writes last is read after all others.
    """
    assert daemon.holder is not None
    inbox, log = daemon.holder.inbox, daemon.holder.log
    before = inbox._feed._after
    await until(lambda: inbox._feed._after > before, "the inbox is read")
    sequence = log.sequence
    await until(
        lambda: log.sequence > sequence + 1, "the commits that follow are durable"
    )


async def _until_next_holder(cell: Cell, old: CellDaemon) -> CellDaemon:
    await old.stop()

    def new_holder() -> CellDaemon | None:
        daemon = cell.holder()
        return daemon if daemon is not old else None

    daemon: CellDaemon = await until(new_holder, "a new holder")
    return daemon


class TestCancelOfNoJob:
    """The cancel was confirmed since there was no job, so the job may not start later.

    A submission can be repeated seconds after its answer, or be written late.
    """

    async def test_applies_to_a_later_submission(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await _cancel(caller) == 410
            assert await caller.submit(JOB_ID, _long_running_job()) == 200
            await _assert_cancelled(cell)
            assert await caller.state(JOB_ID) == "cancelled"
            assert cell.world.started == []

    async def test_applies_to_an_inbox_row_that_is_written_later(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            assert await _cancel(cell.caller()) == 410
            await _write_job(cell)
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_applies_under_the_next_holder(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            at = 1 - cell.daemons.index(old)
            caller = cell.caller()
            assert await _cancel(caller, at) == 410
            await _until_next_holder(cell, old)
            assert await caller.submit(JOB_ID, _long_running_job(), at) == 200
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_reports_no_job_that_was_not_submitted(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            for _ in range(2):
                assert await _cancel(caller) == 410
                assert await caller.state(JOB_ID) == "410"


class TestRenamedRoute:
    """A newer configuration renames the job's route, and keeps its path.

    Callers don't see the name of a route, and the job runs on.
    """

    async def test_does_not_hide_its_jobs(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(JOB_ID, _long_running_job()) == 200
            await until(lambda: _is_running(cell), "the task runs")
            await cell.world.write_manifest(2, name="route-renamed")
            documents = daemon.documents
            await until(
                lambda: documents.manifest and documents.manifest.version == 2,
                "the new name is in force",
            )
            assert await caller.state(JOB_ID) == "running"
            assert await _cancel(caller) in CONFIRMED
            await _assert_cancelled(cell)


class TestPlannedStop:
    """The holder is about to release the cell when a cancel arrives."""

    async def test_confirms_only_what_the_next_holder_knows(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            caller = cell.caller()
            at = 1 - cell.daemons.index(old)
            assert await caller.submit(JOB_ID, _long_running_job(), at) == 200
            await until(lambda: _is_running(cell), "the task runs")
            assert old.holder is not None
            old.holder.lease_validity.begin_release()
            await _until_confirmed(caller, at)
            await _until_next_holder(cell, old)
            await _assert_cancelled(cell)
