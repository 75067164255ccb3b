"""Decodes what callers hand in, and encodes what they are answered."""

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
"""How long the caller waits for this answer, in milliseconds."""

KEY_HEADER = "Streamthread-Credential"
"""The key of a client account, and nothing else."""

KEY_CHALLENGE = f'Key header="{KEY_HEADER}"'
"""Tells a caller without a valid key, in ``WWW-Authenticate``, where one belongs."""

MOST_SPEC_BYTES = 4000
"""The longest text that a job may carry for its tasks."""


MOST_TASKS = 100_000
"""Of one job: five for each of 18,000 workers. Each takes 0.5 KB of the holder's
memory, so that a mistyped count must not take all of it."""


@attrs.frozen
class StepRequest:
    """One step of a job, as it was handed in.

    :param cpu: thousandths of a core that each task asks for.
    :param after: numbers of earlier steps that must be done first.
    :param same_rack: a gang over several racks is slower.
    :param requires: a label that the runner must have; on the wire alike.
    :param near_rack: the rack where the data lies; on the wire ``colocate``.
    :param most_per_runner: of this step's tasks; 0: any; on the wire
        ``antiAffinity``.
    :param speculative: copies of a task may run side by side.
    :param lasting: tasks run until the job is cancelled.
    :param target_ms: the tail latency that a lasting task must stay under.
    :param fills: its tasks use what others leave; their cpu takes no room.
    :param may_miss: how many lasting tasks we may hold away at once, or None.
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
    """A job as it was handed in.

    :param times: how often its steps run; 0: once, at once.
    :param first_due_ms: when the first time falls due, since 1970.
    """

    spec: str
    steps: tuple[StepRequest, ...]
    times: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class _StepRow(msgspec.Struct, rename="camel"):
    """One step on the wire; two of its names have two spellings."""

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
    """Decode a job.

    :raises BadInputError: it is no job.
    """
    row = _JOBS.decode(body, "")
    steps = tuple(_step(step) for step in row.steps)
    if not steps:
        raise _JOBS.refuse_at("$.steps", "has no step", "")
    if len(row.spec.encode()) > MOST_SPEC_BYTES:
        raise _JOBS.refuse_at("$.spec", f"is over {MOST_SPEC_BYTES} bytes", "")
    if sum(step.count for step in steps) > MOST_TASKS:
        raise _JOBS.refuse_at("$.steps", f"has over {MOST_TASKS} tasks", "")
    for number, step in enumerate(steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            message = "waits for a step that is not before it"
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


_STEP_NAMES: tuple[tuple[str, str], ...] = (
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
    """Encode a job as it is handed in; empty fields are left out."""
    value: JsonObject = {"spec": request.spec}
    value["steps"] = [_encode_step(step) for step in request.steps]
    if request.times:
        value["times"] = request.times
        value["startAtMs"] = request.first_due_ms
        value["intervalMs"] = request.interval_ms
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_step(step: StepRequest) -> JsonObject:
    row: dict[str, t.Any] = {}
    for name, wire in _STEP_NAMES:
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
    """Encode how many jobs of a queue have not begun."""
    return json.dumps({"pending": count}).encode()
