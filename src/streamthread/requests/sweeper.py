"""Deletes claims past the retention period, after which no key may be repeated."""

import time
import typing as t

import attrs
from mode import Service

from ..errors import StoreUnavailableError
from ..leases import LeaseService
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Row
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write

__all__ = ["ClaimSweeper", "SweepSettings"]

PARTITION_COUNT = 16
"""Claims are swept in partitions, one per first hexadecimal digit of the key hash."""


@attrs.frozen
class SweepSettings:
    """Retention of claims and rate of sweeping.

    :param kept_s: how long a claim is retained; callers must not repeat a key later.
    :param page_every_s: interval at which one page of 500 rows is read.
    """

    kept_s: float = 86_400.0
    page_every_s: float = 5.0


class ClaimSweeper(Service):
    """Sweeps in turn the claim partitions whose shards this daemon holds.

    :param wall_s: the wall clock; the retention period is long compared to the
        differences between clocks.
    """

    def __init__(
        self,
        tables: Tables,
        leases: LeaseService,
        settings: SweepSettings,
        wall_s: t.Callable[[], float] = time.time,
    ) -> None:
        super().__init__()
        self.deleted = 0
        self._tables = tables
        self._leases = leases
        self._settings = settings
        self._wall_s = wall_s
        self._partition = 0
        self._cursor = ""

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.page_every_s)
            try:
                await self.sweep_page()
            except StoreUnavailableError as error:
                self.log.info("could not sweep old claims: %s", error)

    async def sweep_page(self) -> None:
        """Read one page of the current partition and delete its expired claims."""
        prefix = f"claim/{self._partition:x}"
        if not self._leases.holds(prefix):
            self._next_partition()
            return
        page = await self._tables.scan(prefix, self._cursor)
        if not page:
            self._next_partition()
            return
        self._cursor = page[-1].key
        oldest_retained_s = self._wall_s() - self._settings.kept_s
        old = [row for row in page if row.value["claimed_at_s"] < oldest_retained_s]
        for start in range(0, len(old), MAX_ROWS_PER_TRANSACTION):
            await self._delete(old[start : start + MAX_ROWS_PER_TRANSACTION])

    async def _delete(self, rows: t.Sequence[Row]) -> None:
        writes = tuple(Write(row.key, None, row.version) for row in rows)
        result = await self._tables.commit(Transaction(writes))
        if result.committed:
            self.deleted += len(rows)

    def _next_partition(self) -> None:
        self._partition = (self._partition + 1) % PARTITION_COUNT
        self._cursor = ""
