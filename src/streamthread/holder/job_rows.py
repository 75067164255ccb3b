"""The rows in which the jobs of a cell are persisted."""

import asyncio
import functools
import typing as t

import logbook

from ..cell import CommitLog
from ..cell import TABLE_BODIES
from ..cell import TABLE_CHUNKS
from ..cell import TABLE_JOBS
from ..cell import TABLE_RUNS
from ..platform.store import DEFAULT_ROW_BYTES
from ..scheduler import body_key
from ..scheduler import Chunk
from ..scheduler import divide_body
from ..scheduler import encode_chunk
from ..scheduler import encode_definition
from ..scheduler import encode_progress
from ..scheduler import Job
from ..scheduler import parse_body_key

__all__ = ["JobRows", "job_id_of_row"]

log = logbook.Logger("streamthread.holder")


class JobRows:
    """Marks the rows of jobs for writing, and deletes those that are not needed.

    Rows are committed in the order in which they are marked, several at a time. What
    refers to other rows is therefore marked after them, and rows are deleted only once
    nothing durable refers to them.

    :param max_row_bytes: maximum size of a row's value.
    """

    def __init__(
        self, commits: CommitLog, max_row_bytes: int = DEFAULT_ROW_BYTES
    ) -> None:
        self._commits = commits
        self._max_row_bytes = max_row_bytes
        # The chunks that have a row, by job id.
        self._chunks: dict[str, set[Chunk]] = {}
        # Jobs with a body in rows of its own, by job id.
        self._divided: dict[str, Job] = {}

    def add(self, job: Job) -> None:
        """Persist a new job."""
        for number, part in enumerate(divide_body(job, self._max_row_bytes)):
            self._divided[job.job_id] = job
            key = body_key(job.job_id, number)
            self._commits.mark(TABLE_BODIES, key, functools.partial(bytes, part))
        self._record_submission(job)

    def restore(self, job: Job, chunks: t.Iterable[Chunk] = ()) -> None:
        """Take over the rows of a job that has been read.

        :param chunks: the chunks that have a row.
        """
        if job.body_rows:
            self._divided[job.job_id] = job
        found = set(chunks)
        if found:
            self._chunks[job.job_id] = found
        if job.changed_chunks:
            # An earlier version kept them in the row that refers to chunks from now on.
            log.info("job-divided", extra={"job": job.job_id})
            self.record(job)

    def record(self, job: Job) -> None:
        """Persist a job's progress, and its end if it is over."""
        if job.over:
            # The row of an ended job without runs holds only how the job ended.
            self._record_submission(job)
        for chunk in sorted(job.changed_chunks):
            self._record_chunk(job, chunk)
        job.changed_chunks.clear()
        self._record_first_row(job)

    def _record_submission(self, job: Job) -> None:
        encode = functools.partial(encode_definition, job)
        self._commits.mark(TABLE_JOBS, job.job_id, encode)

    def _record_first_row(self, job: Job) -> "asyncio.Future[None]":
        encode = functools.partial(encode_progress, job, self._max_row_bytes)
        return self._commits.mark(TABLE_RUNS, job.job_id, encode)

    def _record_chunk(self, job: Job, chunk: Chunk) -> None:
        occurrence = job.occurrences.get(chunk.occurrence)
        if occurrence is None:
            # It is done, as the job's first row says.
            return
        self._chunks.setdefault(job.job_id, set()).add(chunk)
        encode = functools.partial(encode_chunk, occurrence, chunk, self._max_row_bytes)
        self._commits.mark(TABLE_CHUNKS, chunk.key(job.job_id), encode)

    def withdraw(self, job: Job) -> None:
        """Delete what may have been written of a job whose submission was not."""
        for chunk in self._chunks.pop(job.job_id, ()):
            self._commits.unmark(TABLE_CHUNKS, chunk.key(job.job_id))
        self._delete_body(job)

    def forget(self, job: Job) -> None:
        """Delete all rows of a job that ended long enough ago."""
        self._delete(TABLE_JOBS, job.job_id)
        self._delete(TABLE_RUNS, job.job_id)
        for chunk in self._chunks.pop(job.job_id, ()):
            self._delete(TABLE_CHUNKS, chunk.key(job.job_id))
        self._delete_body(job)

    def sweep(self, jobs: t.Mapping[str, Job]) -> None:
        """Delete the rows that nothing durable refers to any more.

        Those are the chunks of occurrences that are done, and the bodies of jobs that
        have ended.

        :param jobs: all jobs, by job id.
        """
        for job_id in list(self._chunks):
            if job_id in jobs:
                self._sweep_chunks(jobs[job_id])
        for job in list(self._divided.values()):
            ended = job.over and not job.has_attempts()
            if ended and not self._commits.is_marked(TABLE_JOBS, job.job_id):
                self._delete_body(job)

    def _sweep_chunks(self, job: Job) -> None:
        """Delete the chunks of occurrences that are no longer in memory.

        The row that says so must be durable first.
        """
        chunks = self._chunks[job.job_id]
        unused = {c for c in chunks if c.occurrence not in job.occurrences}
        if not unused:
            return
        chunks -= unused
        if not chunks:
            del self._chunks[job.job_id]
        if job.over:
            self._record_submission(job)
        written = self._record_first_row(job)
        written.add_done_callback(
            functools.partial(self._delete_chunks, job.job_id, unused)
        )

    def _delete_chunks(
        self, job_id: str, chunks: set[Chunk], written: "asyncio.Future[None]"
    ) -> None:
        if written.cancelled() or written.exception() is not None:
            return
        for chunk in chunks:
            self._delete(TABLE_CHUNKS, chunk.key(job_id))

    def _delete_body(self, job: Job) -> None:
        if self._divided.pop(job.job_id, None) is not None:
            for number in range(job.body_rows):
                self._delete(TABLE_BODIES, body_key(job.job_id, number))

    def delete_unused(self, rows: t.Iterable[tuple[str, str]]) -> None:
        """Delete rows that an earlier holder left, given their tables and keys."""
        for table, key in rows:
            self._delete(table, key)

    def _delete(self, table: str, key: str) -> None:
        self._commits.mark(table, key, _nothing)


def _nothing() -> None:
    """Encode a row that is deleted."""


def job_id_of_row(table: str, key: str) -> str:
    """Return the id of the job that a row belongs to, or an empty string."""
    if table in (TABLE_JOBS, TABLE_RUNS):
        return key
    if table == TABLE_BODIES:
        return parse_body_key(key)
    parsed = Chunk.parse_key(key) if table == TABLE_CHUNKS else None
    return parsed[0] if parsed is not None else ""
