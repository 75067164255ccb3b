"""Orders whose bytes a partition holds back until their caller has given up on them.

The next holder orders the same machines and runners meanwhile. Bytes of an earlier
order that arrive after the partition would be carried out on top of its orders.
"""

import asyncio
import typing as t

import pytest
from aiohttp import web

from streamthread.errors import OutcomeUnknownError
from streamthread.platform.cloud import CloudClient
from streamthread.platform.runners import RunnerClient
from streamthread.platform.runners import StartOrder
from streamthread.platform.store import RowStore
from streamthread.platform.store import StoredRow
from streamthread.standins.cell.port import HttpPort
from streamthread.standins.holding_link import HoldingLink

ANSWER_S = 0.3
PATIENCE_S = 60.0
SOON_S = 10.0

WINDOW_BYTES = 65536
"""How much of a request the link takes from a sender while it is interrupted."""

LONG_VALUE = b"a" * 24_000_000
"""More than twice of what the operating system keeps for one sender (4 MB)."""

RUNNER_ID = "i-1"

Call = t.Callable[[str, float], t.Awaitable[object]]


class Service:
    """Records the requests that arrive in full, and carries out each of them."""

    def __init__(self) -> None:
        self.requests: list[str] = []
        self.received_bytes = 0
        self.port = HttpPort(self._serve)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        async for part in request.content.iter_any():
            self.received_bytes += len(part)
        self.requests.append(request.path)
        return web.json_response({"ver": 1, "clockMs": 1})


async def _move(address: str, timeout_s: float) -> object:
    client = CloudClient(address, timeout_s)
    return await _closing(client, client.move("m-1", "desk", "daemon", 1))


async def _upkeep(address: str, timeout_s: float) -> object:
    client = CloudClient(address, timeout_s)
    return await _closing(client, client.upkeep("m-1", 1, "daemon", 1))


async def _start(address: str, timeout_s: float) -> object:
    client = RunnerClient()
    order = StartOrder("task", 1, "{}", 1, 1)
    return await _closing(client, client.start(address, RUNNER_ID, order, timeout_s))


async def _overdue_start(address: str, timeout_s: float) -> object:
    client = RunnerClient()
    order = StartOrder("task", 1, "{}", 1, 1)
    call = client.start(address, RUNNER_ID, order, PATIENCE_S, overdue_s=timeout_s)
    return await _closing(client, call)


async def _stop(address: str, timeout_s: float) -> object:
    client = RunnerClient()
    call = client.stop(address, RUNNER_ID, "task", 1, 1, timeout_s)
    return await _closing(client, call)


async def _hold(address: str, timeout_s: float) -> object:
    client = RunnerClient()
    call = client.hold(address, RUNNER_ID, 1, 0, 1, 0.0, timeout_s)
    return await _closing(client, call)


async def _pace(address: str, timeout_s: float) -> object:
    client = RunnerClient()
    call = client.pace(address, RUNNER_ID, "task", 1, 50, 1, timeout_s)
    return await _closing(client, call)


async def _write(address: str, timeout_s: float) -> object:
    store = RowStore(address, timeout_s)
    call = store.transact([], [StoredRow("table", "", "key", b"value")])
    return await _closing(store, call)


async def _long_write(address: str, timeout_s: float) -> object:
    store = RowStore(address, timeout_s)
    call = store.transact([], [StoredRow("table", "", "key", LONG_VALUE)])
    return await _closing(store, call)


class _Client(t.Protocol):
    async def close(self) -> None: ...


async def _closing(client: _Client, call: t.Awaitable[object]) -> object:
    try:
        return await call
    finally:
        await client.close()


CALLS = {
    "move": _move,
    "upkeep": _upkeep,
    "start": _start,
    "overdue start": _overdue_start,
    "stop": _stop,
    "hold": _hold,
    "pace": _pace,
    "store write": _write,
}


async def until(condition: t.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(SOON_S):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
async def service() -> t.AsyncIterator[Service]:
    service = Service()
    await service.port.open()
    yield service
    await service.port.close()


@pytest.fixture
async def link(service: Service) -> t.AsyncIterator[HoldingLink]:
    link = HoldingLink(service.port.address)
    await link.open()
    yield link
    await link.close()


async def _heal(link: HoldingLink) -> None:
    """End a partition; return once everything that was held back is delivered."""
    await until(lambda: link.all_left)
    link.heal()
    await until(lambda: not link.sides)


class TestOrdersThatWereGivenUp:
    # Guards against a connection that is closed in order, which still delivers the
    # order after the next holder has given one to the same machine or runner.
    @pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
    async def test_do_not_arrive_after_a_partition(
        self, service: Service, link: HoldingLink, call: Call
    ) -> None:
        link.interrupt()
        with pytest.raises(OutcomeUnknownError):
            await call(link.address, ANSWER_S)
        await _heal(link)
        assert service.requests == []

    # Guards against orders of a holder that has ended, whose calls are cancelled.
    @pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
    async def test_do_not_arrive_after_their_calls_were_cancelled(
        self, service: Service, link: HoldingLink, call: Call
    ) -> None:
        link.interrupt()
        task = asyncio.ensure_future(call(link.address, PATIENCE_S))
        await until(lambda: link.accepted == 1 and link.held_bytes > 0)
        task.cancel()
        await asyncio.wait((task,))
        await _heal(link)
        assert service.requests == []

    # Guards against a reset that takes back what the operating system has, while the
    # process goes on to send what it keeps in a buffer of its own.
    async def test_are_not_completed_from_the_buffer_of_the_process(
        self, service: Service
    ) -> None:
        link = HoldingLink(service.port.address, WINDOW_BYTES)
        await link.open()
        try:
            link.interrupt()
            with pytest.raises(OutcomeUnknownError):
                await _long_write(link.address, ANSWER_S)
            link.heal()
            await until(lambda: not link.sides)
            assert service.requests == []
            assert service.received_bytes < len(LONG_VALUE) // 2
        finally:
            await link.close()

    async def test_do_not_arrive_on_a_connection_that_was_used_before(
        self, service: Service, link: HoldingLink
    ) -> None:
        cloud = CloudClient(link.address, ANSWER_S)
        await cloud.move("m-1", "desk", "daemon", 1)
        link.interrupt()
        with pytest.raises(OutcomeUnknownError, match="on a reused connection"):
            await cloud.move("m-2", "desk", "daemon", 1)
        await _heal(link)
        assert len(service.requests) == 1
        await cloud.close()


class TestAnsweredCalls:
    # Guards against a reset that cuts off the answers of connections that the service
    # closes.
    @pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
    async def test_are_not_affected(
        self, service: Service, link: HoldingLink, call: Call
    ) -> None:
        assert await call(link.address, PATIENCE_S)
        assert len(service.requests) == 1

    async def test_are_read_to_the_end_on_a_connection_that_the_service_closes(
        self,
    ) -> None:
        async def serve(request: web.BaseRequest) -> web.StreamResponse:
            await request.read()
            value = "a" * 5_000_000
            rows = [{"table": "t", "part": "", "key": "k", "value": value, "ver": 1}]
            response = web.json_response({"ver": 1, "rows": rows})
            response.force_close()
            return response

        port = HttpPort(serve)
        await port.open()
        store = RowStore(port.address, PATIENCE_S)
        try:
            (row,) = (await store.read("t", "")).rows
            assert row.value is not None
            assert len(row.value) == 3_750_000
        finally:
            await store.close()
            await port.close()
