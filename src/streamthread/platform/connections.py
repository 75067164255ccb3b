"""Connections to the platform's services that deliver nothing once they are closed.

A call that is given up or cancelled closes its connection. Closed in order, it would
still deliver what is in the buffers of this process and of the operating system, over a
partition that lasts for longer than the call. The next holder may have ordered the same
machine by then.
"""

import asyncio
import functools
import socket
import struct

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..clocks import boot_s
from .inflight import Address

__all__ = ["Connector", "open_resetting_socket"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of ``SO_LINGER`` for an abortive close: on, and no time to deliver."""


def open_resetting_socket(addr_info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that is reset when it is closed, or when its process ends.

    The reset discards what the operating system has not delivered.
    """
    family, kind, protocol, _, _ = addr_info
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return opened


class _ResettingHandler(ResponseHandler):
    """Discards what this process has not yet passed to the operating system.

    The library closes a connection only where its call has failed, where its answer was
    read to the end, or where it is idle. None of these still reads an answer.
    """

    def close(self) -> None:
        """Close the connection at once."""
        self.abort()


def _open_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return _ResettingHandler(loop)


class Connector(aiohttp.TCPConnector):
    """Keeps idle connections, and can close those that are most likely dead.

    :param limit_per_host: maximum number of connections to one address; 0: unlimited.
    :param keepalive_s: how long idle connections are kept; None: each connection
        carries one call.
    """

    def __init__(
        self, limit_per_host: int = 0, keepalive_s: float | None = None
    ) -> None:
        super().__init__(
            limit=0,
            limit_per_host=limit_per_host,
            keepalive_timeout=keepalive_s,
            force_close=keepalive_s is None,
            socket_factory=open_resetting_socket,
        )
        # The library has no public parameter for it.
        self._factory = functools.partial(_open_handler, self._loop)

    def close_idle(self, address: Address, since_s: float) -> int:
        """Close the connections to an address that are idle since before a time.

        :param since_s: on the boot clock.
        :return: the number of closed connections.
        """
        # The library notes by the event loop's clock when a connection became idle.
        since_loop_s = since_s + asyncio.get_running_loop().time() - boot_s()
        # The library has no public API for its idle connections. It skips closed ones.
        idle = [
            protocol
            for key, entries in self._conns.items()
            if (key.host, key.port) == address
            for protocol, idle_since_s in entries
            if protocol.is_connected() and idle_since_s <= since_loop_s
        ]
        for protocol in idle:
            protocol.close()
        return len(idle)
