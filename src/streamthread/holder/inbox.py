"""Calls that other daemons left in the store while the holder was out of reach."""

import asyncio
import json
import typing as t
from abc import ABC
from abc import abstractmethod

import attrs
import logbook

from ..cell.rows import new_nonce
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.store import ABSENT
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from .replay import RETRY_S

__all__ = ["InboxEntry", "InboxOwner", "InboxReader", "inbox_key"]

log = logbook.Logger("streamthread.holder")


@attrs.frozen
class InboxEntry:
    """A job that was handed in, or a cancel, kept until the holder takes it.

    :param body: the job as it was handed in; empty for a cancel.
    :param configuration_version: by which the route was found; 0: it was not said.
    :param pool: to which that configuration sends the route's jobs.
    """

    job_id: str
    route: str
    body: str = ""
    configuration_version: int = 0
    pool: str = ""

    @property
    def is_cancel(self) -> bool:
        """Whether it asks for a cancel."""
        return not self.body

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(attrs.astuple(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "InboxEntry":
        """Return what a row's value says."""
        return cls(*json.loads(value))


def inbox_key(entry: InboxEntry) -> str:
    """Return a key that no other entry has."""
    return f"{entry.job_id}.{new_nonce()}"


class InboxOwner(ABC):
    """What the inbox needs of the holder."""

    @abstractmethod
    def knows_job(self, job_id: str) -> bool:
        """Whether a job is known, whatever its state."""

    @abstractmethod
    def accept_left(self, entry: InboxEntry) -> bool:
        """Take a job; return False where the configuration has not come here yet."""

    @abstractmethod
    def cancel_left(self, job_id: str) -> None:
        """Cancel a job, where there is one."""

    @abstractmethod
    def drop_left(self, key: str) -> None:
        """Have a row removed from the inbox."""


class InboxReader:
    """Takes the rows of the inbox in the order in which they were written.

    :param waiting: rows that wait for the configuration, by key.
    """

    def __init__(self, feed: TableFeed, owner: InboxOwner) -> None:
        self._feed = feed
        self._owner = owner
        self.waiting: dict[str, StoredRow] = {}

    async def run(self) -> None:
        """Take what is left in the inbox until the cell is lost."""
        while True:
            await self.read()

    async def read(self) -> None:
        """Take what the inbox holds, or what has come since the last time.

        The first time this takes all rows, so that a new holder knows every job
        that was accepted before it says of any that there is none.
        """
        while True:
            try:
                update = await self._feed.next()
                self.take(update.rows)
                return
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.warning("inbox-unreadable", extra={"error": str(error)})
                await asyncio.sleep(RETRY_S)

    def take(self, rows: t.Iterable[StoredRow]) -> None:
        """Take rows; a whole read brings them by key, a cancel before its job."""
        for row in sorted(rows, key=lambda row: row.version):
            self._take_row(row)

    def retry(self) -> None:
        """Take the rows that wait, should their route be known by now."""
        self.take(list(self.waiting.values()))

    def _take_row(self, row: StoredRow) -> None:
        self.waiting.pop(row.key, None)
        if row.value is None or row.version == ABSENT:
            return
        entry = InboxEntry.decode(row.value)
        if self._settle(entry):
            self._owner.drop_left(row.key)
        else:
            self.waiting[row.key] = row

    def _settle(self, entry: InboxEntry) -> bool:
        """Return whether an entry needs its row no more."""
        known = self._owner.knows_job(entry.job_id)
        if entry.is_cancel:
            if not known and self._waits(entry.job_id):
                return False
            self._owner.cancel_left(entry.job_id)
            return True
        return known or self._owner.accept_left(entry)

    def _waits(self, job_id: str) -> bool:
        """Whether a job waits here for its route."""
        entries = (
            InboxEntry.decode(row.value)
            for row in self.waiting.values()
            if row.value is not None
        )
        return any(e.job_id == job_id and not e.is_cancel for e in entries)
