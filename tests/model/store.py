"""The platform's row store in memory, as one daemon reaches it."""

import asyncio
import time
import typing as t

from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.store import Condition
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.platform.store import TransactResult

from .schedule import Fate
from .schedule import Fates

CALL_S = 0.005
"""What a call takes."""

SILENCE_S = 0.8
"""A call without an answer is given up after so long."""

LATE_S = 0.5
"""A late transaction takes effect so much later, should its conditions hold."""


class FakeStore:
    """The rows, linear; what each daemon meets on its way is a `StoreView`'s."""

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
        """Do a transaction now, if its conditions hold."""
        for wanted in conditions:
            row = self._rows.get((wanted.table, wanted.part, wanted.key))
            present = row is not None and row.value is not None
            if (row.version if row and present else 0) != wanted.version:
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
        """Return a table's rows that changed after a version, dropped ones too."""
        found = [row for row in self._rows.values() if row.table == table]
        return [row for row in found if row.version > after]

    async def until_change(self, within_s: float) -> None:
        """Return at the next change of any row, or after a time."""
        try:
            async with asyncio.timeout(within_s):
                await self._changed.wait()
        except TimeoutError:
            return


class StoreView:
    """The store's client of one daemon.

    :param away_until_s: on the monotonic clock: until then the store refuses calls.
    """

    def __init__(self, store: FakeStore, fates: Fates) -> None:
        self._store = store
        self._fates = fates
        self.away_until_s = 0.0

    async def transact(
        self,
        conditions: t.Sequence[Condition],
        puts: t.Sequence[StoredRow],
        drops: t.Sequence[StoredRow] = (),
    ) -> TransactResult:
        fate = await self._reach("commit")
        if fate is Fate.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self._store.write, conditions, puts, drops)
        if fate in (Fate.LATE, Fate.LOST):
            await _no_answer()
        result = self._store.write(conditions, puts, drops)
        if fate is Fate.UNANSWERED:
            await _no_answer()
        return result

    async def read_all(self, table: str, part: str) -> Page:
        await self._reach("read")
        rows = [row for row in self._store.rows(table) if row.value is not None]
        return Page(tuple(rows), self._store.version)

    read = read_all

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        if await self._reach("feed" if table.startswith("cell-") else "") is Fate.LOST:
            await _no_answer()
        until_s = time.monotonic() + wait_s
        while not (rows := self._store.rows(table, after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            await self._store.until_change(left_s)
            if time.monotonic() < self.away_until_s:
                raise _refused()
        return Page(tuple(rows), self._store.version)

    async def _reach(self, kind: str) -> Fate:
        await asyncio.sleep(CALL_S)
        if time.monotonic() < self.away_until_s:
            raise _refused()
        fate = self._fates.next(kind)
        if fate is Fate.UNSENT:
            raise _refused()
        return fate


def _refused() -> StoreUnavailableError:
    return StoreUnavailableError("the store refuses", remedy="try again")


async def _no_answer() -> t.NoReturn:
    await asyncio.sleep(SILENCE_S)
    raise OutcomeUnknownError("no answer came", remedy="look what was done")
