"""The links to the peers: one channel each, and what was exchanged over it."""

import typing as t

import attrs
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from ..channels import PeerChannel
from ..errors import PeerUnavailableError
from ..leases import LeaseRecord
from .auth import key_metadata
from .peers_grpc import PeersStub

__all__ = ["PeerLink", "PeerLinks"]

RequestT = t.TypeVar("RequestT")
ReplyT = t.TypeVar("ReplyT")


@attrs.define
class PeerLink:
    """What this daemon knows of its exchange with one peer.

    :param incarnation: of the run of the peer that the cursors belong to.
    :param their_cursor: up to where the peer's news was taken.
    :param my_cursor_sent: up to where the peer has our news.
    :param heard_at_s: when it answered or called last, on the boot clock.
    """

    address: str
    channel: PeerChannel
    stub: PeersStub
    incarnation: str = ""
    their_cursor: int = 0
    my_cursor_sent: int = 0
    heard_at_s: float = 0.0


class PeerLinks:
    """Opens links when they are first needed, and calls over them.

    :param key: the shared secret that each call carries.
    :param timeout_s: a call that is not answered in time has failed.
    """

    def __init__(self, key: str, timeout_s: float) -> None:
        self._key = key
        self._timeout_s = timeout_s
        self._links: dict[str, PeerLink] = {}

    def get(self, daemon_id: str) -> PeerLink | None:
        """Return the link to a peer that was called before."""
        return self._links.get(daemon_id)

    def to(self, peer: LeaseRecord) -> PeerLink:
        """Return the link to a peer, a new one where its address has changed."""
        link = self._links.get(peer.daemon_id)
        if link is not None and link.address != peer.peers_address:
            link.channel.close()
            link = None
        if link is None:
            channel = PeerChannel.to(peer.peers_address)
            link = PeerLink(peer.peers_address, channel, PeersStub(channel))
            self._links[peer.daemon_id] = link
        return link

    def heard_since(self, since_s: float) -> int:
        """Return how many peers answered or called since a time."""
        return sum(link.heard_at_s >= since_s for link in self._links.values())

    def keep_only(self, daemon_ids: t.AbstractSet[str]) -> None:
        """Close the links to all other peers."""
        for daemon_id in self._links.keys() - daemon_ids:
            self._links.pop(daemon_id).channel.close()

    def close(self) -> None:
        """Close all channels."""
        for link in self._links.values():
            link.channel.close()

    async def call(
        self,
        method: UnaryUnaryMethod[RequestT, ReplyT],
        request: RequestT,
        peer: LeaseRecord,
    ) -> ReplyT:
        """Make one call.

        :raises PeerUnavailableError: the peer did not answer in time.
        """
        metadata = key_metadata(self._key)
        try:
            with self.to(peer).channel.calling():
                return await method(request, timeout=self._timeout_s, metadata=metadata)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            raise PeerUnavailableError(
                f"no answer from {peer.daemon_id}: {error!r}",
                remedy="look at that daemon's log, and at the link to it",
                location=peer.peers_address,
            ) from error
