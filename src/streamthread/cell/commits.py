"""Group commit: at most one transaction is in flight, and the head row fences it."""

import asyncio
import collections
import math
import typing as t

import attrs
import logbook

from ..clocks import boot_s
from ..errors import BadInputError
from ..errors import NotHolderError
from ..errors import StoreUnavailableError
from ..platform.store import Condition
from ..platform.store import DEFAULT_ROW_BYTES
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..response_times import ResponseTimes
from .answers import version_written
from .reading import head_or_none
from .reading import read_or_none
from .rows import Head
from .rows import HEAD_KEY
from .rows import new_nonce
from .rows import TABLE_HEAD
from .times import LeaseTimes

__all__ = ["CommitLog", "Encode", "OnRefused"]

log = logbook.Logger("streamthread.cell")

Encode = t.Callable[[], bytes | None]
"""Returns a row's value at the time of the commit, or None to delete the row."""

OnRefused = t.Callable[[str, str], None]
"""Handles a row that can't be written, given its table and its key."""

MAX_ROWS = 90
"""Maximum rows per transaction. The store accepts 100 entries; the margin leaves space
for the head row."""

MAX_BYTES = 180_000
"""Maximum size of the values in one transaction; the last row may exceed it by 64 KB.
In base64 such a batch crosses the slowest links (5 Mbit/s) in 0.53 s, before the holder
suspects that it cannot commit. A batch of 600 KB would take 1.4 s there, and the cell
would move from one such holder to the next."""

SLOW_COMMIT_S = 0.35
"""Commits that take longer count as slow. A commit usually takes 7 ms, and 300 ms in a
store that is 60 times slower."""

RETRY_MIN_S = 0.05
"""Initial backoff while the store fails; it doubles with each try."""

RETRY_MAX_S = 0.2
"""Maximum backoff. Once the store serves the followers again, they give a holder that
reported failing commits 0.25 s to commit, so it must try again within that time."""


Changes = tuple[StoredRow, ...]
"""Rows to write; one without a value is deleted."""


@attrs.frozen
class _Batch:
    """The changes that one transaction carries.

    :param done: completes when the transaction is confirmed.
    """

    changes: Changes
    done: "asyncio.Future[None]"

    @property
    def rows(self) -> Changes:
        """The rows that are written and not deleted."""
        return tuple(row for row in self.changes if row.value is not None)


class CommitLog:
    """Writes the rows of one cell for its holder.

    Rows that change while a transaction is in flight are written by the next one, with
    the values that they have then. The log also detects that the holder lost the cell.

    :param token: the holder's fencing token.
    :param head_version: the head row's version after the last confirmed commit;
        initially, the version after the cell was acquired.
    :param interval_s: the maximum interval between commits, which renew the lease.
    :param times: how long a commit keeps the lease valid.
    :param confirmed_at_s: when the last confirmed commit was sent, on the boot clock;
        initially, when the acquisition was sent.
    :param failing_since_s: since when the current commit has been failing, or None.
    :param trying_since_s: since when the current commit has been tried, or None.
    :param sequence: number of confirmed commits.
    :param lost: the log has ended and commits nothing more.
    :param max_row_bytes: a row with a larger value is not written.
    :param on_refused: called for each row that can't be written, before those who wait
        for its commit continue.
    :param rows_refused: number of these rows.
    """

    def __init__(
        self,
        store: RowStore,
        part: str,
        token: int,
        head_version: int,
        confirmed_at_s: float,
        interval_s: float,
        times: LeaseTimes | None = None,
        max_row_bytes: int = DEFAULT_ROW_BYTES,
        on_refused: OnRefused = lambda table, key: None,
    ) -> None:
        self._times = times or LeaseTimes()
        self._max_row_bytes = max_row_bytes
        self._on_refused = on_refused
        # Rows that can't be written, until they are reported.
        self._refused: list[tuple[str, str]] = []
        self._confirmed_term_s = self._times.trust_s
        # The shortest term that a try of the current commit has sent.
        self._sent_term_s = math.inf
        # When the try that took effect was sent, or else the last try.
        self._effective_at_s = confirmed_at_s
        self._durations_s: collections.deque[float] = collections.deque(maxlen=2)
        self._store = store
        self._part = part
        self._token = token
        self.head_version = head_version
        self._interval_s = interval_s
        self._dirty: collections.OrderedDict[tuple[str, str], Encode] = (
            collections.OrderedDict()
        )
        self._in_flight: set[tuple[str, str]] = set()
        self._current: asyncio.Future[None] = _future()
        self._next: asyncio.Future[None] = _future()
        self._wake = asyncio.Event()
        self._response_times = ResponseTimes()
        self.confirmed_at_s = confirmed_at_s
        self.failing_since_s: float | None = None
        self.trying_since_s: float | None = None
        self.sequence = 0
        self.rows_written = 0
        self.rows_refused = 0
        self.lost = False

    def mark(self, table: str, key: str, encode: Encode) -> "asyncio.Future[None]":
        """Mark a row for writing; the future completes when the row is durable."""
        self._dirty[table, key] = encode
        self._wake.set()
        return self._next

    def unmark(self, table: str, key: str) -> bool:
        """Cancel the writing of a row.

        :return: true if the row was marked and no transaction has carried or will carry
            its change.
        """
        if (table, key) in self._in_flight:
            return False
        return self._dirty.pop((table, key), None) is not None

    def is_degraded(self) -> bool:
        """Whether a commit fails or takes much longer than the store usually needs."""
        return self.failing_since_s is not None or self.tried_for_s() > SLOW_COMMIT_S

    def tried_for_s(self) -> float:
        """Return for how long the current commit has been tried; 0 without a commit."""
        if self.trying_since_s is None:
            return 0.0
        return boot_s() - self.trying_since_s

    @property
    def commit_s(self) -> float:
        """How long the slower one of the last two commits took."""
        return max(self._durations_s, default=0.0)

    @property
    def term_s(self) -> float:
        """For how long the lease is valid after the last confirmed commit was sent.

        A candidate uses the term in the head row, and a try without an answer may have
        written it. The shorter of the confirmed and the sent term therefore applies.
        """
        return min(self._confirmed_term_s, self._sent_term_s)

    def is_commit_overdue(self, failing_s: float, slow_s: float) -> bool:
        """Whether the current commit has been tried for too long.

        :param failing_s: the limit once a try has failed.
        :param slow_s: the limit while no try has failed.
        """
        limit_s = slow_s if self.failing_since_s is None else failing_s
        return self.tried_for_s() > limit_s

    async def flushed(self) -> None:
        """Return once all rows that are marked now are durable.

        This alone does not prove that the cell is still held: see :meth:`confirmed`.

        :raises NotHolderError: the cell is lost; the marked rows may be durable.
        """
        if self.lost:
            raise _not_holder("the cell is lost")
        if self._dirty:
            await asyncio.shield(self._next)
        elif self._in_flight:
            await asyncio.shield(self._current)

    async def written(self, table: str, key: str) -> None:
        """Return once the latest marked value of a row is durable.

        Other marked rows may not be durable by then. :meth:`flushed` can take longer:
        it waits for one more commit if rows were marked while one is in flight, and in
        a slow store other tasks mark rows all the time.

        :raises NotHolderError: the cell is lost; the row may be durable.
        """
        if self.lost:
            raise _not_holder("the cell is lost")
        if (table, key) in self._dirty:
            await asyncio.shield(self._next)
        elif (table, key) in self._in_flight:
            await asyncio.shield(self._current)

    async def confirmed(self) -> None:
        """Return once a commit that began after this call is confirmed.

        No other daemon has held the cell before that commit.

        :raises NotHolderError: the cell is lost.
        """
        self._wake.set()
        await asyncio.shield(self._next)

    def is_marked(self, table: str, key: str) -> bool:
        """Whether a row has changes that are not durable."""
        return (table, key) in self._dirty or (table, key) in self._in_flight

    async def run(self) -> None:
        """Commit until the cell is lost.

        :raises NotHolderError: another daemon holds it.
        """
        try:
            while True:
                await self._wait_for_work()
                await self._commit(self._next_batch())
        except BaseException as error:
            self.lost = True
            self._fail_waiters(error)
            raise

    def _fail_waiters(self, error: BaseException) -> None:
        for future in (self._next, self._current):
            if not future.done():
                future.set_exception(_not_holder(str(error)))
                future.exception()

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(self._interval_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _next_batch(self) -> _Batch:
        """Remove and return the oldest changes that fit into one transaction."""
        changes: list[StoredRow] = []
        size = 0
        while self._dirty and len(changes) < MAX_ROWS:
            if size > MAX_BYTES:
                break
            (table, key), encode = self._dirty.popitem(last=False)
            self._in_flight.add((table, key))
            change = self._encode(table, key, encode)
            if change is not None:
                size += len(change.value or b"")
                changes.append(change)
        done = self._next
        if self._dirty:
            # A later transaction writes the other rows; their waiters stay pending.
            done = _future()
        else:
            self._wake.clear()
            self._next = _future()
        self._current = done
        batch = _Batch(tuple(changes), done)
        self.rows_written += len(batch.rows)
        return batch

    def _encode(self, table: str, key: str, encode: Encode) -> StoredRow | None:
        """Return a change, or None if its row can't be written.

        A fault in the data of one row must not keep the other rows from being written.
        """
        try:
            value = encode()
        except Exception:
            log.exception("row-not-encoded", extra={"table": table, "key": key})
            self._refuse(table, key)
            return None
        if value is not None and len(value) > self._max_row_bytes:
            log.error(
                "row-too-large",
                extra={
                    "table": table,
                    "key": key,
                    "size_bytes": len(value),
                    "max_bytes": self._max_row_bytes,
                },
            )
            self._refuse(table, key)
            return None
        return StoredRow(table, self._part, key, value)

    def _refuse(self, table: str, key: str) -> None:
        self.rows_refused += 1
        self._refused.append((table, key))

    async def _commit(self, batch: _Batch) -> None:
        """Commit a batch, without the rows that the store never takes.

        A refusal does not say which row it concerns, so the batch is committed in ever
        smaller parts.

        :raises NotHolderError: another daemon holds the cell.
        """
        parts = [batch.changes]
        refused_once: set[Changes] = set()
        while parts:
            changes = parts.pop(0)
            try:
                await self._write(changes)
            except BadInputError as error:
                parts[:0] = self._isolate(changes, refused_once, error)
        self._finish(batch)

    def _isolate(
        self, changes: Changes, refused_once: set[Changes], error: BadInputError
    ) -> list[Changes]:
        """Return the parts to try after a refusal, which finally is of one row.

        A single row is tried again after a commit without it, which shows that the
        store takes others.
        """
        if len(changes) > 1:
            middle = len(changes) // 2
            return [changes[:middle], changes[middle:]]
        if changes not in refused_once:
            refused_once.add(changes)
            return [(), changes]
        (row,) = changes
        log.error(
            "row-refused",
            extra={
                "table": row.table,
                "key": row.key,
                "size_bytes": len(row.value or b""),
                "why": str(error),
            },
        )
        self._refuse(row.table, row.key)
        return []

    async def _write(self, changes: Changes) -> None:
        """Try a transaction until one try is confirmed.

        :raises BadInputError: the store does not take it, and others it does.
        :raises NotHolderError: another daemon holds the cell.
        """
        tries: dict[str, float] = {}
        pause_s = RETRY_MIN_S
        self.trying_since_s = boot_s()
        while True:
            began_at_s = boot_s()
            version = await self._try(changes, tries)
            if version:
                self._durations_s.append(boot_s() - began_at_s)
                self._confirm(version)
                return
            if self.failing_since_s is None and self.tried_for_s() > SLOW_COMMIT_S:
                self.failing_since_s = began_at_s
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    def _confirm(self, version: int) -> None:
        self._confirmed_term_s = self._sent_term_s
        self._sent_term_s = math.inf
        self.head_version = version
        self.confirmed_at_s = self._effective_at_s
        if boot_s() - self.confirmed_at_s > self._interval_s:
            # The confirmation is late, so the lease expires soon or has expired.
            self._wake.set()
        self.failing_since_s = None
        self.trying_since_s = None
        self.sequence += 1

    def _finish(self, batch: _Batch) -> None:
        """Report the rows that were not written, and resume those who wait."""
        self._in_flight.clear()
        refused, self._refused = self._refused, []
        for table, key in refused:
            self._on_refused(table, key)
        if not batch.done.done():
            batch.done.set_result(None)

    async def _try(self, changes: Changes, tries: dict[str, float]) -> int:
        """Return the head row's version after the commit, or 0 to try again.

        :param tries: when each try of this commit was sent, by its nonce.
        :raises BadInputError: the store does not take these changes.
        """
        nonce = new_nonce()
        self._effective_at_s = tries[nonce] = boot_s()
        term_s = self._times.term_s(self.commit_s)
        self._sent_term_s = min(self._sent_term_s, term_s)
        value = Head(nonce, self._token, term_s).encode()
        head = StoredRow(TABLE_HEAD, self._part, HEAD_KEY, value)
        condition = Condition(TABLE_HEAD, self._part, HEAD_KEY, self.head_version)
        puts = [row for row in changes if row.value is not None]
        drops = [row for row in changes if row.value is None]
        write = self._store.transact([condition], [*puts, head], drops)
        try:
            return await version_written(
                write, lambda: self._find_effective_try(tries), self._response_times
            )
        except StoreUnavailableError:
            self._note_failure()
            return 0
        except BadInputError as error:
            if changes:
                raise
            # No row of a job is at fault, so another try may succeed.
            log.error("head-row-refused", extra={"why": str(error)})
            self._note_failure()
            return 0

    def _note_failure(self) -> None:
        if self.failing_since_s is None:
            self.failing_since_s = self.trying_since_s

    async def _find_effective_try(self, tries: dict[str, float]) -> int | None:
        """Return the head row's version if one of our tries took effect.

        The lease term counts from when that try was sent: a candidate counts from when
        the head row changed, which may be before a later try.

        :return: 0 if no try took effect, None if the head row cannot be read now.
        :raises NotHolderError: another daemon has written the head row.
        """
        page = await read_or_none(self._store, TABLE_HEAD, self._part)
        if page is None:
            return None
        row = next((row for row in page.rows if row.key == HEAD_KEY), None)
        if row is None or row.value is None:
            raise _not_holder("the head row is gone")
        if row.version == self.head_version:
            return 0
        written = head_or_none(row.value)
        sent_at_s = tries.get(written.nonce) if written is not None else None
        if sent_at_s is not None:
            self._effective_at_s = sent_at_s
            return row.version
        raise _not_holder("another daemon has written the head row")


def _future() -> "asyncio.Future[None]":
    return asyncio.get_running_loop().create_future()


def _not_holder(message: str) -> NotHolderError:
    return NotHolderError(message, remedy="ask the daemon that holds the cell")
