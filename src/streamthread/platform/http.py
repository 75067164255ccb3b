"""One way of calling the platform over HTTP, with typed failures."""

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
"""What an answer is read as."""

INSTANCE_HEADER = "Streamthread-Instance-Id"
JSON_HEADERS = {"Content-Type": "application/json"}
UNUSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")
"""Set by the library and read by nobody here: a tenth of a small request."""

IDLE_CONNECTION_S = 30.0
"""New connections are priced, so idle ones are kept for as long as a quiet spell."""

URLS_KEPT = 4096
"""Parsed addresses that are kept: a few for each runner of a large deployment."""

NO_BODY = b"{}"
"""An answer without a body says nothing beside its status."""

SILENCE_S = 0.8
"""An answer that has begun is waited for while more of it comes so soon. Its length is
no limit: 1.1 MB of configuration take 1.75 s over the smallest links (5 Mbit/s); with
1.2 s for a whole answer it never came into force there."""

_WAIT = "it is tried again; nothing is lost"


@attrs.frozen
class Answer:
    """One whole answer; :meth:`HttpCaller.read` tells what it says.

    :param url: what was called.
    :param instance_id: which life of a runner answered, where it says so.
    """

    status: int
    text: bytes
    url: str = ""
    instance_id: str = ""


@attrs.define
class _Progress:
    """How far a call has come; told when it fails.

    :param received_bytes: of the answer's body.
    """

    began_at_s: float = attrs.field(factory=boot_s)
    received_bytes: int = 0

    def __str__(self) -> str:
        took_s = boot_s() - self.began_at_s
        return f"after {took_s:.2f} s and {self.received_bytes} bytes"


class _Connector(aiohttp.TCPConnector):
    """Keeps idle connections, and closes those that most likely bring nothing more."""

    def close_idle(self, url: yarl.URL) -> int:
        """Close the idle connections to a URL's address.

        :return: how many they were.
        """
        # The library names no way to its idle connections. It skips closed ones.
        idle = [
            protocol
            for key, kept in self._conns.items()
            if (key.host, key.port) == (url.host, url.port)
            for protocol, _ in kept
            if protocol.is_connected()
        ]
        for protocol in idle:
            protocol.close()
        return len(idle)


class HttpCaller:
    """Calls one kind of service; connections are kept and counted.

    Where one connection to an address has fallen silent, the idle ones have most likely
    done so too. They are closed, so that the next call makes a new one: else each of
    them costs a call its whole time limit, one after the other. Measured with all of
    them silent at once: 8.7 s without a list of machines, four times a limit of 2 s.

    :param connections_per_address: the most connections to one address.
    :param notes: is told of answers that can't be read.
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
            # Calls have their own time limit, and the platform sets no cookies.
            self._session = aiohttp.ClientSession(
                connector=self._connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(total=None),
                skip_auto_headers=UNUSED_HEADERS,
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

        :param timeout_s: the answer begins so soon; :data:`SILENCE_S` bounds each
            pause after that.
        :raises StoreUnavailableError: no connection could be made, so the call
            was certainly not carried out.
        :raises OutcomeUnknownError: the call was sent and no whole answer came.
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
                ) as response:
                    return await _read_answer(response, limit, progress, url)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(
                str(error), remedy=_WAIT, location=url
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            failure = OutcomeUnknownError
            if isinstance(error, TimeoutError):
                self._on_silence(_parse_url(url))
                failure = NoAnswerError
            raise failure(
                f"no whole answer ({type(error).__name__} {progress})",
                remedy=_WAIT,
                location=url,
            ) from error

    def read(self, answer: Answer, decoder: Decoder[T]) -> T:
        """Return what an answer says.

        :raises OutcomeUnknownError: it can't be read; the call may have been carried
            out.
        """
        try:
            return decoder.decode(answer.text or NO_BODY, answer.url)
        except UnreadableError as error:
            self._notes.note(Source.ANSWER, error)
            raise OutcomeUnknownError(
                f"an answer can't be read: {error.message} at {error.field}",
                remedy=_WAIT,
                location=answer.url,
            ) from error

    def _on_silence(self, url: yarl.URL) -> None:
        closed = 0 if self._connector is None else self._connector.close_idle(url)
        if closed:
            log.info(
                "idle-connections-closed",
                extra={"address": f"{url.host}:{url.port}", "connections": closed},
            )


class ServiceClient:
    """What the clients of services with one address share.

    :param address: ``host:port``.
    :param timeout_s: an answer begins within this time.
    :param connections: the most that are open at once.
    :param notes: is told of answers that can't be read.
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


@functools.lru_cache(maxsize=URLS_KEPT)
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
    """Read an answer that has begun; each piece of it moves the time limit."""
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
    """Raise for statuses that say that nothing was done.

    :raises StoreThrottledError: over a rate.
    :raises StoreUnavailableError: refused for now.
    """
    if answer.status == 429:
        raise StoreThrottledError("over its rate", remedy=_WAIT, location=url)
    if answer.status == 503:
        raise StoreUnavailableError("refused", remedy=_WAIT, location=url)
    if answer.status >= 500:
        raise OutcomeUnknownError(
            f"answered with status {answer.status}", remedy=_WAIT, location=url
        )
