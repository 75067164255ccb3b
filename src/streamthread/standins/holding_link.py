"""A TCP link that holds bytes back during a partition and delivers them afterwards."""

import asyncio
import socket
import typing as t

__all__ = ["HoldingLink"]


class _Side(asyncio.Protocol):
    """One end of a relayed connection, and the bytes from it that are held back.

    :param peer: the other end, to which the bytes are delivered.
    :param held: the pieces that are held back.
    :param held_bytes: how much is held back.
    """

    def __init__(self, link: "HoldingLink") -> None:
        self._link = link
        self.held: list[bytes] = []
        self.held_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._ended = False
        self._was_reset = False
        self.peer: _Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Deliver what has arrived for this end before it was connected."""
        self._transport = t.cast(asyncio.Transport, transport)
        self._link.sides.add(self)
        self._link.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Hold bytes back until they can be delivered."""
        self.held.append(data)
        self.held_bytes += len(data)
        limit = self._link.window_bytes
        if limit and self.held_bytes > limit and self._transport is not None:
            self._transport.pause_reading()
        self.deliver()

    def eof_received(self) -> bool:
        """Deliver the end of the stream after the bytes before it."""
        self._ended = True
        self.deliver()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what was not delivered if this end has reset the connection."""
        self._transport = None
        self._link.sides.discard(self)
        self._ended = True
        if exc is not None:
            self.held.clear()
            self._was_reset = True
        self.deliver()

    @property
    def ended(self) -> bool:
        """Whether this end has closed or reset the connection."""
        return self._ended

    def deliver(self) -> None:
        """Deliver everything from this end, unless the link is interrupted."""
        peer = self.peer
        if self._link.interrupted or peer is None or peer._transport is None:
            return
        out = peer._transport
        if self._was_reset:
            out.abort()
            return
        for data in self.held:
            out.write(data)
        self.held.clear()
        self.held_bytes = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        if self._ended:
            out.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()


class HoldingLink:
    """A listening port that relays to a target.

    While it is interrupted, bytes and ends of streams are held back in both directions
    and are delivered afterwards. A sender that resets its connection takes back what is
    held back.

    :param target: ``host:port``.
    :param window_bytes: the bytes of one connection that are held back here at most;
        the sender keeps the remaining ones. 0: unlimited.
    :param sides: the open ends of all connections.
    """

    def __init__(self, target: str, window_bytes: int = 0) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._accepted: list[_Side] = []
        self.sides: set[_Side] = set()
        self.window_bytes = window_bytes
        self.interrupted = False
        self.address = ""

    async def open(self) -> None:
        """Listen on a port that the operating system chooses."""
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        if self.window_bytes:
            # Accepted connections inherit it; by default, the buffer may grow to 32 MB.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes)
        self._server = await loop.create_server(self._accept, sock=listener)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def _accept(self) -> _Side:
        side = _Side(self)
        self._accepted.append(side)
        task = asyncio.get_running_loop().create_task(self._connect(side))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return side

    async def _connect(self, side: _Side) -> None:
        def far_side() -> _Side:
            far = _Side(self)
            side.peer, far.peer = far, side
            return far

        await asyncio.get_running_loop().create_connection(far_side, *self._target)

    def on_connected(self, side: _Side) -> None:
        """Deliver what was held back until this end was connected."""
        if side.peer is not None:
            side.peer.deliver()

    @property
    def accepted(self) -> int:
        """The number of connections that callers have opened."""
        return len(self._accepted)

    @property
    def held_bytes(self) -> int:
        """The number of bytes from callers that are held back."""
        return sum(side.held_bytes for side in self._accepted)

    def holds(self, text: bytes) -> bool:
        """Whether bytes with this text, from a caller, are held back."""
        return any(text in data for side in self._accepted for data in side.held)

    @property
    def all_left(self) -> bool:
        """Whether all callers have closed or reset their connections."""
        return all(side.ended for side in self._accepted)

    def interrupt(self) -> None:
        """Hold everything back from now on."""
        self.interrupted = True

    def heal(self) -> None:
        """Deliver what was held back."""
        self.interrupted = False
        for side in list(self.sides) + self._accepted:
            side.deliver()

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for side in list(self.sides):
            side.abort()
