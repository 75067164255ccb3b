"""A small TCP proxy that simulates network faults, controlled over HTTP.

One proxy process serves many links, each from its own port to a target.
"""

import asyncio
import contextlib

import attrs
import cattrs
from aiohttp import web
from mode import Service

from ..providers import JsonObject

__all__ = ["FaultProxy", "Link", "LinkFaults"]

BLOCK_BYTES = 65536

HOLD_POLL_S = 0.01
"""How often a block that is held back is checked for its delivery."""


@attrs.frozen
class LinkFaults:
    """The present faults of a link.

    :param delay_s: delay of each block, in both directions.
    :param cut: new connections are refused and open ones are reset.
    :param blackhole: all bytes are dropped, in both directions.
    :param half_close: the target's answers end early with a regular end of stream.
    :param drop_answers: bytes reach the target, but its answers are dropped.
    :param reset_after_bytes: connections are reset after this number of bytes of
        answers; 0: never.
    :param hold: bytes are held back in both directions, as by a partition. They are
        delivered once the fault is over, unless their sender has reset the connection.
    :param bytes_per_s: bandwidth of each connection in each direction; 0: unlimited.
    """

    delay_s: float = 0.0
    cut: bool = False
    blackhole: bool = False
    half_close: bool = False
    drop_answers: bool = False
    reset_after_bytes: int = 0
    bytes_per_s: float = 0.0
    hold: bool = False


class Link:
    """A listening port and its target, which can be set later."""

    def __init__(self) -> None:
        self.faults = LinkFaults()
        self.port = 0
        self.bytes_to_target = 0
        self.bytes_of_answers = 0
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a port that the operating system chooses."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_target(self, host: str, port: int) -> None:
        """Set the target of new connections."""
        self._target = (host, port)

    def set_faults(self, faults: LinkFaults) -> None:
        """Change the faults; a cut resets all open connections."""
        self.faults = faults
        if faults.cut:
            self.reset_all()

    def silence_open(self) -> None:
        """Drop all further bytes on the open connections, without closing them."""
        self._silent |= self._writers

    def reset_all(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, answers=False),
                self._forward(far_reader, writer, answers=True),
            )
        finally:
            for side in (writer, far_writer):
                self._writers.discard(side)
                self._silent.discard(side)
                side.close()

    async def _wait_until_released(self, reader: asyncio.StreamReader) -> bool:
        """Wait while bytes are held back; return whether they may be delivered."""
        while self.faults.hold:
            if reader.exception() is not None:
                return False
            await asyncio.sleep(HOLD_POLL_S)
        return reader.exception() is None

    def _count(self, size_bytes: int, answers: bool) -> None:
        if answers:
            self.bytes_of_answers += size_bytes
        else:
            self.bytes_to_target += size_bytes

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        forwarded = 0
        # The other side may already be closed; then there is nothing left to forward.
        with contextlib.suppress(OSError):
            while block := await reader.read(BLOCK_BYTES):
                faults = self.faults
                if faults.delay_s:
                    await asyncio.sleep(faults.delay_s)
                if faults.bytes_per_s:
                    await asyncio.sleep(len(block) / faults.bytes_per_s)
                if faults.blackhole or (answers and faults.drop_answers):
                    continue
                if faults.hold and not await self._wait_until_released(reader):
                    writer.transport.abort()
                    return
                if writer in self._silent:
                    continue
                if answers and faults.half_close:
                    break
                forwarded += len(block)
                self._count(len(block), answers)
                limit = faults.reset_after_bytes
                if answers and limit and forwarded > limit:
                    writer.transport.abort()
                    return
                writer.write(block)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()


class FaultProxy(Service):
    """A set of named links that are created and changed over HTTP."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__()
        self.port = port
        self.links: dict[str, Link] = {}
        self._host = host
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the control port."""
        app = web.Application()
        app.router.add_get("/links", self._list)
        app.router.add_post("/links/{name}", self._create)
        app.router.add_post("/links/{name}/faults", self._set_faults)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close all links and the control port."""
        for link in self.links.values():
            await link.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _list(self, request: web.Request) -> web.Response:
        """Return the number of bytes that each link has carried."""
        return web.json_response(
            {
                name: {
                    "bytes_to_target": link.bytes_to_target,
                    "bytes_of_answers": link.bytes_of_answers,
                }
                for name, link in self.links.items()
            }
        )

    async def _create(self, request: web.Request) -> web.Response:
        """Create a link or set its target."""
        body: JsonObject = await request.json()
        name = request.match_info["name"]
        if name not in self.links:
            self.links[name] = Link()
            await self.links[name].start(self._host)
        link = self.links[name]
        if "port" in body:
            link.set_target(body["host"], body["port"])
        return web.json_response({"port": link.port})

    async def _set_faults(self, request: web.Request) -> web.Response:
        link = self.links[request.match_info["name"]]
        link.set_faults(cattrs.structure(await request.json(), LinkFaults))
        return web.json_response({})
