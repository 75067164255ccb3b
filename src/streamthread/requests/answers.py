"""Relays upstreams' answers to callers; one that breaks off never looks complete."""

import asyncio

import aiohttp
import attrs
from aiohttp import web

from .claims import Claim
from .claims import ClaimState
from .outcomes import LEAVING_HEADER
from .outcomes import NOT_STARTED_HEADER
from .outcomes import Outcome
from .outcomes import OUTCOME_HEADER
from .parse import Call

__all__ = ["RecordedAnswer", "relay_answer"]

CHUNK_BYTES = 64 * 1024
MAX_RECORDED_BYTES = 4096
"""The body of a longer answer is not stored, so the answer cannot be replayed."""

_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        NOT_STARTED_HEADER.lower(),
        LEAVING_HEADER.lower(),
        OUTCOME_HEADER.lower(),
    }
)


@attrs.define
class RecordedAnswer:
    """Records a small answer, which is returned again when its key is repeated."""

    began: bool = False
    complete: bool = False
    status: int = 0
    content_type: str = ""
    body: bytearray = attrs.field(factory=bytearray)

    def begin(self, reply: aiohttp.ClientResponse) -> None:
        """Record the status and content type of the answer."""
        self.began = True
        self.status = reply.status
        self.content_type = reply.headers.get("Content-Type", "")

    def add(self, chunk: bytes) -> None:
        """Record a part of the body, unless it already exceeds the size limit."""
        if len(self.body) <= MAX_RECORDED_BYTES:
            self.body += chunk

    def final_claim(self, claim: Claim) -> Claim:
        """Return the claim as it is stored after the answer."""
        is_recorded = self.complete and len(self.body) <= MAX_RECORDED_BYTES
        return attrs.evolve(
            claim,
            state=ClaimState.DONE if self.began else ClaimState.UNKNOWN,
            status=self.status,
            content_type=self.content_type,
            body_hex=self.body.hex() if is_recorded else None,
        )


async def relay_answer(
    request: web.Request,
    reply: aiohttp.ClientResponse,
    call: Call,
    answer: RecordedAnswer | None,
    close: bool,
) -> web.StreamResponse:
    """Stream an answer to the caller.

    If the answer breaks off, the caller's connection is aborted, so that a partial
    answer never looks complete. The deadline also ends a transfer to a caller that
    reads too slowly, or from a slow upstream: neither occupies a slot for longer.

    :param answer: records a copy of the answer, if given.
    :param close: whether to close the caller's connection after the answer.
    """
    response = _response_head(reply)
    if close:
        response.force_close()
    if answer is not None:
        answer.begin(reply)
    try:
        async with asyncio.timeout(max(0.0, call.left_s())):
            await response.prepare(request)
            async for chunk in reply.content.iter_chunked(CHUNK_BYTES):
                if answer is not None:
                    answer.add(chunk)
                await response.write(chunk)
            await response.write_eof()
    except (aiohttp.ClientError, OSError, TimeoutError):
        if request.transport is not None:
            request.transport.abort()
        return response
    if answer is not None:
        answer.complete = True
    return response


def _response_head(reply: aiohttp.ClientResponse) -> web.StreamResponse:
    response = web.StreamResponse(status=reply.status)
    for name, value in reply.headers.items():
        if name.lower() not in _DROPPED_HEADERS:
            response.headers.add(name, value)
    response.headers[OUTCOME_HEADER] = Outcome.DONE.value
    if reply.content_length is not None:
        response.content_length = reply.content_length
    return response
