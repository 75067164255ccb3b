"""HTTP calls to the platform's services, with typed errors."""

import asyncio
import functools
import json
import typing as t

import aiohttp
import attrs
import logbook
import yarl

from ..clocks import boot_s
from ..decoding import Decoder
from ..errors import AnswerOverdueError
from ..errors import NoAnswerError
from ..errors import OutcomeUnknownError
from ..errors import StoreThrottledError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .connections import Connector
from .inflight import Address
from .inflight import Answer
from .inflight import Attempt
from .inflight import connection_trace
from .inflight import Flight
from .inflight import Flights
from .inflight import SendPermit
from .overdue import OverdueTimer

__all__ = [
    "Answer",
    "HttpCaller",
    "JsonObject",
    "Repeat",
    "SendPermit",
    "ServiceClient",
    "refuse_status",
]

log = logbook.Logger("streamthread.platform")

JsonObject = dict[str, t.Any]

T = t.TypeVar("T")
"""The type that an answer is decoded to."""

INSTANCE_HEADER = "Streamthread-Instance-Id"
JSON_HEADERS = {"Content-Type": "application/json"}
UNUSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")
"""Headers that the library sets by default and no service reads. They would take up a
tenth of a small request."""

IDLE_CONNECTION_S = 30.0
"""Idle connections are kept for this time, which is the length of a quiet period, since
each new connection has to be paid for."""

URL_CACHE_SIZE = 4096
"""Number of parsed URLs in the cache: a few for each runner of a large deployment."""

NO_BODY = b"{}"
"""Decoded in place of a missing body, whose answer says nothing but its status."""

SILENCE_S = 0.8
"""Maximum pause between two pieces of an answer that has begun. The total duration is
not limited: 1.1 MB of configuration take 1.75 s over the slowest links (5 Mbit/s), and
with a limit of 1.2 s for the whole answer, that configuration never came into force
there."""

_RETRY_REMEDY = "the call is retried automatically; no data is lost"


_NO_LIMITS = aiohttp.ClientTimeout(total=None)
"""The library's own time limits are not used."""

_FAILURES = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
"""What an attempt raises that gets no complete answer."""


@attrs.frozen
class _Request:
    """A call, ready to be sent."""

    method: str
    url: yarl.URL
    data: bytes | None
    headers: dict[str, str]
    params: dict[str, str] | None
    permit: SendPermit | None = None

    @property
    def address(self) -> Address:
        """The host and port of the service."""
        return (self.url.host, self.url.port)


@attrs.frozen
class Repeat:
    """How an overdue call is sent once more.

    The second attempt lets the service wait no longer.

    :param wait_s: how long the service may wait before it answers the first attempt.
    :param params: query parameters of the second attempt; None: as in the first one.
    """

    wait_s: float = 0.0
    params: dict[str, str] | None = None

    def apply(self, request: _Request) -> _Request:
        """Return the second attempt of a call."""
        if self.params is None:
            return request
        return attrs.evolve(request, params=self.params)


class HttpCaller:
    """Calls one kind of service; reuses connections and limits their number.

    If one connection to an address has stopped responding, the idle ones most likely
    have, too. They are closed, so that the next call opens a new connection. Otherwise,
    each dead connection would cost one call its full time limit, one call after the
    other: with all of them dead at once, the list of machines was missing for 8.7 s,
    four times its time limit of 2 s.

    :param connections_per_address: maximum number of connections to one address.
    :param notes: records answers that cannot be decoded.
    :param tracks_calls: calls in flight are tracked, so that overdue ones can be
        repeated. It is off for runners, which a busy holder calls hundreds of times a
        second: tracking takes processor time in each call.
    """

    def __init__(
        self,
        connections_per_address: int,
        notes: UnreadableNotes | None = None,
        tracks_calls: bool = False,
    ) -> None:
        self._limit = connections_per_address
        self._tracks_calls = tracks_calls
        self._notes = notes or UnreadableNotes()
        self._session: aiohttp.ClientSession | None = None
        self._connector: Connector | None = None
        # Opens a connection for each call and closes it afterwards.
        self._single_use: aiohttp.ClientSession | None = None
        self._flights = Flights(self._close_idle_since)

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._connector = Connector(self._limit, IDLE_CONNECTION_S)
            self._session = _make_session(self._connector, self._tracks_calls)
        return self._session

    def _open_single_use(self) -> aiohttp.ClientSession:
        if self._single_use is None:
            self._single_use = _make_session(Connector(), traced=True)
        return self._single_use

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._single_use):
            if session is not None:
                await session.close()

    async def call(
        self,
        method: str,
        url: str,
        body: JsonObject | None = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
        repeat: Repeat | None = None,
        overdue_s: float | None = None,
        permit: SendPermit | None = None,
    ) -> Answer:
        """Make one call.

        :param timeout_s: maximum time until the answer begins; after that,
            :data:`SILENCE_S` limits each pause. A tracked call has 0.1 s more if the
            event loop is late when the time is over.
        :param repeat: the call may be carried out twice, and is sent once more in this
            form, on a new connection, if its answer is overdue; only if calls are
            tracked.
        :param overdue_s: the call ends early if its answer has not begun after this
            time, unless this process is late itself; only if calls are not tracked.
        :param permit: decides whether a call with a body may still be sent when its
            first byte leaves; only if calls are tracked.
        :raises AnswerOverdueError: it has ended early.
        :raises StoreUnavailableError: no connection could be opened, or the permit
            was refused, so the call was certainly not carried out.
        :raises OutcomeUnknownError: the call may have been sent, and no complete answer
            arrived.
        """
        request = _Request(
            method,
            _parse_url(url),
            None if body is None else _encode(body),
            JSON_HEADERS if headers is None else JSON_HEADERS | headers,
            params,
            permit,
        )
        if self._tracks_calls:
            return await self._call_tracked(request, timeout_s, repeat)
        return await self._attempt(self._open(), request, timeout_s, overdue_s)

    async def _call_tracked(
        self, request: _Request, timeout_s: float, repeat: Repeat | None
    ) -> Answer:
        flight = self._flight(request, repeat)
        try:
            async with asyncio.timeout(timeout_s) as limit:
                with flight.tracked(limit):
                    return await _send(
                        self._open(), request, flight.attempt, limit, flight.on_begun
                    )
        except _FAILURES as error:
            if flight.answer is not None:
                return flight.answer
            raise self._failure(error, request, flight.attempt) from error

    def _flight(self, request: _Request, repeat: Repeat | None) -> Flight:
        if repeat is None:
            return Flight(self._flights, request.address, permit=request.permit)
        send_again = functools.partial(self._send_again, repeat.apply(request))
        return Flight(self._flights, request.address, repeat.wait_s, send_again)

    async def _send_again(self, request: _Request, timeout_s: float) -> Answer:
        """Make the second attempt of a call, on a connection of its own."""
        return await self._attempt(self._open_single_use(), request, timeout_s)

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        request: _Request,
        timeout_s: float,
        overdue_s: float | None = None,
    ) -> Answer:
        attempt = Attempt()
        timer: OverdueTimer | None = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                if overdue_s is None:
                    return await _send(session, request, attempt, limit)
                timer = OverdueTimer(limit, overdue_s)
                return await _send(session, request, attempt, limit, timer.cancel)
        except _FAILURES as error:
            overdue = timer is not None and timer.expired
            raise self._failure(error, request, attempt, overdue) from error
        finally:
            if timer is not None:
                timer.cancel()

    def _failure(
        self,
        error: Exception,
        request: _Request,
        attempt: Attempt,
        overdue: bool = False,
    ) -> StoreUnavailableError | OutcomeUnknownError:
        """Return the typed error of a failed attempt."""
        location = str(request.url)
        if isinstance(error, aiohttp.ClientConnectorError):
            return StoreUnavailableError(
                str(error), remedy=_RETRY_REMEDY, location=location
            )
        failure: type[OutcomeUnknownError] = OutcomeUnknownError
        if isinstance(error, TimeoutError):
            self._close_idle(request.address)
            failure = AnswerOverdueError if overdue else NoAnswerError
        if attempt.withheld:
            return StoreUnavailableError(
                f"not sent ({type(error).__name__} {attempt})",
                remedy=_RETRY_REMEDY,
                location=location,
            )
        return failure(
            f"no complete answer ({type(error).__name__} {attempt})",
            remedy=_RETRY_REMEDY,
            location=location,
        )

    def read(self, answer: Answer, decoder: Decoder[T]) -> T:
        """Decode an answer.

        :raises OutcomeUnknownError: the answer cannot be decoded; the call may have
            been carried out.
        """
        try:
            return decoder.decode(answer.text or NO_BODY, answer.url)
        except UnreadableError as error:
            self._notes.note(Source.ANSWER, error)
            raise OutcomeUnknownError(
                f"the answer cannot be decoded: {error.message} at {error.field}",
                remedy=_RETRY_REMEDY,
                location=answer.url,
            ) from error

    def _close_idle_since(self, address: Address, since_s: float) -> int:
        if self._connector is None:
            return 0
        return self._connector.close_idle(address, since_s)

    def _close_idle(self, address: Address) -> None:
        closed = self._close_idle_since(address, boot_s())
        if closed:
            host, port = address
            log.info(
                "idle-connections-closed",
                extra={"address": f"{host}:{port}", "connections": closed},
            )


class ServiceClient:
    """Base class for clients of a service with one address.

    :param address: ``host:port``.
    :param connections: maximum number of open connections.
    :param notes: records answers that cannot be decoded.
    """

    def __init__(
        self,
        address: str,
        connections: int,
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._url = f"http://{address}"
        self._caller = HttpCaller(connections, notes, tracks_calls=True)

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()


@functools.lru_cache(maxsize=URL_CACHE_SIZE)
def _parse_url(url: str) -> yarl.URL:
    return yarl.URL(url)


def _encode(body: JsonObject) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()


def _make_session(
    connector: aiohttp.TCPConnector, traced: bool
) -> aiohttp.ClientSession:
    """Return a session.

    :param traced: each attempt records which connection it is sent on.
    """
    # Each call has its own time limit, and the platform sets no cookies.
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=_NO_LIMITS,
        skip_auto_headers=UNUSED_HEADERS,
        trace_configs=[connection_trace()] if traced else None,
    )


def _limits_of(request: _Request) -> aiohttp.ClientTimeout:
    if request.permit is None:
        return _NO_LIMITS
    return aiohttp.ClientTimeout(total=None, sock_connect=request.permit.connect_s)


async def _send(
    session: aiohttp.ClientSession,
    request: _Request,
    attempt: Attempt,
    limit: asyncio.Timeout,
    on_begun: t.Callable[[], None] = lambda: None,
) -> Answer:
    """Make one attempt of a call.

    :param on_begun: called when the answer begins.
    """
    async with session.request(
        request.method,
        request.url,
        data=request.data,
        headers=request.headers,
        params=request.params,
        trace_request_ctx=attempt,
        timeout=_limits_of(request),
    ) as response:
        on_begun()
        return await _read_answer(response, limit, attempt, str(request.url))


async def _read_answer(
    response: aiohttp.ClientResponse,
    limit: asyncio.Timeout,
    attempt: Attempt,
    url: str,
) -> Answer:
    """Read an answer that has begun; each piece extends the time limit."""
    loop = asyncio.get_running_loop()
    limit.reschedule(loop.time() + SILENCE_S)
    parts: list[bytes] = []
    async for part in response.content.iter_any():
        limit.reschedule(loop.time() + SILENCE_S)
        attempt.received_bytes += len(part)
        parts.append(part)
    instance_id = response.headers.get(INSTANCE_HEADER, "")
    return Answer(response.status, b"".join(parts), url, instance_id)


def refuse_status(answer: Answer, url: str) -> None:
    """Raise an error for the statuses 429, 503 and other server errors.

    :raises StoreThrottledError: a rate limit was exceeded; nothing was done.
    :raises StoreUnavailableError: the call was refused for now; nothing was done.
    :raises OutcomeUnknownError: another server error; the outcome is not known.
    """
    if answer.status == 429:
        raise StoreThrottledError(
            "rate limit exceeded", remedy=_RETRY_REMEDY, location=url
        )
    if answer.status == 503:
        raise StoreUnavailableError(
            "the service refused the call for now", remedy=_RETRY_REMEDY, location=url
        )
    if answer.status >= 500:
        raise OutcomeUnknownError(
            f"answered with status {answer.status}", remedy=_RETRY_REMEDY, location=url
        )
