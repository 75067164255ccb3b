"""Encodes and decodes the rows of a job's submission.

The first row is written at submission and rewritten at each change after the job is
over. Once the job has no runs left, only its end is persisted, so that the next holder
has less to read. A body that does not fit into this row is divided into rows of its
own, which are written before it and deleted once the job has ended.
"""

import json
import typing as t

import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import OWN_ROW_REMEDY
from ..platform.callers import decode_job
from ..platform.callers import JobRequest
from .intervals import IntervalSet
from .model import FailureCause
from .model import Job
from .model import JobState
from .terms import JobTerms

__all__ = [
    "body_key",
    "decode_row",
    "divide_body",
    "encode_definition",
    "has_divided_body",
    "parse_body_key",
]

Json = t.Any


def divide_body(job: Job, max_row_bytes: int) -> list[bytes]:
    """Return the rows of a new job's body; none if the row of its submission fits it.

    This decides for good where the body is kept.
    """
    job.body_rows = 0
    if len(encode_definition(job)) <= max_row_bytes:
        return []
    starts = range(0, len(job.body), max_row_bytes)
    job.body_rows = len(starts)
    return [job.body[start : start + max_row_bytes] for start in starts]


def has_divided_body(value: bytes) -> bool:
    """Whether the row of a submission refers to rows of its body.

    :raises UnreadableError: the row can't be read.
    """
    return _JOBS.decode(value, "").body_rows > 0


def body_key(job_id: str, number: int) -> str:
    """Return the key of one row of a body; rows are counted from 0."""
    return f"{job_id}.{number:04}"


def parse_body_key(key: str) -> str:
    """Return the job id of a row of a body; ids may contain dots."""
    return key.rpartition(".")[0]


def encode_definition(job: Job) -> bytes:
    """Encode the submission, or only how the job ended if it is over without runs."""
    if job.over and not job.has_attempts():
        return _encode_ended(job)
    value = {
        **msgspec.to_builtins(job.terms),
        "accepted_at_s": job.accepted_at_s,
    }
    if job.body_rows:
        value["body_rows"] = job.body_rows
    else:
        value["body"] = job.body.decode()
    return _dump(value)


def _dump(value: dict[str, Json]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_ended(job: Job) -> bytes:
    value: dict[str, Json] = {
        "route": job.route,
        "service": job.service,
        "accepted_at_s": job.accepted_at_s,
        "ended_at_s": job.ended_at_s,
        "state": job.state.value,
    }
    if job.failure is not None:
        value["failure"] = job.failure.value
    if job.account:
        value["account"] = job.account
    return _dump(value)


class _JobRow(msgspec.Struct):
    """Either the submission or how the job ended, beside the terms of the job."""

    accepted_at_s: Amount
    body: str | None = None
    body_rows: Count = 0
    state: JobState | None = None
    failure: str = ""
    ended_at_s: Amount | None = None


_JOBS = Decoder[_JobRow](_JobRow, remedy=OWN_ROW_REMEDY)


def decode_row(job_id: str, value: bytes, body_rows: t.Sequence[bytes] = ()) -> Job:
    """Decode a job that has not begun or one that is over.

    :param body_rows: the rows of its body, in order.
    :raises BadInputError: the rows or the job in them can't be read.
    """
    row = _JOBS.decode(value, job_id)
    terms = JobTerms.decode(value, job_id)
    if row.state is not None:
        return _decode_ended(job_id, terms, row, row.state)
    body = _body(job_id, row, body_rows)
    return Job(
        job_id=job_id,
        terms=terms,
        request=decode_job(body),
        body=body,
        accepted_at_s=row.accepted_at_s,
        body_rows=row.body_rows,
    )


def _body(job_id: str, row: _JobRow, body_rows: t.Sequence[bytes]) -> bytes:
    if row.body is not None:
        return row.body.encode()
    if not row.body_rows:
        raise _JOBS.refuse_at("$.body", "is missing", job_id)
    if len(body_rows) != row.body_rows:
        message = f"counts {row.body_rows} rows, and there are {len(body_rows)}"
        raise _JOBS.refuse_at("$.body_rows", message, job_id)
    return b"".join(body_rows)


def _decode_ended(job_id: str, terms: JobTerms, row: _JobRow, state: JobState) -> Job:
    return Job(
        job_id=job_id,
        terms=terms,
        request=JobRequest("", ()),
        body=b"",
        accepted_at_s=row.accepted_at_s,
        done_times=IntervalSet([0] if state is JobState.COMPLETED else []),
        begun=True,
        cancelled=state is JobState.CANCELLED,
        failure=FailureCause.parse(row.failure) if state is JobState.FAILED else None,
        ended_at_s=row.ended_at_s,
    )
