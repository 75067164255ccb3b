"""Duties that are under way when the lease on the cell is no longer certainly valid.

The next holder waits for what an earlier one may have sent while its lease was valid,
and for half a second more. Whatever arrives later is carried out on top of its orders:
the cloud does not compare fencing tokens.
"""

import asyncio
import contextlib
import math
import socket
import types
import typing as t

import logbook
import pytest
from aiohttp import web

from streamthread.capacity import Move
from streamthread.cell import CommitLog
from streamthread.cell import LeaseTimes
from streamthread.clocks import boot_s
from streamthread.holder.context import DutySettings
from streamthread.holder.duties import DutyLoop
from streamthread.holder.lease_validity import LeaseValidity
from streamthread.platform.cloud import CloudClient
from streamthread.scheduler import Engine
from streamthread.standins.cell.port import HttpPort
from streamthread.standins.holding_link import HoldingLink
from streamthread.unreadable import UnreadableNotes

SOON_S = 5.0
ANSWER_S = 60.0
"""The calls' own time limit, which these tests never wait for."""

MOVE = Move("m-1", "desk", "audit")


class _Cloud:
    """A cloud service with one machine; it records the orders that arrive."""

    def __init__(self) -> None:
        self.orders: list[str] = []
        self.port = HttpPort(self._serve)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/machines":
            row = {
                "machine": "m-1",
                "pool": "desk",
                "state": "up",
                "capacity": {"cpu": 1, "memMb": 1, "gpu": 0},
                "id": "i-1",
            }
            return web.json_response({"machines": [row]})
        await request.read()
        self.orders.append(request.path)
        return web.json_response({})


class _Holder:
    """A holder with a lease that can be made uncertain."""

    def __init__(self) -> None:
        log = CommitLog(t.cast(t.Any, None), "main", 1, 1, boot_s() + 60.0, 0.4)
        self.log = log
        self.lease_validity = LeaseValidity(log, LeaseTimes(), most_hold_s=6.0)
        self.engine = Engine(lambda job: None)
        self.context = types.SimpleNamespace(
            daemon_id="daemon",
            documents=types.SimpleNamespace(manifest=None, waves={}),
            notes=UnreadableNotes(),
        )
        self.token = 1
        self.taken = types.SimpleNamespace(exclusive_from_s=-math.inf)
        self.links: dict[str, t.Any] = {}
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def trusted(self) -> bool:
        return self.lease_validity.trusted

    @property
    def releasing(self) -> bool:
        return self.lease_validity.releasing

    def policy_coverage(self) -> dict[str, t.Any]:
        return {}

    async def until_trusted(self) -> None:
        await self.lease_validity.until_trusted()

    async def while_trusted(self, call: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return await self.lease_validity.while_trusted(call)

    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        self.tasks.append(asyncio.ensure_future(call))

    def kick(self) -> None:
        """No queue runs here."""

    def end_lease(self) -> None:
        self.log.confirmed_at_s = boot_s() - 60.0


class _Cell:
    def __init__(self, holder: _Holder, duties: DutyLoop, cloud: _Cloud) -> None:
        self.holder = holder
        self.duties = duties
        self.cloud = cloud

    @property
    def pending(self) -> bool:
        return bool(self.duties._table.pending)

    async def ended(self) -> None:
        """Wait until the holder has given up on its orders."""
        async with asyncio.timeout(SOON_S):
            await asyncio.gather(*self.holder.tasks)


@contextlib.asynccontextmanager
async def _cell(cloud: _Cloud, address: str) -> t.AsyncIterator[_Cell]:
    holder = _Holder()
    client = CloudClient(address, ANSWER_S)
    duties = DutyLoop(t.cast(t.Any, holder), client, DutySettings(list_s=0.0))
    try:
        yield _Cell(holder, duties, cloud)
    finally:
        for task in holder.tasks:
            task.cancel()
        await asyncio.gather(*holder.tasks, return_exceptions=True)
        await client.close()


@pytest.fixture
async def cloud() -> t.AsyncIterator[_Cloud]:
    cloud = _Cloud()
    await cloud.port.open()
    yield cloud
    await cloud.port.close()


@pytest.fixture
async def link(cloud: _Cloud) -> t.AsyncIterator[HoldingLink]:
    link = HoldingLink(cloud.port.address)
    await link.open()
    yield link
    await link.close()


async def until(condition: t.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(SOON_S):
        while not condition():
            await asyncio.sleep(0.005)


class TestDutyThatWasSent:
    # Guards against an order that is waited for until its own time limit, and arrives
    # after the next holder has ordered the same machine.
    async def test_is_aborted_when_the_lease_is_no_longer_valid(
        self, cloud: _Cloud, link: HoldingLink
    ) -> None:
        with logbook.TestHandler() as logs:
            async with _cell(cloud, link.address) as cell:
                await cell.duties._table.refresh()
                link.interrupt()
                cell.duties._begin_move(MOVE)
                await until(lambda: link.held_bytes > 0)
                cell.holder.end_lease()
                await cell.ended()
                assert cell.duties.aborted == 1
            assert any(r.message == "duty-aborted" for r in logs.records)
        await until(lambda: link.all_left)
        link.heal()
        await until(lambda: not link.sides)
        assert cloud.orders == []

    # Guards against a machine that gets a second order because the first one was
    # aborted and yet carried out.
    async def test_stays_pending_when_it_is_aborted(
        self, cloud: _Cloud, link: HoldingLink
    ) -> None:
        async with _cell(cloud, link.address) as cell:
            await cell.duties._table.refresh()
            link.interrupt()
            cell.duties._begin_move(MOVE)
            await until(lambda: link.held_bytes > 0)
            cell.holder.end_lease()
            await cell.ended()
            assert cell.pending

    async def test_is_answered_as_usual_while_the_lease_is_valid(
        self, cloud: _Cloud, link: HoldingLink
    ) -> None:
        async with _cell(cloud, link.address) as cell:
            await cell.duties._table.refresh()
            cell.duties._begin_move(MOVE)
            await cell.ended()
            assert cloud.orders == ["/-/machine-move"]
            assert cell.pending


class _SlowPort:
    """A listening port whose queue of new connections is full until it is drained."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._fillers: list[socket.socket] = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)

    def close(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._listener.close()


class TestDutyThatIsNotSentYet:
    # Guards against an order that leaves on a connection whose establishment began
    # while the lease was valid. The event loop may be late when it ends, so that the
    # order is written before the loop notices the end of the lease.
    async def test_is_not_sent_on_a_connection_that_completes_too_late(
        self, cloud: _Cloud, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with _cell(cloud, cloud.port.address) as cell:
            await cell.duties._table.refresh()
            await cell.duties._cloud.close()
            loop = asyncio.get_running_loop()
            connect = loop.sock_connect

            async def connect_late(sock: socket.socket, address: t.Any) -> None:
                await connect(sock, address)
                cell.holder.end_lease()

            monkeypatch.setattr(loop, "sock_connect", connect_late)
            cell.duties._cloud = CloudClient(cloud.port.address, ANSWER_S)
            cell.duties._begin_move(MOVE)
            await cell.ended()
            await cell.duties._cloud.close()
            assert cloud.orders == []

    # Guards against an order that was decided long before it gets its connection.
    async def test_does_not_wait_long_for_a_connection(self, cloud: _Cloud) -> None:
        port = _SlowPort()
        try:
            async with _cell(cloud, cloud.port.address) as cell:
                await cell.duties._table.refresh()
                slow = cell.duties._cloud = CloudClient(port.address, ANSWER_S)
                cell.duties._begin_move(MOVE)
                await cell.ended()
                await slow.close()
                assert not cell.pending
        finally:
            port.close()

    async def test_is_not_sent_once_the_cell_is_being_released(
        self, cloud: _Cloud
    ) -> None:
        async with _cell(cloud, cloud.port.address) as cell:
            await cell.duties._table.refresh()
            cell.duties._begin_move(MOVE)
            cell.holder.lease_validity.begin_release()
            await cell.ended()
            assert cloud.orders == []
            assert not cell.pending
