"""Reads back what the holder before has recorded."""

import asyncio
import time
import typing as t

import attrs
import logbook

from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.store import RowStore
from ..scheduler import decode_row
from ..scheduler import Job
from ..scheduler import restore_progress

__all__ = ["RETRY_S", "Replayed", "read_jobs", "until_read"]

log = logbook.Logger("streamthread.holder")

Read = t.TypeVar("Read")
"""What one reading of the store returns."""

RETRY_S = 0.1
"""Pause after the store did not answer."""


@attrs.frozen
class Replayed:
    """What was read back, and how long that took."""

    jobs: tuple[Job, ...]
    took_s: float


async def read_jobs(store: RowStore, part: str) -> Replayed:
    """Read all jobs of a cell; nothing else may write them meanwhile."""
    began_at_s = time.monotonic()
    definitions = await store.read_all(TABLE_JOBS, part)
    progress = await store.read_all(TABLE_RUNS, part)
    values = {row.key: row.value for row in progress.rows}
    jobs: list[Job] = []
    for row in definitions.rows:
        if row.value is None:
            continue
        job = decode_row(row.key, row.value)
        job.durable = True
        value = values.get(row.key)
        if value is not None and not job.over:
            restore_progress(job, value)
        jobs.append(job)
    return Replayed(tuple(jobs), time.monotonic() - began_at_s)


async def until_read(
    read: t.Callable[[], t.Awaitable[Read]], event: str, **details: str
) -> Read:
    """Read until the store answers; log each failure as an event."""
    while True:
        try:
            return await read()
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning(event, extra={**details, "error": str(error)})
            await asyncio.sleep(RETRY_S)
