"""The accepted generations in the platform's table service and object store."""

import json
import typing as t

import attrs
import cattrs

from ..errors import StoreUnavailableError
from ..leases import Committer
from ..providers import ABSENT
from ..providers import CommitResult
from ..providers import Platform
from ..providers import Row
from ..providers import Transaction
from ..providers import Write
from .active import ActiveConfiguration
from .active import Generation
from .active import Snapshot
from .items import Change

__all__ = ["SNAPSHOT_EVERY", "ConfigurationStore", "Head"]

HEAD_KEY = "configuration/head"
GENERATION_PREFIX = "configuration/generation/"
SNAPSHOT_PREFIX = "configuration/snapshot/"
SNAPSHOT_EVERY = 100
"""A snapshot is written at each generation that this divides."""


@attrs.frozen
class Head:
    """The highest accepted generation, and the version of its row."""

    generation: int
    digest: str
    version: int


@attrs.frozen
class CaughtUp:
    """What was adopted from the store: a snapshot first, or only steps."""

    steps: tuple[Generation, ...]
    by_snapshot: bool


def _generation_key(number: int) -> str:
    return f"{GENERATION_PREFIX}{number:012d}"


def _structure(row: Row) -> Generation:
    changes = tuple(
        Change(change["key"], change["value"]) for change in row.value["changes"]
    )
    return Generation(row.value["number"], row.value["digest"], changes)


class ConfigurationStore:
    """Appends generations, conditional on the head, and reads them back."""

    def __init__(self, platform: Platform, committer: Committer) -> None:
        self._platform = platform
        self._committer = committer

    async def head(self) -> Head:
        """Read the head."""
        rows = await self._platform.tables.get([HEAD_KEY])
        row = rows.get(HEAD_KEY)
        if row is None:
            return Head(0, "", ABSENT)
        return Head(row.value["generation"], row.value["digest"], row.version)

    async def append(self, head: Head, step: Generation) -> CommitResult:
        """Make a generation the head, if the head is still the given one."""
        value = {"generation": step.number, "digest": step.digest}
        transaction = Transaction(
            (
                Write(HEAD_KEY, value, head.version),
                Write(_generation_key(step.number), cattrs.unstructure(step), ABSENT),
            )
        )
        return await self._committer.commit(transaction)

    async def catch_up(self, active: ActiveConfiguration, head: Head) -> CaughtUp:
        """Bring the active configuration up to the head; return what it adopted.

        Peers may bring it further while the store is read.
        """
        adopted: list[Generation] = []
        by_snapshot = False
        if head.generation - active.generation > SNAPSHOT_EVERY:
            by_snapshot = await self._adopt_latest_snapshot(active)
        after = _generation_key(active.generation)
        for row in await self._rows_after(after):
            step = _structure(row)
            if step.number <= head.generation and active.adopt(step):
                adopted.append(step)
        if active.generation < head.generation:
            raise StoreUnavailableError(
                f"generations after {active.generation} could not be read",
                remedy="it is tried again with the next poll",
                location=GENERATION_PREFIX,
            )
        return CaughtUp(tuple(adopted), by_snapshot)

    async def _rows_after(self, after: str) -> list[Row]:
        rows: list[Row] = []
        while page := await self._platform.tables.scan(GENERATION_PREFIX, after):
            rows.extend(page)
            after = page[-1].key
        return rows

    async def _adopt_latest_snapshot(self, active: ActiveConfiguration) -> bool:
        keys = await self._platform.objects.list_keys(SNAPSHOT_PREFIX)
        body = await self._platform.objects.get(keys[-1]) if keys else None
        if body is None:
            return False
        return active.adopt_snapshot(cattrs.structure(json.loads(body), Snapshot))

    async def write_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot, then drop the generations long before it."""
        key = f"{SNAPSHOT_PREFIX}{snapshot.generation:012d}"
        body = json.dumps(cattrs.unstructure(snapshot)).encode()
        await self._platform.objects.put(key, body)
        await self._drop_before(snapshot.generation - SNAPSHOT_EVERY)

    async def _drop_before(self, generation: int) -> None:
        first = max(generation - SNAPSHOT_EVERY, 1)
        keys = [_generation_key(number) for number in range(first, generation)]
        rows: t.Mapping[str, Row] = await self._platform.tables.get(keys)
        writes = tuple(Write(row.key, None, row.version) for row in rows.values())
        if writes:
            await self._platform.tables.commit(Transaction(writes))
