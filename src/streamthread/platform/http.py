"""HTTP calls to the platform's services, with typed errors."""

import asyncio
import enum
import functools
import json
import typing as t

import aiohttp
import attrs
import logbook
import yarl

from ..clocks import boot_s
from ..decoding import Decoder
from ..errors import NoAnswerError
from ..errors import OutcomeUnknownError
from ..errors import StoreThrottledError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..unreadable import Source
from ..unreadable import UnreadableNotes

__all__ = ["Answer", "HttpCaller", "JsonObject", "ServiceClient", "refuse_status"]

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


@attrs.frozen
class Answer:
    """One complete answer; :meth:`HttpCaller.read` decodes it.

    :param url: the URL that was called.
    :param instance_id: the runner incarnation that answered, if the answer names it.
    """

    status: int
    text: bytes
    url: str = ""
    instance_id: str = ""


class _ConnectionUse(enum.Enum):
    """Which connection a call is sent on; the values appear in error messages."""

    NONE = "without a free connection"
    NEW = "on a new connection"
    REUSED = "on a reused connection"


@attrs.define
class _Progress:
    """The progress of a call, for the error message if it fails.

    :param received_bytes: how much of the answer's body has arrived.
    """

    began_at_s: float = attrs.field(factory=boot_s)
    received_bytes: int = 0
    connection: _ConnectionUse = _ConnectionUse.NONE

    def __str__(self) -> str:
        took_s = boot_s() - self.began_at_s
        size = f"{self.received_bytes} bytes"
        return f"after {took_s:.2f} s and {size} {self.connection.value}"


def _connection_trace() -> aiohttp.TraceConfig:
    """Return the hooks that record in a call's progress which connection it uses."""

    async def on_reused(session: t.Any, context: t.Any, params: t.Any) -> None:
        context.trace_request_ctx.connection = _ConnectionUse.REUSED

    async def on_created(session: t.Any, context: t.Any, params: t.Any) -> None:
        context.trace_request_ctx.connection = _ConnectionUse.NEW

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(on_reused)
    trace.on_connection_create_end.append(on_created)
    return trace


class _Connector(aiohttp.TCPConnector):
    """Keeps idle connections, and can close those that are most likely dead."""

    def close_idle(self, url: yarl.URL) -> int:
        """Close the idle connections to a URL's address.

        :return: the number of closed connections.
        """
        # The library has no public API for its idle connections. It skips closed ones.
        idle = [
            protocol
            for key, entries in self._conns.items()
            if (key.host, key.port) == (url.host, url.port)
            for protocol, _ in entries
            if protocol.is_connected()
        ]
        for protocol in idle:
            protocol.close()
        return len(idle)


class HttpCaller:
    """Calls one kind of service; reuses connections and limits their number.

    If one connection to an address has stopped responding, the idle ones most likely
    have, too. They are closed, so that the next call opens a new connection. Otherwise,
    each dead connection would cost one call its full time limit, one call after the
    other: with all of them dead at once, the list of machines was missing for 8.7 s,
    four times its time limit of 2 s.

    :param connections_per_address: maximum number of connections to one address.
    :param notes: records answers that cannot be decoded.
    """

    def __init__(
        self, connections_per_address: int, notes: UnreadableNotes | None = None
    ) -> None:
        self._limit = connections_per_address
        self._notes = notes or UnreadableNotes()
        self._session: aiohttp.ClientSession | None = None
        self._connector: _Connector | None = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._connector = _Connector(
                limit=0,
                limit_per_host=self._limit,
                keepalive_timeout=IDLE_CONNECTION_S,
            )
            # Each call has its own time limit, and the platform sets no cookies.
            self._session = aiohttp.ClientSession(
                connector=self._connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
                skip_auto_headers=UNUSED_HEADERS,
                trace_configs=[_connection_trace()],
            )
        return self._session

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        url: str,
        body: JsonObject | None = None,
        *,
        timeout_s: float,
        headers: dict[str, str] | None = None,
        params: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call.

        :param timeout_s: maximum time until the answer begins; after that,
            :data:`SILENCE_S` limits each pause.
        :raises StoreUnavailableError: no connection could be opened, so the call was
            certainly not carried out.
        :raises OutcomeUnknownError: the call may have been sent, and no complete answer
            arrived.
        """
        all_headers = JSON_HEADERS if headers is None else JSON_HEADERS | headers
        data = None if body is None else _encode(body)
        progress = _Progress()
        try:
            async with asyncio.timeout(timeout_s) as limit:
                async with self._open().request(
                    method,
                    _parse_url(url),
                    data=data,
                    headers=all_headers,
                    params=params,
                    trace_request_ctx=progress,
                ) as response:
                    return await _read_answer(response, limit, progress, url)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(
                str(error), remedy=_RETRY_REMEDY, location=url
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            failure = OutcomeUnknownError
            if isinstance(error, TimeoutError):
                self._close_idle_connections(_parse_url(url))
                failure = NoAnswerError
            raise failure(
                f"no complete answer ({type(error).__name__} {progress})",
                remedy=_RETRY_REMEDY,
                location=url,
            ) from error

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

    def _close_idle_connections(self, url: yarl.URL) -> None:
        closed = 0 if self._connector is None else self._connector.close_idle(url)
        if closed:
            log.info(
                "idle-connections-closed",
                extra={"address": f"{url.host}:{url.port}", "connections": closed},
            )


class ServiceClient:
    """Base class for clients of a service with one address.

    :param address: ``host:port``.
    :param timeout_s: maximum time until an answer begins.
    :param connections: maximum number of open connections.
    :param notes: records answers that cannot be decoded.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float,
        connections: int,
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._url = f"http://{address}"
        self._timeout_s = timeout_s
        self._caller = HttpCaller(connections, notes)

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()


@functools.lru_cache(maxsize=URL_CACHE_SIZE)
def _parse_url(url: str) -> yarl.URL:
    return yarl.URL(url)


def _encode(body: JsonObject) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()


async def _read_answer(
    response: aiohttp.ClientResponse,
    limit: asyncio.Timeout,
    progress: _Progress,
    url: str,
) -> Answer:
    """Read an answer that has begun; each piece extends the time limit."""
    loop = asyncio.get_running_loop()
    limit.reschedule(loop.time() + SILENCE_S)
    parts: list[bytes] = []
    async for part in response.content.iter_any():
        limit.reschedule(loop.time() + SILENCE_S)
        progress.received_bytes += len(part)
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
