"""The callers' port: carries requests to upstreams and whole answers back."""

import asyncio
import time
import typing as t

import aiohttp
import attrs
from aiohttp import web
from mode import Service

from ..configuration import ConfigurationService
from ..errors import StoreUnavailableError
from .answers import KeptAnswer
from .answers import pass_on
from .claims import Claim
from .claims import claim_key
from .claims import ClaimResult
from .claims import ClaimService
from .claims import ClaimState
from .outcomes import DEADLINE_HEADER
from .outcomes import IDEMPOTENCY_HEADER
from .outcomes import LEAVING_HEADER
from .outcomes import NOT_STARTED_HEADER
from .outcomes import Outcome
from .outcomes import OUTCOME_HEADER
from .outcomes import Problem
from .outcomes import problem_response
from .outcomes import REPLAYED_HEADER
from .parse import Call
from .parse import Callers
from .parse import MAX_BODY_BYTES
from .parse import parse_call
from .retries import RetryBudget
from .router import Router
from .router import Slot

__all__ = ["RequestService"]

CONNECT_TIMEOUT_S = 1.0
SHUTDOWN_TIMEOUT_S = 0.1
"""After :meth:`RequestService.finish` has waited, nothing should be left."""


class _NotStartedError(Exception):
    """The upstream certainly did not start the request; another may take it."""


class _LostError(Exception):
    """Bytes went out and no answer began; it may have run."""


class RequestService(Service):
    """Serves callers.

    :param is_current: whether the configuration here is fit for new requests.
    """

    def __init__(
        self,
        host: str,
        port: int,
        daemon_id: str,
        configuration: ConfigurationService,
        router: Router,
        claims: ClaimService,
        is_current: t.Callable[[], bool],
    ) -> None:
        super().__init__()
        self.port = port
        self.in_flight = 0
        self.outcomes: dict[str, int] = {}
        self.stopping = False
        self._host = host
        self._daemon_id = daemon_id
        self._configuration = configuration
        self._router = router
        self._claims = claims
        self._is_current = is_current
        self._callers = Callers(configuration)
        self._retries = RetryBudget()
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def on_start(self) -> None:
        """Open the callers' port."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._handle_counted)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self._host, self.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close what is left."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    async def finish(self, limit_s: float) -> int:
        """Take no new connections, end what is in flight; return what was cut."""
        if self._site is not None:
            await self._site.stop()
        give_up_at_s = time.monotonic() + limit_s
        while self.in_flight and time.monotonic() < give_up_at_s:
            await asyncio.sleep(0.02)
        return self.in_flight

    # One request.

    async def _handle_counted(self, request: web.Request) -> web.StreamResponse:
        self.in_flight += 1
        outcome = Outcome.UNKNOWN
        try:
            response = await self._handle(request)
            outcome = Outcome(response.headers[OUTCOME_HEADER])
            return response
        finally:
            self.in_flight -= 1
            count = self.outcomes.get(outcome.value, 0)
            self.outcomes[outcome.value] = count + 1

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        try:
            self._refuse_if_cut_off()
            call = await parse_call(request, self._configuration.active, self._callers)
            if call.repeat_safe:
                return await self._carry(request, call)
            return await self._carry_once(request, call)
        except Problem as problem:
            response = problem_response(problem)
            self._close_if_stopping(response)
            return response

    def _refuse_if_cut_off(self) -> None:
        if self._is_current():
            return
        raise Problem(
            status=503,
            kind="cut-off",
            detail="this entry cannot tell whether its configuration is current",
            remedy="send it again: the balancer chooses another entry",
            outcome=Outcome.NOT_RUN,
            retry_after_s=1,
        )

    def _close_if_stopping(self, response: web.StreamResponse) -> None:
        if self.stopping:
            response.force_close()

    # Requests that may not be repeated.

    async def _carry_once(self, request: web.Request, call: Call) -> web.StreamResponse:
        key = claim_key(call.service, call.team, call.idempotency_key)
        claim = Claim(call.digest(), self._daemon_id, time.time())
        result = await self._claim(key, claim, call)
        if result.existing is not None:
            return self._answer_from(result.existing, claim)
        claim = attrs.evolve(claim, state=ClaimState.UNKNOWN)
        try:
            answer = KeptAnswer()
            response = await self._carry(request, call, answer)
            claim = answer.concluded(claim)
            return response
        except Problem as problem:
            state = ClaimState(problem.outcome.value)
            claim = attrs.evolve(claim, state=state)
            raise
        finally:
            self._claims.conclude(key, claim, result.version)

    async def _claim(self, key: str, claim: Claim, call: Call) -> ClaimResult:
        try:
            async with asyncio.timeout(max(0.0, call.left_s())):
                return await self._claims.claim(key, claim)
        except (StoreUnavailableError, TimeoutError) as error:
            detail = str(error) or "the key could not be claimed in time"
            raise Problem(
                status=503,
                kind="key-not-claimed",
                detail=detail,
                remedy="send it again with the same key",
                outcome=Outcome.NOT_RUN,
                retry_after_s=2,
            ) from error

    @staticmethod
    def _answer_from(existing: Claim, asked: Claim) -> web.Response:
        """Answer a repeated key with the state of the first request."""
        if existing.digest != asked.digest:
            raise Problem(
                status=422,
                kind="key-reused",
                detail="the key was used for another request",
                remedy="use a new key for each request",
                outcome=Outcome.NOT_RUN,
            )
        if existing.state is ClaimState.DONE and existing.body_hex is not None:
            return web.Response(
                status=existing.status,
                body=bytes.fromhex(existing.body_hex),
                headers={
                    OUTCOME_HEADER: Outcome.DONE.value,
                    REPLAYED_HEADER: "true",
                    "Content-Type": existing.content_type,
                },
            )
        done = existing.state is ClaimState.DONE
        raise Problem(
            status=409,
            kind="already-done" if done else "already-taken",
            detail=f"the first request with this key is {existing.state.value}",
            remedy="ask the service whether it took effect; a new key runs it again",
            outcome=Outcome.DONE if done else Outcome.UNKNOWN,
            retry_after_s=None if done else 2,
        )

    # Dispatch.

    async def _carry(
        self, request: web.Request, call: Call, answer: KeptAnswer | None = None
    ) -> web.StreamResponse:
        """Try upstreams until one has the request; then stay with it.

        Once an answer was lost, giving up means unknown, never not-run.
        """
        self._retries.note_request()
        tried: set[str] = set()
        lost: _LostError | None = None
        again = False
        while True:
            try:
                slot = await self._router.acquire(
                    call.service,
                    call.spec,
                    call.deadline_at_s,
                    tried,
                    again,
                    call.team,
                )
            except Problem as problem:
                if lost is not None:
                    raise _lost_problem(lost) from problem
                raise
            try:
                return await self._send(request, call, slot, answer)
            except _NotStartedError:
                tried.add(slot.upstream.instance_id)
            except _LostError as error:
                if not call.repeat_safe or not self._retries.take():
                    raise _lost_problem(error) from error
                lost = error
                tried.add(slot.upstream.instance_id)
            finally:
                self._router.release(slot)
            again = True

    async def _send(
        self,
        request: web.Request,
        call: Call,
        slot: Slot,
        answer: KeptAnswer | None,
    ) -> web.StreamResponse:
        upstream = slot.upstream
        assert self._session is not None
        left_s = call.left_s()
        headers = {**call.headers, DEADLINE_HEADER: f"{max(0.0, left_s):.3f}"}
        if call.idempotency_key:
            headers[IDEMPOTENCY_HEADER] = call.idempotency_key
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, left_s), sock_connect=CONNECT_TIMEOUT_S
        )
        began = False
        sent_at_s = time.monotonic()
        try:
            async with self._session.request(
                call.method,
                f"http://{upstream.address}{call.path}",
                data=call.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as reply:
                self._note_signs(slot, reply)
                began = True
                response = await pass_on(request, reply, call, answer, self.stopping)
                self._router.note_success(slot, time.monotonic() - sent_at_s)
                return response
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._router.note_failure(upstream, repr(error))
            raise _NotStartedError from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if began:
                raise
            self._router.note_failure(upstream, repr(error))
            raise _LostError(repr(error)) from error

    def _note_signs(self, slot: Slot, reply: aiohttp.ClientResponse) -> None:
        """Heed what an upstream says of itself.

        :raises _NotStartedError: it says that it did not start the request.
        """
        if LEAVING_HEADER in reply.headers:
            self._router.note_leaving(slot.upstream, "said so in an answer")
        if reply.status == 503 and NOT_STARTED_HEADER in reply.headers:
            if LEAVING_HEADER not in reply.headers:
                self._router.note_full(slot)
            raise _NotStartedError
        self._router.note_accepted(slot)


def _lost_problem(error: Exception) -> Problem:
    return Problem(
        status=504,
        kind="answer-lost",
        detail=f"the upstream's answer was lost: {error}",
        remedy="it may have run; ask the service before sending it again",
        outcome=Outcome.UNKNOWN,
    )
