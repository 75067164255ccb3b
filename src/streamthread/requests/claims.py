"""At most once: a key is claimed in the table before any byte is sent.

Claims of concurrent requests, and the outcomes of earlier ones, share
transactions, so that a burst costs few writes.
"""

import asyncio
import collections
import enum
import hashlib
import typing as t

import attrs
import cattrs
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

OUTCOMES_KEPT = 20_000
REFUSED_PAUSE_S = 0.5
"""How long one of the parallel commits rests after the store refused."""


class ClaimState(enum.Enum):
    """What is known of the request that holds a key."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class Claim:
    """The row of one key.

    :param digest: of method, path and body: a key stands for one request.
    :param body_hex: the answer, where it is small enough to be kept.
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
    """Whose a key is.

    :param existing: the claim of the first request; None when it is ours.
    :param version: of the row; the outcome replaces this version.
    """

    existing: Claim | None
    version: int


@attrs.frozen
class ClaimSettings:
    """Limits of the claims.

    :param writes_per_s: what all daemons together may spend on claims.
    :param give_up_s: how long a lost answer is looked for.
    """

    writes_per_s: float = 200.0
    parallel_commits: int = 4
    give_up_s: float = 5.0


@attrs.define
class _Waiting:
    key: str
    claim: Claim
    version: int
    done: asyncio.Future[ClaimResult] | None


def claim_key(service: str, team: str, idempotency_key: str) -> str:
    """Return the row key of a caller's key."""
    text = f"{service}\0{team}\0{idempotency_key}"
    return f"claim/{hashlib.sha256(text.encode()).hexdigest()[:40]}"


class ClaimService(Service):
    """Commits claims and outcomes in groups, at a bounded rate.

    :param daemon_count: how many daemons share the writes.
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
        self._claims: collections.deque[_Waiting] = collections.deque()
        self._outcomes: collections.deque[_Waiting] = collections.deque()
        self._wake = asyncio.Event()
        self._slots = asyncio.Semaphore(settings.parallel_commits)
        self._next_commit_s = 0.0

    async def claim(self, key: str, claim: Claim) -> ClaimResult:
        """Claim a key, or learn who has it.

        A claim that is cancelled while it waits is marked not-run later.

        :raises StoreUnavailableError: the key was not claimed.
        """
        done: asyncio.Future[ClaimResult] = asyncio.get_running_loop().create_future()
        self._claims.append(_Waiting(key, claim, ABSENT, done))
        self._wake.set()
        return await done

    def conclude(self, key: str, claim: Claim, version: int) -> None:
        """Write the outcome of a claim with one of the next commits.

        :param version: of the row that it replaces.
        """
        if len(self._outcomes) >= OUTCOMES_KEPT:
            self._outcomes.popleft()
            self.outcomes_dropped += 1
        self._outcomes.append(_Waiting(key, claim, version, None))
        self._wake.set()

    @property
    def pending_outcomes(self) -> int:
        """How many outcomes are still to be written."""
        return len(self._outcomes)

    @Service.task
    async def _commit_groups(self) -> None:
        while not self.should_stop:
            await self._wake.wait()
            await self._keep_pace()
            await self._slots.acquire()
            group = self._next_group()
            if group:
                self.add_future(self._commit_and_free(group))
            else:
                self._slots.release()
                self._wake.clear()

    async def _keep_pace(self) -> None:
        """Space the commits so that all daemons stay inside the writes."""
        now_s = boot_s()
        wait_s = self._next_commit_s - now_s
        gap_s = self._daemon_count() / self._settings.writes_per_s
        self._next_commit_s = max(now_s, self._next_commit_s) + gap_s
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    def _next_group(self) -> list[_Waiting]:
        group: list[_Waiting] = []
        keys: set[str] = set()
        for queue in (self._claims, self._outcomes):
            while queue and len(group) < MAX_ROWS_PER_TRANSACTION:
                if queue[0].key in keys:
                    break
                waiting = queue.popleft()
                if waiting.done is not None and waiting.done.done():
                    continue
                keys.add(waiting.key)
                group.append(waiting)
        return group

    async def _commit_and_free(self, group: list[_Waiting]) -> None:
        try:
            await self._commit(group)
        finally:
            self._slots.release()
            if self._claims or self._outcomes:
                self._wake.set()

    async def _commit(self, group: list[_Waiting]) -> None:
        while group:
            self.commits += 1
            transaction = Transaction(tuple(_write(waiting) for waiting in group))
            try:
                result = await self._committer.commit(
                    transaction, self._settings.give_up_s
                )
            except StreamthreadError as error:
                await self._refuse(group, error)
                return
            if result.outcome is CommitOutcome.COMMITTED:
                self._succeed(group)
                return
            if result.outcome is CommitOutcome.UNKNOWN:
                await self._refuse(group, _lost_answer())
                self._withdraw_all(group)
                return
            group = await self._without_conflicts(group, result.conflicting_keys)

    def _succeed(self, group: list[_Waiting]) -> None:
        for waiting in group:
            if waiting.done is None:
                continue
            if waiting.done.done():
                self._withdraw(waiting)
            else:
                waiting.done.set_result(ClaimResult(None, waiting.version + 1))

    def _withdraw_all(self, group: list[_Waiting]) -> None:
        for waiting in group:
            if waiting.done is not None:
                self._withdraw(waiting)

    def _withdraw(self, waiting: _Waiting) -> None:
        """Mark a key not-run whose request has stopped waiting for it."""
        claim = attrs.evolve(waiting.claim, state=ClaimState.NOT_RUN)
        self.conclude(waiting.key, claim, waiting.version + 1)

    async def _refuse(self, group: list[_Waiting], error: StreamthreadError) -> None:
        for waiting in group:
            if waiting.done is None:
                self.conclude(waiting.key, waiting.claim, waiting.version)
            elif not waiting.done.done():
                waiting.done.set_exception(error)
        await asyncio.sleep(REFUSED_PAUSE_S)

    async def _without_conflicts(
        self, group: list[_Waiting], keys: t.Collection[str]
    ) -> list[_Waiting]:
        """Answer those whose keys are taken; return the others."""
        try:
            rows = await self._tables.get(list(keys))
        except StoreUnavailableError as error:
            await self._refuse(group, error)
            return []
        kept: list[_Waiting] = []
        for waiting in group:
            if waiting.key not in keys:
                kept.append(waiting)
            elif waiting.done is not None and not waiting.done.done():
                again = _answer_taken(waiting, rows.get(waiting.key))
                kept.extend(again)
        return kept


def _answer_taken(waiting: _Waiting, row: Row | None) -> list[_Waiting]:
    """Answer with the claim there is; one that was not run may be taken over."""
    if row is None:
        return [waiting]
    claim = cattrs.structure(row.value, Claim)
    if claim.state is ClaimState.NOT_RUN and claim.digest == waiting.claim.digest:
        waiting.version = row.version
        return [waiting]
    assert waiting.done is not None
    waiting.done.set_result(ClaimResult(claim, row.version))
    return []


def _write(waiting: _Waiting) -> Write:
    return Write(waiting.key, cattrs.unstructure(waiting.claim), waiting.version)


def _lost_answer() -> StoreUnavailableError:
    return StoreUnavailableError(
        "the store's answer about the key was lost",
        remedy="the request was not run; send it again with the same key",
    )
