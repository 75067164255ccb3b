"""Claims idempotency keys in the store, for at-most-once requests.

A key is claimed before any byte of its request is sent to an upstream. Claims of
concurrent requests and outcomes of earlier ones share transactions, so that a burst
of requests needs few writes.
"""

import asyncio
import collections
import enum
import hashlib
import typing as t

import attrs
import cattrs
import logbook
from mode import Service

from ..clocks import boot_s
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..leases import Committer
from ..providers import ABSENT
from ..providers import CommitOutcome
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Row
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write

__all__ = [
    "Claim",
    "ClaimResult",
    "ClaimService",
    "ClaimSettings",
    "ClaimState",
    "claim_key",
]

log = logbook.Logger("streamthread.requests")

MAX_PENDING_OUTCOMES = 20_000
"""When more outcomes wait to be written, the oldest is dropped."""

FAILED_COMMIT_PAUSE_S = 0.5
"""After a commit fails, its place among the parallel commits stays taken this long."""


class ClaimState(enum.Enum):
    """What is known about the request that claimed a key."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """The stored row of one key.

    :param digest: digest of method, path and body. It shows whether a key is repeated
        for the same request; a key must not be used for a different one.
    :param body_hex: the body of the answer, if it is small enough to be stored.
    """

    digest: str
    daemon_id: str
    claimed_at_s: float
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    content_type: str = ""
    body_hex: str | None = None


@attrs.frozen
class ClaimResult:
    """The result of an attempt to claim a key.

    :param existing: the claim of an earlier request; None if this claim succeeded.
    :param version: version of the row, which the outcome replaces.
    """

    existing: Claim | None
    version: int


@attrs.frozen
class ClaimSettings:
    """Limits of the claim service.

    :param writes_per_s: limit of commits per second for claims, over all daemons.
    :param parallel_commits: how many commits of one daemon may run at once.
    :param give_up_s: how long a commit whose reply was lost is read back and sent
        again before its result counts as unknown.
    """

    writes_per_s: float = 200.0
    parallel_commits: int = 4
    give_up_s: float = 5.0


@attrs.define
class _PendingWrite:
    key: str
    claim: Claim
    version: int
    done: asyncio.Future[ClaimResult] | None


def claim_key(service: str, team: str, idempotency_key: str) -> str:
    """Return the row key for an idempotency key of a team and service."""
    text = f"{service}\0{team}\0{idempotency_key}"
    return f"claim/{hashlib.sha256(text.encode()).hexdigest()[:40]}"


class ClaimService(Service):
    """Commits claims and outcomes in batches, at a limited rate.

    :param daemon_count: returns how many daemons share the write limit.
    """

    def __init__(
        self,
        tables: Tables,
        committer: Committer,
        settings: ClaimSettings,
        daemon_count: t.Callable[[], int],
    ) -> None:
        super().__init__()
        self.commits = 0
        self.outcomes_dropped = 0
        self._tables = tables
        self._committer = committer
        self._settings = settings
        self._daemon_count = daemon_count
        self._claims: collections.deque[_PendingWrite] = collections.deque()
        self._outcomes: collections.deque[_PendingWrite] = collections.deque()
        self._wake = asyncio.Event()
        self._commit_slots = asyncio.Semaphore(settings.parallel_commits)
        self._next_commit_s = 0.0

    async def claim(self, key: str, claim: Claim) -> ClaimResult:
        """Claim a key, or return the claim that already exists.

        If the caller is cancelled while it waits and the claim is committed, the
        row is then marked not-run.

        :raises StoreUnavailableError: the key was not claimed, or it is unknown
            whether it was; if it was, the row is then marked not-run.
        """
        done: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self._claims.append(_PendingWrite(key, claim, ABSENT, done))
        self._wake.set()
        return await done

    def record_outcome(self, key: str, claim: Claim, version: int) -> None:
        """Queue the outcome of a claim, to be written with one of the next commits.

        :param version: version of the row that the outcome replaces.
        """
        if len(self._outcomes) >= MAX_PENDING_OUTCOMES:
            self._outcomes.popleft()
            self.outcomes_dropped += 1
        self._outcomes.append(_PendingWrite(key, claim, version, None))
        self._wake.set()

    @property
    def pending_outcomes(self) -> int:
        """How many outcomes have not been written yet."""
        return len(self._outcomes)

    @Service.task
    async def _commit_batches(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            await self._limit_commit_rate()
            await self._commit_slots.acquire()
            batch = self._next_batch()
            if batch:
                self.add_future(self._commit_and_release(batch))
            else:
                self._commit_slots.release()
                self._wake.clear()

    async def _limit_commit_rate(self) -> None:
        """Wait so that all daemons together stay within ``writes_per_s``."""
        now_s = boot_s()
        wait_s = self._next_commit_s - now_s
        interval_s = self._daemon_count() / self._settings.writes_per_s
        self._next_commit_s = max(now_s, self._next_commit_s) + interval_s
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def _next_batch(self) -> list[_PendingWrite]:
        """Take the writes of the next transaction, each key at most once.

        Claims come first. Claims for which no request waits any more are dropped.
        """
        batch: list[_PendingWrite] = []
        keys: set[str] = set()
        for queue in (self._claims, self._outcomes):
            while queue and len(batch) < MAX_ROWS_PER_TRANSACTION:
                if queue[0].key in keys:
                    break
                pending = queue.popleft()
                if pending.done is not None and pending.done.done():
                    continue
                keys.add(pending.key)
                batch.append(pending)
        return batch

    async def _commit_and_release(self, batch: list[_PendingWrite]) -> None:
        try:
            await self._commit(batch)
        finally:
            self._commit_slots.release()
            if self._claims or self._outcomes:
                self._wake.set()

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        while batch:
            self.commits += 1
            transaction = Transaction(tuple(_write(pending) for pending in batch))
            try:
                result = await self._committer.commit(
                    transaction, self._settings.give_up_s
                )
            except StreamthreadError as error:
                await self._fail_batch(batch, error)
                return
            if result.outcome is CommitOutcome.COMMITTED:
                self._resolve_committed(batch)
                return
            if result.outcome is CommitOutcome.UNKNOWN:
                await self._fail_batch(batch, _reply_lost_error())
                await self._mark_own_not_run(batch, transaction.token)
                return
            batch = await self._resolve_conflicts(batch, result.conflicting_keys)

    def _resolve_committed(self, batch: list[_PendingWrite]) -> None:
        for pending in batch:
            if pending.done is None:
                continue
            if pending.done.done():
                self._mark_not_run(pending)
            else:
                pending.done.set_result(ClaimResult(None, pending.version + 1))

    async def _mark_own_not_run(self, batch: list[_PendingWrite], token: str) -> None:
        """Record not-run for the claims of a transaction with an unknown outcome.

        If the transaction has had no effect, another daemon may have claimed a key. Its
        row may have the version that ours would have, and differs by the token alone.
        """
        claims = [pending for pending in batch if pending.done is not None]
        rows = await self._read_when_available([pending.key for pending in claims])
        for pending in claims:
            row = rows.get(pending.key)
            if row is not None and row.token == token:
                self._mark_not_run(pending)

    async def _read_when_available(self, keys: list[str]) -> dict[str, Row]:
        """Read rows; wait for the store if it is unavailable, unless this stops."""
        while not self.should_stop:
            try:
                return await self._tables.get(keys)
            except StoreUnavailableError as error:
                log.info("claims-unread", extra={"error": str(error)})
                await asyncio.sleep(FAILED_COMMIT_PAUSE_S)
        return {}

    def _mark_not_run(self, pending: _PendingWrite) -> None:
        """Record not-run for a claim whose request no longer waits for it."""
        claim = attrs.evolve(pending.claim, state=ClaimState.NOT_RUN)
        self.record_outcome(pending.key, claim, pending.version + 1)

    async def _fail_batch(
        self, batch: list[_PendingWrite], error: StreamthreadError
    ) -> None:
        for pending in batch:
            if pending.done is None:
                self.record_outcome(pending.key, pending.claim, pending.version)
            elif not pending.done.done():
                pending.done.set_exception(error)
        await asyncio.sleep(FAILED_COMMIT_PAUSE_S)

    async def _resolve_conflicts(
        self, batch: list[_PendingWrite], keys: t.Collection[str]
    ) -> list[_PendingWrite]:
        """Report the existing claims of taken keys; return the writes to retry."""
        try:
            rows = await self._tables.get(list(keys))
        except StoreUnavailableError as error:
            await self._fail_batch(batch, error)
            return []
        remaining: list[_PendingWrite] = []
        for pending in batch:
            if pending.key not in keys:
                remaining.append(pending)
            elif pending.done is not None and not pending.done.done():
                retryable = _resolve_taken_key(pending, rows.get(pending.key))
                remaining.extend(retryable)
        return remaining


def _resolve_taken_key(pending: _PendingWrite, row: Row | None) -> list[_PendingWrite]:
    """Report the existing claim, or return the write to retry.

    A claim whose request was not run may be replaced by the same request.
    """
    if row is None:
        return [pending]
    claim = cattrs.structure(row.value, Claim)
    if claim.state is ClaimState.NOT_RUN and claim.digest == pending.claim.digest:
        pending.version = row.version
        return [pending]
    assert pending.done is not None
    pending.done.set_result(ClaimResult(claim, row.version))
    return []


def _write(pending: _PendingWrite) -> Write:
    return Write(pending.key, cattrs.unstructure(pending.claim), pending.version)


def _reply_lost_error() -> StoreUnavailableError:
    return StoreUnavailableError(
        "the store's reply to the claim of the key was lost",
        remedy="the request was not run; send it again with the same key",
    )
