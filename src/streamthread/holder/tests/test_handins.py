"""Hand-ins that wait for a commit that hangs are taken back where that is true."""

import asyncio
import typing as t

import pytest

from streamthread.cell import TABLE_JOBS
from streamthread.cell import TABLE_RUNS
from streamthread.holder.handins import COMMIT_OVERDUE_S
from streamthread.holder.handins import HandIns
from streamthread.platform.manifest import Route
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import new_job
from streamthread.scheduler import RunnerState

BODY = b'{"spec":"","steps":[{"count":1,"cpu":100}]}'
ROUTE = Route(name="route", host="host", path_prefix="/", service="desk")


class _Commits:
    """Commits that hang for as long as a test says."""

    def __init__(self) -> None:
        self.dirty = {(TABLE_JOBS, "a"), (TABLE_RUNS, "a")}
        self.tried_s = 0.0
        self.commit_s = 0.0
        self.in_flight = False
        self.done = asyncio.Event()

    def tried_for_s(self) -> float:
        return self.tried_s

    def unmark(self, table: str, key: str) -> bool:
        if self.in_flight or (table, key) not in self.dirty:
            return False
        self.dirty.remove((table, key))
        return True

    def is_marked(self, table: str, key: str) -> bool:
        return (table, key) in self.dirty

    async def written(self, table: str, key: str) -> None:
        await self.done.wait()


class _Desk:
    def __init__(self) -> None:
        self.commits = _Commits()
        self.engine = Engine(lambda job: None)
        self.hand_ins = HandIns(self.engine, t.cast(t.Any, self.commits))
        self.job = new_job("a", ROUTE, BODY)
        self.engine.add(self.job)

    async def wait(self) -> "asyncio.Task[bool]":
        waiting = asyncio.create_task(self.hand_ins.until_kept(self.job))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return waiting


def _room(job: Job) -> RunnerState:
    runner = RunnerState("i-1", "desk", "127.0.0.1:1", "", (), 1000, 1000, 0)
    runner.ready = True
    return runner


class TestTakenBack:
    async def test_once_a_commit_is_overdue(self) -> None:
        desk = _Desk()
        first, second = await desk.wait(), await desk.wait()
        desk.commits.tried_s = COMMIT_OVERDUE_S + 0.01
        assert desk.hand_ins.take_back_if_overdue(may_accept=True) == 1
        assert not await first
        assert not await second
        assert desk.engine.jobs == {}
        assert desk.commits.dirty == set()

    async def test_at_once_where_no_more_are_accepted(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        assert desk.hand_ins.take_back_if_overdue(may_accept=False) == 1
        assert not await waiting

    async def test_gives_the_room_of_unsent_starts_back(self) -> None:
        desk = _Desk()
        runner = _room(desk.job)
        desk.engine.add_runner(runner)
        desk.engine.begin_due(desk.job.accepted_at_s)
        (attempt,) = desk.engine.place_all(desk.job.accepted_at_s, lambda step: None)
        waiting = await desk.wait()
        desk.hand_ins.take_back_if_overdue(may_accept=False)
        assert not await waiting
        assert runner.idle
        assert attempt not in attempt.task.attempts

    async def test_leaves_nothing_that_stops_the_same_job_later(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        desk.hand_ins.take_back_if_overdue(may_accept=False)
        assert not await waiting
        desk.job = new_job("a", ROUTE, BODY)
        desk.engine.add(desk.job)
        again = await desk.wait()
        desk.commits.done.set()
        assert await again


class TestLeftInTheInbox:
    """Another daemon had no answer in time, left the job there and accepted it."""

    async def test_is_not_taken_back(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        desk.job.left_in_inbox = True
        assert desk.hand_ins.take_back_if_overdue(may_accept=False) == 0
        desk.commits.done.set()
        assert await waiting


class TestNoMoreWaitedFor:
    async def test_is_a_job_that_is_durable(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        desk.commits.dirty.clear()
        desk.commits.done.set()
        assert await waiting
        assert desk.hand_ins._waiting == {}

    async def test_is_a_job_whose_callers_gave_up(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert len(desk.hand_ins._waiting) == 1
        desk.commits.dirty.clear()
        desk.hand_ins.take_back_if_overdue(may_accept=True)
        assert desk.hand_ins._waiting == {}


class TestKept:
    @pytest.mark.parametrize("tried_s", [0.0, COMMIT_OVERDUE_S])
    async def test_while_commits_are_only_slow(self, tried_s: float) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        desk.commits.tried_s = tried_s
        assert desk.hand_ins.take_back_if_overdue(may_accept=True) == 0
        desk.commits.done.set()
        assert await waiting
        assert desk.job.durable

    async def test_where_a_transaction_may_have_carried_it(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        desk.commits.in_flight = True
        assert desk.hand_ins.take_back_if_overdue(may_accept=False) == 0
        desk.commits.done.set()
        assert await waiting
        assert "a" in desk.engine.jobs

    async def test_where_it_was_cancelled_meanwhile(self) -> None:
        desk = _Desk()
        waiting = await desk.wait()
        desk.engine.cancel(desk.job)
        assert desk.hand_ins.take_back_if_overdue(may_accept=False) == 0
        desk.commits.done.set()
        assert await waiting
