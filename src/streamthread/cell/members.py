"""The other daemons of the cell: where they listen, and telling them news."""

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
"""Pause before the store, or a peer that did not answer, is tried again."""

LARGER_FACTOR = 1.2
"""A peer counts as larger with this many times our processor."""

MAX_CONCURRENT_ANNOUNCEMENTS = 32
"""Peers that are told side by side: with 300 of them, channels to all take 9 MB at the
one that tells. Told in turns of 10 ms, the last one hears 0.1 s later."""

ANNOUNCE_TRIES = 12
"""A peer behind a cut is told again for some 12 s: as long as cuts last."""


class Members:
    """Knows the peers from the store and from their own announcements.

    A daemon that the store turns away learns of a new holder from its peers.

    :param cores: how much processor this daemon has.
    :param on_owner_update: takes what a peer says of the holder.
    :param notes: is told of members whose rows can't be read.
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

    async def join(self, news: t.Callable[[], pb.OwnerNews]) -> None:
        """Write our row, read the others' and greet them."""
        row = StoredRow(
            TABLE_MEMBERS, self._part, self._daemon_id, self._peers.address.encode()
        )
        while not await self._join_once(row):
            await asyncio.sleep(RETRY_S)
        self.announce_soon(news())

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
        """Take a peer's announcement."""
        if announcement.daemon_id and announcement.daemon_id != self._daemon_id:
            if is_host_port(announcement.address):
                self.addresses[announcement.daemon_id] = announcement.address
            self._peers_cores[announcement.daemon_id] = announcement.cores
        self._on_owner_update(announcement.owner)

    def announcement(self, owner: pb.OwnerNews) -> pb.Announcement:
        """Return what this daemon tells its peers of itself and the holder."""
        return pb.Announcement(
            daemon_id=self._daemon_id,
            address=self._peers.address,
            owner=owner,
            cores=self._cores,
        )

    def has_larger_peer(self, excluding: str) -> bool:
        """Whether some peer has clearly more processor than this daemon.

        :param excluding: a peer that does not count, since it seems to be gone.
        """
        return any(
            cores > LARGER_FACTOR * self._cores
            for daemon_id, cores in self._peers_cores.items()
            if daemon_id != excluding
        )

    def largest(self, daemon_ids: t.Iterable[str]) -> str:
        """Return the one with most processor; an empty text if there is none."""
        return max(
            sorted(daemon_ids),
            key=lambda daemon_id: self._peers_cores.get(daemon_id, 0.0),
            default="",
        )

    def announce_soon(self, owner: pb.OwnerNews) -> None:
        """Tell all peers who holds the cell."""
        news = self.announcement(owner)
        for daemon_id, address in list(self.addresses.items()):
            task = asyncio.ensure_future(self._announce(daemon_id, address, news))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _announce(
        self, daemon_id: str, address: str, news: pb.Announcement
    ) -> None:
        for _ in range(ANNOUNCE_TRIES):
            try:
                async with self._announce_slots:
                    answer = await self._peers.announce(address, news)
                self.on_announcement(answer)
                return
            except PeerUnavailableError:
                await asyncio.sleep(RETRY_S)
        log.info("peer-not-told", extra={"peer": daemon_id, "address": address})

    def close(self) -> None:
        """Stop telling."""
        for task in self._tasks:
            task.cancel()
