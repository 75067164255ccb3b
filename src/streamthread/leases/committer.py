"""Sends transactions, and settles the ones whose answer was lost."""

import asyncio
import random
import typing as t

import attrs

from ..clocks import boot_s
from ..errors import StoreUnavailableError
from ..providers import CommitOutcome
from ..providers import CommitResult
from ..providers import Row
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write

__all__ = ["Backoff", "Committer"]


@attrs.define
class Backoff:
    """Waits with full jitter, doubling up to a limit."""

    base_s: float = 0.05
    limit_s: float = 5.0
    jitter: random.Random = attrs.field(factory=random.Random)
    _attempt: int = 0

    def next_s(self) -> float:
        """Return how long to wait before the next try."""
        ceiling_s = min(self.limit_s, self.base_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, 30)
        return self.jitter.uniform(ceiling_s / 2, ceiling_s)


class Committer:
    """The one place that decides what became of a transaction.

    A transaction whose answer was lost is read back by its token. As long as
    its rows still have the expected versions it may be on its way, so it is
    sent again: its conditions let it take effect at most once.

    :param give_up_s: after this it stays UNKNOWN.
    :param clock_s: monotonic; replaced, like ``sleep``, in tests.
    """

    def __init__(
        self,
        tables: Tables,
        give_up_s: float = 30.0,
        clock_s: t.Callable[[], float] = boot_s,
        sleep: t.Callable[[float], t.Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._tables = tables
        self._give_up_s = give_up_s
        self._clock_s = clock_s
        self._sleep = sleep

    async def commit(
        self, transaction: Transaction, give_up_s: float | None = None
    ) -> CommitResult:
        """Send a transaction and return what became of it.

        :raises StoreUnavailableError: it certainly did not take effect.
        """
        result = await self._tables.commit(transaction)
        if result.outcome is not CommitOutcome.UNKNOWN:
            return result
        limit_s = self._give_up_s if give_up_s is None else give_up_s
        return await self._settle(transaction, self._clock_s() + limit_s)

    async def _settle(
        self, transaction: Transaction, give_up_at_s: float
    ) -> CommitResult:
        backoff = Backoff()
        while self._clock_s() < give_up_at_s:
            try:
                result = await self._look(transaction)
            except StoreUnavailableError:
                result = None
            if result is not None:
                return result
            await self._sleep(backoff.next_s())
        return CommitResult(CommitOutcome.UNKNOWN)

    async def _look(self, transaction: Transaction) -> CommitResult | None:
        """Read back, send again; None while it is still not known."""
        if await self._is_applied(transaction):
            return CommitResult(CommitOutcome.COMMITTED)
        result = await self._tables.commit(transaction)
        if result.outcome is CommitOutcome.COMMITTED:
            return result
        if result.outcome is CommitOutcome.UNKNOWN:
            return None
        if await self._is_applied(transaction):
            return CommitResult(CommitOutcome.COMMITTED)
        if await self._may_be_overwritten(transaction):
            return CommitResult(CommitOutcome.UNKNOWN, result.conflicting_keys)
        return result

    async def _is_applied(self, transaction: Transaction) -> bool:
        write = _witness(transaction)
        row = await self._read(write.key)
        return row is not None and row.token == transaction.token

    async def _may_be_overwritten(self, transaction: Transaction) -> bool:
        write = _witness(transaction)
        row = await self._read(write.key)
        return row is not None and row.version > write.expected_version

    async def _read(self, key: str) -> Row | None:
        rows = await self._tables.get([key])
        return rows.get(key)


def _witness(transaction: Transaction) -> Write:
    """Return the write whose row shows whether the transaction took effect."""
    kept = [write for write in transaction.writes if write.value is not None]
    return (kept or list(transaction.writes))[0]
