"""Reads back what the holder before has recorded."""

import time

import attrs
import logbook

from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..platform.store import RowStore
from ..scheduler import decode_row
from ..scheduler import Job
from ..scheduler import restore_progress

__all__ = ["Replayed", "read_jobs"]

log = logbook.Logger("streamthread.holder")


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
        if value is not None:
            restore_progress(job, value)
        jobs.append(job)
    return Replayed(tuple(jobs), time.monotonic() - began_at_s)
