"""The other daemons of the cell: their addresses, and announcements to them."""

import asyncio
import typing as t

import logbook

from ..decoding import is_host_port
from ..errors import OutcomeUnknownError
from ..errors import PeerUnavailableError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from . import cell_pb2 as pb
from .peer import PeerLinks
from .rows import decode_address
from .rows import TABLE_MEMBERS

__all__ = ["Members"]

log = logbook.Logger("streamthread.cell")

FIRST_TRY_S = 0.15
"""Timeout of the first try of an announcement: a peer answers on a new connection
within two round trips, 20 ms between the sites. When a hall is lost, a quarter of 300
members answers nothing; with the full timeout of a call they would occupy the slots and
delay the announcements to the others by 1.9 s."""

MAX_CONCURRENT_RETRIES = 32
"""Maximum number of concurrent retries, which are slow if a hall is lost. They have
slots of their own, so that later announcements do not wait for them."""

RETRY_S = 0.25
"""Pause before another try at the store or at a peer that did not answer."""

LARGER_FACTOR = 1.2
"""A peer counts as larger if it has more than this multiple of our CPU cores."""

MAX_CONCURRENT_ANNOUNCEMENTS = 32
"""Maximum number of concurrent announcements. With 300 peers, channels to all of them
would take 9 MB at the sender. At 10 ms per round, the last peer is notified 0.1 s
later."""

ANNOUNCE_TRIES = 12
"""Maximum tries of an announcement. A peer behind a network partition is retried for
about 12 s, which is as long as partitions last."""


class Members:
    """Tracks the peers through the store and through their announcements.

    A daemon that the store rejects learns of a new holder from its peers.

    :param cores: the CPU cores of this daemon.
    :param on_owner_update: called with a peer's update on the holder.
    :param notes: collects the members whose rows cannot be decoded.
    """

    def __init__(
        self,
        store: RowStore,
        part: str,
        daemon_id: str,
        peers: PeerLinks,
        cores: float,
        on_owner_update: t.Callable[[pb.OwnerNews], None],
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._notes = notes or UnreadableNotes()
        self._store = store
        self._part = part
        self._daemon_id = daemon_id
        self._peers = peers
        self._cores = cores
        self._on_owner_update = on_owner_update
        self._tasks: set[asyncio.Task[None]] = set()
        self._announce_slots = asyncio.Semaphore(MAX_CONCURRENT_ANNOUNCEMENTS)
        self._retry_slots = asyncio.Semaphore(MAX_CONCURRENT_RETRIES)
        self.addresses: dict[str, str] = {}
        self._peers_cores: dict[str, float] = {}

    async def join(self, get_update: t.Callable[[], pb.OwnerNews]) -> None:
        """Write our row, read the rows of the other members and announce ourselves."""
        row = StoredRow(
            TABLE_MEMBERS, self._part, self._daemon_id, self._peers.address.encode()
        )
        while not await self._join_once(row):
            await asyncio.sleep(RETRY_S)
        self.announce_soon(get_update())

    async def _join_once(self, row: StoredRow) -> bool:
        try:
            await self._store.transact([], [row])
            page = await self._store.read_all(TABLE_MEMBERS, self._part)
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning("members-unreadable", extra={"error": str(error)})
            return False
        for other in page.rows:
            if other.key != self._daemon_id and other.value is not None:
                self._add_member(other.key, other.value)
        return True

    def _add_member(self, daemon_id: str, value: bytes) -> None:
        try:
            address = decode_address(daemon_id, value)
        except UnreadableError as error:
            self._notes.note(Source.CELL_ROW, error)
            return
        self.addresses.setdefault(daemon_id, address)

    def on_announcement(self, announcement: pb.Announcement) -> None:
        """Process a peer's announcement."""
        if announcement.daemon_id and announcement.daemon_id != self._daemon_id:
            if is_host_port(announcement.address):
                self.addresses[announcement.daemon_id] = announcement.address
            self._peers_cores[announcement.daemon_id] = announcement.cores
        self._on_owner_update(announcement.owner)

    def announcement(self, owner: pb.OwnerNews) -> pb.Announcement:
        """Return this daemon's announcement, which also names the holder."""
        return pb.Announcement(
            daemon_id=self._daemon_id,
            address=self._peers.address,
            owner=owner,
            cores=self._cores,
        )

    def hall_of(self, address: str) -> str:
        """Return the hall of a peer, or an empty string if it is not known."""
        return self._peers.contacts.hall_of(address)

    def has_larger_peer(self, excluding: str, excluding_hall: str = "") -> bool:
        """Whether any peer has clearly more CPU cores than this daemon.

        :param excluding: a peer to ignore because it seems to have exited.
        :param excluding_hall: a hall to ignore because it may be lost.
        """
        return any(
            cores > LARGER_FACTOR * self._cores
            for daemon_id, cores in self._peers_cores.items()
            if daemon_id != excluding and not self._is_in(daemon_id, excluding_hall)
        )

    def has_peer_outside(self, hall: str) -> bool:
        """Whether any peer is known to be in another hall than this one."""
        halls = map(self.hall_of, self.addresses.values())
        return any(other not in ("", hall) for other in halls)

    def _is_in(self, daemon_id: str, hall: str) -> bool:
        """Whether a daemon is known to be in a hall."""
        return bool(hall) and self.hall_of(self.addresses.get(daemon_id, "")) == hall

    def largest(self, daemon_ids: t.Iterable[str], avoid_hall: str = "") -> str:
        """Return the daemon with the most CPU cores, or an empty string if none.

        :param avoid_hall: among daemons of the same size, those in another hall are
            preferred.
        """

        def rank(daemon_id: str) -> tuple[float, bool]:
            cores = self._peers_cores.get(daemon_id, 0.0)
            return cores, not self._is_in(daemon_id, avoid_hall)

        return max(sorted(daemon_ids), key=rank, default="")

    def announce_soon(self, owner: pb.OwnerNews) -> None:
        """Notify all peers of the cell's holder, without waiting for their answers."""
        update = self.announcement(owner)
        for daemon_id, address in list(self.addresses.items()):
            task = asyncio.ensure_future(self._announce(daemon_id, address, update))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _announce(
        self, daemon_id: str, address: str, update: pb.Announcement
    ) -> None:
        async with self._announce_slots:
            if await self._announce_once(address, update, FIRST_TRY_S):
                return
        for _ in range(ANNOUNCE_TRIES - 1):
            await asyncio.sleep(RETRY_S)
            async with self._retry_slots:
                if await self._announce_once(address, update, None):
                    return
        log.info("peer-not-told", extra={"peer": daemon_id, "address": address})

    async def _announce_once(
        self, address: str, update: pb.Announcement, timeout_s: float | None
    ) -> bool:
        """Announce to a peer; return whether it answered.

        :param timeout_s: a shorter timeout than the one of the call, or None.
        """
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._peers.announce(address, update)
        except (PeerUnavailableError, TimeoutError) as error:
            log.debug(
                "announcement-unanswered",
                extra={"address": address, "error": repr(error)},
            )
            return False
        self.on_announcement(answer)
        return True

    def close(self) -> None:
        """Cancel all pending announcements."""
        for task in self._tasks:
            task.cancel()
