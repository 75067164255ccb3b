"""A wave's state is written for the operator even if its holder ends first.

The failure: a holder recorded the state as reported before it was written, so the next
holder did not write it.
"""

import asyncio
import json
import types
import typing as t

from streamthread.errors import StoreUnavailableError
from streamthread.holder.waves import WaveRegistry
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.upkeep.progress import MACHINES_PER_ROW

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


class TestLargeWave:
    """Its progress takes several rows."""

    async def _restore(self, rows: dict[str, bytes]) -> WaveRegistry:
        registry = WaveRegistry(t.cast(t.Any, _Owner(rows, down=False)), 0.01)
        await registry.restore()
        return registry

    async def test_is_continued_by_the_next_holder(self) -> None:
        rows: dict[str, bytes] = {}
        registry = await self._restore(rows)
        registry.progress_of(WAVE)
        ids = [f"m-{number}" for number in range(2 * MACHINES_PER_ROW + 1)]
        for machine_id in ids:
            registry.mark_begun(WAVE, machine_id)
        assert sorted(rows) == ["7", "7.1", "7.2"]
        registry = await self._restore(rows)
        assert all(registry.has_begun(WAVE, machine_id) for machine_id in ids)
        assert not registry.has_begun(WAVE, "m-x")

    async def test_of_the_earlier_version_is_divided(self) -> None:
        ids = [f"m-{number}" for number in range(MACHINES_PER_ROW + 1)]
        rows = {str(WAVE): json.dumps([WAVE, 2.5, ids, "running"]).encode()}
        await self._restore(rows)
        assert sorted(rows) == ["7", "7.1"]
        assert json.loads(rows["7.1"]) == ids[-1:]
        registry = await self._restore(rows)
        assert all(registry.has_begun(WAVE, machine_id) for machine_id in ids)
