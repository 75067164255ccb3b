"""What a holder that may have lost the cell tells its callers."""

import asyncio
import math
import types
import typing as t

import attrs
import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import TABLE_INBOX
from streamthread.errors import NotHolderError
from streamthread.errors import StoreUnavailableError
from streamthread.errors import UnknownKindError
from streamthread.holder.admission import AdmissionPolicy
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import InboxReader
from streamthread.holder.inbox import RequestKind
from streamthread.holder.intake import Intake
from streamthread.holder.pending_cancels import Cancel
from streamthread.platform.manifest import AdvicePolicy
from streamthread.platform.manifest import Manifest
from streamthread.platform.manifest import Route
from streamthread.platform.store import StoredRow
from streamthread.scheduler import Engine
from streamthread.scheduler import EngineSettings
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job

JOB_ID = "a" * 16
BODY = b'{"spec":"","steps":[{"count":1,"cpu":100}]}'
CANCEL = Cancel(JOB_ID, "route")
RETAIN_S = 60.0
ROUTE = Route(name="route", host="host", path_prefix="/", service="desk")
OTHER = Route(name="other", host="host", path_prefix="/other/", service="desk")


class _Commits:
    """Commits when a test allows it, or loses the cell."""

    def __init__(self) -> None:
        self.marked: dict[tuple[str, str], t.Any] = {}
        self.confirmations = 0
        self.may_commit = asyncio.Event()
        self.lost = False

    def mark(self, table: str, key: str, encode: t.Any) -> None:
        self.marked[table, key] = encode

    def is_marked(self, table: str, key: str) -> bool:
        return (table, key) in self.marked

    commit_s = 0.0

    def tried_for_s(self) -> float:
        return math.inf

    def unmark(self, table: str, key: str) -> bool:
        return self.marked.pop((table, key), None) is not None

    async def flushed(self) -> None:
        if self.marked:
            await self._commit()
            self.marked.clear()

    async def written(self, table: str, key: str) -> None:
        await self.flushed()

    async def confirmed(self) -> None:
        self.confirmations += 1
        await self._commit()

    async def _commit(self) -> None:
        await self.may_commit.wait()
        if self.lost:
            raise NotHolderError("lost", remedy="-")


class _Inbox:
    def __init__(self) -> None:
        self.behind = False
        self.down = False
        self.reads = 0
        self.waiting: set[str] = set()
        self.arriving: t.Callable[[], t.Any] = lambda: None

    async def refresh(self) -> None:
        if self.behind:
            await self.catch_up()

    async def catch_up(self) -> None:
        self.reads += 1
        self.arriving()
        if self.down:
            raise StoreUnavailableError("down", remedy="-")

    def has_waiting_job(self, job_id: str, account: str) -> bool:
        return job_id in self.waiting


class Cell:
    """An intake and its dependencies."""

    def __init__(self) -> None:
        self.commits = _Commits()
        self.inbox = _Inbox()
        self.trusted = True
        self.started: list[Job] = []
        self.engine = Engine(self._record, EngineSettings())
        manifest = Manifest(1, (ROUTE, OTHER), {}, 0)
        self.documents: t.Any = types.SimpleNamespace(manifest=manifest)
        args: t.Any = (
            self.engine,
            self.commits,
            AdmissionPolicy(self.documents),
            1,
            lambda: self.inbox,
            lambda: self.trusted,
            lambda: True,
            self.started.append,
            lambda: None,
            RETAIN_S,
        )
        self.intake = Intake(*args)

    def _record(self, job: Job) -> None:
        self.commits.mark("cell-runs", job.job_id, None)

    def add_job(self) -> Job:
        job = new_job(JOB_ID, JobTerms.of_route(ROUTE), BODY)
        job.durable = True
        self.engine.add(job)
        return job

    def lose(self) -> None:
        """Let another daemon hold the cell; only a commit reveals it."""
        self.trusted = False
        self.commits.lost = True
        self.commits.may_commit.set()

    async def ask(self, kind: pb.CallKind, job_id: str = JOB_ID) -> pb.CallReply:
        return await self.intake.answer(self.request(kind, job_id))

    @staticmethod
    def request(kind: pb.CallKind, job_id: str = JOB_ID) -> pb.CallRequest:
        body = BODY if kind == pb.SUBMIT else b""
        return pb.CallRequest(kind=kind, route="route", job_id=job_id, job=body)


class TestUncertainHolder:
    async def test_acknowledges_no_cancel_once_the_cell_is_lost(self) -> None:
        cell = Cell()
        cell.add_job()
        cell.lose()
        assert (await cell.ask(pb.CANCEL)).outcome == pb.UNCERTAIN

    async def test_reports_what_it_knows_of_an_open_job(self) -> None:
        """A store outage must not hide a job from its caller; the state may be
        outdated.
        """
        cell = Cell()
        cell.add_job()
        cell.trusted = False
        assert (await cell.ask(pb.STATE)).state == "pending"
        assert not cell.commits.confirmations

    @pytest.mark.parametrize("kind", [pb.STATE, pb.CANCEL])
    async def test_reports_nothing_about_an_unknown_job(
        self, kind: pb.CallKind
    ) -> None:
        cell = Cell()
        cell.lose()
        assert (await cell.ask(kind)).outcome == pb.UNCERTAIN

    async def test_acknowledges_no_cancel_of_an_ended_job(self) -> None:
        cell = Cell()
        cell.engine.cancel(cell.add_job())
        cell.commits.marked.clear()
        cell.lose()
        assert (await cell.ask(pb.CANCEL)).outcome == pb.UNCERTAIN

    async def test_reports_how_a_job_ended(self) -> None:
        """The end of a job is final under any holder, and callers wait for it."""
        cell = Cell()
        cell.engine.cancel(cell.add_job())
        cell.commits.marked.clear()
        cell.trusted = False
        assert (await cell.ask(pb.STATE)).state == "cancelled"


class TestHolder:
    async def test_makes_no_commit_to_report_a_state(self) -> None:
        cell = Cell()
        cell.add_job()
        assert (await cell.ask(pb.STATE)).state == "pending"
        assert not cell.commits.confirmations and not cell.inbox.reads

    async def test_reports_an_end_once_it_is_durable(self) -> None:
        """This includes an end that occurs while the answer waits for a commit."""
        cell = Cell()
        job = cell.add_job()
        job.durable = False
        cell.commits.mark("cell-jobs", JOB_ID, None)
        answer = asyncio.ensure_future(cell.ask(pb.STATE))
        await asyncio.sleep(0)
        cell.engine.cancel(job)
        cell.commits.may_commit.set()
        assert (await answer).state == "cancelled"
        assert not cell.commits.marked

    async def test_reports_no_job_as_unknown_while_the_inbox_cannot_be_read(
        self,
    ) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        cell.inbox.down = True
        assert (await cell.ask(pb.STATE)).outcome == pb.UNCERTAIN
        assert (await cell.ask(pb.CANCEL)).outcome == pb.UNCERTAIN
        assert not cell.commits.marked


class TestQueues:
    @pytest.mark.parametrize("kind", [pb.STATE, pb.CANCEL])
    async def test_do_not_answer_for_each_other(self, kind: pb.CallKind) -> None:
        cell = Cell()
        job = cell.add_job()
        job.route = "other"
        assert (await cell.ask(kind)).outcome == pb.UNKNOWN_JOB
        assert not job.cancelled

    async def test_that_were_renamed_keep_their_jobs(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        job = cell.add_job()
        job.route = "gone"
        assert (await cell.ask(pb.STATE)).state == "pending"
        assert (await cell.ask(pb.CANCEL)).state == "cancelled"


class TestOlderConfiguration:
    """The route has the same pool in both configurations."""

    def _request(self, terms: bytes) -> pb.CallRequest:
        return pb.CallRequest(
            kind=pb.SUBMIT,
            route=ROUTE.name,
            job_id=JOB_ID,
            job=BODY,
            configuration_version=2,
            pool=ROUTE.service,
            terms=terms,
        )

    async def _terms(self, sent: bytes) -> JobTerms:
        """Return the terms with which a job is accepted."""
        cell = Cell()
        cell.commits.may_commit.set()
        assert (await cell.intake.answer(self._request(sent))).outcome == pb.OK
        return cell.engine.jobs[JOB_ID].terms

    # Guards against a job that has an older policy than its caller was told, for good.
    @pytest.mark.parametrize(
        "change",
        [{}, {"advice": AdvicePolicy(0.02, 0.002, 4.0)}, {"max_attempts": 3}],
    )
    async def test_gives_a_job_the_terms_of_the_newer_one(self, change: t.Any) -> None:
        terms = attrs.evolve(JobTerms.of_route(ROUTE), **change)
        assert await self._terms(terms.encode()) == terms

    # Guards against refused jobs in a rolling upgrade.
    @pytest.mark.parametrize("sent", [b"", b"[]", b'{"route":1}', b"\xff"])
    async def test_is_used_if_the_newer_terms_are_unknown(self, sent: bytes) -> None:
        assert await self._terms(sent) == JobTerms.of_route(ROUTE)

    # Guards against a job with the terms of a sender that is behind.
    async def test_of_the_sender_is_ignored(self) -> None:
        cell = Cell()
        cell.documents.manifest = Manifest(3, (ROUTE,), {}, 0)
        cell.commits.may_commit.set()
        older = attrs.evolve(JobTerms.of_route(ROUTE), max_attempts=9)
        await cell.intake.answer(self._request(older.encode()))
        assert cell.engine.jobs[JOB_ID].terms == JobTerms.of_route(ROUTE)


class TestSubmission:
    async def test_does_not_read_the_inbox_while_its_feed_answers(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        assert (await cell.ask(pb.SUBMIT)).outcome == pb.OK
        assert not cell.inbox.reads

    async def test_is_refused_while_its_cancel_may_be_unread(self) -> None:
        cell = Cell()
        cell.inbox.behind = cell.inbox.down = True
        reply = await cell.ask(pb.SUBMIT)
        assert reply.outcome == pb.REFUSED and reply.retry_after_s > 0
        assert not cell.engine.jobs

    async def test_after_its_cancel_starts_nothing(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        assert (await cell.ask(pb.CANCEL)).outcome == pb.UNKNOWN_JOB
        reply = await cell.ask(pb.SUBMIT)
        assert (reply.outcome, reply.state) == (pb.OK, "cancelled")
        assert not cell.started


class TestCancelOfUnknownJob:
    async def test_is_durable_before_it_is_acknowledged(self) -> None:
        cell = Cell()
        answer = asyncio.ensure_future(cell.ask(pb.CANCEL))
        while not cell.commits.marked:
            await asyncio.sleep(0)
        assert not answer.done()
        cell.commits.may_commit.set()
        assert (await answer).outcome == pb.UNKNOWN_JOB

    async def test_applies_to_a_job_that_waits_for_its_route(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        cell.inbox.waiting.add(JOB_ID)
        assert (await cell.ask(pb.STATE)).state == "pending"
        assert (await cell.ask(pb.CANCEL)).state == "cancelled"
        assert (await cell.ask(pb.STATE)).state == "cancelled"

    @pytest.mark.parametrize("may_arrive", [False, True])
    async def test_is_retained_past_its_period_only_while_its_job_waits(
        self, may_arrive: bool
    ) -> None:
        cell = Cell()
        assert cell.intake.retain_cancel(CANCEL, may_arrive=False)
        cell.intake._pending_cancels._since_s[CANCEL] -= RETAIN_S
        assert cell.intake.retain_cancel(CANCEL, may_arrive) is may_arrive


class TestJobThatAnotherDaemonAccepted:
    """Another daemon got no answer in time and left the job in the inbox.

    A holder whose machine was suspended found its commit overdue when it resumed. It
    withdrew thirteen such jobs, although it had also deleted their inbox rows.
    """

    def _read_inbox(self, cell: Cell) -> None:
        entry = InboxEntry(RequestKind.SUBMIT, JOB_ID, "route", BODY.decode())
        row = StoredRow(TABLE_INBOX, "main", "key", entry.encode(), 1)
        InboxReader(t.cast(t.Any, None), cell.intake).take([row])
        assert cell.commits.is_marked(TABLE_INBOX, "key")

    async def test_is_kept_while_its_caller_waits_here(self) -> None:
        cell = Cell()
        calling = asyncio.create_task(cell.ask(pb.SUBMIT))
        await asyncio.sleep(0)
        self._read_inbox(cell)
        cell.intake.refuse_overdue()
        assert JOB_ID in cell.engine.jobs
        calling.cancel()

    async def test_is_kept_if_it_was_read_from_the_inbox_first(self) -> None:
        cell = Cell()
        self._read_inbox(cell)
        calling = asyncio.create_task(cell.ask(pb.SUBMIT))
        await asyncio.sleep(0)
        cell.intake.refuse_overdue()
        assert JOB_ID in cell.engine.jobs
        calling.cancel()


class TestTermsOfAJobInTheInbox:
    POLICY = AdvicePolicy(0.02, 0.002, 4.0)
    TERMS = JobTerms("route", "vault", 2, 5, 1.4, 0.3, advice=POLICY)

    def _accept(
        self, manifest: Manifest | None, version: int, terms: JobTerms | None
    ) -> Job | None:
        """Return the job once a holder with a configuration has read it."""
        cell = Cell()
        cell.documents.manifest = manifest
        name = terms.route if terms is not None else "gone"
        account = terms.account if terms is not None else ""
        fields = (JOB_ID, name, BODY.decode(), version, "vault", account, 5.0, terms)
        entry = InboxEntry(RequestKind.SUBMIT, *fields)
        assert InboxEntry.decode(entry.encode()) == entry
        row = StoredRow(TABLE_INBOX, "main", "key", entry.encode(), 1)
        InboxReader(t.cast(t.Any, None), cell.intake).take([row])
        return cell.engine.jobs.get(JOB_ID)

    # Guards against a job that waits for a route that was removed, or takes over what
    # another route of this name says.
    @pytest.mark.parametrize(
        "manifest",
        [
            None,
            Manifest(1, (ROUTE,), {}, 0),
            Manifest(3, (ROUTE,), {}, 0),
            Manifest(3, (OTHER,), {}, 0),
            Manifest(3, (), {}, 0),
        ],
    )
    def test_are_those_that_the_sender_recorded(
        self, manifest: Manifest | None
    ) -> None:
        job = self._accept(manifest, 2, self.TERMS)
        assert job is not None and job.terms == self.TERMS

    # Guards against a job without the limits of its account.
    def test_wait_for_the_configuration_with_the_account(self) -> None:
        terms = attrs.evolve(self.TERMS, account="ann")
        assert self._accept(Manifest(1, (ROUTE,), {}, 0), 2, terms) is None
        assert self._accept(Manifest(3, (ROUTE,), {}, 0), 2, terms) is not None

    # Guards against a job of an earlier version that never runs.
    def test_without_a_record_follow_from_the_pool(self) -> None:
        job = self._accept(Manifest(3, (ROUTE,), {}, 0), 2, None)
        assert job is not None and job.terms == JobTerms("gone", "vault")
        assert self._accept(Manifest(1, (ROUTE,), {}, 0), 2, None) is None


class TestRowThatCannotBeWritten:
    """Guards against a rejected job that the next holder finds, and starts."""

    @pytest.mark.parametrize("table", ["cell-jobs", "cell-runs"])
    async def test_leaves_no_row_of_a_new_job(self, table: str) -> None:
        cell = Cell()
        job = cell.add_job()
        job.durable = False
        cell.intake.on_row_refused(table, JOB_ID)
        assert JOB_ID not in cell.engine.jobs
        for name in ("cell-jobs", "cell-runs"):
            assert cell.commits.marked[name, JOB_ID]() is None

    async def test_fails_a_job_that_was_acknowledged(self) -> None:
        cell = Cell()
        job = cell.add_job()
        job.durable = True
        cell.intake.on_row_refused("cell-runs", JOB_ID)
        assert cell.engine.jobs[JOB_ID].state.value == "failed"

    @pytest.mark.parametrize(
        ("table", "key"),
        [
            ("cell-waves", "1"),
            ("cell-inbox", JOB_ID),
            ("cell-jobs", "b"),
            ("cell-chunks", "x"),
        ],
    )
    async def test_concerns_no_other_job(self, table: str, key: str) -> None:
        cell = Cell()
        cell.add_job()
        cell.intake.on_row_refused(table, key)
        assert not cell.engine.jobs[JOB_ID].over


class TestUnknownRequest:
    """A row or a call of a later version that this one does not know."""

    UNKNOWN = UnknownKindError("unknown", remedy="-", key=f"{JOB_ID}.1", field="$[7]")

    # Guards against "no such job" for one that a later version has acknowledged.
    async def test_does_not_count_as_an_unknown_job(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        cell.intake.keep_unknown_request(JOB_ID, self.UNKNOWN)
        assert (await cell.ask(pb.STATE)).outcome == pb.UNCERTAIN

    # Guards against a known job that a row of a later version makes unreachable.
    async def test_leaves_a_known_job_to_its_callers(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        job = cell.add_job()
        cell.intake.keep_unknown_request(JOB_ID, self.UNKNOWN)
        assert (await cell.ask(pb.STATE)).outcome == pb.OK
        assert (await cell.ask(pb.CANCEL)).outcome == pb.OK
        assert job.cancelled

    # Guards against a call of an unknown kind that is answered as a read of the state.
    async def test_that_is_a_call_gets_no_answer_of_another_kind(self) -> None:
        cell = Cell()
        cell.commits.may_commit.set()
        cell.add_job()
        assert (await cell.ask(t.cast(t.Any, 99))).outcome == pb.UNCERTAIN
