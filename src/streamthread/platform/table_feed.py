"""Follows one table of the store: reads it in full once, then reads its changes."""

import math

import attrs

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from .store import HistoryGoneError
from .store import Page
from .store import RowStore
from .store import StoredRow

__all__ = ["TableFeed", "Update"]

UNREAD = -1
"""The version of a table that has to be read in full."""


@attrs.frozen
class Update:
    """Rows that were read together.

    :param whole: these are all rows of the table's part, not only the changed ones.
    """

    rows: tuple[StoredRow, ...]
    whole: bool


class TableFeed:
    """Tracks the version up to which a table has been read.

    :param part: the part that is read in full; the feed returns changes of all parts.
    :param wait_s: how long one call waits for a change.
    :param known_at_s: a time on the boot clock; the rows are up to date as of then.
    :param as_of_s: boot clock time before the last successful call was sent. Whatever
        was acknowledged before it has been returned, even if this process was
        suspended between the answer and its reading.
    """

    def __init__(self, store: RowStore, table: str, part: str, wait_s: float) -> None:
        self._store = store
        self._table = table
        self._part = part
        self._wait_s = wait_s
        self._after = UNREAD
        self._failed = False
        self.known_at_s = -math.inf
        self.as_of_s = -math.inf

    async def next(self) -> Update:
        """Return the next rows, or no rows if the store no longer has the history.

        In the latter case, the next call reads the table in full. A call that follows a
        failed one does not wait for a change, so that it ends soon in an outage and
        the end of the outage is noticed.

        :raises StoreUnavailableError: nothing was read; call again.
        :raises OutcomeUnknownError: nothing was read; call again.
        """
        if self._after == UNREAD:
            return await self._read_whole()
        wait_s = 0.0 if self._failed else self._wait_s
        began_at_s = boot_s()
        try:
            page = await self._store.feed(self._table, self._after, wait_s)
        except HistoryGoneError:
            self._after = UNREAD
            return Update((), whole=False)
        except (StoreUnavailableError, OutcomeUnknownError):
            self._failed = True
            raise
        self._failed = False
        self._after = page.version
        self.known_at_s = boot_s()
        self.as_of_s = began_at_s
        return Update(page.rows, whole=False)

    async def look(self) -> tuple[StoredRow, ...]:
        """Return all present rows, independently of the feed.

        :raises StoreUnavailableError: nothing was read.
        :raises OutcomeUnknownError: nothing was read.
        """
        page = await self._read_all()
        return page.rows

    async def _read_whole(self) -> Update:
        began_at_s = boot_s()
        page = await self._read_all()
        self.as_of_s = began_at_s
        self._after = max(self._after, page.version)
        return Update(page.rows, whole=True)

    async def _read_all(self) -> Page:
        began_at_s = boot_s()
        page = await self._store.read_all(self._table, self._part)
        self.known_at_s = max(self.known_at_s, began_at_s)
        return page
