"""Group commit: one transaction in flight, fenced by the head row."""

import asyncio
import collections
import math
import typing as t

import attrs

from ..clocks import boot_s
from ..errors import NotHolderError
from ..errors import StoreUnavailableError
from ..platform.store import Condition
from ..platform.store import RowStore
from ..platform.store import StoredRow
from .reading import head_or_none
from .reading import read_or_none
from .rows import Head
from .rows import HEAD_KEY
from .rows import new_nonce
from .rows import TABLE_HEAD
from .times import LeaseTimes
from .write_outcomes import ResponseTimes
from .write_outcomes import version_written

__all__ = ["CommitLog", "Encode"]

Encode = t.Callable[[], bytes | None]
"""Returns a row's value at the moment of the commit; None drops the row."""

MAX_ROWS = 90
"""Below the store's limit of 100 entries, with room for the head row."""

MAX_BYTES = 180_000
"""Of values in one transaction, and one row of 64 KB more. As base64 it crosses the
smallest links (5 Mbit/s) in 0.53 s, before its holder doubts that it can commit; 600
KB would take 1.4 s there, and the cell would go from one such holder to the next."""

SLOW_COMMIT_S = 0.35
"""A commit takes 7 ms; under a store 60 times slower, 300 ms."""

RETRY_MIN_S = 0.05
"""Pause before the second try while the store fails; it doubles with each."""

RETRY_MAX_S = 0.2
"""The longest pause between tries: followers leave a doubtful holder 0.25 s once the
store serves them again."""


@attrs.frozen
class _Batch:
    rows: tuple[StoredRow, ...]
    drops: tuple[StoredRow, ...]
    done: "asyncio.Future[None]"


class CommitLog:
    """Writes the rows of one cell for its holder.

    Rows that change while a transaction is in flight go out with the next one,
    as they are then. A holder that lost the cell learns it here.

    :param token: the holder's fencing token.
    :param head_version: the head row's version after the last confirmed commit; at
        first, after the take-over.
    :param interval_s: a commit is made at least this often, to renew the lease.
    :param times: how long a commit may be relied on.
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
    ) -> None:
        self._times = times or LeaseTimes()
        self._confirmed_term_s = self._times.trust_s
        # The shortest that a try of the present commit has said.
        self._sent_term_s = math.inf
        # When the try was sent that took effect, or the last one.
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
        self.lost = False

    def mark(self, table: str, key: str, encode: Encode) -> "asyncio.Future[None]":
        """Have a row written; the future ends when it is durable."""
        self._dirty[table, key] = encode
        self._wake.set()
        return self._next

    def unmark(self, table: str, key: str) -> bool:
        """Have a row not written after all.

        :return: whether no transaction has carried its change, nor will.
        """
        if (table, key) in self._in_flight:
            return False
        return self._dirty.pop((table, key), None) is not None

    def is_degraded(self) -> bool:
        """Whether a commit fails or takes much longer than the store's usual."""
        return self.failing_since_s is not None or self.tried_for_s() > SLOW_COMMIT_S

    def tried_for_s(self) -> float:
        """Return for how long the present commit has been tried; 0: there is none."""
        if self.trying_since_s is None:
            return 0.0
        return boot_s() - self.trying_since_s

    @property
    def commit_s(self) -> float:
        """How long the slower one of the last two commits took."""
        return max(self._durations_s, default=0.0)

    @property
    def term_s(self) -> float:
        """For how long the last confirmed commit may be relied on, since it was sent.

        Whoever wants to take over goes by what the head row says: that may be what a
        try says of which we have no answer.
        """
        return min(self._confirmed_term_s, self._sent_term_s)

    def is_commit_overdue(self, failing_s: float, slow_s: float) -> bool:
        """Whether the present commit is tried for too long.

        :param failing_s: how long it may be tried once a try has failed.
        :param slow_s: how long it may just take.
        """
        limit_s = slow_s if self.failing_since_s is None else failing_s
        return self.tried_for_s() > limit_s

    async def flushed(self) -> None:
        """Return once all that is marked now is durable.

        This alone does not say that the cell is still held: see :meth:`confirmed`.

        :raises NotHolderError: the cell is lost; what was marked may be durable.
        """
        if self.lost:
            raise _not_holder("the cell is lost")
        if self._dirty:
            await asyncio.shield(self._next)
        elif self._in_flight:
            await asyncio.shield(self._current)

    async def written(self, table: str, key: str) -> None:
        """Return once a row is durable as it was marked last.

        What was marked beside it may not be: :meth:`flushed` waits for one commit more
        while one is under way, and in a slow store others mark rows all the time.

        :raises NotHolderError: the cell is lost; the row may be durable.
        """
        if self.lost:
            raise _not_holder("the cell is lost")
        if (table, key) in self._dirty:
            await asyncio.shield(self._next)
        elif (table, key) in self._in_flight:
            await asyncio.shield(self._current)

    async def confirmed(self) -> None:
        """Return once a commit is confirmed that began after this call.

        Nobody else has held the cell before that commit.

        :raises NotHolderError: the cell is lost.
        """
        self._wake.set()
        await asyncio.shield(self._next)

    def is_marked(self, table: str, key: str) -> bool:
        """Whether a row has changes that are not durable yet."""
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
        """Return the oldest changes that fit into one transaction."""
        rows: list[StoredRow] = []
        drops: list[StoredRow] = []
        size = 0
        while self._dirty and len(rows) + len(drops) < MAX_ROWS:
            if size > MAX_BYTES:
                break
            (table, key), encode = self._dirty.popitem(last=False)
            self._in_flight.add((table, key))
            value = encode()
            if value is None:
                drops.append(StoredRow(table, self._part, key))
                continue
            size += len(value)
            rows.append(StoredRow(table, self._part, key, value))
        done = self._next
        if self._dirty:
            # The rest waits for a later transaction, and so do its waiters.
            done = _future()
        else:
            self._wake.clear()
            self._next = _future()
        self._current = done
        self.rows_written += len(rows)
        return _Batch(tuple(rows), tuple(drops), done)

    async def _commit(self, batch: _Batch) -> None:
        tries: dict[str, float] = {}
        pause_s = RETRY_MIN_S
        self.trying_since_s = boot_s()
        while True:
            began_at_s = boot_s()
            version = await self._try(batch, tries)
            if version:
                self._durations_s.append(boot_s() - began_at_s)
                self._confirm(batch, version)
                return
            if self.failing_since_s is None and self.tried_for_s() > SLOW_COMMIT_S:
                self.failing_since_s = began_at_s
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, RETRY_MAX_S)

    def _confirm(self, batch: _Batch, version: int) -> None:
        self._confirmed_term_s = self._sent_term_s
        self._sent_term_s = math.inf
        self.head_version = version
        self.confirmed_at_s = self._effective_at_s
        if boot_s() - self.confirmed_at_s > self._interval_s:
            # Confirmed late: it is relied on for little longer, or no more.
            self._wake.set()
        self.failing_since_s = None
        self.trying_since_s = None
        self.sequence += 1
        self._in_flight.clear()
        if not batch.done.done():
            batch.done.set_result(None)

    async def _try(self, batch: _Batch, tries: dict[str, float]) -> int:
        """Return the head's version after the commit, or 0 to try again.

        :param tries: when each try of this commit was sent, by its nonce.
        """
        nonce = new_nonce()
        self._effective_at_s = tries[nonce] = boot_s()
        term_s = self._times.term_s(self.commit_s)
        self._sent_term_s = min(self._sent_term_s, term_s)
        value = Head(nonce, self._token, term_s).encode()
        head = StoredRow(TABLE_HEAD, self._part, HEAD_KEY, value)
        condition = Condition(TABLE_HEAD, self._part, HEAD_KEY, self.head_version)
        write = self._store.transact([condition], [*batch.rows, head], batch.drops)
        try:
            return await version_written(
                write, lambda: self._find_effective_try(tries), self._response_times
            )
        except StoreUnavailableError:
            if self.failing_since_s is None:
                self.failing_since_s = self.trying_since_s
            return 0

    async def _find_effective_try(self, tries: dict[str, float]) -> int | None:
        """Find out whether one of our tries took effect.

        The commit counts from when that one was sent: who wants to take over counts
        from when the head row changed, which may be before a later try.

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
