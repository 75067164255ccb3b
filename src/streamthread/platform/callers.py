"""Decodes the jobs that callers submit, and encodes the answers to callers."""

import json
import typing as t

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import Text
from .http import JsonObject

__all__ = [
    "DEADLINE_HEADER",
    "KEY_CHALLENGE",
    "KEY_HEADER",
    "JobRequest",
    "StepRequest",
    "decode_job",
    "encode_job",
    "encode_pending",
    "encode_state",
]

DEADLINE_HEADER = "Streamthread-Deadline-Ms"
"""Header with the time that the caller waits for this answer, in milliseconds."""

KEY_HEADER = "Streamthread-Credential"
"""Header that contains the API key of a client account and nothing else."""

KEY_CHALLENGE = f'Key header="{KEY_HEADER}"'
"""Value of ``WWW-Authenticate`` that names the key header to a caller without a valid
key."""

MAX_SPEC_BYTES = 4000
"""Maximum length of the ``spec`` text that a job carries for its tasks."""

MAX_TASKS = 100_000
"""Maximum number of tasks of one job: five for each of 18,000 workers. Each task takes
0.5 KB of the holder's memory, and a mistyped count must not use all of it."""


@attrs.frozen
class StepRequest:
    """One step of a submitted job.

    :param cpu: thousandths of a core that each task requests.
    :param after: numbers of earlier steps that must be done first.
    :param same_rack: the step's gang is slower if it runs on several racks.
    :param requires: a label that the runner must have.
    :param near_rack: the rack that holds the data; on the wire ``colocate``.
    :param most_per_runner: maximum number of the step's tasks on one runner, 0 for no
        limit; on the wire ``antiAffinity``.
    :param speculative: speculative copies of a task may run in parallel.
    :param lasting: the tasks are long-running: they run until the job is cancelled; on
        the wire ``longRunning``.
    :param target_ms: the upper limit of a long-running task's tail latency.
    :param fills: its tasks use the CPU that others leave idle, so that their ``cpu`` is
        not reserved.
    :param may_miss: this system stops one of the step's long-running tasks only while
        fewer than this number of the others are not at work; None counts as 1.
    """

    count: int = 1
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    near_rack: str = ""
    most_per_runner: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    may_miss: int | None = None


@attrs.frozen
class JobRequest:
    """A submitted job.

    :param times: number of scheduled occurrences; 0: it runs once, immediately.
    :param first_due_ms: when the first occurrence is due, in ms since 1970.
    """

    spec: str
    steps: tuple[StepRequest, ...]
    times: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def task_count(self) -> int:
        """The number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)


class _StepRow(msgspec.Struct, rename="camel"):
    """A step in its wire format; two of its names have two spellings."""

    count: Count = 1
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0
    estimate_ms: Amount = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: Text = None
    colocate: Text = None
    anti_affinity: Count = 0
    speculative: bool = False
    long_running: bool = False
    image: Text = None
    target_ms: Amount | None = msgspec.field(default=None, name="target_ms")
    target_ms_camel: Amount | None = msgspec.field(default=None, name="targetMs")
    fills: bool = False
    may_miss: Count | None = msgspec.field(default=None, name="may_miss")
    may_miss_camel: Count | None = msgspec.field(default=None, name="mayMiss")


class _JobRow(msgspec.Struct, rename="camel"):
    steps: tuple[_StepRow, ...]
    spec: str = ""
    times: Count = 0
    start_at_ms: Amount = 0.0
    interval_ms: Amount = 0.0


_JOBS = Decoder[_JobRow](_JobRow, remedy="send spec and steps as JSON")


def decode_job(body: bytes) -> JobRequest:
    """Decode a submitted job.

    :raises BadInputError: the body is not a valid job.
    """
    row = _JOBS.decode(body, "")
    try:
        # The parser does not look into fields that it skips.
        body.decode()
    except UnicodeDecodeError as error:
        raise _JOBS.refuse_at("$", "is not UTF-8", "") from error
    steps = tuple(_step(step) for step in row.steps)
    if not steps:
        raise _JOBS.refuse_at("$.steps", "contains no steps", "")
    if len(row.spec.encode()) > MAX_SPEC_BYTES:
        raise _JOBS.refuse_at("$.spec", f"is longer than {MAX_SPEC_BYTES} bytes", "")
    if sum(step.count for step in steps) > MAX_TASKS:
        raise _JOBS.refuse_at("$.steps", f"has more than {MAX_TASKS} tasks", "")
    for number, step in enumerate(steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            message = "refers to a step that does not precede this one"
            raise _JOBS.refuse_at(f"$.steps[{number}].after", message, "")
    return JobRequest(
        spec=row.spec,
        steps=steps,
        times=row.times,
        first_due_ms=int(row.start_at_ms),
        interval_ms=int(row.interval_ms),
    )


def _step(row: _StepRow) -> StepRequest:
    may_miss = row.may_miss_camel if row.may_miss is None else row.may_miss
    target_ms = row.target_ms_camel if row.target_ms is None else row.target_ms
    return StepRequest(
        count=row.count,
        cpu=row.cpu,
        memory_mb=row.mem_mb,
        gpu=row.gpu,
        estimate_ms=row.estimate_ms,
        after=row.after,
        checkpointing=row.checkpointing,
        gang=row.gang,
        same_rack=row.same_rack,
        requires=row.requires or "",
        near_rack=row.colocate or "",
        most_per_runner=row.anti_affinity,
        speculative=row.speculative,
        lasting=row.long_running,
        image=row.image or "",
        target_ms=target_ms or 0.0,
        fills=row.fills,
        may_miss=may_miss,
    )


_STEP_WIRE_NAMES: tuple[tuple[str, str], ...] = (
    ("count", "count"),
    ("cpu", "cpu"),
    ("memory_mb", "memMb"),
    ("gpu", "gpu"),
    ("estimate_ms", "estimateMs"),
    ("checkpointing", "checkpointing"),
    ("gang", "gang"),
    ("same_rack", "sameRack"),
    ("requires", "requires"),
    ("near_rack", "colocate"),
    ("most_per_runner", "antiAffinity"),
    ("speculative", "speculative"),
    ("lasting", "longRunning"),
    ("image", "image"),
    ("target_ms", "target_ms"),
    ("fills", "fills"),
)


def encode_job(request: JobRequest) -> bytes:
    """Encode a job as callers submit it; empty fields are left out."""
    value: JsonObject = {"spec": request.spec}
    value["steps"] = [_encode_step(step) for step in request.steps]
    if request.times:
        value["times"] = request.times
        value["startAtMs"] = request.first_due_ms
        value["intervalMs"] = request.interval_ms
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_step(step: StepRequest) -> JsonObject:
    row: dict[str, t.Any] = {}
    for name, wire in _STEP_WIRE_NAMES:
        value = getattr(step, name)
        if value:
            row[wire] = value
    if step.after:
        row["after"] = list(step.after)
    if step.may_miss is not None:
        row["may_miss"] = step.may_miss
    return row


def encode_state(state: str) -> bytes:
    """Encode a job's state."""
    return json.dumps({"state": state}).encode()


def encode_pending(count: int) -> bytes:
    """Encode the number of jobs in a queue that have not started."""
    return json.dumps({"pending": count}).encode()
