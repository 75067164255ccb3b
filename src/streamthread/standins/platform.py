"""A stand-in for the platform: its HTTP protocol on top of the in-memory adapter.

In addition to the platform's own paths, it serves ``/standin/...`` to register
instances, set faults and read counters.
"""

import asyncio
import collections
import typing as t

import aiohttp
import attrs
import cattrs
from aiohttp import web
from mode import Service

from ..errors import StreamthreadError
from ..providers import Instance
from ..providers import InstanceStatus
from ..providers import JsonObject
from ..providers import memory_platform
from ..providers import MemoryMembership
from ..providers import MemoryWorkers
from ..providers import TaskStart
from ..providers import TaskState
from ..providers import Transaction
from .faults import delay
from .faults import Faults
from .faults import RateLimit

__all__ = ["PlatformStandin"]

WRITES_PER_S = 300.0
READS_PER_S = 2000.0

HOLD_POLL_S = 0.02
"""How often a delayed commit checks whether it may take effect."""

MAX_BODY_BYTES = 64 * 1024 * 1024


class PlatformStandin(Service):
    """Serves one platform on one port."""

    def __init__(self, host: str = "127.0.0.1", port: int = 0) -> None:
        super().__init__()
        self.port = port
        self.faults = Faults()
        self._delaying_commit = False
        self.counters: collections.Counter[str] = collections.Counter()
        self._host = host
        self._platform = memory_platform()
        self._membership = t.cast(MemoryMembership, self._platform.membership)
        self._workers = t.cast(MemoryWorkers, self._platform.workers)
        self._writes = RateLimit(WRITES_PER_S)
        self._reads = RateLimit(READS_PER_S)
        self._control_urls: dict[str, str] = {}
        self._runner: web.AppRunner | None = None
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Open the port."""
        self._session = aiohttp.ClientSession()
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        for path, handler in self._routes().items():
            app.router.add_post(path, handler)
        app.router.add_get("/standin/counters", self._get_counters)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self.port).start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()
        if self._session is not None:
            await self._session.close()

    def _routes(self) -> dict[str, t.Any]:
        return {
            "/tables/get": self._stored(self._tables_get, self._reads),
            "/tables/scan": self._stored(self._tables_scan, self._reads),
            "/tables/commit": self._stored(self._tables_commit, self._writes),
            "/objects/put": self._stored(self._objects_put, self._writes),
            "/objects/get": self._stored(self._objects_get, self._reads),
            "/objects/list": self._stored(self._objects_list, self._reads),
            "/membership/changes": self._plain(self._membership_changes),
            "/workers/start": self._plain(self._start_task),
            "/workers/stop": self._plain(self._stop_task),
            "/workers/stop-many": self._plain(self._stop_tasks),
            "/workers/task-changes": self._plain(self._task_changes),
            "/workers/find-task": self._plain(self._find_task),
            "/workers/reboot": self._plain(self._reboot),
            "/standin/instances": self._plain(self._register),
            "/standin/status": self._plain(self._set_status),
            "/standin/faults": self._plain(self._set_faults),
        }

    # Wrappers for handlers.

    def _plain(self, handler: t.Any) -> t.Any:
        async def handle(request: web.Request) -> web.Response:
            self.counters[request.path] += 1
            try:
                return web.json_response(await handler(await request.json()))
            except StreamthreadError as error:
                return web.json_response({"conflict": str(error)})

        return handle

    def _stored(self, handler: t.Any, limit: RateLimit) -> t.Any:
        """Add the table service's limits and faults."""

        async def handle(request: web.Request) -> web.StreamResponse:
            await delay(self.faults.latency_s)
            is_write = limit is self._writes
            if self.faults.outage or (is_write and self.faults.refuse_writes):
                self.counters["refused"] += 1
                return web.Response(status=503)
            if not limit.take():
                self.counters["throttled"] += 1
                return web.Response(status=429)
            self.counters["writes" if is_write else "reads"] += 1
            self.counters[request.path] += 1
            answer = await handler(await request.json())
            if request.path == "/tables/commit" and self.faults.lose_replies > 0:
                self.faults.lose_replies -= 1
                self.counters["replies_lost"] += 1
                if request.transport is not None:
                    request.transport.abort()
            return web.json_response(answer)

        return handle

    # Tables and objects.

    async def _tables_get(self, body: JsonObject) -> JsonObject:
        rows = await self._platform.tables.get(body["keys"])
        return {"rows": cattrs.unstructure(list(rows.values()))}

    async def _tables_scan(self, body: JsonObject) -> JsonObject:
        rows = await self._platform.tables.scan(
            body["prefix"], body["after"], body["limit"]
        )
        return {"rows": cattrs.unstructure(rows)}

    async def _tables_commit(self, body: JsonObject) -> t.Any:
        transaction = cattrs.structure(body, Transaction)
        self.counters["rows_written"] += len(transaction.writes)
        await self._delay_commit(transaction)
        result = await self._platform.tables.commit(transaction)
        if any(key.startswith("shard/") for key in result.conflicting_keys):
            self.counters["fenced"] += 1
        return cattrs.unstructure(result)

    async def _delay_commit(self, transaction: Transaction) -> None:
        """Delay one commit that writes a pool's row, while the fault is set."""
        about_pool = any(write.key.startswith("pool/") for write in transaction.writes)
        if not self.faults.hold_pool_commit or self._delaying_commit or not about_pool:
            return
        self._delaying_commit = True
        self.counters["held"] += 1
        try:
            while self.faults.hold_pool_commit:
                await asyncio.sleep(HOLD_POLL_S)
        finally:
            # Reset even if the caller is gone, so that a later commit can be delayed.
            self._delaying_commit = False

    async def _objects_put(self, body: JsonObject) -> JsonObject:
        await self._platform.objects.put(body["key"], body["body"].encode())
        return {}

    async def _objects_get(self, body: JsonObject) -> JsonObject:
        stored = await self._platform.objects.get(body["key"])
        return {"body": None if stored is None else stored.decode()}

    async def _objects_list(self, body: JsonObject) -> JsonObject:
        return {"keys": await self._platform.objects.list_keys(body["prefix"])}

    # Membership.

    async def _membership_changes(self, body: JsonObject) -> t.Any:
        changes = await self._platform.membership.changes(body["cursor"])
        return cattrs.unstructure(changes)

    async def _register(self, body: JsonObject) -> JsonObject:
        for value in body["instances"]:
            control_url = value.pop("control_url", "")
            instance = cattrs.structure(value, Instance)
            self._control_urls[instance.instance_id] = control_url
            self._membership.put(instance)
        return {}

    async def _set_status(self, body: JsonObject) -> JsonObject:
        """Change the status of instances; the membership list follows with its lag."""
        for instance_id in body["instance_ids"]:
            status = InstanceStatus(body["status"])
            if status is InstanceStatus.LOST:
                self._workers.end_tasks_on(instance_id)
            self._list_later(instance_id, status=status)
        return {}

    def _list_later(self, instance_id: str, **changes: t.Any) -> None:
        def put() -> None:
            instance = self._membership.find(instance_id)
            self._membership.put(attrs.evolve(instance, **changes))

        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.membership_lag_s, put)

    # Workers.

    async def _start_task(self, body: JsonObject) -> JsonObject:
        start = cattrs.structure(body, TaskStart)
        known = await self._workers.find_task(start.job_id, start.attempt)
        await self._workers.start(start)
        if known is not None:
            return {}
        failing = start.worker_id in self.faults.failing_workers
        state = TaskState.FAILED if failing else TaskState.DONE
        run_s = 0.0 if failing else start.run_s
        loop = asyncio.get_running_loop()
        loop.call_later(run_s, self._workers.finish, start.job_id, start.attempt, state)
        return {}

    async def _stop_task(self, body: JsonObject) -> JsonObject:
        await self._workers.stop(body["job_id"], body["attempt"], body["checkpoint"])
        return {}

    async def _stop_tasks(self, body: JsonObject) -> JsonObject:
        for job_id, attempt in body["tasks"]:
            await self._workers.stop(job_id, attempt, checkpoint=False)
        return {}

    async def _task_changes(self, body: JsonObject) -> t.Any:
        return cattrs.unstructure(await self._workers.task_changes(body["cursor"]))

    async def _find_task(self, body: JsonObject) -> JsonObject:
        task = await self._workers.find_task(body["job_id"], body["attempt"])
        return {"task": cattrs.unstructure(task)}

    async def _reboot(self, body: JsonObject) -> JsonObject:
        instance_id, from_boot = body["instance_id"], body["from_boot"]
        instance = self._membership.find(instance_id)
        leaving = instance.status is not InstanceStatus.LIVE
        if instance.boot != from_boot or leaving:
            return {}
        self.counters["reboots"] += 1
        self._workers.end_tasks_on(instance_id)
        self._membership.put(attrs.evolve(instance, status=InstanceStatus.LEAVING))
        if instance_id in self.faults.stuck_reboots:
            return {}
        await self._start_reboot(instance_id, self.faults.reboot_s)
        asyncio.get_running_loop().call_later(
            self.faults.reboot_s, self._end_reboot, instance_id, from_boot
        )
        return {}

    def _end_reboot(self, instance_id: str, from_boot: int) -> None:
        self._list_later(instance_id, boot=from_boot + 1, status=InstanceStatus.LIVE)

    async def _start_reboot(self, instance_id: str, reboot_s: float) -> None:
        """Tell the instance itself to be down for the duration of the reboot."""
        url = self._control_urls.get(instance_id)
        if url and self._session is not None:
            body = {"instance_id": instance_id, "reboot_s": reboot_s}
            async with self._session.post(f"{url}/control/reboot", json=body):
                pass

    # Faults and counters.

    async def _set_faults(self, body: JsonObject) -> JsonObject:
        present = cattrs.unstructure(self.faults)
        self.faults = cattrs.structure({**present, **body}, Faults)
        return {}

    async def _get_counters(self, request: web.Request) -> web.Response:
        counters = dict(self.counters)
        counters["task_starts"] = self._workers.starts
        return web.json_response(counters)
