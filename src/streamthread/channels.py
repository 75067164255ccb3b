"""Channels to other daemons over the RPC library."""

import asyncio
import contextlib
import socket
import struct
import typing as t

from grpclib.client import Channel
from grpclib.protocol import H2Protocol

__all__ = ["PeerChannel"]

DISCARD_UNSENT = struct.pack("ii", 1, 0)
"""The linger option by which closing a socket resets its connection at once."""


class PeerChannel(Channel):
    """A channel whose calls fail as lost connections do when they lose theirs.

    The library answers with an AttributeError where a connection ends between being
    made and being used, by the peer or since another call closed the channel. Nobody
    expects that: a daemon's lease ended by it, twice in 214 randomized runs.
    """

    @classmethod
    def to(cls, address: str) -> "PeerChannel":
        """Return a channel to a host and port; it connects with its first call."""
        host, _, port = address.rpartition(":")
        return cls(host, int(port))

    _transport: asyncio.Transport | None = None

    async def _create_connection(self) -> H2Protocol:
        protocol = await super()._create_connection()
        self._transport = protocol.connection._transport
        return protocol

    def abort(self) -> None:
        """Close the channel; what has not reached the peer is discarded.

        An orderly close leaves it to the system to deliver the rest of the calls, even
        once their callers have given them up.
        """
        if self._transport is not None and not self._transport.is_closing():
            connected: socket.socket | None
            connected = self._transport.get_extra_info("socket")
            if connected is not None:
                connected.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, DISCARD_UNSENT
                )
            self._transport.abort()
        self.close()

    @contextlib.contextmanager
    def calling(self) -> t.Iterator[None]:
        """Make a call within this block.

        :raises ConnectionResetError: the connection was lost.
        """
        try:
            yield
        except AttributeError as error:
            if self._connected:
                raise
            raise ConnectionResetError("lost before the call was sent") from error
