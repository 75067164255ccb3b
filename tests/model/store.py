"""The platform's row store in memory, and a daemon's client of it."""

import asyncio
import time
import typing as t

from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.store import Condition
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult

from .schedule import Outcome
from .schedule import Outcomes

CALL_DURATION_S = 0.005
"""Duration of a call."""

ANSWER_TIMEOUT_S = 0.8
"""Timeout of a call that gets no answer."""

LATE_COMMIT_S = 0.5
"""Delay until a late transaction takes effect, if its conditions hold by then."""


class FakeStore:
    """The rows, with linearizable transactions.

    Each daemon's `StoreView` adds the faults that the daemon meets.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._changed = asyncio.Event()
        self.version = 0

    def write(
        self,
        conditions: t.Sequence[Condition],
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow] = (),
    ) -> TransactResult:
        """Apply a transaction now if its conditions hold."""
        for condition in conditions:
            row = self._rows.get((condition.table, condition.part, condition.key))
            present = row is not None and row.value is not None
            if (row.version if row and present else 0) != condition.version:
                return TransactResult(committed=False)
        self.version += 1
        dropped = [StoredRow(row.table, row.part, row.key) for row in drops]
        for row in [*puts, *dropped]:
            self._rows[row.table, row.part, row.key] = StoredRow(
                row.table, row.part, row.key, row.value, self.version
            )
        self._changed.set()
        self._changed = asyncio.Event()
        return TransactResult(committed=True, version=self.version)

    def rows(self, table: str, after: int = 0) -> list[StoredRow]:
        """Return a table's rows that changed after a version, dropped rows included."""
        found = [row for row in self._rows.values() if row.table == table]
        return [row for row in found if row.version > after]

    async def wait_for_change(self, within_s: float) -> None:
        """Return at the next change of any row, or after a timeout."""
        try:
            async with asyncio.timeout(within_s):
                await self._changed.wait()
        except TimeoutError:
            return


class StoreView:
    """One daemon's client of the store.

    :param down_until_s: until when the store refuses calls, on the monotonic clock.
    """

    def __init__(self, store: FakeStore, outcomes: Outcomes) -> None:
        self._store = store
        self._outcomes = outcomes
        self.down_until_s = 0.0

    async def transact(
        self,
        conditions: t.Sequence[Condition],
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow] = (),
    ) -> TransactResult:
        outcome = await self._reach("commit")
        if outcome is Outcome.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_COMMIT_S, self._store.write, conditions, puts, drops)
        if outcome in (Outcome.LATE, Outcome.LOST):
            await _no_answer()
        result = self._store.write(conditions, puts, drops)
        if outcome is Outcome.UNANSWERED:
            await _no_answer()
        return result

    async def read_all(self, table: str, part: str) -> Page:
        await self._reach("read")
        rows = [row for row in self._store.rows(table) if row.value is not None]
        return Page(tuple(rows), self._store.version)

    read = read_all

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        if (
            await self._reach("feed" if table.startswith("cell-") else "")
            is Outcome.LOST
        ):
            await _no_answer()
        until_s = time.monotonic() + wait_s
        while not (rows := self._store.rows(table, after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            await self._store.wait_for_change(left_s)
            if time.monotonic() < self.down_until_s:
                raise _refused()
        return Page(tuple(rows), self._store.version)

    async def _reach(self, kind: str) -> Outcome:
        await asyncio.sleep(CALL_DURATION_S)
        if time.monotonic() < self.down_until_s:
            raise _refused()
        outcome = self._outcomes.next(kind)
        if outcome is Outcome.UNSENT:
            raise _refused()
        return outcome


def _refused() -> StoreUnavailableError:
    return StoreUnavailableError("the store refuses calls", remedy="try again")


async def _no_answer() -> t.NoReturn:
    await asyncio.sleep(ANSWER_TIMEOUT_S)
    raise OutcomeUnknownError("no answer came", remedy="read the rows back")
