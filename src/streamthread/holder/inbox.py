"""Calls that other daemons left in the store while the holder was out of reach."""

import asyncio
import json
import typing as t
from abc import ABC
from abc import abstractmethod

import attrs
import logbook
import msgspec

from ..cell.rows import new_nonce
from ..clocks import boot_s
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import OWN_ROW_REMEDY
from ..errors import BadInputError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..platform.store import ABSENT
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from ..scheduler.accounts import may_see
from .pending_cancels import Cancel
from .pending_cancels import PENDING_CANCEL_SUFFIX
from .replay import RETRY_S

__all__ = ["InboxEntry", "InboxOwner", "InboxReader", "inbox_key"]

log = logbook.Logger("streamthread.holder")

BEHIND_S = 2.0
"""The inbox is unknown when nothing was heard of it for longer: a call of its feed that
falls silent ends after 1.8 s, and the next one answers at once. A cancel that waits
there has to count within 3 s."""


@attrs.frozen
class InboxEntry:
    """A job that was handed in, or a cancel, kept until the holder takes it.

    :param body: the job as it was handed in; empty for a cancel.
    :param configuration_version: by which the route was found; 0: it was not said.
    :param pool: to which that configuration sends the route's jobs.
    :param account: the client account that asks, by that configuration; empty: the
        route needs no key.
    """

    job_id: str
    route: str
    body: str = ""
    configuration_version: int = 0
    pool: str = ""
    account: str = ""

    @property
    def is_cancel(self) -> bool:
        """Whether it asks for a cancel."""
        return not self.body

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(attrs.astuple(self)).encode()

    @classmethod
    def decode(cls, value: bytes) -> "InboxEntry":
        """Return what a row's value says.

        :raises UnreadableError: it is no entry.
        """
        row = _ENTRIES.decode(value, "")
        return cls(
            row.job_id,
            row.route,
            row.body,
            row.configuration_version,
            row.pool,
            row.account,
        )


class _EntryRow(msgspec.Struct, array_like=True):
    job_id: str
    route: str
    body: str = ""
    configuration_version: Count = 0
    pool: str = ""
    account: str = ""


_ENTRIES = Decoder[_EntryRow](_EntryRow, remedy=OWN_ROW_REMEDY)


def job_id_of(key: str) -> str:
    """Return the id of the job that a row's key begins with.

    A kept cancel's key has two more parts, any other one (:func:`inbox_key`); ids may
    hold dots.
    """
    return key.rsplit(".", 2 if key.endswith(PENDING_CANCEL_SUFFIX) else 1)[0]


def inbox_key(entry: InboxEntry) -> str:
    """Return a key that no other entry has."""
    return f"{entry.job_id}.{new_nonce()}"


class InboxOwner(ABC):
    """What the inbox needs of the holder."""

    @abstractmethod
    def knows_job(self, job_id: str) -> bool:
        """Whether a job is known, whatever its state."""

    @abstractmethod
    def mark_acknowledged(self, job_id: str) -> None:
        """Learn that a job that is known was acknowledged by whoever left it here."""

    @abstractmethod
    def accept_from_inbox(self, entry: InboxEntry) -> bool:
        """Take a job; return False where the configuration has not come here yet."""

    @abstractmethod
    def cancel_from_inbox(self, cancel: Cancel) -> None:
        """Cancel a job that is known, where the cancel means it."""

    @abstractmethod
    def retain_cancel(self, cancel: Cancel, may_arrive: bool) -> bool:
        """Keep a cancel of a job that is not known; return whether its row is needed.

        :param may_come: whether the job is sure to be able to come yet.
        """

    @abstractmethod
    def exclude_job(self, job_id: str, error: BadInputError) -> None:
        """Learn of a row that can't be read; a job may have been accepted with it."""

    @abstractmethod
    def delete_row(self, key: str) -> None:
        """Have a row removed from the inbox."""


class InboxReader:
    """Takes the rows of the inbox in the order in which they were written.

    :param waiting: jobs that wait for the configuration and cancels that wait for
        their jobs, by key.
    """

    def __init__(self, feed: TableFeed, owner: InboxOwner) -> None:
        self._feed = feed
        self._owner = owner
        self.waiting: dict[str, StoredRow] = {}
        self._waiting_jobs: dict[str, InboxEntry] = {}
        self._current_read: asyncio.Task[None] | None = None
        self._next_read: asyncio.Task[None] | None = None

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

    @property
    def behind(self) -> bool:
        """Whether there may be rows for long that were not taken."""
        return boot_s() - self._feed.known_at_s > BEHIND_S

    async def catch_up(self) -> None:
        """Return once all is taken that was in the inbox at the time of this call.

        One look at the inbox serves all who ask before it begins.

        :raises StoreUnavailableError: the inbox can't be read.
        :raises OutcomeUnknownError: the inbox can't be read.
        """
        if self._next_read is None:
            self._next_read = asyncio.ensure_future(
                self._read_after(self._current_read)
            )
        # Whoever asks may give up; others wait for the same look.
        await asyncio.shield(self._next_read)

    async def _read_after(self, before: "asyncio.Task[None] | None") -> None:
        if before is not None:
            await asyncio.wait((before,))
            if before.cancelled() or before.exception() is not None:
                # The store refuses reads, and counts each of them.
                await asyncio.sleep(RETRY_S)
        self._current_read, self._next_read = self._next_read, None
        self.take(await self._feed.look())

    def take(self, rows: t.Iterable[StoredRow]) -> None:
        """Take rows; a whole read brings them by key, a cancel before its job."""
        for row in sorted(rows, key=lambda row: row.version):
            self._process_row(row)

    def retry(self) -> None:
        """Take the rows that wait, should their route or job be known by now."""
        self.take(list(self.waiting.values()))

    def _process_row(self, row: StoredRow) -> None:
        self.waiting.pop(row.key, None)
        self._waiting_jobs.pop(row.key, None)
        if row.value is None or row.version == ABSENT:
            return
        try:
            entry = InboxEntry.decode(row.value)
        except UnreadableError as error:
            self._owner.exclude_job(job_id_of(row.key), error)
            return
        if self._process(entry):
            self._owner.delete_row(row.key)
            return
        self.waiting[row.key] = row
        if not entry.is_cancel:
            self._waiting_jobs[row.key] = entry

    def _process(self, entry: InboxEntry) -> bool:
        """Return whether an entry needs its row no more."""
        known = self._owner.knows_job(entry.job_id)
        if not entry.is_cancel and known:
            self._owner.mark_acknowledged(entry.job_id)
            return True
        if not entry.is_cancel:
            return self._owner.accept_from_inbox(entry)
        cancel = Cancel(entry.job_id, entry.route, entry.account)
        if not known:
            may_arrive = self.has_waiting_job(entry.job_id, entry.account)
            return not self._owner.retain_cancel(cancel, may_arrive)
        self._owner.cancel_from_inbox(cancel)
        return True

    def has_waiting_job(self, job_id: str, account: str) -> bool:
        """Whether a job waits here for its route that an account may know of."""
        return any(
            entry.job_id == job_id and may_see(account, entry.account)
            for entry in self._waiting_jobs.values()
        )
