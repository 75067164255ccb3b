"""The platform's transactional table service, as this package sees it.

Every write states the version of the row it replaces, so no write is blind,
and every row remembers the token of the transaction that wrote it last, so a
lost reply can be settled by reading a row back.
"""

import enum
import typing as t
import uuid
from abc import ABC
from abc import abstractmethod

import attrs

__all__ = [
    "ABSENT",
    "MAX_ROWS_PER_SCAN",
    "MAX_ROWS_PER_TRANSACTION",
    "CommitOutcome",
    "CommitResult",
    "Fence",
    "JsonObject",
    "Row",
    "Tables",
    "Transaction",
    "Write",
    "new_token",
]

JsonObject = dict[str, t.Any]

ABSENT = 0
"""The version of a row that does not exist."""

MAX_ROWS_PER_TRANSACTION = 100
MAX_ROWS_PER_SCAN = 500


def new_token() -> str:
    """Return a fresh transaction token."""
    return uuid.uuid4().hex


@attrs.frozen
class Row:
    """One stored row. Versions start at 1 and grow with each write."""

    key: str
    value: JsonObject
    version: int
    token: str


@attrs.frozen
class Fence:
    """Requires that a row, which is not written, still has this version."""

    key: str
    version: int


@attrs.frozen
class Write:
    """Replaces a row (``value=None`` deletes it) if it has the given version."""

    key: str
    value: JsonObject | None
    expected_version: int


@attrs.frozen
class Transaction:
    """Writes that take effect together or not at all."""

    writes: tuple[Write, ...]
    fences: tuple[Fence, ...] = ()
    token: str = attrs.field(factory=new_token)


class CommitOutcome(enum.Enum):
    """What is known about a transaction after it was sent."""

    COMMITTED = "committed"
    CONFLICTED = "conflicted"
    UNKNOWN = "unknown"


@attrs.frozen
class CommitResult:
    """The outcome; ``conflicting_keys`` names the rows that had other versions."""

    outcome: CommitOutcome
    conflicting_keys: tuple[str, ...] = ()

    @property
    def committed(self) -> bool:
        """Whether the transaction certainly took effect."""
        return self.outcome is CommitOutcome.COMMITTED


class Tables(ABC):
    """The transactional table service.

    Reads raise :class:`~streamthread.errors.StoreUnavailableError`. A commit
    raises it only when the transaction certainly did not take effect.
    """

    @abstractmethod
    async def get(self, keys: t.Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``; costs one read."""

    @abstractmethod
    async def scan(
        self, prefix: str, after: str = "", limit: int = MAX_ROWS_PER_SCAN
    ) -> list[Row]:
        """Return one page of rows by key order; costs one read."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Send a transaction of at most 100 rows; costs one write."""

    async def scan_all(self, prefix: str) -> list[Row]:
        """Return all rows under a prefix, page by page."""
        rows: list[Row] = []
        after = ""
        while True:
            page = await self.scan(prefix, after)
            rows.extend(page)
            if len(page) < MAX_ROWS_PER_SCAN:
                return rows
            after = page[-1].key
