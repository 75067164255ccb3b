"""An HTTP port on loopback; the operating system chooses its number."""

import asyncio
import errno
import typing as t

from aiohttp import web

__all__ = ["PLAY_DEAD_S", "HttpPort"]

CLOSE_S = 0.02
"""Shutdown timeout, short so that handlers that never answer are cancelled at once."""

PLAY_DEAD_S = 3600.0
"""A call without an answer stays open for this time, longer than any caller waits."""

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
        """Stop answering on all open connections; new connections work.

        :return: the number of silenced connections.
        """
        silent = {transport for transport in self._open if not transport.is_closing()}
        self._silent |= silent
        return len(silent)

    async def open(self, port: int = 0) -> None:
        """Listen on a port that was used before, or on another one if it is taken.

        :param port: 0: any port.
        """
        await self._runner.setup()
        try:
            await self._listen(port)
        except OSError as error:
            if not port or error.errno != errno.EADDRINUSE:
                raise
            await self._listen(0)
        host, number = self._runner.addresses[0][:2]
        self.address = f"{host}:{number}"

    async def _listen(self, port: int) -> None:
        site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await site.start()

    def reset_connections(self) -> None:
        """Abort all open connections, as the end of a process does."""
        for transport in self._open:
            transport.abort()
        self._open.clear()

    async def close(self) -> None:
        """Close the port and its connections."""
        await self._runner.cleanup()
