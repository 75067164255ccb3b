"""Sends a request to an upstream, and retries on another one where that is safe."""

import contextlib
import typing as t

import aiohttp
from aiohttp import web

from ..stopwatch import Stopwatch
from .answers import RecordedAnswer
from .answers import relay_answer
from .outcomes import DEADLINE_HEADER
from .outcomes import IDEMPOTENCY_HEADER
from .outcomes import LEAVING_HEADER
from .outcomes import NOT_STARTED_HEADER
from .outcomes import Outcome
from .outcomes import Problem
from .parse import Call
from .retries import RetryBudget
from .router import Router
from .router import Slot

__all__ = ["Dispatcher"]

CONNECT_TIMEOUT_S = 1.0
"""If an upstream does not accept a connection within this time, another is tried."""

MIN_TIMEOUT_S = 0.001
"""Lower bound of the total timeout: the HTTP client treats zero as no limit."""


MAX_LOST_ANSWERS = 2
"""After this many lost answers, a request is not sent to another upstream: it may be
what makes them fail. With the retry budget as the only limit, one such request made
eleven upstreams fail."""


class _NotStartedError(Exception):
    """The upstream certainly did not start the request; another one may run it."""


class _AnswerLostError(Exception):
    """The request was sent but no answer began; the request may have run."""


class Dispatcher:
    """Sends requests to the upstreams that the router chooses.

    :param is_stopping: returns whether this daemon is stopping; callers' connections
        are then closed after the answer.
    """

    def __init__(self, router: Router, is_stopping: t.Callable[[], bool]) -> None:
        self._router = router
        self._is_stopping = is_stopping
        self._retries = RetryBudget()
        self._session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Create the HTTP client for requests to upstreams.

        It has no connection limit, because the router limits the requests in flight.
        """
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )

    async def close(self) -> None:
        """Close the connections to the upstreams."""
        if self._session is not None:
            await self._session.close()

    async def dispatch(
        self, request: web.Request, call: Call, answer: RecordedAnswer | None = None
    ) -> web.StreamResponse:
        """Try upstreams until one accepts the request, and relay its answer.

        Once an upstream has accepted the request and begun to answer, no other one is
        tried. Once an answer was lost, every failure has the outcome unknown, never
        not-run, because the request may have run.

        :param answer: records a copy of the answer, if given.
        :raises Problem: no upstream accepted the request, or the answer was lost.
        """
        self._retries.note_request()
        tried: set[str] = set()
        lost: _AnswerLostError | None = None
        lost_count = 0
        is_retry = False
        while True:
            slot = await self._acquire(call, tried, is_retry, lost)
            try:
                return await self._send(request, call, slot, answer)
            except _NotStartedError:
                tried.add(slot.upstream.instance_id)
            except _AnswerLostError as error:
                lost_count += 1
                if not self._may_retry(call, lost_count):
                    raise _lost_problem(error) from error
                lost = error
                tried.add(slot.upstream.instance_id)
            finally:
                self._router.release(slot)
            is_retry = True

    def _may_retry(self, call: Call, lost_count: int) -> bool:
        """Whether a request may go to another upstream after its answer was lost."""
        if not call.repeat_safe or lost_count >= MAX_LOST_ANSWERS:
            return False
        return self._retries.try_spend()

    async def _acquire(
        self, call: Call, tried: set[str], is_retry: bool, lost: _AnswerLostError | None
    ) -> Slot:
        try:
            return await self._router.acquire(
                call.service, call.spec, call.deadline_at_s, tried, is_retry, call.team
            )
        except Problem as problem:
            if lost is not None:
                raise _lost_problem(lost) from problem
            raise

    async def _send(
        self,
        request: web.Request,
        call: Call,
        slot: Slot,
        answer: RecordedAnswer | None,
    ) -> web.StreamResponse:
        began = False
        since_sent = Stopwatch()
        try:
            async with self._exchange(call, slot) as reply:
                self._note_reply_headers(slot, reply)
                began = True
                close = self._is_stopping()
                response = await relay_answer(request, reply, call, answer, close)
                self._router.note_success(slot, since_sent.elapsed_s())
                return response
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._router.note_failure(slot.upstream, repr(error))
            raise _NotStartedError from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if began:
                raise
            self._router.note_failure(slot.upstream, repr(error))
            raise _AnswerLostError(repr(error)) from error

    def _exchange(
        self, call: Call, slot: Slot
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Return an HTTP exchange with an upstream, limited by the call's deadline."""
        assert self._session is not None
        left_s = call.left_s()
        timeout = aiohttp.ClientTimeout(
            total=max(MIN_TIMEOUT_S, left_s), sock_connect=CONNECT_TIMEOUT_S
        )
        return self._session.request(
            call.method,
            f"http://{slot.upstream.address}{call.path}",
            data=call.body or None,
            headers=_headers(call, left_s),
            timeout=timeout,
            allow_redirects=False,
        )

    def _note_reply_headers(self, slot: Slot, reply: aiohttp.ClientResponse) -> None:
        """Act on what an upstream reports about itself in the answer's headers.

        :raises _NotStartedError: the upstream did not start the request.
        """
        if LEAVING_HEADER in reply.headers:
            self._router.note_leaving(slot.upstream, "said so in an answer")
        if reply.status == 503 and NOT_STARTED_HEADER in reply.headers:
            if LEAVING_HEADER not in reply.headers:
                self._router.note_full(slot)
            raise _NotStartedError
        self._router.note_accepted(slot)


def _headers(call: Call, left_s: float) -> dict[str, str]:
    headers = {**call.headers, DEADLINE_HEADER: f"{max(0.0, left_s):.3f}"}
    if call.idempotency_key:
        headers[IDEMPOTENCY_HEADER] = call.idempotency_key
    return headers


def _lost_problem(error: Exception) -> Problem:
    return Problem(
        status=504,
        kind="answer-lost",
        detail=f"the upstream's answer was lost: {error}",
        remedy="it may have run; ask the service before sending it again",
        outcome=Outcome.UNKNOWN,
    )
