"""What this daemon knows of its connections to peers: their halls and last answers."""

import math
import typing as t

from ..clocks import boot_s

__all__ = ["PeerContacts"]

HALL_METADATA = "streamthread-hall-bin"
"""The metadata of an announcement and of its answer that names the sender's hall. The
suffix marks binary values, as a hall's name may contain any characters."""


class PeerContacts:
    """The halls of peers, and when each of them last answered, by address.

    :param hall: the hall of this daemon; empty if its settings name none.
    :param committed_at_s: when heartbeats of a holder that is not known to be in
        another hall last showed a new commit, on the boot clock.
    """

    def __init__(self, hall: str = "") -> None:
        self.hall = hall
        self.committed_at_s = -math.inf
        self._progress = (0, 0)
        self._halls: dict[str, str] = {}
        self._answered_at_s: dict[str, float] = {}

    def on_answer(self, address: str) -> None:
        """Record that a peer has just answered."""
        self._answered_at_s[address] = boot_s()

    def metadata(self) -> dict[str, bytes]:
        """Return the metadata by which peers learn the hall of this daemon."""
        return {HALL_METADATA: self.hall.encode()} if self.hall else {}

    def on_metadata(self, address: str, metadata: t.Mapping[str, t.Any] | None) -> None:
        """Record the hall that a peer states; peers of older versions state none."""
        value = (metadata or {}).get(HALL_METADATA)
        if isinstance(value, bytes) and value:
            self._halls[address] = value.decode(errors="replace")

    def on_heartbeat(self, address: str, token: int, sequence: int) -> None:
        """Record a heartbeat of the holder.

        :param sequence: the number of the holder's confirmed commits.
        """
        self.on_answer(address)
        if (token, sequence) == self._progress:
            return
        self._progress = (token, sequence)
        if self.hall_of(address) in ("", self.hall):
            self.committed_at_s = boot_s()

    def hall_of(self, address: str) -> str:
        """Return the hall of a peer, or an empty string if it is not known."""
        return self._halls.get(address, "")

    def elsewhere(self, addresses: t.Iterable[str]) -> list[tuple[str, str]]:
        """Return the hall and the address of each peer known to be in another hall."""
        if not self.hall:
            return []
        halls = ((self.hall_of(address), address) for address in addresses)
        return [(hall, a) for hall, a in halls if hall not in ("", self.hall)]

    def last_answer_at_s(self, addresses: t.Iterable[str]) -> float:
        """Return when any of these peers last answered, on the boot clock."""
        return max(
            (self._answered_at_s.get(address, -math.inf) for address in addresses),
            default=-math.inf,
        )
