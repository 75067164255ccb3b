"""Jobs keep their terms, whatever happens to their routes and to their holder."""

import asyncio
import typing as t

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import TABLE_INBOX
from streamthread.holder.admission import AdmissionPolicy
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import InboxReader
from streamthread.holder.inbox import RequestKind
from streamthread.platform.manifest import AdvicePolicy
from streamthread.platform.manifest import Manifest
from streamthread.platform.manifest import Route
from streamthread.platform.store import StoredRow
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import JobTerms

from .test_intake import BODY
from .test_intake import Cell

NAMES = ("r", "s")

ROUTES = st.builds(
    Route,
    name=st.sampled_from(NAMES),
    host=st.just("host"),
    path_prefix=st.just("/"),
    service=st.sampled_from(["desk", "vault"]),
    priority=st.integers(0, 2),
    max_attempts=st.integers(1, 5),
    target_s=st.sampled_from([0.0, 0.6]),
    advice=st.none() | st.just(AdvicePolicy(0.02, 0.002, 4.0)),
)


class ChangingRoutes(RuleBasedStateMachine):
    """Daemons have this or an earlier configuration, and one of them holds the cell."""

    @initialize(routes=st.lists(ROUTES, min_size=1, unique_by=lambda r: r.name))
    def begin(self, routes: list[Route]) -> None:
        self.manifests = [Manifest(1, tuple(routes), {}, 0)]
        self.accepted: dict[str, JobTerms] = {}
        self.inbox: list[StoredRow] = []
        self._hold(self.manifests[0])

    def _hold(self, manifest: Manifest) -> None:
        self.cell = Cell()
        self.cell.documents.manifest = manifest
        self.cell.commits.may_commit.set()
        self.reader = InboxReader(t.cast(t.Any, None), self.cell.intake)

    @rule(routes=st.lists(ROUTES, max_size=2, unique_by=lambda route: route.name))
    def change_routes(self, routes: list[Route]) -> None:
        version = self.manifests[-1].version + 2
        self.manifests.append(Manifest(version, tuple(routes), {}, 0))

    @rule()
    def update_holder(self) -> None:
        self.cell.documents.manifest = self.manifests[-1]

    @rule(name=st.sampled_from(NAMES), behind=st.integers(0, 1), inbox=st.booleans())
    def submit(self, name: str, behind: int, inbox: bool) -> None:
        sender = self.manifests[max(-2, -len(self.manifests))] if behind else None
        manifest = sender or self.manifests[-1]
        route = manifest.routes_by_name.get(name)
        if route is None:
            return
        terms = JobTerms.of_route(route)
        job_id = f"{len(self.accepted):016x}"
        if inbox:
            self._leave_in_inbox(job_id, terms, manifest.version)
        else:
            self._call(job_id, terms, manifest.version)

    def _leave_in_inbox(self, job_id: str, terms: JobTerms, version: int) -> None:
        fields = (terms.route, BODY.decode(), version, terms.service, "", 5.0, terms)
        row = InboxEntry(RequestKind.SUBMIT, job_id, *fields).encode()
        number = len(self.accepted) + 1
        self.inbox.append(StoredRow(TABLE_INBOX, "main", job_id, row, number))
        self.accepted[job_id] = terms

    def _call(self, job_id: str, terms: JobTerms, version: int) -> None:
        request = pb.CallRequest(
            kind=pb.SUBMIT,
            route=terms.route,
            job_id=job_id,
            job=BODY,
            configuration_version=version,
            pool=terms.service,
            terms=terms.encode(),
        )
        holder = self.cell.documents.manifest
        reply = asyncio.run(self.cell.intake.answer(request))
        if reply.outcome != pb.OK:
            return
        if holder.version >= version:
            terms = JobTerms.of_route(holder.routes_by_name[terms.route])
        self.accepted[job_id] = terms

    @rule()
    def read_inbox(self) -> None:
        self.reader.take(self.inbox)
        self.inbox = []

    @rule(behind=st.booleans())
    def replace_holder(self, behind: bool) -> None:
        """Let another daemon replay the rows of the jobs."""
        rows = {
            job.job_id: encode_definition(job) for job in self.cell.engine.jobs.values()
        }
        self._hold(self.manifests[0] if behind else self.manifests[-1])
        for job_id, row in rows.items():
            job = decode_row(job_id, row)
            job.durable = True
            self.cell.engine.add(job)

    @invariant()
    def every_job_has_its_terms(self) -> None:
        waiting = {row.key for row in self.inbox}
        admission = AdmissionPolicy(self.cell.documents)
        assert {*self.cell.engine.jobs} == {*self.accepted} - waiting
        for job_id, job in self.cell.engine.jobs.items():
            terms = self.accepted[job_id]
            assert job.terms == terms
            assert admission.advice_of(job) == terms.advice


ChangingRoutes.TestCase.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
TestChangingRoutes = ChangingRoutes.TestCase
"""Guards against a job that later routes of its name change, or that waits for one."""
