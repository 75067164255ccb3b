"""Client of the cloud service, which owns the machines."""

import enum
import typing as t

import attrs
import msgspec

from ..decoding import Decoder
from ..decoding import Name
from ..decoding import PartsDecoder
from ..decoding import Text
from ..errors import OutcomeUnknownError
from ..errors import UnreadableError
from ..unreadable import UnreadableNotes
from .documents import rack_of
from .documents import ResourcesRow
from .http import Answer
from .http import JsonObject
from .http import refuse_status
from .http import Repeat
from .http import SendPermit
from .http import ServiceClient

__all__ = [
    "CloudClient",
    "DutyReply",
    "Machine",
    "MachineList",
    "MachineState",
    "UnreadableMachine",
]

CONNECTIONS = 4
"""Enough for the list and a few parallel duties; others wait for a free connection."""

HOLDER_HEADER = "Streamthread-Lease-Holder"
TOKEN_HEADER = "Streamthread-Fencing-Token"


class MachineState(enum.Enum):
    """The state of a machine, as the cloud service reports it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class DutyReply(enum.Enum):
    """The result of a move or an upkeep order."""

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    IMPOSSIBLE = "impossible"


@attrs.frozen
class Machine:
    """One machine; ``runner_id`` names the runner incarnation that it hosts."""

    machine_id: str
    pool: str
    state: MachineState
    zone: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    runner_id: str = ""

    @property
    def rack(self) -> str:
        """The label of the machine's rack."""
        return rack_of(self.labels)


@attrs.frozen
class UnreadableMachine:
    """A list row that cannot be decoded; the id is empty if it is unreadable, too."""

    machine_id: str
    error: UnreadableError


@attrs.frozen
class MachineList:
    """All machines, and the rows that cannot be decoded."""

    machines: tuple[Machine, ...]
    unreadable: tuple[UnreadableMachine, ...] = ()


class _MachineRow(msgspec.Struct):
    machine: Name
    pool: str
    state: MachineState
    capacity: ResourcesRow
    zone: str = ""
    labels: tuple[str, ...] | None = None
    id: Text = None


class _MachineName(msgspec.Struct):
    machine: Name


class _MachinesAnswer(msgspec.Struct, rename="camel"):
    machines: list[msgspec.Raw]
    next_token: Text = None


class _DutyAnswer(msgspec.Struct):
    reason: t.Literal["fence", "busy", "wave"]


_PAGES = PartsDecoder[_MachinesAnswer](_MachinesAnswer)
_MACHINES = Decoder[_MachineRow](_MachineRow)
_MACHINE_NAMES = PartsDecoder[_MachineName](_MachineName)
_DUTIES = Decoder[_DutyAnswer](_DutyAnswer)

MAX_PAGES = 1000
"""A list with more pages is treated as one that never ends: 18,000 machines take 180
pages of 100."""


class CloudClient(ServiceClient):
    """Client of the cloud service.

    :param address: ``host:port``.
    :param timeout_s: maximum time until an answer begins.
    """

    def __init__(
        self, address: str, timeout_s: float, notes: UnreadableNotes | None = None
    ) -> None:
        self._timeout_s = timeout_s
        super().__init__(address, CONNECTIONS, notes)
        self.calls: dict[str, int] = {"list": 0, "move": 0, "upkeep": 0}

    async def machines(self) -> MachineList:
        """Return all machines; the list is read page by page."""
        found: list[Machine] = []
        unreadable: list[UnreadableMachine] = []
        token = ""
        for _ in range(MAX_PAGES):
            self.calls["list"] += 1
            answer = await self._caller.call(
                "GET",
                f"{self._url}/-/machines",
                timeout_s=self._timeout_s,
                params={"pageToken": token} if token else None,
                repeat=Repeat(),
            )
            refuse_status(answer, "/-/machines")
            page = self._caller.read(answer, _PAGES)
            for text in page.machines:
                try:
                    found.append(_decode_machine(text))
                except UnreadableError as error:
                    unreadable.append(UnreadableMachine(error.key, error))
            token = page.next_token or ""
            if not token:
                return MachineList(tuple(found), tuple(unreadable))
        raise OutcomeUnknownError(
            "the list of machines exceeds the maximum number of pages",
            remedy="the list is read again automatically",
            location="/-/machines",
        )

    async def move(
        self,
        machine_id: str,
        pool: str,
        holder: str,
        fencing_token: int,
        permit: SendPermit | None = None,
    ) -> DutyReply:
        """Move a machine into a pool; this kills all runs on it at once.

        :param permit: decides whether the order may still be sent; None: it may.
        """
        self.calls["move"] += 1
        body = {"machine": machine_id, "pool": pool}
        path = "/-/machine-move"
        return await self._send_duty(path, body, holder, fencing_token, permit)

    async def upkeep(
        self,
        machine_id: str,
        wave: int,
        holder: str,
        fencing_token: int,
        permit: SendPermit | None = None,
    ) -> DutyReply:
        """Start a machine's upkeep; this kills all runs on it at once.

        :param permit: decides whether the order may still be sent; None: it may.
        """
        self.calls["upkeep"] += 1
        body = {"machine": machine_id, "wave": wave}
        path = "/-/machine-upkeep"
        return await self._send_duty(path, body, holder, fencing_token, permit)

    async def _send_duty(
        self,
        path: str,
        body: JsonObject,
        holder: str,
        fencing_token: int,
        permit: SendPermit | None,
    ) -> DutyReply:
        answer = await self._caller.call(
            "POST",
            self._url + path,
            body,
            timeout_s=self._timeout_s,
            headers={HOLDER_HEADER: holder, TOKEN_HEADER: str(fencing_token)},
            permit=permit,
        )
        refuse_status(answer, path)
        return self._decode_duty(answer)

    def _decode_duty(self, answer: Answer) -> DutyReply:
        """:raises OutcomeUnknownError: it was refused for an unknown reason."""
        if answer.status == 200:
            return DutyReply.DONE
        if answer.status == 409:
            return DutyReply(self._caller.read(answer, _DUTIES).reason)
        return DutyReply.IMPOSSIBLE


def _decode_machine(text: msgspec.Raw) -> Machine:
    """:raises UnreadableError: its key is the machine's id, if that is readable."""
    try:
        row = _MACHINES.decode(text, "")
    except UnreadableError as error:
        machine_id = _machine_id_of(text)
        raise _MACHINES.refuse_at(error.field, error.message, machine_id) from error
    return Machine(
        machine_id=row.machine,
        pool=row.pool,
        state=row.state,
        zone=row.zone,
        labels=row.labels or (),
        cpu=row.capacity.cpu,
        memory_mb=row.capacity.mem_mb,
        gpu=row.capacity.gpu,
        runner_id=row.id or "",
    )


def _machine_id_of(text: msgspec.Raw) -> str:
    try:
        return _MACHINE_NAMES.decode(text, "").machine
    except UnreadableError:
        return ""
