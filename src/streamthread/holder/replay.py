"""Reads the jobs that the previous holder persisted."""

import asyncio
import typing as t

import attrs
import logbook

from ..cell import TABLE_BODIES
from ..cell import TABLE_CHUNKS
from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..clocks import boot_s
from ..errors import BadInputError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.store import Page
from ..platform.store import RowStore
from ..scheduler import body_key
from ..scheduler import Chunk
from ..scheduler import decode_row
from ..scheduler import Job
from ..scheduler import parse_body_key
from ..scheduler import restore_progress
from ..scheduler.codec import has_divided_body
from .job_rows import job_id_of_row

__all__ = ["RETRY_S", "Replayed", "read_job", "read_jobs", "read_with_retry"]

log = logbook.Logger("streamthread.holder")

Read = t.TypeVar("Read")
"""Result type of a read of the store."""

RETRY_S = 0.1
"""Pause before a failed read of the store is retried."""

MAX_BODY_ROWS = 100
"""Maximum number of rows read of one body; the largest body takes 16 of 64 KB."""

NO_PROGRESS = b"{}"
"""Stands for the first row of a job of which only chunks have been written."""


@attrs.frozen
class Replayed:
    """The jobs that were read, and how long the reads took.

    :param chunks: the chunks of each job that have a row, by job id.
    :param unreadable: why a job's rows can't be decoded, by job id.
    :param unused: the tables and keys of rows that belong to no job.
    """

    jobs: tuple[Job, ...]
    chunks: dict[str, dict[Chunk, bytes]]
    unreadable: dict[str, BadInputError]
    unused: tuple[tuple[str, str], ...]
    took_s: float


async def read_jobs(store: RowStore, part: str) -> Replayed:
    """Read all jobs of a cell; no one else may write them during the read.

    A job whose rows can't be decoded does not affect the others.
    """
    began_at_s = boot_s()
    tables = (TABLE_JOBS, TABLE_RUNS, TABLE_CHUNKS, TABLE_BODIES)
    pages = await asyncio.gather(*(store.read_all(table, part) for table in tables))
    definitions, progress, chunk_rows, body_rows = (_values(page) for page in pages)
    chunks = _chunks_by_job(chunk_rows)
    bodies = _bodies_by_job(body_rows)
    jobs: list[Job] = []
    unreadable: dict[str, BadInputError] = {}
    for job_id, value in definitions.items():
        parts = (progress.get(job_id), chunks.get(job_id, {}), bodies.get(job_id, ()))
        try:
            jobs.append(_restore_job(job_id, value, *parts))
        except BadInputError as error:
            unreadable[job_id] = error
    unused = tuple(
        (table, key)
        for table, rows in ((TABLE_CHUNKS, chunk_rows), (TABLE_BODIES, body_rows))
        for key in rows
        if job_id_of_row(table, key) not in definitions
    )
    return Replayed(tuple(jobs), chunks, unreadable, unused, boot_s() - began_at_s)


def _values(page: Page) -> dict[str, bytes]:
    return {row.key: row.value for row in page.rows if row.value is not None}


def _chunks_by_job(rows: t.Mapping[str, bytes]) -> dict[str, dict[Chunk, bytes]]:
    """Return the chunks by job id; a key that names no chunk belongs to no job."""
    found: dict[str, dict[Chunk, bytes]] = {}
    for key, value in rows.items():
        parsed = Chunk.parse_key(key)
        if parsed is not None:
            found.setdefault(parsed[0], {})[parsed[1]] = value
    return found


def _bodies_by_job(rows: t.Mapping[str, bytes]) -> dict[str, list[bytes]]:
    """Return the rows of each job's body in their order, by job id."""
    found: dict[str, list[bytes]] = {}
    for key in sorted(rows):
        found.setdefault(parse_body_key(key), []).append(rows[key])
    return found


async def read_job(store: RowStore, part: str, job_id: str) -> Job | None:
    """Read one job, which the holder may write meanwhile; None if it has no row.

    The progress is read first: once a job is over, its definition says how it ended.
    The tasks of a large job are not read.

    :raises BadInputError: one of the job's rows can't be decoded.
    :raises StoreUnavailableError: the store can't be read.
    :raises OutcomeUnknownError: the store does not answer.
    """
    progress = await _read_value(store, TABLE_RUNS, part, job_id)
    definition = await _read_value(store, TABLE_JOBS, part, job_id)
    if definition is None:
        return None
    body: list[bytes] = []
    if has_divided_body(definition):
        start = body_key(job_id, 0)
        page = await store.read(TABLE_BODIES, part, start=start, limit=MAX_BODY_ROWS)
        rows = _bodies_by_job(_values(page))
        body = rows.get(job_id, [])
    return _restore_job(job_id, definition, progress, {}, body)


async def _read_value(store: RowStore, table: str, part: str, key: str) -> bytes | None:
    page = await store.read(table, part, start=key, limit=1)
    return next((row.value for row in page.rows if row.key == key), None)


def _restore_job(
    job_id: str,
    definition: bytes,
    progress: bytes | None,
    chunks: t.Mapping[Chunk, bytes],
    body_rows: t.Sequence[bytes],
) -> Job:
    """Decode a job from its rows.

    :raises BadInputError: one of the job's rows can't be decoded.
    """
    try:
        job = decode_row(job_id, definition, body_rows)
        job.durable = True
        if not job.over and (progress is not None or chunks):
            restore_progress(job, progress or NO_PROGRESS, chunks)
        return job
    except BadInputError:
        raise
    except Exception as error:
        # Whatever a row contains, it must not keep the other jobs from being read.
        log.exception("job-not-restored", extra={"job": job_id})
        raise BadInputError(
            f"the job can't be restored: {error!r}",
            remedy="its rows are kept for a daemon that can",
            location=job_id,
        ) from error


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
