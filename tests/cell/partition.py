"""Links between halls that a test can cut, and daemons that are connected by them."""

import asyncio
import contextlib
import json
import socket
import typing as t

from streamthread.channels import PeerChannel
from streamthread.gateway import CellDaemon
from streamthread.platform.node import decode_node
from streamthread.standins.cell import CellWorld

from .support import Cell

CHUNK_BYTES = 65536

STORE = "store"
"""The name of the place of the store, whose links can be cut as those of a hall."""


class _Gate:
    """Open while both ends of a link are connected."""

    def __init__(self, ends: t.Sequence[asyncio.Event]) -> None:
        self._ends = ends

    async def wait(self) -> None:
        while not all(end.is_set() for end in self._ends):
            for end in self._ends:
                await end.wait()


class Relay:
    """Relays connections to one address; while it is cut, it holds all bytes back.

    Bytes that it holds back are lost if their sender resets the connection meanwhile.
    """

    def __init__(self, target: str, gate: _Gate) -> None:
        self._target = target
        self._gate = gate
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._server = asyncio.ensure_future(
            asyncio.start_server(self._relay, sock=self._listener)
        )

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self._target.rpartition(":")
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._gate.wait()
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            try:
                await asyncio.gather(
                    self._pump(reader, far_writer), self._pump(far_reader, writer)
                )
            finally:
                far_writer.close()
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._gate.wait()
            if reader.exception() is not None:
                break
            writer.write(data)
            await writer.drain()
        writer.close()

    async def close(self) -> None:
        server = await self._server
        server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Halls:
    """The links between the halls of one cell.

    The store is outside all halls, in a place of its own. A hall that is cut reaches
    neither the store nor daemons in other halls, nor they it; its own daemons still
    reach each other.
    """

    def __init__(self, names: t.Sequence[str]) -> None:
        self.connected = {name: asyncio.Event() for name in names}
        for event in self.connected.values():
            event.set()
        self.of_address: dict[str, str] = {}
        self._relays: dict[tuple[str, str], Relay] = {}

    def cut(self, hall: str) -> None:
        self.connected[hall].clear()

    def heal(self, hall: str) -> None:
        self.connected[hall].set()

    def relayed(self, hall: str, target: str) -> str:
        """Return the address by which the daemons of a hall reach an address."""
        far = self.of_address.get(target, "")
        if far == hall:
            return target
        # A link between two halls is cut with either of them.
        if (hall, target) not in self._relays:
            gate = _Gate([self.connected[name] for name in (hall, far) if name])
            self._relays[hall, target] = Relay(target, gate)
        return self._relays[hall, target].address

    async def close(self) -> None:
        for event in self.connected.values():
            event.set()
        for relay in self._relays.values():
            await relay.close()


class _HallDaemon(CellDaemon):
    """A daemon whose connections out of its hall pass through the hall's links."""

    def join_halls(self, halls: Halls) -> None:
        hall = self.node.hall
        self.peers._connect = (  # type: ignore[method-assign]
            lambda address: PeerChannel.to(halls.relayed(hall, address))
        )
        open_port = self.port.open

        async def open_and_record() -> str:
            address = await open_port()
            halls.of_address[address] = hall
            return address

        self.port.open = open_and_record  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def running_halls(
    halls_of_daemons: t.Sequence[str],
    pools: t.Mapping[str, int],
    tolerated_halls: int = 1,
) -> t.AsyncIterator[tuple[Cell, Halls]]:
    """Run one daemon in each of these halls until the block ends."""
    world = CellWorld(pools)
    await world.open()
    halls = Halls([*sorted(set(halls_of_daemons)), STORE])
    halls.of_address[world.store.port.address] = STORE
    daemons: list[CellDaemon] = []
    for number, hall in enumerate(halls_of_daemons):
        settings = json.loads(world.node_settings(f"daemon-{number}"))
        settings["zone"] = hall
        settings["faultTolerance"] = {"zones": tolerated_halls}
        store = halls.relayed(hall, world.store.port.address)
        settings["platform"]["address"] = store
        daemon = _HallDaemon(decode_node(json.dumps(settings)))
        daemon.join_halls(halls)
        daemons.append(daemon)
    cell = Cell(world, daemons)
    try:
        for daemon in daemons:
            await daemon.start()
        yield cell, halls
    finally:
        await cell.close_callers()
        for daemon in daemons:
            if not daemon.should_stop:
                await daemon.stop()
        await halls.close()
        await world.close()
