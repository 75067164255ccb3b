"""One HTTP port on loopback, chosen by the system."""

import asyncio
import typing as t

from aiohttp import web

__all__ = ["PLAY_DEAD_S", "HttpPort"]

CLOSE_S = 0.02
"""Handlers that play dead are cut off at once."""

PLAY_DEAD_S = 3600.0
"""A call that gets no answer is held for longer than any caller waits."""

Handler = t.Callable[[web.BaseRequest], t.Awaitable[web.StreamResponse]]


class HttpPort:
    """Serves one handler until it is closed."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._runner = web.ServerRunner(
            web.Server(self._serve, access_log=None), shutdown_timeout=CLOSE_S
        )
        self._open: set[asyncio.Transport] = set()
        self._silent: set[asyncio.Transport] = set()
        self.address = ""

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self._open.add(transport)
        if transport in self._silent:
            await asyncio.sleep(PLAY_DEAD_S)
        return await self._handler(request)

    def silence_connections(self) -> int:
        """Let every connection that is open now bring nothing more.

        :return: how many they are; new ones work.
        """
        silent = {transport for transport in self._open if not transport.is_closing()}
        self._silent |= silent
        return len(silent)

    async def open(self, port: int = 0) -> None:
        """Listen; a port that was used before may be named again."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        host, number = self._runner.addresses[0][:2]
        self.address = f"{host}:{number}"

    def reset_connections(self) -> None:
        """Cut every connection that is open now, as the end of a process does."""
        for transport in self._open:
            transport.abort()
        self._open.clear()

    async def close(self) -> None:
        """Close the port and its connections."""
        await self._runner.cleanup()
