"""What the holder tells callers of one account about the jobs of another account."""

import json
import typing as t

import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.holder.admission import AdmissionPolicy
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import RequestKind
from streamthread.holder.pending_cancels import Cancel
from streamthread.holder.pending_cancels import pending_cancel_key
from streamthread.platform.accounts import digest_key
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.manifest import Manifest
from streamthread.platform.manifest import Route
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import Job
from streamthread.scheduler import JobState
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job

from .test_intake import BODY
from .test_intake import Cell
from .test_intake import JOB_ID

CLOSED = Route(
    name="route", host="host", path_prefix="/", service="desk", needs_key=True
)


def manifest(version: int, is_public: bool = False, **accounts: t.Any) -> Manifest:
    """Return a configuration; each account is given by its keys or by its limit."""
    rows: list[t.Any] = []
    for name, keys in accounts.items():
        row: dict[str, t.Any] = {"name": name, "apiKeys": keys}
        if isinstance(keys, int):
            row = {"name": name, "maximum": {"cpu": keys}}
        rows.append(row)
    value = {
        "version": version,
        "routes": [
            {"name": "route", "host": "host", "service": "desk", "public": is_public}
        ],
        "services": [],
        "tenants": rows,
    }
    return decode_manifest(json.dumps(value).encode()).manifest


class _Accounts(Cell):
    """An intake, with requests for accounts of the sender's configuration."""

    def __init__(self, newest: Manifest) -> None:
        super().__init__()
        self.documents.manifest = newest
        self.commits.may_commit.set()

    async def call(
        self,
        kind: pb.CallKind,
        account: str,
        key: str = "",
        version: int = 1,
        job_id: str = JOB_ID,
        checks_keys: bool = True,
    ) -> pb.CallReply:
        request = self.request(kind, job_id)
        request.account = account
        request.key_digest = digest_key(key) if key else b""
        request.configuration_version = version
        request.pool = "desk"
        request.checks_keys = checks_keys
        return await self.intake.answer(request)

    def add(self, account: str) -> Job:
        job = new_job(JOB_ID, JobTerms.of_route(CLOSED, account), BODY)
        job.durable = True
        self.engine.add(job)
        return job


BOTH = manifest(1, ann=["a1", "a2"], bob=["b1"])


class TestJobsOfOthers:
    @pytest.mark.parametrize("kind", [pb.STATE, pb.CANCEL, pb.SUBMIT])
    async def test_are_hidden(self, kind: pb.CallKind) -> None:
        cell = _Accounts(BOTH)
        job = cell.add("ann")
        reply = await cell.call(kind, "bob", "b1")
        assert reply.outcome == pb.UNKNOWN_JOB
        assert (reply.state, reply.reason) == ("", "")
        assert job.state is JobState.PENDING
        assert cell.engine.jobs[JOB_ID] is job

    @pytest.mark.parametrize("kind", [pb.STATE, pb.CANCEL, pb.SUBMIT])
    async def test_are_visible_under_each_key_of_their_own_account(
        self, kind: pb.CallKind
    ) -> None:
        cell = _Accounts(BOTH)
        cell.add("ann")
        assert (await cell.call(kind, "ann", "a2")).outcome == pb.OK

    async def test_a_repeat_under_another_key_is_the_same_job(self) -> None:
        cell = _Accounts(BOTH)
        assert (await cell.call(pb.SUBMIT, "ann", "a1")).outcome == pb.OK
        first = cell.engine.jobs[JOB_ID]
        assert (await cell.call(pb.SUBMIT, "ann", "a2")).outcome == pb.OK
        assert cell.engine.jobs[JOB_ID] is first

    async def test_a_cancel_by_another_account_does_not_apply(self) -> None:
        cell = _Accounts(BOTH)
        assert (await cell.call(pb.CANCEL, "bob", "b1")).outcome == pb.UNKNOWN_JOB
        assert (await cell.call(pb.SUBMIT, "ann", "a1")).state == "pending"

    async def test_a_cancel_by_the_same_account_applies_to_a_later_job(self) -> None:
        cell = _Accounts(BOTH)
        assert (await cell.call(pb.CANCEL, "ann", "a2")).outcome == pb.UNKNOWN_JOB
        assert (await cell.call(pb.SUBMIT, "ann", "a1")).state == "cancelled"

    def test_cancels_of_two_accounts_have_separate_rows(self) -> None:
        keys = {
            pending_cancel_key(Cancel(JOB_ID, "route", name))
            for name in ("", "ann", "bob")
        }
        assert len(keys) == 3


class TestJobsOfRemovedRoutes:
    """The route of a job was removed; the caller uses another one, which is public."""

    def _cell(self, account: str) -> tuple[_Accounts, Job]:
        cell = _Accounts(manifest(1, is_public=True, ann=["a1"]))
        job = cell.add(account)
        job.route = "removed"
        return cell, job

    # Guards against a caller without a key who learns of a job, or cancels it.
    @pytest.mark.parametrize("kind", [pb.STATE, pb.CANCEL])
    async def test_are_hidden_from_callers_without_an_account(
        self, kind: pb.CallKind
    ) -> None:
        cell, job = self._cell("ann")
        assert (await cell.call(kind, "")).outcome == pb.UNKNOWN_JOB
        assert not job.cancelled

    @pytest.mark.parametrize("owner", ["", "ann"])
    async def test_are_visible_to_their_own_account(self, owner: str) -> None:
        cell, _ = self._cell(owner)
        assert (await cell.call(pb.STATE, "ann", version=1)).outcome == pb.OK

    async def test_without_an_account_are_visible_to_all(self) -> None:
        cell, _ = self._cell("")
        assert (await cell.call(pb.STATE, "")).outcome == pb.OK


class TestRollingChange:
    @pytest.mark.parametrize("kind", [pb.STATE, pb.CANCEL, pb.SUBMIT])
    async def test_jobs_without_an_account_are_visible_to_callers(
        self, kind: pb.CallKind
    ) -> None:
        cell = _Accounts(BOTH)
        cell.add("")
        assert (await cell.call(kind, "ann", "a1")).outcome == pb.OK

    async def test_a_daemon_without_accounts_is_served(self) -> None:
        cell = _Accounts(BOTH)
        cell.add("ann")
        reply = await cell.call(pb.STATE, "", version=0, checks_keys=False)
        assert reply.outcome == pb.OK

    def test_rows_with_and_without_an_account_can_be_decoded(self) -> None:
        job = new_job(JOB_ID, JobTerms.of_route(CLOSED, "ann"), BODY)
        row = encode_definition(job)
        assert decode_row(JOB_ID, row).account == "ann"
        old = json.loads(row)
        del old["account"]
        assert decode_row(JOB_ID, json.dumps(old).encode()).account == ""
        job.cancelled, job.ended_at_s = True, 5.0
        assert decode_row(JOB_ID, encode_definition(job)).account == "ann"

    def test_inbox_rows_without_an_account_can_be_decoded(self) -> None:
        old = json.dumps([JOB_ID, "route", "{}", 3, "desk"]).encode()
        assert InboxEntry.decode(old).account == ""
        entry = InboxEntry(RequestKind.SUBMIT, JOB_ID, "route", "{}", 3, "desk", "ann")
        assert InboxEntry.decode(entry.encode()) == entry


class TestNewerConfigurationOfTwo:
    async def test_the_holder_refuses_a_removed_key(self) -> None:
        cell = _Accounts(manifest(2, ann=["a2"]))
        reply = await cell.call(pb.SUBMIT, "ann", "a1")
        assert reply.outcome == pb.NOT_ADMITTED
        assert not cell.engine.jobs

    async def test_the_holder_uses_the_current_account_of_a_key(self) -> None:
        cell = _Accounts(manifest(2, ann=[], bob=["a1"]))
        assert (await cell.call(pb.SUBMIT, "ann", "a1")).outcome == pb.OK
        assert cell.engine.jobs[JOB_ID].account == "bob"

    async def test_the_sender_decides_if_its_configuration_is_newer(self) -> None:
        cell = _Accounts(manifest(1, ann=["a1"]))
        assert (await cell.call(pb.SUBMIT, "ann", "a9", version=2)).outcome == pb.OK
        assert cell.engine.jobs[JOB_ID].account == "ann"

    async def test_a_new_account_waits_for_its_configuration(self) -> None:
        cell = _Accounts(manifest(1, ann=["a1"]))
        reply = await cell.call(pb.SUBMIT, "new", "n1", version=2)
        assert reply.outcome == pb.BEHIND

    async def test_a_route_that_now_needs_a_key(self) -> None:
        cell = _Accounts(manifest(2, ann=["a1"]))
        assert (await cell.call(pb.SUBMIT, "")).outcome == pb.NOT_ADMITTED

    async def test_a_route_that_has_become_public(self) -> None:
        cell = _Accounts(manifest(2, is_public=True, ann=["a2"]))
        cell.add("ann")
        assert (await cell.call(pb.STATE, "ann", "a1")).outcome == pb.OK

    async def test_an_accepted_job_outlives_its_key(self) -> None:
        cell = _Accounts(manifest(1, ann=["a1", "a2"]))
        assert (await cell.call(pb.SUBMIT, "ann", "a1")).outcome == pb.OK
        cell.documents.manifest = manifest(2, ann=["a2"])
        assert (await cell.call(pb.STATE, "ann", "a1")).outcome == pb.NOT_ADMITTED
        assert (await cell.call(pb.STATE, "ann", "a2")).state == "pending"


class TestJobThatCanNeverRun:
    async def test_is_refused_at_once_with_the_reason(self) -> None:
        cell = _Accounts(manifest(1, ann=99))
        reply = await cell.call(pb.SUBMIT, "ann")
        assert reply.outcome == pb.REFUSED
        assert "over the limit of its account" in reply.reason
        assert not cell.engine.jobs

    async def test_one_task_that_just_fits_is_accepted(self) -> None:
        cell = _Accounts(manifest(1, ann=100))
        assert (await cell.call(pb.SUBMIT, "ann")).outcome == pb.OK

    def test_an_acknowledged_job_is_accepted_anyway(self) -> None:
        cell = _Accounts(manifest(1, ann=99))
        entry = InboxEntry(
            RequestKind.SUBMIT, JOB_ID, "route", BODY.decode(), 1, "desk", "ann"
        )
        assert cell.intake.accept_from_inbox(entry)
        assert cell.engine.jobs[JOB_ID].account == "ann"


def test_without_a_configuration_the_account_of_the_sender_is_used() -> None:
    documents: t.Any = type("Documents", (), {"manifest": None, "waves": {}})()
    request = pb.CallRequest(account="ann", key_digest=b"x", configuration_version=1)
    assert AdmissionPolicy(documents).authorize(request) == "ann"
