"""Submissions whose commit hangs are withdrawn if no transaction has carried them."""

import asyncio
import typing as t

import pytest

from streamthread.cell import TABLE_JOBS
from streamthread.cell import TABLE_RUNS
from streamthread.holder.submissions import COMMIT_OVERDUE_S
from streamthread.holder.submissions import LATE_CHECK_S
from streamthread.holder.submissions import Submissions
from streamthread.platform.manifest import Route
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import RunnerState

BODY = b'{"spec":"","steps":[{"count":1,"cpu":100}]}'
ROUTE = Route(name="route", host="host", path_prefix="/", service="desk")


class _Commits:
    """Commits that hang until a test lets them finish."""

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


class _Fixture:
    def __init__(self) -> None:
        self.commits = _Commits()
        self.engine = Engine(lambda job: None)
        self.submissions = Submissions(self.engine, t.cast(t.Any, self.commits))
        self.job = new_job("a", JobTerms.of_route(ROUTE), BODY)
        self.engine.add(self.job)

    async def wait(self) -> "asyncio.Task[bool]":
        waiting = asyncio.create_task(self.submissions.until_durable(self.job))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return waiting


def _runner(job: Job) -> RunnerState:
    runner = RunnerState("i-1", "desk", "127.0.0.1:1", "", (), 1000, 1000, 0)
    runner.ready = True
    return runner


class TestWithdrawn:
    async def test_once_a_commit_is_overdue(self) -> None:
        fixture = _Fixture()
        first, second = await fixture.wait(), await fixture.wait()
        fixture.commits.tried_s = COMMIT_OVERDUE_S + 0.01
        assert fixture.submissions.withdraw_if_overdue(may_accept=True) == 1
        assert not await first
        assert not await second
        assert fixture.engine.jobs == {}
        assert fixture.commits.dirty == set()

    async def test_at_once_if_no_more_are_accepted(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        assert fixture.submissions.withdraw_if_overdue(may_accept=False) == 1
        assert not await waiting

    async def test_frees_the_resources_of_unsent_starts(self) -> None:
        fixture = _Fixture()
        runner = _runner(fixture.job)
        fixture.engine.add_runner(runner)
        fixture.engine.begin_due(fixture.job.accepted_at_s)
        (attempt,) = fixture.engine.place_all(
            fixture.job.accepted_at_s, lambda step: None
        )
        waiting = await fixture.wait()
        fixture.submissions.withdraw_if_overdue(may_accept=False)
        assert not await waiting
        assert runner.idle
        assert attempt not in attempt.task.attempts

    async def test_does_not_affect_a_later_submission_of_the_same_job(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.submissions.withdraw_if_overdue(may_accept=False)
        assert not await waiting
        fixture.job = new_job("a", JobTerms.of_route(ROUTE), BODY)
        fixture.engine.add(fixture.job)
        again = await fixture.wait()
        fixture.commits.done.set()
        assert await again


class TestLeftInTheInbox:
    """Another daemon got no answer in time and left the accepted job in the inbox."""

    async def test_is_not_withdrawn(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.job.left_in_inbox = True
        assert fixture.submissions.withdraw_if_overdue(may_accept=False) == 0
        fixture.commits.done.set()
        assert await waiting


class TestNoLongerTracked:
    async def test_is_a_durable_job(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.commits.dirty.clear()
        fixture.commits.done.set()
        assert await waiting
        assert fixture.submissions._waiting == {}

    async def test_is_a_job_whose_callers_gave_up(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert len(fixture.submissions._waiting) == 1
        fixture.commits.dirty.clear()
        fixture.submissions.withdraw_if_overdue(may_accept=True)
        assert fixture.submissions._waiting == {}


class TestNotWithdrawn:
    @pytest.mark.parametrize("tried_s", [0.0, COMMIT_OVERDUE_S])
    async def test_while_commits_are_only_slow(self, tried_s: float) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.commits.tried_s = tried_s
        assert fixture.submissions.withdraw_if_overdue(may_accept=True) == 0
        fixture.commits.done.set()
        assert await waiting
        assert fixture.job.durable

    async def test_if_a_transaction_may_have_carried_it(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.commits.in_flight = True
        assert fixture.submissions.withdraw_if_overdue(may_accept=False) == 0
        fixture.commits.done.set()
        assert await waiting
        assert "a" in fixture.engine.jobs

    async def test_if_it_was_cancelled_meanwhile(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.engine.cancel(fixture.job)
        assert fixture.submissions.withdraw_if_overdue(may_accept=False) == 0
        fixture.commits.done.set()
        assert await waiting


class TestCheckAfterAStall:
    """The event loop stood still, so that the commit's answer may be unread."""

    # Guards against refusals of jobs whose commit was answered during the stall.
    @pytest.mark.parametrize("may_accept", [True, False])
    async def test_leaves_the_decision_to_the_next_one(self, may_accept: bool) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.commits.tried_s = COMMIT_OVERDUE_S + 0.4
        assert fixture.submissions.withdraw_if_overdue(may_accept, late_s=0.45) == 0
        fixture.commits.done.set()
        assert await waiting

    # Guards against a stall that counts as time that the store took.
    async def test_counts_only_the_time_for_which_the_loop_ran(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        tried_s = [COMMIT_OVERDUE_S + 0.3, COMMIT_OVERDUE_S + 0.39]
        for fixture.commits.tried_s, late_s in zip(tried_s, [0.4, 0.0], strict=True):
            assert fixture.submissions.withdraw_if_overdue(True, late_s) == 0
        fixture.commits.tried_s = COMMIT_OVERDUE_S + 0.41
        assert fixture.submissions.withdraw_if_overdue(True, 0.0) == 1
        assert not await waiting

    # Guards against a stall of an earlier commit that lets a later one hang longer.
    async def test_does_not_extend_the_next_commit(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        fixture.commits.tried_s = 0.5
        assert fixture.submissions.withdraw_if_overdue(True, late_s=0.4) == 0
        fixture.commits.tried_s = 0.0
        assert fixture.submissions.withdraw_if_overdue(True, late_s=0.0) == 0
        fixture.commits.tried_s = COMMIT_OVERDUE_S + 0.01
        assert fixture.submissions.withdraw_if_overdue(True, late_s=0.0) == 1
        assert not await waiting

    # Guards against a busy holder that never refuses anything.
    async def test_is_followed_by_a_decision_on_a_busy_loop(self) -> None:
        fixture = _Fixture()
        waiting = await fixture.wait()
        late_s = 2 * LATE_CHECK_S
        assert fixture.submissions.withdraw_if_overdue(False, late_s) == 0
        assert fixture.submissions.withdraw_if_overdue(False, late_s) == 1
        assert not await waiting
