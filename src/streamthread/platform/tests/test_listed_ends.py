"""Tests that a list of ended runs that may be truncated is recognized as such."""

import json
import typing as t

import pytest
from aiohttp import web

from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import MAX_LISTED_ENDS
from streamthread.platform.runners import RunnerClient
from streamthread.standins.cell.port import HttpPort


async def _list_ends(count: int) -> HoldReply:
    """Return the reply of a runner that lists this many ended runs."""
    ends = [[n, f"job.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
    answer = {"clockMs": 1, "running": [], "finished": ends}

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=json.dumps(answer))

    port = HttpPort(serve)
    await port.open()
    client = RunnerClient()
    try:
        reply = await client.hold(port.address, "i-1", 1, 0, None, 0.0, 5.0)
    finally:
        await client.close()
        await port.close()
    return t.cast(HoldReply, reply)


class TestListedEnds:
    @pytest.mark.parametrize(
        ("count", "truncated"),
        [(0, False), (MAX_LISTED_ENDS - 1, False), (MAX_LISTED_ENDS, True)],
    )
    async def test_may_be_truncated_at_the_documented_limit(
        self, count: int, truncated: bool
    ) -> None:
        reply = await _list_ends(count)
        assert len(reply.ended) == count
        assert reply.ends_truncated is truncated
