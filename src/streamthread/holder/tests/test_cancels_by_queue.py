"""A cancel at one queue does not cancel a job of another queue.

The failure: only a cancel that a caller sends for a known job is checked against the
job's queue. One that arrives before the job, or through the inbox, is not checked.
"""

import typing as t

from streamthread.cell import cell_pb2 as pb
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import InboxReader
from streamthread.holder.inbox import RequestKind
from streamthread.platform.store import StoredRow

from .test_intake import Cell
from .test_intake import JOB_ID


class TestCancelAtAnotherQueue:
    async def test_before_a_job_arrives_does_not_cancel_it(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        request = cell.request(pb.CANCEL)
        request.route = "other"
        await cell.intake.answer(request)
        reply = await cell.ask(pb.SUBMIT)
        assert (reply.outcome, reply.state) == (pb.OK, "pending")

    async def test_from_the_inbox_does_not_cancel_it(self) -> None:
        cell = Cell()
        job = cell.add_job()
        feed: t.Any = None
        row = InboxEntry(RequestKind.CANCEL, JOB_ID, "other").encode()
        reader = InboxReader(feed, cell.intake)
        reader.take([StoredRow("cell-inbox", "main", "k", row, 1)])
        assert not job.cancelled
