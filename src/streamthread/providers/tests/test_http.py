"""The platform's answers over a small link."""

import asyncio
import json

import pytest
from aiohttp import web

from streamthread.errors import StoreUnavailableError
from streamthread.providers import HttpObjects
from streamthread.providers import PlatformClient
from streamthread.standins.cell.port import HttpPort
from streamthread.standins.cell.port import PLAY_DEAD_S

TIMEOUT_S = 0.5
PIECES = 20
PIECE_BYTES = 1000
BODY = "a" * PIECES * PIECE_BYTES


async def _send(request: web.BaseRequest, pieces: int) -> web.StreamResponse:
    """Send an object in pieces; each comes in time, all of them take longer."""
    answer = json.dumps({"body": BODY}).encode()
    response = web.StreamResponse()
    response.content_type = "application/json"
    response.content_length = len(answer)
    await response.prepare(request)
    for number in range(pieces):
        await asyncio.sleep(TIMEOUT_S / 10)
        await response.write(answer[number * PIECE_BYTES : (number + 1) * PIECE_BYTES])
    if pieces < PIECES:
        await asyncio.sleep(PLAY_DEAD_S)
    await response.write(answer[pieces * PIECE_BYTES :])
    return response


async def _get_object(pieces: int) -> bytes | None:
    port = HttpPort(lambda request: _send(request, pieces))
    await port.open()
    client = PlatformClient(f"http://{port.address}", TIMEOUT_S)
    try:
        return await HttpObjects(client).get("key")
    finally:
        await client.close()
        await port.close()


class TestLongAnswers:
    async def test_are_read_for_as_long_as_more_of_them_comes(self) -> None:
        assert await _get_object(PIECES) == BODY.encode()

    async def test_are_given_up_when_no_more_of_them_comes(self) -> None:
        with pytest.raises(StoreUnavailableError, match="Timeout"):
            await _get_object(PIECES // 2)
