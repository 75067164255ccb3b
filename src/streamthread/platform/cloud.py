"""Calls to the service that owns the machines."""

import enum
import typing as t

import attrs

from .documents import rack_of
from .http import Answer
from .http import JsonObject
from .http import refuse_status
from .http import ServiceClient

__all__ = [
    "CloudClient",
    "DutyReply",
    "Machine",
    "MachineState",
    "decode_machine",
]

CONNECTIONS = 4
"""For the list and a few duties at once; others wait for a free connection."""

HOLDER_HEADER = "Streamthread-Lease-Holder"
TOKEN_HEADER = "Streamthread-Fencing-Token"


class MachineState(enum.Enum):
    """What a machine is doing."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class DutyReply(enum.Enum):
    """The answer to a move or an upkeep."""

    DONE = "done"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    IMPOSSIBLE = "impossible"


@attrs.frozen
class Machine:
    """One machine; ``runner_id`` names the life of a runner that it hosts."""

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
        """The label of the rack it stands in."""
        return rack_of(self.labels)


class CloudClient(ServiceClient):
    """The client of the machines' owner.

    :param address: ``host:port``.
    :param timeout_s: an answer begins within this time.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        super().__init__(address, timeout_s, CONNECTIONS)
        self.calls: dict[str, int] = {"list": 0, "move": 0, "upkeep": 0}

    async def machines(self) -> list[Machine]:
        """Return all machines, page by page."""
        found: list[Machine] = []
        token = ""
        while True:
            self.calls["list"] += 1
            answer = await self._caller.call(
                "GET",
                f"{self._url}/-/machines",
                timeout_s=self._timeout_s,
                params={"pageToken": token} if token else None,
            )
            refuse_status(answer, "/-/machines")
            found.extend(decode_machine(row) for row in answer.body["machines"])
            token = answer.body.get("nextToken") or ""
            if not token:
                return found

    async def move(
        self, machine_id: str, pool: str, holder: str, fencing_token: int
    ) -> DutyReply:
        """Move a machine into a pool; all that runs there dies at once."""
        self.calls["move"] += 1
        body = {"machine": machine_id, "pool": pool}
        return await self._duty("/-/machine-move", body, holder, fencing_token)

    async def upkeep(
        self, machine_id: str, wave: int, holder: str, fencing_token: int
    ) -> DutyReply:
        """Begin a machine's upkeep; all that runs there dies at once."""
        self.calls["upkeep"] += 1
        body = {"machine": machine_id, "wave": wave}
        return await self._duty("/-/machine-upkeep", body, holder, fencing_token)

    async def _duty(
        self, path: str, body: JsonObject, holder: str, fencing_token: int
    ) -> DutyReply:
        answer = await self._caller.call(
            "POST",
            self._url + path,
            body,
            timeout_s=self._timeout_s,
            headers={HOLDER_HEADER: holder, TOKEN_HEADER: str(fencing_token)},
        )
        refuse_status(answer, path)
        return _decode_duty(answer)


def _decode_duty(answer: Answer) -> DutyReply:
    if answer.status == 200:
        return DutyReply.DONE
    if answer.status == 409:
        return DutyReply(answer.body.get("reason", "busy"))
    return DutyReply.IMPOSSIBLE


def decode_machine(row: JsonObject) -> Machine:
    """Decode one machine of the list."""
    room: dict[str, t.Any] = row.get("capacity") or {}
    return Machine(
        machine_id=row["machine"],
        pool=row.get("pool", ""),
        state=MachineState(row.get("state", "up")),
        zone=row.get("zone", ""),
        labels=tuple(row.get("labels") or ()),
        cpu=int(room.get("cpu", 0)),
        memory_mb=int(room.get("memMb", 0)),
        gpu=int(room.get("gpu", 0)),
        runner_id=row.get("id") or "",
    )
