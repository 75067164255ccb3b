"""The owner of the cell, as this daemon knows it from the store and from peers."""

import asyncio
import math
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..decoding import is_host_port
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..platform.store import ABSENT
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from . import cell_pb2 as pb
from .reading import read_or_none
from .rows import Owner
from .rows import OWNER_KEY
from .rows import TABLE_OWNER

__all__ = ["OwnerRegistry"]

log = logbook.Logger("streamthread.cell")

OWNER_RETRY_S = 0.2
"""Pause after the owner row could not be read."""


class OwnerRegistry:
    """The newest owner that this daemon knows.

    A row that cannot be decoded changes nothing here and is not replaced: the daemon
    that wrote it may hold the cell, and our fencing token must not be lower than its
    token.

    :param changed: set when another owner is known.
    :param known: set once the store has returned the owner or has none.
    :param confirmed_at_s: when the store last answered, on the boot clock.
    :param version: the version of the owner row; it is outdated if the current owner
        was reported by a peer.
    :param on_changed: called with each new owner.
    :param notes: collects rows that cannot be decoded.
    """

    def __init__(
        self,
        store: RowStore,
        part: str,
        on_changed: t.Callable[[Owner], None],
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._notes = notes or UnreadableNotes()
        self._unreadable = False
        self._store = store
        self._part = part
        self._on_changed = on_changed
        self.changed = asyncio.Event()
        self.known = asyncio.Event()
        self.version = ABSENT
        self.owner: Owner | None = None
        self.confirmed_at_s = -math.inf

    async def watch(self, feed_wait_s: float) -> None:
        """Follow the owner row in the store until cancelled."""
        feed = TableFeed(self._store, TABLE_OWNER, self._part, feed_wait_s)
        while True:
            try:
                update = await feed.next()
                self.confirmed_at_s = boot_s()
                for row in update.rows:
                    if row.key == OWNER_KEY and row.part in ("", self._part):
                        self.adopt(row)
                if not self._unreadable:
                    self.known.set()
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.warning("owner-unreadable", extra={"error": str(error)})
                await asyncio.sleep(OWNER_RETRY_S)

    async def reread(self) -> bool:
        """Read the owner row, since the known one may be outdated or from a peer.

        :return: whether the store answered, and the row can be decoded if there is one.
        """
        page = await read_or_none(self._store, TABLE_OWNER, self._part)
        if page is None:
            return False
        self.confirmed_at_s = boot_s()
        for row in page.rows:
            self.adopt(row)
        return not self._unreadable

    async def find_version(self, owner: Owner) -> int | None:
        """Return the version of the owner row if it names this owner.

        :return: 0 if the row does not name this owner, None if it cannot be read now.
        """
        page = await read_or_none(self._store, TABLE_OWNER, self._part)
        if page is None:
            return None
        for row in page.rows:
            if row.key == OWNER_KEY and row.value is not None:
                if self._decode(row.value) == owner:
                    return row.version
                self.adopt(row)
        return 0

    def adopt(self, row: StoredRow) -> None:
        """Adopt the owner row as it was read, unless a newer one is known."""
        if row.version <= self.version or row.value is None:
            return
        owner = self._decode(row.value)
        if owner is None:
            return
        self.version = row.version
        if owner != self.owner:
            self._set(owner, "store")

    def _decode(self, value: bytes) -> Owner | None:
        """Return the owner that a row names, or None if it cannot be decoded."""
        try:
            owner = Owner.decode(value)
        except UnreadableError as error:
            self._notes.note(Source.CELL_ROW, error)
            self._unreadable = True
            return None
        self._unreadable = False
        return owner

    def on_peer_report(self, update: pb.OwnerNews) -> None:
        """Adopt the owner that a peer reports, unless a newer one is known."""
        known = self.owner
        reported = Owner(
            update.daemon_id,
            update.incarnation,
            update.address,
            update.token,
            update.released,
            update.successor,
        )
        rank = (reported.token, reported.released)
        if not is_host_port(reported.address):
            return
        if not reported.token or (known and rank <= (known.token, known.released)):
            return
        self._set(reported, "peer")

    def owner_update(self) -> pb.OwnerNews:
        """Return the update on the owner that is sent to peers."""
        if self.owner is None:
            return pb.OwnerNews()
        return pb.OwnerNews(**attrs.asdict(self.owner))

    def on_written(self, owner: Owner, version: int) -> None:
        """Record an owner that we wrote, before the feed returns it."""
        self.version = version
        self.owner = owner
        self.changed.set()

    def _set(self, owner: Owner, source: str) -> None:
        self.owner = owner
        log.info(
            "owner-known",
            extra={
                "owner": owner.daemon_id,
                "token": owner.token,
                "released": owner.released,
                "source": source,
            },
        )
        self.changed.set()
        self._on_changed(owner)
