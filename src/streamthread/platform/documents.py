"""Decodes the waves, and what the runners write of themselves into the store."""

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
    "OPERATOR_TABLE",
    "RUNNERS_TABLE",
    "STATUS_TABLE",
    "WAVE_PREFIX",
    "WRITTEN_BY_OTHERS",
    "RoomRow",
    "RunnerEntry",
    "Wave",
    "decode_runner_entry",
    "decode_wave",
    "encode_wave_status",
    "rack_of",
]

OPERATOR_TABLE = "op"
"""What the operator writes: the manifest and the waves."""

WAVE_PREFIX = "wave/"
"""Before a wave's number: its row's key, and that of its state."""

STATUS_TABLE = "status"
"""What the operator reads: the waves' states."""

RUNNERS_TABLE = "servers"
"""One row a runner, under its id, written by the runner itself."""


WRITTEN_BY_OTHERS = (OPERATOR_TABLE, RUNNERS_TABLE)
"""The tables that this system reads and does not write."""


@attrs.frozen
class RunnerEntry:
    """A runner as it describes itself in the store, about each heartbeat.

    :param draining: it is about to leave, and starts nothing new.
    :param born_ms: when this life of it began, in ms since 1970; None: not told.
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


@attrs.frozen
class Wave:
    """Machines that are due for upkeep.

    :param duration_s: how long all of it may take.
    :param most_at_once: how many may be down for it together.
    """

    number: int
    machine_ids: tuple[str, ...]
    duration_s: float
    most_at_once: int


# What stands in the store: the names on the wire, and the types that hold there.


class RoomRow(msgspec.Struct, rename="camel"):
    """The room of a runner or of a machine, as it stands on the wire."""

    cpu: Count
    mem_mb: Count
    gpu: Count = 0


class _RunnerState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _RunnerRow(msgspec.Struct, rename="camel"):
    """All that the pages name; what we don't use tells a runner from another writer."""

    service: Name
    address: HostPort
    zone: str
    state: _RunnerState
    capacity: RoomRow
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


MOST_ENTRY_BYTES = 16 * 1024
"""Of a runner's entry, which takes 0.3 KB: some hundred labels more find room. 300
entries of this length are parsed in 8 ms."""

MOST_WAVE_BYTES = 1024 * 1024
"""Of a wave: 18,000 machines take 0.4 MB."""

_RUNNERS = Decoder[_RunnerRow](_RunnerRow, MOST_ENTRY_BYTES)
_WAVES = Decoder[_WaveRow](_WaveRow, MOST_WAVE_BYTES)


def decode_runner_entry(runner_id: str, value: bytes) -> RunnerEntry:
    """Decode a runner's entry; its key is the runner's id.

    :raises UnreadableError: it names no runner that could be used.
    """
    row = _RUNNERS.decode(value, runner_id)
    if not _is_runner_id(runner_id):
        raise _RUNNERS.refuse_at("$", "its key can't stand in a header", runner_id)
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
    )


def _is_runner_id(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def rack_of(labels: t.Sequence[str]) -> str:
    """Return the rack's label: a machine's kind comes first, then its rack."""
    return labels[1] if len(labels) > 1 else ""


def decode_wave(key: str, value: bytes) -> Wave:
    """Decode an operator's wave of upkeep.

    :param key: of its row, which ends in the wave's number.
    :raises UnreadableError: it names no machines, or another wave than its key.
    """
    row = _WAVES.decode(value, key)
    if key != f"{WAVE_PREFIX}{row.wave}":
        raise _WAVES.refuse_at("$.wave", "is another wave than its key says", key)
    return Wave(row.wave, row.machines, row.duration_s, row.maximum)


def encode_wave_status(completed: bool) -> bytes:
    """Encode what the operator reads of a wave."""
    state = "completed" if completed else "running"
    return json.dumps({"state": state}).encode()
