"""A stand-in for the cloud service: it lists and moves machines and runs upkeep."""

import asyncio
import time
import typing as t

import attrs
from aiohttp import web

from .odd import response_with
from .port import HttpPort
from .runner import RunnerStandin

__all__ = ["CloudStandin", "Duty", "MachineStandin"]


class MakeRunner(t.Protocol):
    """Starts a new incarnation of a machine's runner in a pool.

    If no port or no earlier runner id is given, the incarnation gets a new one.
    """

    def __call__(
        self, machine_id: str, pool: str, port: int = 0, runner_id: str = ""
    ) -> t.Awaitable[RunnerStandin]: ...


@attrs.define
class MachineStandin:
    """A machine and the runner on it, in a hall that is called a zone on the wire."""

    machine_id: str
    pool: str
    runner: RunnerStandin | None = None
    state: str = "up"
    waves: set[int] = attrs.field(factory=set)
    zone: str = "here"


@attrs.frozen
class Duty:
    """An order for a machine.

    :param at_s: when it arrived, on the monotonic clock.
    """

    kind: str
    machine_id: str
    holder: str
    token: int
    at_s: float = attrs.field(factory=time.monotonic, eq=False)


class CloudStandin:
    """A cloud service with its machines.

    :param received: all orders that arrived, also those that had no effect.
    :param duties: the orders that were carried out.
    :param odd_part: stands in the list of machines beside them; empty: none.
    :param end_incarnation: removes a runner's entry when its machine goes down.
    """

    def __init__(
        self,
        make_runner: MakeRunner,
        end_incarnation: t.Callable[[RunnerStandin], t.Awaitable[None]],
        move_s: float = 0.1,
        upkeep_s: float = 0.15,
    ) -> None:
        self.machines: dict[str, MachineStandin] = {}
        self.received: list[Duty] = []
        self.duties: list[Duty] = []
        self.max_down = 0
        self.odd_part = ""
        self._make_runner = make_runner
        self._end_incarnation = end_incarnation
        self._move_s = move_s
        self._upkeep_s = upkeep_s
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = HttpPort(self._serve)

    def down_for_upkeep(self) -> int:
        """Return how many machines are in upkeep."""
        return sum(machine.state == "upkeep" for machine in self.machines.values())

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/machines":
            return self._list()
        body = await request.json()
        machine = self.machines.get(body["machine"])
        if machine is None:
            return web.Response(status=400)
        holder = request.headers["Streamthread-Lease-Holder"]
        token = int(request.headers["Streamthread-Fencing-Token"])
        kind = request.path.removeprefix("/-/machine-")
        self.received.append(Duty(kind, machine.machine_id, holder, token))
        if request.path == "/-/machine-move":
            return self._move(machine, body["pool"], holder, token)
        return self._upkeep(machine, int(body["wave"]), holder, token)

    def _list(self) -> web.StreamResponse:
        rows = [
            {
                "machine": machine.machine_id,
                "pool": machine.pool,
                "state": machine.state,
                "zone": machine.zone,
                "labels": ["a", "r1"],
                "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
                "id": machine.runner.runner_id if machine.runner else "",
            }
            for machine in self.machines.values()
        ]
        answer = {"machines": rows, "nextToken": None}
        return response_with(answer, self.odd_part, "machines")

    def _move(
        self, machine: MachineStandin, pool: str, holder: str, token: int
    ) -> web.StreamResponse:
        if machine.pool == pool:
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        self.duties.append(Duty("move", machine.machine_id, holder, token))
        machine.pool = pool
        self._take_down(machine, "moving", self._move_s)
        return web.json_response({})

    def _upkeep(
        self, machine: MachineStandin, wave: int, holder: str, token: int
    ) -> web.StreamResponse:
        if wave in machine.waves:
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        self.duties.append(Duty("upkeep", machine.machine_id, holder, token))
        machine.waves.add(wave)
        self._take_down(machine, "upkeep", self._upkeep_s)
        self.max_down = max(self.max_down, self.down_for_upkeep())
        return web.json_response({})

    def _take_down(self, machine: MachineStandin, state: str, for_s: float) -> None:
        machine.state = state
        self._spawn(self._replace_runner(machine, for_s))

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def restart(self, machine: MachineStandin, for_s: float) -> None:
        """Crash a machine; a new incarnation of its runner starts after ``for_s``."""
        self._take_down(machine, "down", for_s)

    def crash(
        self, machine: MachineStandin, for_s: float, keep_id: bool = False
    ) -> None:
        """Crash a machine's runner; a new one starts after ``for_s`` at its address.

        :param keep_id: the new incarnation has the id of the former one, whose entry
            remains until then.
        """
        machine.state = "down"
        self._spawn(self._crash(machine, for_s, keep_id))

    async def _crash(
        self, machine: MachineStandin, for_s: float, keep_id: bool
    ) -> None:
        runner = machine.runner
        assert runner is not None
        machine.runner = None
        runner.port.reset_connections()
        await runner.port.close()
        await asyncio.sleep(for_s)
        if not keep_id:
            await self._end_incarnation(runner)
        port = int(runner.port.address.rpartition(":")[2])
        machine.runner = await self._make_runner(
            machine.machine_id, machine.pool, port, runner.runner_id if keep_id else ""
        )
        machine.state = "up"

    async def _replace_runner(self, machine: MachineStandin, for_s: float) -> None:
        if machine.runner is not None:
            machine.runner.kill()
            await self._end_incarnation(machine.runner)
            machine.runner = None
        await asyncio.sleep(for_s)
        machine.runner = await self._make_runner(machine.machine_id, machine.pool)
        machine.state = "up"
