"""A cluster of real processes: stand-ins, the fault-injecting proxy and entries."""

import asyncio
import contextlib
import json
import pathlib
import tempfile
import typing as t

import aiohttp
import attrs

from tools.processes import EntryProcess
from tools.processes import Json
from tools.processes import Process

__all__ = ["Cluster", "ClusterPlan", "service_items"]

WORKER_CORES = 16
WORKER_MEMORY_BYTES = 32 * 2**30
WORKERS_A_RACK = 4

FAST_LEASES: Json = {
    "shard_count": 16,
    "renew_s": 0.3,
    "term_s": 1.5,
    "margin_s": 0.4,
}
FAST_FLEET: Json = {
    "tick_s": 0.1,
    "membership_poll_s": 0.1,
    "stale_s": 3.0,
    "drain_limit_s": 20.0,
}


@attrs.define
class ClusterPlan:
    """What to start.

    :param settings: merged into each entry's settings.
    :param proxied: put the entries' way to the store and to each other behind
        the fault-injecting proxy (links ``store-N`` and ``peer-N``).
    """

    entries: int = 3
    services: tuple[str, ...] = ("seat-grant",)
    halls: tuple[str, ...] = ("plateau", "almadies", "hann", "rufisque")
    runners: int = 4
    slots: int = 8
    workers: int = 0
    settings: Json = attrs.field(factory=dict)
    proxied: bool = False


class Cluster:
    """Platform stand-in, upstreams and entries; ends them all on leaving."""

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.entries: list[EntryProcess] = []
        self.platform: Process
        self.upstreams: Process | None = None
        self.proxy: Process | None = None
        self.session: aiohttp.ClientSession
        self._all: list[Process] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    async def __aenter__(self) -> "Cluster":
        self.session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.close()

    async def close(self) -> None:
        """End every process that was started here."""
        for process in self._all:
            with contextlib.suppress(ProcessLookupError):
                await process.kill()
        await self.session.close()
        self._folder.cleanup()

    def running(self) -> list[str]:
        """Return the names of the processes that still run."""
        return [process.name for process in self._all if process.running]

    async def _start(self) -> None:
        self.platform = await self._run("platform", "standin", "platform")
        if self.plan.proxied:
            self.proxy = await self._run("proxy", "standin", "proxy")
        if self.plan.services:
            self.upstreams = await self._start_upstreams()
        if self.plan.workers:
            await self.register(self.worker_instances())
        started = (self.start_entry(number) for number in range(self.plan.entries))
        self.entries = list(await asyncio.gather(*started))

    async def _start_upstreams(self) -> Process:
        arguments = ["standin", "upstreams", "--platform", self.platform_url]
        for service in self.plan.services:
            arguments += ["--service", service]
        for hall in self.plan.halls:
            arguments += ["--hall", hall]
        arguments += ["--runners", str(self.plan.runners)]
        arguments += ["--slots", str(self.plan.slots)]
        return await self._run("upstreams", *arguments)

    async def _run(self, name: str, *arguments: str) -> Process:
        process = await Process.start(name, self.folder / f"{name}.log", *arguments)
        self._all.append(process)
        return process

    async def start_entry(self, number: int) -> EntryProcess:
        """Start one entry."""
        name = f"entry-{number}"
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(await self._entry_settings(number)))
        log = self.folder / f"{name}.log"
        entry = await EntryProcess.start(name, log, "entry", "--settings", str(path))
        self._all.append(entry)
        if self.proxy is not None:
            await self._link(f"peer-{number}", entry.announced["peers"])
        return t.cast(EntryProcess, entry)

    async def _entry_settings(self, number: int) -> Json:
        url = self.platform_url
        advertised = ""
        if self.proxy is not None:
            port = await self._link(f"store-{number}", url.removeprefix("http://"))
            url = f"http://127.0.0.1:{port}"
            peer_port = await self._link(f"peer-{number}")
            advertised = f"127.0.0.1:{peer_port}"
        base: Json = {
            "advertised_peers_address": advertised,
            "daemon_id": f"entry-{number}",
            "hall": self.plan.halls[number % len(self.plan.halls)],
            "platform": {"kind": "http", "url": url, "timeout_s": 1.0},
            "peers": {"key": "test", "exchange_s": 0.3, "min_gap_s": 0.05},
            "configuration_poll_s": 0.5,
            "stale_s": 2.5,
            "linger_s": 0.5,
            "leases": FAST_LEASES,
            "fleet": FAST_FLEET,
            "jobs": {"tick_s": 0.1, "sweep_s": 1.0},
        }
        return base | self.plan.settings

    async def _link(self, name: str, address: str = "") -> int:
        """Create a link of the proxy, or name its target; return its port."""
        assert self.proxy is not None
        host, _, port = address.rpartition(":")
        body = {"host": host, "port": int(port)} if address else {}
        url = f"http://127.0.0.1:{self.proxy.announced['port']}/links/{name}"
        answer = await self._post(url, body)
        return int(answer["port"])

    @property
    def platform_url(self) -> str:
        """The platform stand-in's URL."""
        return f"http://127.0.0.1:{self.platform.announced['port']}"

    # Driving the stand-ins.

    async def _post(self, url: str, body: Json) -> t.Any:
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()
            return await response.json()

    async def set_faults(self, **faults: t.Any) -> None:
        """Change the platform stand-in's faults."""
        await self._post(f"{self.platform_url}/standin/faults", faults)

    async def set_link(self, name: str, **faults: t.Any) -> None:
        """Change the faults of one link of the proxy."""
        assert self.proxy is not None
        port = self.proxy.announced["port"]
        await self._post(f"http://127.0.0.1:{port}/links/{name}/faults", faults)

    async def set_upstream(self, instance_id: str, **state: t.Any) -> Json:
        """Make a runner leave or break."""
        url = f"{self.upstreams_url}/control/set"
        return t.cast(
            Json, await self._post(url, {"instance_id": instance_id, **state})
        )

    async def set_status(self, status: str, *instance_ids: str) -> None:
        """Change what the membership list will say."""
        url = f"{self.platform_url}/standin/status"
        body = {"status": status, "instance_ids": list(instance_ids)}
        await self._post(url, body)

    async def register(self, instances: list[Json]) -> None:
        """Add instances to the membership list."""
        url = f"{self.platform_url}/standin/instances"
        await self._post(url, {"instances": instances})

    def worker_instances(self) -> list[Json]:
        """Return the workers of the plan, spread over its halls."""
        return [self._worker(number) for number in range(self.plan.workers)]

    def _worker(self, number: int) -> Json:
        halls = self.plan.halls
        hall = halls[number % len(halls)]
        rack = number // (WORKERS_A_RACK * len(halls))
        return {
            "instance_id": f"worker-{number}",
            "hall": hall,
            "rack": f"{hall}-w{rack}",
            "cores": WORKER_CORES,
            "memory_bytes": WORKER_MEMORY_BYTES,
            "labels": {"role": "worker"},
        }

    @property
    def upstreams_url(self) -> str:
        """The control URL of the runners."""
        assert self.upstreams is not None
        return f"http://127.0.0.1:{self.upstreams.announced['port']}"

    async def counters(self) -> Json:
        """Return the platform stand-in's counters."""
        url = f"{self.platform_url}/standin/counters"
        async with self.session.get(url) as response:
            return t.cast(Json, await response.json())

    async def runner_counters(self, starts: bool = False) -> Json:
        """Return each runner's counters."""
        url = f"{self.upstreams_url}/control/counters"
        query = {"starts": "1"} if starts else {}
        async with self.session.get(url, params=query) as response:
            return t.cast(Json, await response.json())

    # Driving the entries.

    async def apply(self, items: dict[str, Json], entry: int = 0) -> int:
        """Apply items through one entry and return the generation."""
        operators = self.entries[entry].operators
        present = await operators.get("/status")
        changes = [{"key": key, "value": value} for key, value in items.items()]
        body = {"base_generation": present["generation"], "changes": changes}
        answer = await operators.post("/configuration", body)
        return int(answer["generation"])

    async def pool(self, name: str, entry: int = 0) -> Json:
        """Return one pool as an entry reports it."""
        pools = await self.entries[entry].operators.get("/pools")
        return t.cast(Json, next(pool for pool in pools if pool["pool"] == name))

    async def timeline(self, entry: int = 0, **query: str) -> list[Json]:
        """Return the merged events."""
        answer = await self.entries[entry].operators.get("/timeline", **query)
        return t.cast(list[Json], answer["events"])

    async def call(
        self, service: str, path: str = "", entry: int = 0, **arguments: t.Any
    ) -> tuple[int, t.Mapping[str, str], bytes]:
        """Send one caller's request; return status, headers and body."""
        url = f"{self.entries[entry].callers_url}/services/{service}/{path}"
        method = arguments.pop("method", "GET")
        async with self.session.request(method, url, **arguments) as response:
            return response.status, response.headers, await response.read()


def service_items(
    services: t.Sequence[str], min_available: int = 2, **extra: t.Any
) -> dict[str, Json]:
    """Return a pool and a service for each name."""
    items: dict[str, Json] = {}
    for name in services:
        items[f"pool/{name}"] = {
            "selector": f"service = {name}, role = runner",
            "min_available": min_available,
        }
        items[f"service/{name}"] = {"pool": name, **extra}
    return items
