"""A job that ends while an answer waits for a commit needs another commit."""

import asyncio
import typing as t

from streamthread.cell import cell_pb2 as pb
from streamthread.holder.submissions import Submissions

from .test_intake import _Commits
from .test_intake import Cell
from .test_intake import JOB_ID


class _ExactCommits(_Commits):
    """A flush makes durable what was marked before it, and nothing marked since."""

    def __init__(self) -> None:
        super().__init__()
        self.flushes = 0

    async def flushed(self) -> None:
        before = list(self.marked)
        if before:
            self.flushes += 1
            await self._commit()
            for key in before:
                self.marked.pop(key, None)


class TestEndDuringAnAnswer:
    async def test_is_reported_once_it_is_durable(self) -> None:
        cell = Cell()
        commits = _ExactCommits()
        cell.commits = cell.intake._commits = commits
        cell.intake._submissions = Submissions(cell.engine, t.cast(t.Any, commits))
        job = cell.add_job()
        job.durable = False
        commits.mark("cell-jobs", JOB_ID, None)
        answer = asyncio.ensure_future(cell.ask(pb.STATE))
        while not commits.flushes:
            await asyncio.sleep(0)
        cell.engine.cancel(job)
        assert commits.is_marked("cell-runs", JOB_ID)
        commits.may_commit.set()
        assert (await answer).state == "cancelled"
        assert not commits.is_marked("cell-runs", JOB_ID)
        assert commits.flushes == 2
