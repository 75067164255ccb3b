"""Which new jobs are refused in an overload, and what a refusal promises."""

import asyncio
import json
import time
import types
import typing as t

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from streamthread.cell import cell_pb2 as pb
from streamthread.errors import StoreUnavailableError
from streamthread.holder import forecasts
from streamthread.holder.forecasts import CapacityParts
from streamthread.holder.forecasts import Forecasts
from streamthread.holder.forecasts import RUNNERS_CACHE_S
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import RequestKind
from streamthread.platform.accounts import Limit
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.manifest import Manifest
from streamthread.scheduler import Job
from streamthread.scheduler import RunnerState
from streamthread.scheduler.accounts import AccountUsage

from .test_intake import Cell

CPU = 4_000
JOB = {"spec": "", "steps": [{"count": 4, "cpu": 1000, "estimateMs": 1000}]}
BODY = json.dumps(JOB).encode()


def manifest(version: int = 1, **weights: float) -> Manifest:
    """Return a configuration; each account is given by its weight."""
    value = {
        "version": version,
        "routes": [
            {
                "name": "route",
                "host": "host",
                "service": "desk",
                "stretch": 1.6,
                "targetLatencyMs": 600,
            }
        ],
        "services": [],
        "tenants": [{"name": name, "weight": w} for name, w in weights.items()],
    }
    return decode_manifest(json.dumps(value).encode()).manifest


class _Pool(Cell):
    """An intake in front of a pool of one runner that runs one job a second."""

    def __init__(self, **weights: float) -> None:
        super().__init__()
        self.documents.manifest = manifest(**weights)
        self.commits.may_commit.set()
        self.further: CapacityParts | None = ()
        self.engine.shares = type(self.engine.shares)(self._weights)
        self.engine.choices._shares = self.engine.shares
        self.forecasts = Forecasts(self.engine, lambda pool: self.further)
        self.intake._forecasts = self.forecasts
        self.count = 0
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), CPU, 1 << 20, 0)
        self.runner.ready = True
        self.engine.add_runner(self.runner)

    def _weights(self) -> dict[str, float]:
        accounts = self.documents.manifest.accounts.values()
        return {account.name: account.share for account in accounts}

    async def submit(self, account: str = "ann", job_id: str = "") -> pb.CallReply:
        self.count += 1
        request = self.request(pb.SUBMIT, job_id or f"{self.count:016x}")
        request.job = BODY
        request.account = account
        request.configuration_version = self.documents.manifest.version
        request.pool = "desk"
        reply = await self.intake.answer(request)
        self.engine.begin_due(time.time())
        self.engine.place_all(time.time(), lambda step: None)
        return reply

    async def flood(self, count: int, account: str = "ann") -> list[pb.CallReply]:
        return [await self.submit(account) for _ in range(count)]

    @property
    def accepted(self) -> int:
        return len(self.engine.jobs)


class TestRefusal:
    async def test_excess_goes_once_it_can_not_end_in_time(self) -> None:
        pool = _Pool(ann=1.0, bob=1.0)
        replies = await pool.flood(30)
        refused = [reply for reply in replies if reply.outcome == pb.REFUSED]
        assert replies[0].outcome == pb.OK
        assert 24 <= len(refused) <= 29
        assert pool.accepted == 30 - len(refused)
        assert pool.intake.refused_overload == {"ann": len(refused)}

    async def test_work_within_the_weight_goes_only_when_it_is_worth_nothing(
        self,
    ) -> None:
        pool = _Pool(ann=90.0, bob=90.0)
        replies = await pool.flood(30)
        refused = sum(reply.outcome == pb.REFUSED for reply in replies)
        # Three objectives of 2.2 s hold six jobs of this pool.
        assert 5 <= 30 - refused <= 8

    async def test_another_account_is_accepted_in_the_flood(self) -> None:
        pool = _Pool(ann=90.0, bob=90.0)
        await pool.flood(30)
        assert (await pool.submit("bob")).outcome == pb.OK

    async def test_says_when_to_return_and_spreads_callers(self) -> None:
        pool = _Pool(ann=1.0)
        replies = await pool.flood(60)
        waits_s = {r.retry_after_s for r in replies if r.outcome == pb.REFUSED}
        assert min(waits_s) >= 1.0
        assert len(waits_s) > 1
        assert all(wait_s == int(wait_s) for wait_s in waits_s)

    async def test_leaves_nothing_behind(self) -> None:
        """A later try under the same id is a decision of its own."""
        pool = _Pool(ann=1.0)
        await pool.flood(20)
        known = set(pool.engine.jobs)
        job_id = "f" * 16
        assert (await pool.submit(job_id=job_id)).outcome == pb.REFUSED
        assert set(pool.engine.jobs) == known
        assert not any(key == job_id for _, key in pool.commits.marked)
        for job in list(pool.engine.open_jobs()):
            pool.engine.withdraw(job)
        assert (await pool.submit(job_id=job_id)).outcome == pb.OK


class TestNoRefusal:
    async def test_where_no_account_has_a_weight(self) -> None:
        pool = _Pool(ann=0.0)
        assert all(reply.outcome == pb.OK for reply in await pool.flood(30))

    async def test_of_a_job_for_which_a_runner_is_free(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against runners that are noticed only with the next forecast."""
        clock = types.SimpleNamespace(now_s=50.0)
        monkeypatch.setattr(forecasts, "boot_s", lambda: clock.now_s, raising=False)
        pool = _Pool(ann=1.0)
        pool.further = ()
        await pool.flood(20)
        for _ in range(3):
            runner = RunnerState(
                f"j-{pool.count}", "desk", "x:1", "z", ("a",), CPU, 1 << 20, 0
            )
            runner.ready = True
            pool.engine.add_runner(runner)
            clock.now_s += RUNNERS_CACHE_S
            assert (await pool.submit()).outcome == pb.OK

    async def test_costs_nothing_while_runners_are_free(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards pools that are not overloaded against the work of a forecast."""
        pool = _Pool(ann=9.0)
        made: list[str] = []

        def order(*_: t.Any) -> list[t.Any]:
            made.append("order")
            return []

        monkeypatch.setattr(forecasts, "fair_order", order)
        assert (await pool.submit()).outcome == pb.OK
        assert made == []
        await pool.flood(5)
        assert made

    async def test_while_the_machines_are_unknown(self) -> None:
        pool = _Pool(ann=1.0)
        pool.further = None
        assert all(reply.outcome == pb.OK for reply in await pool.flood(30))

    async def test_while_machines_are_on_their_way(self) -> None:
        pool = _Pool(ann=1.0)
        pool.further = ((time.time(), 100.0 * CPU),)
        assert all(reply.outcome == pb.OK for reply in await pool.flood(30))

    async def test_of_a_known_job(self) -> None:
        pool = _Pool(ann=1.0)
        await pool.flood(20)
        known = next(iter(pool.engine.jobs))
        assert (await pool.submit(job_id=known)).outcome == pb.OK

    async def test_of_a_job_that_the_inbox_has(self) -> None:
        """Another daemon may have acknowledged it, and it runs."""
        pool = _Pool(ann=1.0)
        await pool.flood(20)
        entry = InboxEntry(
            RequestKind.SUBMIT, "e" * 16, "route", BODY.decode(), 1, "desk", "ann"
        )
        pool.inbox.arriving = lambda: pool.intake.accept_from_inbox(entry)
        assert (await pool.submit(job_id=entry.job_id)).outcome == pb.OK

    async def test_that_would_be_untrue_as_the_inbox_is_unreadable(self) -> None:
        pool = _Pool(ann=1.0)
        await pool.flood(20)

        def fail() -> None:
            raise StoreUnavailableError("down", remedy="-")

        pool.inbox.arriving = fail
        reply = await pool.submit()
        assert reply.outcome == pb.REFUSED
        assert pool.intake.refused_overload["ann"] < 20

    async def test_that_would_be_untrue_as_the_cell_may_be_lost(self) -> None:
        """Another daemon may have accepted an earlier try while the inbox was read."""
        pool = _Pool(ann=1.0)
        await pool.flood(20)
        refused = dict(pool.intake.refused_overload)
        pool.inbox.arriving = lambda: setattr(pool, "trusted", False)
        assert (await pool.submit()).outcome == pb.UNCERTAIN
        assert pool.intake.refused_overload == refused

    async def test_of_a_job_whose_other_try_was_accepted_meanwhile(self) -> None:
        """Two tries under one id must not get a refusal and an acceptance."""
        pool = _Pool(ann=1.0)
        await pool.flood(20)
        request = pool.request(pb.SUBMIT, "d" * 16)
        request.job, request.account, request.pool = BODY, "ann", "desk"
        request.configuration_version = 1

        def accept_other_try() -> None:
            pool.further = None
            assert isinstance(pool.intake._submit_new(request), Job)

        pool.inbox.arriving = accept_other_try
        assert (await pool.submit(job_id="d" * 16)).outcome == pb.OK


class TestPartialFailures:
    async def test_a_new_holder_refuses_as_the_one_before(self) -> None:
        """A change of holder neither forgives a flood nor punishes an account."""
        pool = _Pool(ann=1.0, bob=1.0)
        await pool.flood(20)
        after = _Pool(ann=1.0, bob=1.0)
        after.count = 1_000
        jobs = sorted(pool.engine.jobs.values(), key=lambda job: job.accepted_at_s)
        marks = [job.excess for job in jobs]
        for job in jobs:
            job.excess = False
            after.engine.add(job)
        assert [job.excess for job in jobs] == marks
        assert (await after.submit("ann")).outcome == pb.REFUSED

    async def test_jobs_that_waited_in_the_inbox_are_no_flood(self) -> None:
        """Guards accounts within their weight when no holder was there for a while.

        The next holder marks the same jobs again from their times of acceptance.
        """
        pool, now_s = _Pool(ann=2.0), time.time()
        for number in range(6):
            at_s = now_s - 3.0 + number / 2
            pool.intake.accept_from_inbox(
                InboxEntry(
                    RequestKind.SUBMIT,
                    f"{number:016x}",
                    "route",
                    BODY.decode(),
                    1,
                    "desk",
                    "ann",
                    at_s,
                )
            )
        jobs = list(pool.engine.jobs.values())
        assert len(jobs) == 6
        assert not any(job.excess for job in jobs)
        after = _Pool(ann=2.0)
        for job in sorted(jobs, key=lambda job: job.accepted_at_s):
            after.engine.add(job)
        assert not any(job.excess for job in jobs)

    async def test_inbox_jobs_are_accepted_as_before_without_weights(self) -> None:
        pool, now_s = _Pool(ann=0.0), time.time()
        entry = InboxEntry(
            RequestKind.SUBMIT,
            "e" * 16,
            "route",
            BODY.decode(),
            1,
            "desk",
            "ann",
            now_s - 3.0,
        )
        pool.intake.accept_from_inbox(entry)
        assert pool.engine.jobs[entry.job_id].accepted_at_s >= now_s

    async def test_new_weights_count_at_once(self) -> None:
        pool = _Pool(ann=1.0)
        accepted = [reply.outcome for reply in await pool.flood(20)].count(pb.OK)
        pool.documents.manifest = manifest(2, ann=90.0)
        assert [r.outcome for r in await pool.flood(20)].count(pb.OK) > 0
        assert pool.accepted > accepted

    async def test_jobs_of_a_removed_account_run_on(self) -> None:
        pool = _Pool(ann=9.0, bob=9.0)
        await pool.flood(20)
        accepted = pool.accepted
        pool.documents.manifest = manifest(2, bob=9.0)
        pool.engine.place_all(time.time() + 1, lambda step: None)
        assert pool.accepted == accepted
        assert not any(job.over for job in pool.engine.jobs.values())

    async def test_an_older_sender_is_judged_by_the_newest_weights(self) -> None:
        pool = _Pool(ann=90.0)
        pool.documents.manifest = manifest(7, ann=1.0)
        request: t.Any = None
        outcomes = []
        for number in range(20):
            request = pool.request(pb.SUBMIT, f"{number:016x}")
            request.job, request.account = BODY, "ann"
            request.configuration_version, request.pool = 6, "desk"
            outcomes.append((await pool.intake.answer(request)).outcome)
            pool.engine.begin_due(time.time())
            pool.engine.place_all(time.time(), lambda step: None)
        assert outcomes.count(pb.REFUSED) >= 14


async def test_the_forecast_is_compared_with_the_start() -> None:
    pool = _Pool(ann=90.0)
    assert pool.intake._forecasts is not None
    await pool.submit()
    buckets = pool.intake._forecasts.errors.buckets()
    assert buckets[-1] == ("+Inf", 1.0)
    assert pool.intake._forecasts.errors.sum_s == pytest.approx(0.0, abs=0.2)


class TestPoolWithoutMachines:
    # Guards against a submission that fails with an exception, which callers get as a
    # 500.
    async def test_accepts_jobs(self) -> None:
        pool = _Pool(ann=1.0, bob=1.0)
        pool.runner.ready = False
        # The first job comes while the machines are not known.
        pool.further = None
        assert (await pool.submit()).outcome == pb.OK
        pool.further = ()
        replies = [await pool.submit(name) for name in ("ann", "bob", "ann", "bob")]
        assert [reply.outcome for reply in replies] == [pb.OK] * 4


class TestAnyPool:
    # Guards against the same in other states of pools, accounts and limits.
    @settings(max_examples=150, deadline=None)
    @given(st.data())
    def test_answers_each_job(self, data: st.DataObject) -> None:
        asyncio.run(self._submit(data))

    async def _submit(self, data: st.DataObject) -> None:
        cpu = st.sampled_from([0.0, 1.0, 4_000.0])
        parts = st.lists(st.tuples(cpu, cpu), max_size=2).map(tuple)
        weight = st.sampled_from([0.0, 1.0, 90.0])
        pool = _Pool(ann=data.draw(weight), bob=data.draw(weight))
        limit = Limit(cpu=data.draw(st.sampled_from([0, 500, 4_000])))
        pool.engine.accounts = AccountUsage(lambda account: limit, lambda: True)
        for _ in range(12):
            pool.runner.ready = data.draw(st.booleans())
            pool.further = data.draw(st.none() | parts)
            pool.forecasts._runners_at_s = None
            name = data.draw(st.sampled_from(["", "ann", "bob", "removed"]))
            reply = await pool.submit(name)
            assert reply.outcome in (pb.OK, pb.REFUSED)
            assert reply.outcome == pb.OK or reply.reason
