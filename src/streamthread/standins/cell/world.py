"""A platform stand-in in one process: store, cloud, machines and their runners."""

import base64
import itertools
import json
import time
import typing as t

import attrs

from .advice import AdviceStandin
from .cloud import CloudStandin
from .cloud import MachineStandin
from .runner import RunnerStandin
from .runner import StartedRun
from .store import StoreStandin

__all__ = ["CellWorld"]

SPARE_POOL = "spare"

OPEN_S = float("inf")
"""When an evacuation is withdrawn that is in force."""

BACK_S = 0.3
"""Time until a runner that a task has crashed is restarted at the same address."""


@attrs.define
class Evacuation:
    """An evacuation that the operator requested, with times on the monotonic clock.

    :param withdrawn_at_s: when its row began to be removed.
    """

    hall: str
    acknowledged_at_s: float
    withdrawn_at_s: float = OPEN_S


class CellWorld:
    """All external services that the daemons of a cell call.

    :param pools: the number of machines by pool name.
    :param cpu: the full CPU capacity of each runner.
    :param keeps_ids: runners that a task has crashed restart with the same id.
    :param reports_birth: runners report when their incarnations started; other runners
        get a new id with each incarnation.
    :param accounts: the client accounts of future manifests, in their wire format;
        None: there are no accounts, and no route needs a key.
    :param halls: the halls of the machines, which are assigned to them in turn.
    :param evacuate_ms: the bound ``evacuateMs`` of the daemons' settings; None: it is
        left out.
    :param evacuations: all evacuations that were requested.
    :param route_suffix: ends the names of the routes of future manifests.
    :param services: further fields of the services of future manifests, by name.
    :param advice: the advice service, whose policy holds for all routes; None: any
        runner may run any step.
    :param crashes: ids of the runners that a task has crashed.
    :param crashed_runs: the task and run number of each run that crashed its runner.
    """

    def __init__(
        self,
        pools: t.Mapping[str, int],
        cpu: int = 16000,
        keeps_ids: bool = False,
        reports_birth: bool = True,
        halls: t.Sequence[str] = ("here",),
        advice: AdviceStandin | None = None,
    ) -> None:
        self.advice = advice
        self.store = StoreStandin()
        self.cloud = CloudStandin(self._make_runner, self._end_incarnation)
        self.started: list[StartedRun] = []
        self.route_suffix = ""
        self.ended: list[tuple[str, int, str, float]] = []
        self.runners: list[RunnerStandin] = []
        self.crashes: list[str] = []
        self.crashed_runs: set[tuple[str, int]] = set()
        self._failures: dict[str, int] = {}
        self._pools = dict(pools)
        self.cpu = cpu
        self.keeps_ids = keeps_ids
        self.reports_birth = reports_birth
        self.accounts: list[dict[str, t.Any]] | None = None
        self.evacuate_ms: int | None = None
        self.evacuations: list[Evacuation] = []
        self.services: dict[str, dict[str, t.Any]] = {}
        self._halls = itertools.cycle(halls)
        self._numbers = itertools.count(1)

    async def open(self) -> None:
        """Open all ports and write the first manifest."""
        await self.store.port.open()
        await self.cloud.port.open()
        if self.advice is not None:
            await self.advice.port.open()
        await self.write_manifest(1)
        for pool, count in self._pools.items():
            for _ in range(count):
                await self._add_machine(pool)

    async def close(self) -> None:
        """Close all ports."""
        for runner in self.runners:
            await runner.port.close()
        await self.cloud.port.close()
        if self.advice is not None:
            await self.advice.port.close()
        await self.store.port.close()

    async def _add_machine(self, pool: str) -> None:
        machine_id = f"m-{next(self._numbers)}"
        machine = MachineStandin(machine_id, pool, zone=next(self._halls))
        self.cloud.machines[machine_id] = machine
        machine.runner = await self._make_runner(machine_id, pool)

    def _on_crash(self, runner: RunnerStandin, run: tuple[str, int]) -> None:
        """Record that a run has crashed its runner, and start a new incarnation."""
        self.crashes.append(runner.runner_id)
        self.crashed_runs.add(run)
        for machine in self.cloud.machines.values():
            if machine.runner is runner:
                keep_id = self.keeps_ids and runner.reports_birth
                self.cloud.crash(machine, BACK_S, keep_id)

    async def _make_runner(
        self, machine_id: str, pool: str, port: int = 0, runner_id: str = ""
    ) -> RunnerStandin:
        """Start a runner incarnation; with a given id, its clock starts again at 0."""
        runner = RunnerStandin(
            runner_id or f"i-{next(self._numbers)}",
            pool,
            ("a", "r1"),
            self.cpu,
            32768,
            self.started,
            self.ended,
            self._failures,
            self._on_crash,
            clock_zero_s=time.monotonic() if runner_id else 0.0,
            reports_birth=self.reports_birth or bool(runner_id),
            zone=self.cloud.machines[machine_id].zone,
            has_ticket=self.advice.is_valid if self.advice is not None else None,
        )
        runner.machine_id = machine_id
        await runner.port.open(port)
        self.runners.append(runner)
        await self.write_entry(runner)
        return runner

    async def _end_incarnation(self, runner: RunnerStandin) -> None:
        await self.store.drop("servers", runner.runner_id)

    def running(self) -> t.Iterator[str]:
        """Yield the tasks that are running on any runner."""
        for runner in self.runners:
            if runner.alive:
                yield from runner.running()

    async def write_entry(self, runner: RunnerStandin) -> None:
        """Write a runner's present entry."""
        await self._put("servers", runner.runner_id, runner.entry())

    async def write_manifest(
        self, version: int, more_routes: int = 0, **route: t.Any
    ) -> None:
        """Write a manifest with one route per pool, whose host has the pool's name.

        :param more_routes: number of additional routes to the first pool.
        """
        if self.advice is not None:
            route.setdefault("advice", self.advice.manifest_row())
        routes = [
            {
                "name": f"route-{pool}{self.route_suffix}",
                "host": f"{pool}.example",
                "pathPrefix": "/jobs/",
                "service": pool,
                "maxAttempts": 3,
                "stretch": 1.6,
                "targetLatencyMs": 600,
                **route,
            }
            for pool in self._pools
            if pool != SPARE_POOL
        ]
        routes += [
            routes[0] | {"name": f"route-{number}", "pathPrefix": f"/more-{number}/"}
            for number in range(more_routes)
        ]
        services = [
            {"name": pool, "rejectsOverload": True, "spare": pool == SPARE_POOL}
            | self.services.get(pool, {})
            for pool in self._pools
        ]
        manifest = {"version": version, "routes": routes, "services": services}
        if self.accounts is not None:
            manifest["tenants"] = self.accounts
        await self._put("op", "config", json.dumps(manifest))

    async def write_wave(
        self, number: int, machine_ids: t.Sequence[str], most_at_once: int
    ) -> None:
        """Request the upkeep of machines."""
        wave = {
            "wave": number,
            "machines": list(machine_ids),
            "durationS": 20,
            "maximum": most_at_once,
        }
        await self._put("op", f"wave/{number}", json.dumps(wave))

    async def evacuate(self, hall: str, value: bytes = b"{}") -> None:
        """Request that a hall be evacuated; it is in force when this returns."""
        await self.write_bytes("op", f"evacuate/{hall}", value)
        if not self.is_evacuated(hall):
            self.evacuations.append(Evacuation(hall, time.monotonic()))

    async def take_back(self, hall: str) -> None:
        """Withdraw the evacuation of a hall."""
        for evacuation in self.evacuations:
            if evacuation.hall == hall and evacuation.withdrawn_at_s == OPEN_S:
                evacuation.withdrawn_at_s = time.monotonic()
        await self.store.drop("op", f"evacuate/{hall}")

    def is_evacuated(self, hall: str) -> bool:
        """Whether an evacuation of a hall is in force."""
        return any(
            evacuation.hall == hall and evacuation.withdrawn_at_s == OPEN_S
            for evacuation in self.evacuations
        )

    def lose_power(self, hall: str, for_s: float, keeps_addresses: bool) -> None:
        """End all runners of a hall; new incarnations start after ``for_s``.

        :param keeps_addresses: they start at the addresses of the former ones. If not,
            nothing answers at these addresses any more.
        """
        for machine in self.cloud.machines.values():
            runner = machine.runner
            if machine.zone != hall or machine.state != "up" or runner is None:
                continue
            runner.kill()
            if keeps_addresses:
                self.cloud.crash(machine, for_s)
            else:
                runner.faults.silent = True
                self.cloud.restart(machine, for_s)

    def running_in(self, hall: str) -> list[str]:
        """Return the tasks that are running in a hall."""
        return [
            task
            for runner in self.runners
            if runner.alive and runner.zone == hall
            for task in runner.running()
        ]

    def started_in(self, hall: str) -> list[StartedRun]:
        """Return the runs that were started in a hall."""
        zones = {runner.runner_id: runner.zone for runner in self.runners}
        return [run for run in self.started if zones[run.runner_id] == hall]

    async def _put(self, table: str, key: str, text: str) -> None:
        await self.write_bytes(table, key, text.encode())

    async def write_bytes(
        self, table: str, key: str, value: bytes, part: str = ""
    ) -> None:
        """Write an arbitrary row, as any other client of the store can."""
        await self.store.put(table, key, base64.b64encode(value).decode(), part)

    def wave_state(self, number: int) -> str:
        """Return the state of a wave that the operator reads."""
        row = self.store.rows.get(("status", "", f"wave/{number}"))
        if row is None:
            return ""
        return str(json.loads(base64.b64decode(row[0]))["state"])

    def _advice_address(self) -> dict[str, str]:
        if self.advice is None:
            return {}
        return {"advice": self.advice.port.address}

    def node_settings(
        self, daemon_id: str, ip: str = "127.0.0.1", zone: str = "here"
    ) -> str:
        """Return the settings file that the platform would provide for a daemon."""
        bounds = {"graceS": 3, "maxHoldMs": 4000, "leaseMs": 500}
        if self.evacuate_ms is not None:
            bounds["evacuateMs"] = self.evacuate_ms
        return json.dumps(
            {
                **self._advice_address(),
                "node": daemon_id,
                "zone": zone,
                "ip": ip,
                "portRange": [0, 0],
                "operatorsPort": 0,
                "bindAddresses": {"front": f"{ip}:0", "readiness": f"{ip}:0"},
                "platform": {"address": self.store.port.address},
                "cloud": {"address": self.cloud.port.address},
                "bounds": bounds,
            }
        )
