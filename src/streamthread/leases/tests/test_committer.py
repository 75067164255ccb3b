"""Transactions whose requests or replies are lost, delayed or refused."""

import asyncio
import typing as t

import hypothesis
import hypothesis.strategies as st

from streamthread.errors import StoreUnavailableError
from streamthread.leases import Committer
from streamthread.providers import CommitOutcome
from streamthread.providers import CommitResult
from streamthread.providers import MemoryTables
from streamthread.providers import Row
from streamthread.providers import Tables
from streamthread.providers import Transaction
from streamthread.providers import Write

FAULTS = ("none", "reply-lost", "request-lost", "refused", "late")


class ScriptedTables(Tables):
    """Injects one fault per commit, in the order of a script."""

    def __init__(self, script: t.Sequence[str]) -> None:
        self.inner = MemoryTables()
        self.late: list[Transaction] = []
        self._script = list(script)

    async def get(self, keys: t.Sequence[str]) -> dict[str, Row]:
        return await self.inner.get(keys)

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        return await self.inner.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> CommitResult:
        fault = self._script.pop(0) if self._script else "none"
        if fault == "refused":
            raise StoreUnavailableError("refused", remedy="wait")
        if fault == "late":
            self.late.append(transaction)
        if fault in ("late", "request-lost"):
            return CommitResult(CommitOutcome.UNKNOWN)
        result = await self.inner.commit(transaction)
        if fault == "reply-lost":
            return CommitResult(CommitOutcome.UNKNOWN)
        return result

    async def deliver_late(self) -> None:
        for transaction in self.late:
            await self.inner.commit(transaction)


class _Time:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s

    async def sleep(self, pause_s: float) -> None:
        self.now_s += pause_s


async def _commit(tables: Tables, transaction: Transaction) -> CommitOutcome | None:
    time = _Time()
    committer = Committer(tables, 5.0, time, time.sleep)
    try:
        return (await committer.commit(transaction)).outcome
    except StoreUnavailableError:
        return None


class TestCommitter:
    @hypothesis.given(st.lists(st.sampled_from(FAULTS), max_size=4), st.booleans())
    def test_outcome_is_what_happened(self, script: list[str], taken: bool) -> None:
        """The row matches the reported outcome, even after delayed deliveries."""

        async def scenario() -> None:
            tables = ScriptedTables(script)
            if taken:
                other = Transaction((Write("row", {"by": "other"}, 0),))
                await tables.inner.commit(other)
            mine = Transaction((Write("row", {"by": "me"}, 0),))
            outcome = await _commit(tables, mine)
            await tables.deliver_late()
            row = (await tables.inner.get(["row"])).get("row")
            if outcome is CommitOutcome.COMMITTED:
                assert row is not None and row.value == {"by": "me"}
            if outcome is CommitOutcome.CONFLICTED:
                assert row is not None and row.value == {"by": "other"}
            if outcome is None:
                assert row is None or row.value == {"by": "other"}
            assert row is None or row.version == 1
            if not taken:
                assert outcome is not CommitOutcome.UNKNOWN

        asyncio.run(scenario())

    async def test_overwritten_row_leaves_the_outcome_unknown(self) -> None:
        tables = ScriptedTables(["reply-lost"])
        mine = Transaction((Write("row", {"by": "me"}, 0),))

        class Overwriting(_Time):
            async def sleep(self, pause_s: float) -> None:
                await super().sleep(pause_s)

        original = tables.get

        async def overwrite_then_get(keys: t.Sequence[str]) -> dict[str, Row]:
            row = (await original(["row"])).get("row")
            if row is not None and row.token == mine.token:
                other = Transaction((Write("row", {"by": "other"}, 1),))
                await tables.inner.commit(other)
            return await original(keys)

        tables.get = overwrite_then_get  # type: ignore[method-assign]
        assert await _commit(tables, mine) is CommitOutcome.UNKNOWN
