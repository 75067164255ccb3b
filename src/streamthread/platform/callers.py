"""Decodes what callers hand in, and encodes what they are answered."""

import json
import typing as t

import attrs

from ..errors import BadInputError
from .http import JsonObject

__all__ = [
    "DEADLINE_HEADER",
    "JobRequest",
    "StepRequest",
    "decode_job",
    "encode_job",
    "encode_pending",
    "encode_state",
]

DEADLINE_HEADER = "Streamthread-Deadline-Ms"
"""How long the caller waits for this answer, in milliseconds."""

MOST_SPEC_BYTES = 4000
"""The longest text that a job may carry for its tasks."""


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


def decode_job(body: bytes) -> JobRequest:
    """Decode a job.

    :raises BadInputError: it is no job.
    """
    try:
        value = json.loads(body)
        return _decode_request(value)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise BadInputError(
            f"the body is no job: {error}", remedy="send spec and steps as JSON"
        ) from error


def _decode_request(value: JsonObject) -> JobRequest:
    steps = tuple(_decode_step(row) for row in value["steps"])
    spec = str(value.get("spec", ""))
    if not steps or len(spec.encode()) > MOST_SPEC_BYTES:
        raise ValueError("no steps, or too long a spec")
    for number, step in enumerate(steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f"step {number} waits for a step that is not before it")
    return JobRequest(
        spec=spec,
        steps=steps,
        times=int(value.get("times", 0)),
        first_due_ms=int(value.get("startAtMs", 0)),
        interval_ms=int(value.get("intervalMs", 0)),
    )


def _decode_step(row: JsonObject) -> StepRequest:
    may_miss = row.get("may_miss", row.get("mayMiss"))
    target = row.get("target_ms", row.get("targetMs", 0))
    return StepRequest(
        count=int(row.get("count", 1)),
        cpu=int(row.get("cpu", 0)),
        memory_mb=int(row.get("memMb", 0)),
        gpu=int(row.get("gpu", 0)),
        estimate_ms=float(row.get("estimateMs", 0)),
        after=tuple(int(step) for step in row.get("after", ())),
        checkpointing=bool(row.get("checkpointing")),
        gang=bool(row.get("gang")),
        same_rack=bool(row.get("sameRack")),
        requires=str(row.get("requires") or ""),
        near_rack=str(row.get("colocate") or ""),
        most_per_runner=int(row.get("antiAffinity", 0)),
        speculative=bool(row.get("speculative")),
        lasting=bool(row.get("longRunning")),
        image=str(row.get("image") or ""),
        target_ms=float(target or 0),
        fills=bool(row.get("fills")),
        may_miss=None if may_miss is None else int(may_miss),
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
