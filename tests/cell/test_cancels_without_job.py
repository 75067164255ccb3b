"""A cancel that finds no job stops it all the same, also when it comes later."""

import base64
import time

from streamthread.cell.rows import Head
from streamthread.cell.rows import HEAD_KEY
from streamthread.cell.rows import TABLE_HEAD
from streamthread.cell.rows import TABLE_INBOX
from streamthread.cell.rows import TABLE_JOBS
from streamthread.gateway import CellDaemon
from streamthread.holder.inbox import InboxEntry
from streamthread.platform.manifest import Route
from streamthread.scheduler import encode_definition
from streamthread.scheduler import Job
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
"""By the users' pages, both confirm a cancel."""

FEED_LIMIT_S = 2.5
"""The holder knows by then that its feed of the inbox brings nothing."""


def _lasting() -> bytes:
    return job(run_s=60, longRunning=True)


async def _write(cell: Cell, table: str, key: str, value: bytes) -> None:
    text = base64.b64encode(value).decode()
    await cell.world.store.put(table, key, text, part=PART)


async def _leave_job(cell: Cell, route: str = ROUTE) -> None:
    """Leave a job in the inbox, as a daemon does that reaches no holder."""
    entry = InboxEntry(JOB_ID, route, _lasting().decode())
    await _write(cell, TABLE_INBOX, f"{JOB_ID}.job", entry.encode())


async def _leave_cancel(cell: Cell) -> None:
    entry = InboxEntry(JOB_ID, ROUTE)
    await _write(cell, TABLE_INBOX, f"{JOB_ID}.cancel", entry.encode())


def _known(cell: Cell) -> Job | None:
    """Return the job as the present holder knows it."""
    daemon = cell.holder()
    if daemon is None or daemon.holder is None:
        return None
    return daemon.holder.engine.jobs.get(JOB_ID)


async def _assert_cancelled(cell: Cell) -> None:
    """Wait until the job has come to the holder, and assert that it is cancelled."""
    found: Job = await until(lambda: _known(cell), "the job has come")
    assert found.cancelled, "the job runs though its cancel was confirmed"
    await until(lambda: not _runs(cell), "nothing of it runs")


def _runs(cell: Cell) -> bool:
    return any(runner.running() for runner in cell.world.runners)


async def _cancel(caller: Caller, at: int = 0) -> int:
    status, _, _ = await caller.call("DELETE", JOB_ID, at=at)
    return status


async def _until_confirmed(caller: Caller, at: int = 0) -> None:
    give_up_at_s = time.monotonic() + 20
    while await _cancel(caller, at) not in CONFIRMED:
        assert time.monotonic() < give_up_at_s, "no cancel is confirmed"


async def _silence_inbox(cell: Cell) -> None:
    """Have the feed of the inbox give no answers from now on."""
    cell.world.store.faults.silent_feed = TABLE_INBOX


class TestJobThatWaitsInTheInbox:
    """The job was accepted into the inbox, and the holder's feed has not brought it.

    The callers have their 2xx: whoever speaks for the cell has to know this job.
    """

    async def test_is_cancelled_by_a_call(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _silence_inbox(cell)
            await _leave_job(cell)
            assert await _cancel(caller) in CONFIRMED
            cell.world.store.faults.silent_feed = ""
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_is_shown(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            await _silence_inbox(cell)
            await _leave_job(cell)
            assert await cell.caller().state(JOB_ID) in ("pending", "running")

    async def test_is_shown_while_the_holder_does_not_know_its_route(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            inbox = daemon.holder.inbox
            await _leave_job(cell, "route-new")
            await until(lambda: inbox.waiting, "the job waits")
            assert await cell.caller().state(JOB_ID) == "pending"

    async def test_is_cancelled_while_the_holder_does_not_know_its_route(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            assert daemon.holder is not None
            inbox = daemon.holder.inbox
            await _leave_job(cell, "route-new")
            await until(lambda: inbox.waiting, "the job waits")
            assert await _cancel(cell.caller()) in CONFIRMED
            await cell.world.write_manifest(9, name="route-new")
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_that_was_cancelled_there_does_not_start_when_handed_in_again(
        self,
    ) -> None:
        """Its hand-in, its cancel, and the hand-in once more: callers do that.

        The first two are in the inbox, whose feed has been silent; the third reaches
        the holder.
        """
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            await _silence_inbox(cell)
            silent_since_s = time.monotonic()
            await _leave_job(cell)
            await _leave_cancel(cell)
            await until(
                lambda: time.monotonic() - silent_since_s > FEED_LIMIT_S,
                "the feed is silent for too long",
            )
            assert await cell.caller().submit(JOB_ID, _lasting()) == 200
            await _assert_cancelled(cell)
            assert cell.world.started == []


class TestStoreAway:
    """The holder can't read the inbox: it does not know what there is."""

    async def test_no_cancel_is_confirmed(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            cell.world.store.faults.refuse = 503
            assert await _cancel(caller) not in CONFIRMED
            cell.world.store.faults.refuse = 0
            await _until_confirmed(caller)

    async def test_no_job_is_called_unknown(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            cell.world.store.faults.refuse = 503
            assert await cell.caller().state(JOB_ID) == "504"


async def _replace_unseen(cell: Cell) -> None:
    """Have another daemon hold the cell and take a job; the holder is not told."""
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
    accepted = new_job(JOB_ID, route, _lasting())
    await _write(cell, TABLE_HEAD, HEAD_KEY, Head("another", 99).encode())
    await _write(cell, TABLE_JOBS, JOB_ID, encode_definition(accepted))


class TestHolderThatWasReplaced:
    """It has lost the cell and not learnt it: the next holder knows more jobs."""

    async def test_confirms_no_cancel_of_a_job_that_it_does_not_know(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _replace_unseen(cell)
            await _until_confirmed(caller)
            await _assert_cancelled(cell)

    async def test_calls_no_job_unknown(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _replace_unseen(cell)
            assert await caller.state(JOB_ID) != "410"


class TestCancelInTheInbox:
    """The caller has its 2xx; the job's row is written late, after the cancel's.

    A store may do a write seconds after it gave no answer to it.
    """

    async def test_stops_a_job_whose_row_is_written_later(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            await _leave_cancel(cell)
            await _until_read(daemon)
            await _leave_job(cell)
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_outlasts_the_holder_that_read_it(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            await _leave_cancel(cell)
            await _until_read(old)
            await _until_next_holder(cell, old)
            await _leave_job(cell)
            await _assert_cancelled(cell)
            assert cell.world.started == []


async def _until_read(daemon: CellDaemon) -> None:
    """Wait until the holder has taken what was in the inbox.

    The row that a test leaves last comes after all others.
    """
    assert daemon.holder is not None
    inbox, log = daemon.holder.inbox, daemon.holder.log
    before = inbox._feed._after
    await until(lambda: inbox._feed._after > before, "the inbox is read")
    sequence = log.sequence
    await until(lambda: log.sequence > sequence + 1, "what follows is durable")


async def _until_next_holder(cell: Cell, old: CellDaemon) -> CellDaemon:
    await old.stop()

    def found() -> CellDaemon | None:
        daemon = cell.holder()
        return daemon if daemon is not old else None

    daemon: CellDaemon = await until(found, "a new holder")
    return daemon


class TestCancelOfNoJob:
    """It was confirmed, since there was no job: from then on none may start.

    A hand-in can come again seconds after its answer, or be written late.
    """

    async def test_holds_for_a_hand_in_that_comes_after_it(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await _cancel(caller) == 410
            assert await caller.submit(JOB_ID, _lasting()) == 200
            await _assert_cancelled(cell)
            assert await caller.state(JOB_ID) == "cancelled"
            assert cell.world.started == []

    async def test_holds_for_a_row_of_the_inbox_that_is_written_later(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            assert await _cancel(cell.caller()) == 410
            await _leave_job(cell)
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_holds_under_the_next_holder(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            at = 1 - cell.daemons.index(old)
            caller = cell.caller()
            assert await _cancel(caller, at) == 410
            await _until_next_holder(cell, old)
            assert await caller.submit(JOB_ID, _lasting(), at) == 200
            await _assert_cancelled(cell)
            assert cell.world.started == []

    async def test_shows_no_job_that_nobody_handed_in(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            for _ in range(2):
                assert await _cancel(caller) == 410
                assert await caller.state(JOB_ID) == "410"


class TestRenamedRoute:
    """The job's route has another name in a newer configuration; its path is the same.

    The caller knows nothing of the name, and its job runs on.
    """

    async def test_does_not_hide_its_jobs(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(JOB_ID, _lasting()) == 200
            await until(lambda: _runs(cell), "the task runs")
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
    """The holder is about to hand the cell over when a cancel comes."""

    async def test_confirms_only_what_the_next_holder_knows(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            caller = cell.caller()
            at = 1 - cell.daemons.index(old)
            assert await caller.submit(JOB_ID, _lasting(), at) == 200
            await until(lambda: _runs(cell), "the task runs")
            assert old.holder is not None
            old.holder.lease_validity.begin_release()
            await _until_confirmed(caller, at)
            await _until_next_holder(cell, old)
            await _assert_cancelled(cell)
