"""Peers know each other by a shared key, sent with each call."""

import hmac
import typing as t

from grpclib.const import Status
from grpclib.events import listen
from grpclib.events import RecvRequest
from grpclib.exceptions import GRPCError
from grpclib.server import Server

__all__ = ["key_metadata", "require_key"]

KEY_HEADER = "streamthread-key"


def key_metadata(key: str) -> dict[str, str]:
    """Return the metadata that carries the key."""
    return {KEY_HEADER: key}


def require_key(server: Server, key: str) -> None:
    """Make a server refuse every call without the key."""

    async def check(event: RecvRequest) -> None:
        given = t.cast(str, event.metadata.get(KEY_HEADER, ""))
        if not hmac.compare_digest(given.encode(), key.encode()):
            raise GRPCError(
                Status.UNAUTHENTICATED, "give all daemons the same peer_key"
            )

    listen(server, RecvRequest, check)
