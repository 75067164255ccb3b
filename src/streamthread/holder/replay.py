"""Reads the jobs that the previous holder persisted."""

import asyncio
import typing as t

import attrs
import logbook

from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..clocks import boot_s
from ..errors import BadInputError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.store import RowStore
from ..scheduler import decode_row
from ..scheduler import Job
from ..scheduler import restore_progress

__all__ = ["RETRY_S", "Replayed", "read_job", "read_jobs", "read_with_retry"]

log = logbook.Logger("streamthread.holder")

Read = t.TypeVar("Read")
"""Result type of a read of the store."""

RETRY_S = 0.1
"""Pause before a failed read of the store is retried."""


@attrs.frozen
class Replayed:
    """The jobs that were read, and how long the reads took.

    :param unreadable: why a job's rows can't be decoded, by job id.
    """

    jobs: tuple[Job, ...]
    unreadable: dict[str, BadInputError]
    took_s: float


async def read_jobs(store: RowStore, part: str) -> Replayed:
    """Read all jobs of a cell; no one else may write them during the read.

    A job whose rows can't be decoded does not affect the others.
    """
    began_at_s = boot_s()
    definitions = await store.read_all(TABLE_JOBS, part)
    progress = await store.read_all(TABLE_RUNS, part)
    values = {row.key: row.value for row in progress.rows}
    jobs: list[Job] = []
    unreadable: dict[str, BadInputError] = {}
    for row in definitions.rows:
        if row.value is None:
            continue
        try:
            jobs.append(_restore_job(row.key, row.value, values.get(row.key)))
        except BadInputError as error:
            unreadable[row.key] = error
    return Replayed(tuple(jobs), unreadable, boot_s() - began_at_s)


async def read_job(store: RowStore, part: str, job_id: str) -> Job | None:
    """Read one job, which the holder may write meanwhile; None if it has no row.

    The progress is read first: once a job is over, its definition says how it ended.

    :raises BadInputError: one of the job's rows can't be decoded.
    :raises StoreUnavailableError: the store can't be read.
    :raises OutcomeUnknownError: the store does not answer.
    """
    progress = await _read_value(store, TABLE_RUNS, part, job_id)
    definition = await _read_value(store, TABLE_JOBS, part, job_id)
    return None if definition is None else _restore_job(job_id, definition, progress)


async def _read_value(store: RowStore, table: str, part: str, key: str) -> bytes | None:
    page = await store.read(table, part, start=key, limit=1)
    return next((row.value for row in page.rows if row.key == key), None)


def _restore_job(job_id: str, definition: bytes, progress: bytes | None) -> Job:
    """Decode a job from its rows.

    :raises BadInputError: one of the job's rows can't be decoded.
    """
    job = decode_row(job_id, definition)
    job.durable = True
    if progress is not None and not job.over:
        restore_progress(job, progress)
    return job


async def read_with_retry(
    read: t.Callable[[], t.Awaitable[Read]], event: str, **details: str
) -> Read:
    """Retry a read until the store answers; log each failure as an event."""
    while True:
        try:
            return await read()
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning(event, extra={**details, "error": str(error)})
            await asyncio.sleep(RETRY_S)
