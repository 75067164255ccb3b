"""Tests that a list of ended runs that may be truncated is recognized as such."""

import json
import typing as t

import pytest
from aiohttp import web

from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import MAX_LISTED_ENDS
from streamthread.platform.runners import RunnerClient
from streamthread.standins.cell import ODD_PARTS
from streamthread.standins.cell.port import HttpPort


async def _list(running: str, finished: str) -> HoldReply:
    """Return the reply of a runner with these lists."""
    answer = f'{{"clockMs":1,"running":{running},"finished":{finished}}}'

    async def serve(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(text=answer)

    port = HttpPort(serve)
    await port.open()
    client = RunnerClient()
    try:
        reply = await client.hold(port.address, "i-1", 1, 0, None, 0.0, 5.0)
    finally:
        await client.close()
        await port.close()
    return t.cast(HoldReply, reply)


def _end(number: int) -> str:
    return json.dumps([number, f"job.0.0.{number}", 1, "done", ""])


async def _list_ends(count: int) -> HoldReply:
    """Return the reply of a runner that lists this many ended runs."""
    ends = ",".join(_end(number) for number in range(1, count + 1))
    return await _list("[]", f"[{ends}]")


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


ODD_ROWS = ["null", "[7]", '["job.0.0.7"]', '[8,"job.0.0.8",1,"evicted"]']


class TestOddRows:
    # Guards against a runner whose other runs and ends are lost beside an odd row.
    @pytest.mark.parametrize("odd", [*ODD_PARTS.values(), *ODD_ROWS])
    async def test_leave_the_others_and_prove_nothing(self, odd: str) -> None:
        running = f'[["job.0.0.5",1,"",40],{odd}]'
        reply = await _list(running, f"[{_end(1)},{_end(2)},{odd},{_end(9)}]")
        assert [row.task for row in reply.running] == ["job.0.0.5"]
        assert [row.number for row in reply.ended] == [1, 2, 9]
        assert reply.omits_runs and not reply.ends_truncated

    # Guards against an end that its runner forgets, although nobody could read it.
    async def test_bound_what_may_be_confirmed(self) -> None:
        reply = await _list("[]", f"[{_end(1)},{_end(2)},null,{_end(9)}]")
        assert reply.confirmable == 2
        assert (await _list("[null]", f"[{_end(1)}]")).confirmable == 1
        assert (await _list("[]", f"[null,{_end(1)}]")).confirmable == 0
        assert (await _list("[]", f"[{_end(1)}]")).confirmable is None
