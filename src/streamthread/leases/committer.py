"""Commits transactions and resolves the outcome when the reply was lost."""

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
    """Exponential backoff: the ceiling doubles up to a limit.

    Each delay is drawn at random from the upper half of the current ceiling.
    """

    base_s: float = 0.05
    limit_s: float = 5.0
    jitter: random.Random = attrs.field(factory=random.Random)
    _attempt: int = 0

    def next_s(self) -> float:
        """Return the delay before the next attempt."""
        ceiling_s = min(self.limit_s, self.base_s * 2**self._attempt)
        self._attempt = min(self._attempt + 1, 30)
        return self.jitter.uniform(ceiling_s / 2, ceiling_s)


class Committer:
    """Commits transactions; the only place that determines their outcome.

    If the reply to a transaction was lost, the committer reads one of its rows
    and compares the row's token. While the rows still have the expected
    versions, the request may still be in flight, so the committer sends it
    again. The version conditions ensure that it takes effect at most once.

    :param give_up_s: how long to resolve a lost reply before returning UNKNOWN.
    :param clock_s: a monotonic clock; tests replace it and ``sleep``.
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
        """Commit a transaction and return its outcome.

        :raises StoreUnavailableError: the transaction certainly did not take
            effect.
        """
        result = await self._tables.commit(transaction)
        if result.outcome is not CommitOutcome.UNKNOWN:
            return result
        limit_s = self._give_up_s if give_up_s is None else give_up_s
        return await self._resolve(transaction, self._clock_s() + limit_s)

    async def _resolve(
        self, transaction: Transaction, give_up_at_s: float
    ) -> CommitResult:
        backoff = Backoff()
        while self._clock_s() < give_up_at_s:
            try:
                result = await self._resolve_once(transaction)
            except StoreUnavailableError:
                result = None
            if result is not None:
                return result
            await self._sleep(backoff.next_s())
        return CommitResult(CommitOutcome.UNKNOWN)

    async def _resolve_once(self, transaction: Transaction) -> CommitResult | None:
        """Read the row, then resend; return None while the outcome is unknown."""
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
        write = _representative_write(transaction)
        row = await self._read(write.key)
        return row is not None and row.token == transaction.token

    async def _may_be_overwritten(self, transaction: Transaction) -> bool:
        """Return whether a later write may have replaced the transaction's token."""
        write = _representative_write(transaction)
        row = await self._read(write.key)
        return row is not None and row.version > write.expected_version

    async def _read(self, key: str) -> Row | None:
        rows = await self._tables.get([key])
        return rows.get(key)


def _representative_write(transaction: Transaction) -> Write:
    """Return the write whose row shows whether the transaction took effect.

    A deletion leaves no row whose token can be compared, so a write with a value
    is preferred.
    """
    upserts = [write for write in transaction.writes if write.value is not None]
    return (upserts or list(transaction.writes))[0]
