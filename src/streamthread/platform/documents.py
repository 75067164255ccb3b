"""Decodes the operator's waves and evacuations, and the entries of runners."""

import enum
import json
import typing as t

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import HostPort
from ..decoding import Name
from ..decoding import Text

__all__ = [
    "EVACUATION_PREFIX",
    "EXTERNAL_TABLES",
    "OPERATOR_TABLE",
    "RUNNERS_TABLE",
    "STATUS_TABLE",
    "WAVE_PREFIX",
    "ResourcesRow",
    "RunnerEntry",
    "Wave",
    "check_evacuation",
    "decode_runner_entry",
    "decode_wave",
    "encode_wave_status",
    "evacuated_hall",
    "rack_of",
]

OPERATOR_TABLE = "op"
"""Table that the operator writes: the manifest, the waves and the evacuations."""

WAVE_PREFIX = "wave/"
"""Key prefix of a wave's row and of its status row; the wave's number follows."""

EVACUATION_PREFIX = "evacuate/"
"""Key prefix of an evacuation's row; the name of the hall follows."""

STATUS_TABLE = "status"
"""Table that the operator reads: the states of the waves."""

RUNNERS_TABLE = "servers"
"""Table with one row per runner under its id, written by the runner itself."""

EXTERNAL_TABLES = (OPERATOR_TABLE, RUNNERS_TABLE)
"""The tables that this system reads but does not write."""


@attrs.frozen
class RunnerEntry:
    """The entry that a runner writes into the store, about once per heartbeat.

    :param draining: the runner is about to leave, and starts no new tasks.
    :param born_ms: when this incarnation started, in ms since 1970, or None if the
        entry does not say.
    :param cold_left_ms: for how long the runner will still be slow.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    draining: bool
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    machine_id: str = ""
    born_ms: int | None = None
    cold_left_ms: float = 0.0


@attrs.frozen
class Wave:
    """A set of machines that are due for upkeep.

    :param duration_s: maximum duration of the whole wave.
    :param most_at_once: how many machines may be in upkeep at the same time.
    """

    number: int
    machine_ids: tuple[str, ...]
    duration_s: float
    most_at_once: int


# The stored format: the names on the wire and their types.


class ResourcesRow(msgspec.Struct, rename="camel"):
    """The resources of a runner or a machine, in their wire format."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class _RunnerState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _RunnerRow(msgspec.Struct, rename="camel"):
    """All documented fields; the unused ones tell a runner's entry from other rows."""

    service: Name
    address: HostPort
    zone: str
    state: _RunnerState
    capacity: ResourcesRow
    labels: tuple[str, ...]
    machine: Text = None
    version: str = ""
    slots: Count = 0
    cold_left_ms: Amount = 0.0
    sequence: Count = 0
    born: Count | None = None


class _WaveRow(msgspec.Struct, rename="camel"):
    wave: Count
    machines: tuple[Name, ...]
    duration_s: Amount = 0.0
    maximum: t.Annotated[int, msgspec.Meta(ge=1)] = 1


class _EvacuationRow(msgspec.Struct):
    """An evacuation; fields that it may get later are ignored."""


MAX_ENTRY_BYTES = 16 * 1024
"""Maximum size of a runner's entry. A usual entry takes 0.3 KB, so that this leaves
space for hundreds of further labels. 300 entries of this size are parsed in 8 ms."""

MAX_WAVE_BYTES = 1024 * 1024
"""Maximum size of a wave: 18,000 machines take 0.4 MB."""

MAX_EVACUATION_BYTES = 16 * 1024
"""Maximum size of an evacuation, which is ``{}`` today."""

_EVACUATIONS = Decoder[_EvacuationRow](
    _EvacuationRow,
    MAX_EVACUATION_BYTES,
    remedy="the evacuation is in force; write {} as the row's value",
)
_RUNNERS = Decoder[_RunnerRow](_RunnerRow, MAX_ENTRY_BYTES)
_WAVES = Decoder[_WaveRow](_WaveRow, MAX_WAVE_BYTES)


def decode_runner_entry(runner_id: str, value: bytes) -> RunnerEntry:
    """Decode a runner's entry, whose key is the runner's id.

    :raises UnreadableError: the entry does not describe a usable runner.
    """
    row = _RUNNERS.decode(value, runner_id)
    if not _is_runner_id(runner_id):
        raise _RUNNERS.refuse_at("$", "its key is not valid in a header", runner_id)
    return RunnerEntry(
        runner_id=runner_id,
        service=row.service,
        address=row.address,
        zone=row.zone,
        draining=row.state is _RunnerState.DRAINING,
        labels=row.labels,
        cpu=row.capacity.cpu,
        memory_mb=row.capacity.mem_mb,
        gpu=row.capacity.gpu,
        machine_id=row.machine or "",
        born_ms=row.born,
        cold_left_ms=row.cold_left_ms,
    )


def _is_runner_id(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def rack_of(labels: t.Sequence[str]) -> str:
    """Return the rack from a machine's labels: its kind comes first, then its rack."""
    return labels[1] if len(labels) > 1 else ""


def decode_wave(key: str, value: bytes) -> Wave:
    """Decode an operator's upkeep wave.

    :param key: the key of its row, which ends in the wave's number.
    :raises UnreadableError: the row lists no machines, or its number differs from that
        of its key.
    """
    row = _WAVES.decode(value, key)
    if key != f"{WAVE_PREFIX}{row.wave}":
        raise _WAVES.refuse_at("$.wave", "is another wave than its key says", key)
    return Wave(row.wave, row.machines, row.duration_s, row.maximum)


def encode_wave_status(completed: bool) -> bytes:
    """Encode the state of a wave for the operator."""
    state = "completed" if completed else "running"
    return json.dumps({"state": state}).encode()


def evacuated_hall(part: str, key: str) -> str | None:
    """Return the hall whose evacuation a row of the operator requests, or None.

    A key without a name requests nothing: runners that name no hall are in none.
    """
    if part or not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX) or None


def check_evacuation(key: str, value: bytes) -> None:
    """Check the value of an evacuation, which is in force whatever it is.

    :raises UnreadableError: the value is not a JSON object.
    """
    _EVACUATIONS.decode(value, key)
