"""Serves callers over HTTP: hand in, state, cancel, how many wait."""

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
from .account_report import AccountCounts
from .documents import Documents
from .forwarding import Forwarder
from .keys import admit

__all__ = ["Front"]

log = logbook.Logger("streamthread.front")

JSON_TYPE = "application/json"
DEFAULT_WAIT_S = 3.0
"""How long a caller waits who does not say so; the sites' callers wait 3 s."""

LONGEST_WAIT_S = 60.0
"""Nobody is waited for longer: an outage of the store that lasts is told by a 504."""

ANSWER_MARGIN_S = 0.15
"""An answer leaves so long before the caller stops waiting."""

MOST_BODY_BYTES = 1_000_000
"""A longer body is refused with status 413 before it is decoded."""

COME_BACK_S = 1.0
"""When a caller may come back, where the refusal names no other time."""

BACKLOG = 1024
"""Connections that the system holds until we take them: a burst of callers."""

NOT_ADMITTED_STATUS = 401

FIRST_REFUSAL_STATUS = 429
"""Answers from this status on are logged: refusals for now and missing answers,
not mistakes of the caller. A key that opens nothing is logged as well: after a change
of keys an operator has to see who still uses an old one."""

CLOSE_S = 0.3
"""Connections get so long to end when the ports close, after the planned stop."""

ANSWER_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 3.0)
"""From one commit (7 ms) to the longest that callers wait (3 s)."""

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


class Front(Service):
    """The callers' port and the readiness port.

    :param is_ready: whether the platform should send new connections here.
    """

    def __init__(
        self,
        callers: str,
        readiness: str,
        documents: Documents,
        forwarder: Forwarder,
        is_ready: t.Callable[[], bool],
    ) -> None:
        super().__init__()
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
            web.Server(handler, access_log=None), shutdown_timeout=CLOSE_S
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
        if reply.status >= FIRST_REFUSAL_STATUS or reply.status == NOT_ADMITTED_STATUS:
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
        """Return the response; while stopping, it ends its connection."""
        headers = {}
        if reply.retry_after_s:
            headers["Retry-After"] = str(max(1, round(reply.retry_after_s)))
        if reply.status == NOT_ADMITTED_STATUS:
            headers["WWW-Authenticate"] = KEY_CHALLENGE
        if self.stopping:
            headers["Connection"] = "close"
        response = web.Response(
            status=reply.status,
            body=reply.body,
            headers=headers,
            content_type=JSON_TYPE,
        )
        if self.stopping:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest, began_at_s: float) -> _Reply:
        manifest = self._documents.manifest
        if manifest is None:
            return _Reply(503, retry_after_s=COME_BACK_S, reason="no manifest yet")
        host = (request.headers.get("Host") or "").split(":")[0].lower()
        route = self._documents.find_route(host, request.path)
        if route is None:
            return _Reply(404)
        admission = admit(manifest, route, request.headers.getall(KEY_HEADER, []))
        if admission.refusal:
            return _Reply(NOT_ADMITTED_STATUS, reason=admission.refusal)
        job_id = request.path[len(route.path_prefix) :]
        if len(job_id.encode()) > MAX_ID_BYTES:
            # There can be no such job.
            return _Reply(400 if request.method == "POST" else 410)
        body = await request.read()
        if len(body) > MOST_BODY_BYTES:
            return _Reply(413)
        call = _decode_call(request.method, request.path, route, body)
        if call is None:
            return _Reply(404)
        call.configuration_version = manifest.version
        call.pool = route.service
        call.account = admission.account
        call.key_digest = admission.digest
        call.checks_keys = True
        until_s = began_at_s + _wait_s(request) - ANSWER_MARGIN_S
        reply = _encode_reply(call, await self._forwarder.ask(call, until_s))
        return attrs.evolve(reply, account=admission.account)


def _decode_call(
    method: str, path: str, route: Route, body: bytes
) -> pb.CallRequest | None:
    kind = _KINDS.get(method)
    job_id = path[len(route.path_prefix) :]
    if kind is None or "/" in job_id:
        return None
    if not job_id:
        if kind != pb.STATE:
            return None
        return pb.CallRequest(kind=pb.PENDING, route=route.name)
    return pb.CallRequest(kind=kind, route=route.name, job_id=job_id, job=body)


def _wait_s(request: web.BaseRequest) -> float:
    """Return how long the caller waits for this answer."""
    text = request.headers.get(DEADLINE_HEADER, "")
    try:
        wait_s = float(text) / 1000
    except ValueError:
        return DEFAULT_WAIT_S
    # No number passes for a time: a call would be passed on until it ended, or never.
    return min(wait_s, LONGEST_WAIT_S) if wait_s >= 0 else DEFAULT_WAIT_S


def _encode_reply(call: pb.CallRequest, reply: pb.CallReply) -> _Reply:
    if reply.outcome == pb.OK:
        if call.kind == pb.PENDING:
            return _Reply(200, encode_pending(reply.pending))
        return _Reply(200, encode_state(reply.state))
    if reply.outcome == pb.UNKNOWN_JOB:
        return _Reply(404 if call.kind == pb.SUBMIT else 410)
    if reply.outcome == pb.NOT_ADMITTED:
        return _Reply(NOT_ADMITTED_STATUS, reason=reply.reason)
    if reply.outcome == pb.REFUSED:
        come_back_s = reply.retry_after_s or COME_BACK_S
        return _Reply(429, retry_after_s=come_back_s, reason=reply.reason)
    return _Reply(504, reason=reply.reason)
