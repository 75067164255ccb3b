"""Requests that other daemons left in the store while the holder was unreachable."""

import asyncio
import enum
import typing as t
from abc import ABC
from abc import abstractmethod

import attrs
import logbook
import msgspec

from ..cell.rows import new_nonce
from ..clocks import boot_s
from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import OWN_ROW_REMEDY
from ..errors import BadInputError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnknownKindError
from ..errors import UnreadableError
from ..platform.callers import decode_job
from ..platform.store import ABSENT
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from ..scheduler import JobTerms
from ..scheduler.accounts import may_see
from .pending_cancels import Cancel
from .pending_cancels import PENDING_CANCEL_SUFFIX
from .replay import RETRY_S

__all__ = ["InboxEntry", "InboxOwner", "InboxReader", "RequestKind", "inbox_key"]

log = logbook.Logger("streamthread.holder")

BEHIND_S = 2.0
"""The inbox counts as outdated when its feed has not answered for longer than this. A
call of the feed that gets no answer ends after 1.8 s, and the next one answers at once.
A cancel in the inbox has to take effect within 3 s."""


class RequestKind(enum.Enum):
    """What a request in the inbox asks for; the values are those of the rows."""

    SUBMIT = "submit"
    CANCEL = "cancel"


@attrs.frozen
class InboxEntry:
    """A caller's request, persisted until the holder processes it.

    :param body: the job as it was submitted; empty for other requests.
    :param configuration_version: version of the configuration in which the route was
        found; 0 if the sender did not name one.
    :param pool: the pool to which that configuration sends the route's jobs.
    :param account: the client account of the caller in that configuration; empty if the
        route needs no key.
    :param submitted_at_s: wall time at which the sender left the entry here; 0 if an
        earlier version left it.
    :param terms: what the sender accepted the job with; None if an earlier version left
        it, and for other requests.
    """

    kind: RequestKind
    job_id: str
    route: str
    body: str = ""
    configuration_version: int = 0
    pool: str = ""
    account: str = ""
    submitted_at_s: float = 0.0
    terms: JobTerms | None = None

    def encode(self) -> bytes:
        """Encode the entry as a row's value.

        Earlier versions ignore the kind and the terms, which stand last. They take an
        entry for a cancel if its body is empty.
        """
        return msgspec.json.encode(
            _EntryRow(
                self.job_id,
                self.route,
                self.body if self.kind is RequestKind.SUBMIT else "",
                self.configuration_version,
                self.pool,
                self.account,
                self.submitted_at_s,
                self.kind.value,
                self.terms,
            )
        )

    @classmethod
    def decode(cls, value: bytes, key: str = "") -> "InboxEntry":
        """Decode a row's value.

        :param key: the row's key, for errors.
        :raises UnknownKindError: the entry is a request of a later version.
        :raises UnreadableError: the value is not an inbox entry.
        """
        row = _ENTRIES.decode(value, key)
        return cls(
            _kind_of(row, key),
            row.job_id,
            row.route,
            row.body,
            row.configuration_version,
            row.pool,
            row.account,
            row.submitted_at_s,
            row.terms,
        )


class _EntryRow(msgspec.Struct, array_like=True):
    job_id: str
    route: str
    body: str = ""
    configuration_version: Count = 0
    pool: str = ""
    account: str = ""
    submitted_at_s: Amount = 0.0
    kind: str | None = None
    terms: JobTerms | None = None


def _kind_of(row: _EntryRow, key: str) -> RequestKind:
    """Return the kind of a request.

    :raises UnknownKindError: it is a kind of a later version.
    """
    if row.kind is None:
        return _kind_without_record(row.body)
    try:
        return RequestKind(row.kind)
    except ValueError as error:
        raise UnknownKindError(
            f"requests of the kind {row.kind!r} are not known here",
            remedy="the row is kept for a daemon of a later version",
            key=key,
            field="$[7]",
        ) from error


def _kind_without_record(body: str) -> RequestKind:
    """Return the kind of a row that an earlier version wrote.

    It wrote only valid jobs as submissions, and cancels with whatever body they had.
    """
    try:
        decode_job(body.encode())
    except BadInputError:
        return RequestKind.CANCEL
    return RequestKind.SUBMIT


_ENTRIES = Decoder[_EntryRow](_EntryRow, remedy=OWN_ROW_REMEDY)


def job_id_of(key: str) -> str:
    """Return the job id at the start of a row's key.

    The key of a persisted cancel has two more parts, every other key has one
    (:func:`inbox_key`). Ids may contain dots.
    """
    return key.rsplit(".", 2 if key.endswith(PENDING_CANCEL_SUFFIX) else 1)[0]


def inbox_key(entry: InboxEntry) -> str:
    """Return a unique key for an entry."""
    return f"{entry.job_id}.{new_nonce()}"


class InboxOwner(ABC):
    """What the inbox needs from the holder."""

    @abstractmethod
    def knows_job(self, job_id: str) -> bool:
        """Whether a job is known, whatever its state."""

    @abstractmethod
    def mark_acknowledged(self, job_id: str) -> None:
        """Note that the daemon that left a known job here has acknowledged it."""

    @abstractmethod
    def accept_from_inbox(self, entry: InboxEntry) -> bool:
        """Accept a job; return False if its terms or account are not known here yet."""

    @abstractmethod
    def cancel_from_inbox(self, cancel: Cancel) -> None:
        """Cancel a known job if the cancel applies to it."""

    @abstractmethod
    def retain_cancel(self, cancel: Cancel, may_arrive: bool) -> bool:
        """Retain the cancel of an unknown job; return whether its row is still needed.

        :param may_arrive: whether the job is known to wait for its route.
        """

    @abstractmethod
    def exclude_job(self, job_id: str, error: BadInputError) -> None:
        """Exclude a job with a row that can't be decoded; it may have been accepted."""

    @abstractmethod
    def keep_unknown_request(self, job_id: str, error: UnknownKindError) -> None:
        """Note a request of a later version; its row stays in the inbox."""

    @abstractmethod
    def delete_row(self, key: str) -> None:
        """Delete a row from the inbox."""


class InboxReader:
    """Processes the rows of the inbox in the order in which they were written.

    :param waiting: rows of jobs that wait for a newer configuration, and of
        cancels that wait for their jobs, by key.
    """

    def __init__(self, feed: TableFeed, owner: InboxOwner) -> None:
        self._feed = feed
        self._owner = owner
        self.waiting: dict[str, StoredRow] = {}
        self._waiting_jobs: dict[str, InboxEntry] = {}
        self._current_read: asyncio.Task[None] | None = None
        self._next_read: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Process the inbox until the cell is lost."""
        while True:
            await self.read()

    async def read(self) -> None:
        """Process the rows that are new since the last call.

        The first call processes all rows, so that a new holder knows every accepted job
        before it reports that a job does not exist.
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
        """Whether rows may have been waiting in the inbox unread for too long."""
        return boot_s() - self._feed.known_at_s > BEHIND_S

    async def refresh(self) -> None:
        """Read the inbox if its rows may be outdated.

        A read in progress is waited for and usually suffices. In a store that takes
        0.8 s per read, a read that begins after this call would end after up to 1.6 s,
        and the two commits that follow would exceed the caller's time.

        :raises StoreUnavailableError: the inbox can't be read.
        :raises OutcomeUnknownError: the inbox can't be read.
        """
        if self.behind and self._current_read is not None:
            await asyncio.wait((self._current_read,))
        if self.behind:
            await self.catch_up()

    async def catch_up(self) -> None:
        """Process everything that is in the inbox at the time of this call.

        All callers that arrive before a read begins share that read.

        :raises StoreUnavailableError: the inbox can't be read.
        :raises OutcomeUnknownError: the inbox can't be read.
        """
        if self._next_read is None:
            self._next_read = asyncio.ensure_future(
                self._read_after(self._current_read)
            )
        # A caller may be cancelled while others wait for the same read.
        await asyncio.shield(self._next_read)

    async def _read_after(self, before: "asyncio.Task[None] | None") -> None:
        if before is not None:
            await asyncio.wait((before,))
            if before.cancelled() or before.exception() is not None:
                # The last read failed. The store also counts the reads that it
                # refuses, so the next one is delayed.
                await asyncio.sleep(RETRY_S)
        self._current_read, self._next_read = self._next_read, None
        self.take(await self._feed.look())

    def take(self, rows: t.Iterable[StoredRow]) -> None:
        """Process rows by version; a full read returns them ordered by key.

        Ordered by key, a cancel may come before its job.
        """
        for row in sorted(rows, key=lambda row: row.version):
            self._process_row(row)

    def retry(self) -> None:
        """Process the waiting rows again, in case their route or job is known now."""
        self.take(list(self.waiting.values()))

    def _process_row(self, row: StoredRow) -> None:
        self.waiting.pop(row.key, None)
        self._waiting_jobs.pop(row.key, None)
        if row.value is None or row.version == ABSENT:
            return
        try:
            entry = InboxEntry.decode(row.value, row.key)
        except UnknownKindError as error:
            self._owner.keep_unknown_request(job_id_of(row.key), error)
            return
        except UnreadableError as error:
            self._owner.exclude_job(job_id_of(row.key), error)
            return
        if self._process(entry):
            self._owner.delete_row(row.key)
            return
        self.waiting[row.key] = row
        if entry.kind is RequestKind.SUBMIT:
            self._waiting_jobs[row.key] = entry

    def _process(self, entry: InboxEntry) -> bool:
        """Process an entry; return whether its row is no longer needed."""
        if entry.kind is RequestKind.CANCEL:
            return self._process_cancel(entry)
        if not self._owner.knows_job(entry.job_id):
            return self._owner.accept_from_inbox(entry)
        self._owner.mark_acknowledged(entry.job_id)
        return True

    def _process_cancel(self, entry: InboxEntry) -> bool:
        cancel = Cancel(entry.job_id, entry.route, entry.account)
        if not self._owner.knows_job(entry.job_id):
            may_arrive = self.has_waiting_job(entry.job_id, entry.account)
            return not self._owner.retain_cancel(cancel, may_arrive)
        self._owner.cancel_from_inbox(cancel)
        return True

    def has_waiting_job(self, job_id: str, account: str) -> bool:
        """Whether a job that an account may see waits here for its route."""
        return any(
            entry.job_id == job_id and may_see(account, entry.account)
            for entry in self._waiting_jobs.values()
        )
