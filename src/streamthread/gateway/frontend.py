"""The HTTP API for callers: submit and cancel jobs, read states, count waiting jobs."""

import typing as t

import attrs
import logbook
from aiohttp import web
from mode import Service
from prometheus_client import Histogram

from ..cell import cell_pb2 as pb
from ..clocks import boot_s
from ..platform.callers import DEADLINE_HEADER
from ..platform.callers import encode_pending
from ..platform.callers import encode_state
from ..platform.callers import KEY_CHALLENGE
from ..platform.callers import KEY_HEADER
from ..platform.manifest import Route
from ..platform.store import MAX_ID_BYTES
from ..scheduler import JobTerms
from .account_report import AccountCounts
from .documents import Documents
from .forwarding import Forwarder
from .keys import admit
from .reachability import Reachability

__all__ = ["Frontend"]

log = logbook.Logger("streamthread.front")

JSON_TYPE = "application/json"
DEFAULT_WAIT_S = 3.0
"""Assumed wait of a caller that sends no deadline; callers at the sites wait 3 s."""

MAX_WAIT_S = 60.0
"""Upper bound on a caller's wait. Callers get a 504 if a store outage lasts longer."""

ANSWER_MARGIN_S = 0.15
"""An answer is due this long before the caller stops waiting."""

MAX_BODY_BYTES = 1_000_000
"""A longer body is refused with status 413 before it is decoded."""

RETRY_AFTER_S = 1.0
"""The ``Retry-After`` of a refusal that names no other time."""

BACKLOG = 1024
"""Listen backlog: connections that the kernel queues during a burst of callers."""

NOT_ADMITTED_STATUS = 401

MIN_LOGGED_STATUS = 429
"""Answers with this status or a higher one are logged: temporary refusals and missing
answers, but not errors of the caller. Refused keys are logged as well: after a change
of keys, an operator has to see which callers still use an old one."""

SHUTDOWN_TIMEOUT_S = 0.3
"""How long open connections may take to end when the ports close after a stop."""

ANSWER_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0)
"""From the time of one commit (7 ms) to the longest wait of callers (3 s)."""

_KINDS = {"POST": pb.SUBMIT, "GET": pb.STATE, "DELETE": pb.CANCEL}


@attrs.frozen
class _Reply:
    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    reason: str = ""
    account: str = ""


def _answer_histogram() -> Histogram:
    """Return the histogram of how long callers wait for answers."""
    return Histogram(
        "streamthread_answer_seconds",
        "From a caller's request to its answer.",
        ["method"],
        buckets=ANSWER_BUCKETS_S,
        registry=None,
    )


class Frontend(Service):
    """Serves the callers' port and the readiness port.

    :param is_ready: returns whether the platform should send new connections here.
    :param reachability: tells whether this daemon is cut off: its callers are then to
        reconnect elsewhere. None if it never counts as cut off.
    """

    def __init__(
        self,
        callers: str,
        readiness: str,
        documents: Documents,
        forwarder: Forwarder,
        is_ready: t.Callable[[], bool],
        reachability: Reachability | None = None,
    ) -> None:
        super().__init__()
        self._reachability = reachability
        self._callers = callers
        self._readiness = readiness
        self._documents = documents
        self._forwarder = forwarder
        self._is_ready = is_ready
        self._runners: list[web.ServerRunner] = []
        self.callers_address = ""
        self.readiness_address = ""
        self.stopping = False
        self.in_flight = 0
        self.answers: dict[str, int] = {}
        self.answer_s = _answer_histogram()
        self.account_answers = AccountCounts()

    async def on_start(self) -> None:
        """Open both ports."""
        self.callers_address = await self._listen(self._callers, self._serve)
        self.readiness_address = await self._listen(
            self._readiness, self._serve_readiness
        )

    async def _listen(
        self, address: str, handler: t.Callable[..., t.Awaitable[t.Any]]
    ) -> str:
        host, port = address.rsplit(":", 1)
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
        self._runners.append(runner)
        bound_host, bound_port = runner.addresses[0][:2]
        return f"{bound_host}:{bound_port}"

    async def on_stop(self) -> None:
        """Close both ports."""
        for runner in self._runners:
            await runner.cleanup()

    async def _serve_readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        began_at_s = boot_s()
        self.in_flight += 1
        try:
            reply = await self._answer(request, began_at_s)
        finally:
            self.in_flight -= 1
        took_s = boot_s() - began_at_s
        self.answer_s.labels(request.method).observe(took_s)
        self.account_answers.add(reply.account, reply.status)
        key = f"{request.method} {reply.status}"
        self.answers[key] = self.answers.get(key, 0) + 1
        if reply.status >= MIN_LOGGED_STATUS or reply.status == NOT_ADMITTED_STATUS:
            log.info(
                "caller-refused",
                extra={
                    "method": request.method,
                    "path": request.path,
                    "status": reply.status,
                    "why": reply.reason,
                    "account": reply.account,
                    "took_s": round(took_s, 4),
                },
            )
        return self._encode(reply)

    def _encode(self, reply: _Reply) -> web.Response:
        """Return the response, which closes its connection if this daemon leaves."""
        headers = {}
        leaving = self.stopping or self._is_cut_off()
        if reply.retry_after_s:
            headers["Retry-After"] = str(max(1, round(reply.retry_after_s)))
        if reply.status == NOT_ADMITTED_STATUS:
            headers["WWW-Authenticate"] = KEY_CHALLENGE
        if leaving:
            headers["Connection"] = "close"
        response = web.Response(
            status=reply.status,
            body=reply.body,
            headers=headers,
            content_type=JSON_TYPE,
        )
        if leaving:
            response.force_close()
        return response

    def _is_cut_off(self) -> bool:
        return self._reachability is not None and self._reachability.cut_off

    async def _answer(self, request: web.BaseRequest, began_at_s: float) -> _Reply:
        manifest = self._documents.manifest
        if manifest is None:
            return _Reply(503, retry_after_s=RETRY_AFTER_S, reason="no manifest yet")
        host = (request.headers.get("Host") or "").split(":")[0].lower()
        route = self._documents.find_route(host, request.path)
        if route is None:
            return _Reply(404)
        admission = admit(manifest, route, request.headers.getall(KEY_HEADER, []))
        if admission.refusal:
            return _Reply(NOT_ADMITTED_STATUS, reason=admission.refusal)
        job_id = request.path[len(route.path_prefix) :]
        if len(job_id.encode()) > MAX_ID_BYTES:
            # No job can have an id of this length.
            return _Reply(400 if request.method == "POST" else 410)
        call = _decode_call(request.method, job_id, route)
        if call is None:
            return _Reply(404)
        if call.kind == pb.SUBMIT:
            # Only submissions have a body that counts.
            call.job = await request.read()
            if len(call.job) > MAX_BODY_BYTES:
                return _Reply(413)
            call.terms = JobTerms.of_route(route, admission.account).encode()
        call.configuration_version = manifest.version
        call.pool = route.service
        call.account = admission.account
        call.key_digest = admission.digest
        call.checks_keys = True
        until_s = began_at_s + _wait_s(request) - ANSWER_MARGIN_S
        reply = _encode_reply(call, await self._forwarder.ask(call, until_s))
        return attrs.evolve(reply, account=admission.account)


def _decode_call(method: str, job_id: str, route: Route) -> pb.CallRequest | None:
    kind = _KINDS.get(method)
    if kind is None or "/" in job_id:
        return None
    if not job_id:
        if kind != pb.STATE:
            return None
        return pb.CallRequest(kind=pb.PENDING, route=route.name)
    return pb.CallRequest(kind=kind, route=route.name, job_id=job_id)


def _wait_s(request: web.BaseRequest) -> float:
    """Return how long the caller waits for this answer."""
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        wait_s = float(text) / 1000
    except ValueError:
        return DEFAULT_WAIT_S
    # NaN and negative numbers are no times: a call with such a deadline would be
    # retried without end, or not at all.
    return min(wait_s, MAX_WAIT_S) if wait_s >= 0 else DEFAULT_WAIT_S


def _encode_reply(call: pb.CallRequest, reply: pb.CallReply) -> _Reply:
    if reply.outcome == pb.OK:
        if call.kind == pb.PENDING:
            return _Reply(200, encode_pending(reply.pending))
        return _Reply(200, encode_state(reply.state))
    if reply.outcome == pb.UNKNOWN_JOB:
        return _Reply(404 if call.kind == pb.SUBMIT else 410)
    if reply.outcome == pb.NOT_ADMITTED:
        return _Reply(NOT_ADMITTED_STATUS, reason=reply.reason)
    if reply.outcome == pb.INVALID:
        return _Reply(400, reason=reply.reason)
    if reply.outcome == pb.REFUSED:
        retry_s = reply.retry_after_s or RETRY_AFTER_S
        return _Reply(429, retry_after_s=retry_s, reason=reply.reason)
    return _Reply(504, reason=reply.reason)
