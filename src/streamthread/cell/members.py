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

    def has_larger_peer(self, excluding: str) -> bool:
        """Whether any peer has clearly more CPU cores than this daemon.

        :param excluding: a peer to ignore because it seems to have exited.
        """
        return any(
            cores > LARGER_FACTOR * self._cores
            for daemon_id, cores in self._peers_cores.items()
            if daemon_id != excluding
        )

    def largest(self, daemon_ids: t.Iterable[str]) -> str:
        """Return the daemon with the most CPU cores, or an empty string if none."""
        return max(
            sorted(daemon_ids),
            key=lambda daemon_id: self._peers_cores.get(daemon_id, 0.0),
            default="",
        )

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
        for _ in range(ANNOUNCE_TRIES):
            try:
                async with self._announce_slots:
                    answer = await self._peers.announce(address, update)
                self.on_announcement(answer)
                return
            except PeerUnavailableError:
                await asyncio.sleep(RETRY_S)
        log.info("peer-not-told", extra={"peer": daemon_id, "address": address})

    def close(self) -> None:
        """Cancel all pending announcements."""
        for task in self._tasks:
            task.cancel()
