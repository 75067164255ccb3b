"""A small platform: the store within its documented limits, machines and advice."""

import asyncio
import base64
import itertools
import json
import time
import typing as t

import attrs
from aiohttp import web

from streamthread.standins.cell.port import HttpPort
from streamthread.standins.cell.store import StoreStandin

from .record import Record
from .runner import Ended
from .runner import Runner

__all__ = ["Advice", "LimitedStore", "Machine", "Platform"]

Json = dict[str, t.Any]

ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000


class LimitedStore(StoreStandin):
    """The project's stand-in, with the documented limits on rows and transactions.

    :param refused: what was refused: the table, the key and the bytes of a row.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self._record = record
        self.refused: list[tuple[str, str, int]] = []

    async def _apply(self, body: Json) -> tuple[int, Json]:
        puts = body.get("put", ())
        entries = [*puts, *body.get("remove", ())]
        if len(entries) > MAX_ENTRIES or len(json.dumps(body)) > MAX_TRANSACTION_BYTES:
            self._record.line("store-refused", entries=len(entries))
            return 400, {}
        for row in puts:
            size_bytes = len(base64.b64decode(row["value"]))
            if size_bytes > ROW_BYTES:
                self.refused.append((row["table"], row["key"], size_bytes))
                self._record.line(
                    "store-refused",
                    table=row["table"],
                    key=row["key"],
                    row_bytes=size_bytes,
                )
                return 400, {}
        return await super()._apply(body)


class Advice:
    """The advice service: only the runners of one rack may run a step.

    :param rack: the label of the rack.
    """

    def __init__(
        self,
        rack: str,
        runners: t.Callable[[], dict[str, Runner]],
        record: Record,
        decide_ms: int,
        each_ms: int,
        valid_ms: int,
    ) -> None:
        self.rack = rack
        self.policy = {
            "decide_ms": decide_ms,
            "each_ms": each_ms,
            "valid_ms": valid_ms,
        }
        self._runners = runners
        self._record = record
        self._in_turn = asyncio.Lock()
        self._issued_s: dict[tuple[str, str], float] = {}
        self.port = HttpPort(self._serve)

    def _ticket(self, step: str, runner_id: str) -> str:
        return f"{step[:4]}-{runner_id[-8:]}"

    def is_good(self, runner: Runner, body: Json) -> bool:
        """Return whether a start carries a valid ticket for this life of a runner."""
        step = body["task"].rpartition(".")[0]
        issued_s = self._issued_s.get((step, runner.runner_id))
        if issued_s is None:
            return False
        age_s = time.monotonic() - issued_s
        valid = age_s <= self.policy["valid_ms"] / 1000
        return valid and body.get("ticket") == self._ticket(step, runner.runner_id)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        step, asked = str(body["step"]), list(body["workers"])[:100]
        async with self._in_turn:
            wait_ms = self.policy["decide_ms"] + self.policy["each_ms"] * len(asked)
            await asyncio.sleep(wait_ms / 1000)
        runners = self._runners()
        known = [runner_id for runner_id in asked if runner_id in runners]
        good = [r for r in known if self.rack in runners[r].labels]
        for runner_id in good:
            self._issued_s[step, runner_id] = time.monotonic()
        self._record.line("advised", step=step, asked=len(asked), good=len(good))
        rows = [[runner_id, self._ticket(step, runner_id)] for runner_id in good]
        answer = {"good": rows, "valid_ms": self.policy["valid_ms"]}
        return web.json_response(answer)


@attrs.define(eq=False)
class Machine:
    """A machine and the runner that it has now, if any."""

    machine_id: str
    pool: str
    labels: tuple[str, ...]
    runner: Runner | None = None
    state: str = "up"


class Platform:
    """The store, the machines of the pools, and the advice service if there is one.

    :param pools: the labels of each machine, by pool.
    """

    def __init__(
        self, record: Record, pools: t.Mapping[str, t.Sequence[tuple[str, ...]]]
    ) -> None:
        self.record = record
        self.store = LimitedStore(record)
        self.cloud_port = HttpPort(self._serve_cloud)
        self.machines: list[Machine] = []
        self.lives: list[Runner] = []
        self.ended: list[Ended] = []
        self.advice: Advice | None = None
        self._pools = pools
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def runners(self) -> dict[str, Runner]:
        """Return the runners that live now, by id."""
        return {r.runner_id: r for r in self.lives if r.alive}

    async def open(self) -> None:
        """Open the ports, write the manifest and start the runners."""
        await self.store.port.open()
        await self.cloud_port.open()
        if self.advice is not None:
            await self.advice.port.open()
        await self.write_manifest(3)
        for pool, machines in self._pools.items():
            for labels in machines:
                number = next(self._numbers)
                machine = Machine(f"m-{number:04d}", pool, labels)
                self.machines.append(machine)
                await self.start_runner(machine)
        self._spawn(self._beat())
        self._spawn(self._watch())

    async def close(self) -> None:
        """End all runners and close the ports."""
        for task in self._tasks:
            task.cancel()
        for runner in self.lives:
            await runner.port.close()
        if self.advice is not None:
            await self.advice.port.close()
        await self.cloud_port.close()
        await self.store.port.close()

    async def write_manifest(
        self, version: int, without: t.Collection[str] = ()
    ) -> None:
        """Write a manifest as the operator.

        :param without: the pools that no route leads to.
        """
        await self._put("op", "config", self._manifest(version, without))
        self.record.line("manifest", version=version, without=",".join(without))

    def _manifest(self, version: int, without: t.Collection[str]) -> Json:
        advice = {} if self.advice is None else {"advice": self.advice.policy}
        routes = [
            {
                "name": f"route-{pool}",
                "host": f"{pool}.example",
                "pathPrefix": f"/{pool}/",
                "service": pool,
                "priority": 0,
                "maxAttempts": 3,
                "stretch": 1.6,
                "targetLatencyMs": 600,
                **advice,
            }
            for pool in self._pools
            if pool not in without
        ]
        services = [{"name": p, "rejectsOverload": True} for p in self._pools]
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {},
        }

    async def start_runner(self, machine: Machine) -> None:
        """Start the next life of a machine's runner, under a new id."""
        runner = Runner(
            f"i-{next(self._numbers) * 2654435761 % 2**32:08x}",
            machine.machine_id,
            machine.pool,
            machine.labels,
            self.record,
            self.ended,
            None if self.advice is None else self.advice.is_good,
        )
        await runner.port.open()
        self.lives.append(runner)
        machine.runner, machine.state = runner, "up"
        await self._put("servers", runner.runner_id, runner.entry())
        self.record.line(
            "runner-up",
            id=runner.runner_id,
            machine=machine.machine_id,
            pool=runner.pool,
        )

    async def crash(self, machine: Machine, down_s: float) -> None:
        """Crash a machine's runner; the next one starts after `down_s` seconds."""
        runner = machine.runner
        if runner is None:
            return
        machine.runner, machine.state = None, "down"
        self.record.line("crash", id=runner.runner_id, machine=machine.machine_id)
        runner.kill()
        runner.port.reset_connections()
        await runner.port.close()
        await asyncio.sleep(down_s)
        await self.store.drop("servers", runner.runner_id)
        await self.start_runner(machine)

    def crash_soon(self, machine: Machine, down_s: float) -> None:
        """Crash a machine's runner without waiting for the next one."""
        self._spawn(self.crash(machine, down_s))

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        """Have the runners write their entries again, as each does now and then."""
        while True:
            await asyncio.sleep(1.5)
            for runner in list(self.runners().values()):
                await self._put("servers", runner.runner_id, runner.entry())

    async def _watch(self) -> None:
        """Let runs end at their time even if nobody asks."""
        while True:
            await asyncio.sleep(0.05)
            for runner in list(self.runners().values()):
                runner.advance()

    async def _put(self, table: str, key: str, value: Json) -> None:
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.store.put(table, key, text)

    async def _serve_cloud(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/-/machines":
            return web.json_response({"reason": "busy"}, status=409)
        rows = [
            {
                "machine": machine.machine_id,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "here",
                "labels": list(machine.labels),
                "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
                "id": machine.runner.runner_id if machine.runner else "",
            }
            for machine in self.machines
        ]
        return web.json_response({"machines": rows, "nextToken": None})
