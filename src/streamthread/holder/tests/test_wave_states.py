"""A wave's state is written for the operator even if its holder ends first.

The failure: a holder recorded the state as reported before it was written, so the next
holder did not write it.
"""

import asyncio
import types
import typing as t

from streamthread.errors import StoreUnavailableError
from streamthread.holder.waves import WaveRegistry
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow

WAVE = 7


class _Owner:
    """A holder with working commits, whose writes of wave states may fail."""

    def __init__(self, rows: dict[str, bytes], down: bool) -> None:
        self.rows = rows
        self.down = down
        self.written: list[StoredRow] = []
        self.calls: list[asyncio.Task[None]] = []
        self.context = types.SimpleNamespace(store=self)
        self.log = self

    def mark(self, table: str, key: str, encode: t.Callable[[], bytes]) -> None:
        self.rows[key] = encode()

    async def read_cell_table(self, table: str) -> Page:
        rows = [StoredRow(table, "", key, row, 1) for key, row in self.rows.items()]
        return Page(tuple(rows), 1)

    async def until_trusted(self) -> None:
        return

    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        self.calls.append(asyncio.ensure_future(call))

    async def transact(self, conditions: t.Any, puts: list[StoredRow]) -> None:
        if self.down:
            raise StoreUnavailableError("down", remedy="-")
        self.written += puts

    async def end(self) -> None:
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)


class TestWaveState:
    async def test_is_written_by_the_next_holder(self) -> None:
        rows: dict[str, bytes] = {}
        first = _Owner(rows, down=True)
        registry = WaveRegistry(t.cast(t.Any, first), retry_s=0.01)
        registry.report(registry.progress_of(WAVE), completed=True)
        await asyncio.sleep(0)
        await first.end()
        assert not first.written
        second = _Owner(rows, down=False)
        registry = WaveRegistry(t.cast(t.Any, second), retry_s=0.01)
        await registry.restore()
        registry.report(registry.progress_of(WAVE), completed=True)
        await asyncio.gather(*second.calls)
        assert second.written
