"""Stand-ins for upstreams: runners with slots that count the requests they run.

Each runner listens on its own port. A request may set ``delay_ms`` and ``size_bytes``.
The answer contains a digest of the request's path and body, so that a caller can check
that it received the answer to its own request.
"""

import asyncio
import collections
import hashlib
import time
import typing as t

import aiohttp
from aiohttp import web
from mode import Service

from ..providers import JsonObject
from ..requests.outcomes import IDEMPOTENCY_HEADER
from ..requests.outcomes import LEAVING_HEADER
from ..requests.outcomes import NOT_STARTED_HEADER

__all__ = ["Runner", "RunnerPlan", "UpstreamStandins"]

CHUNK = b"x" * 65536


class RunnerPlan(t.NamedTuple):
    """The id, place and labels of one runner."""

    instance_id: str
    hall: str
    rack: str
    labels: dict[str, str]


class Runner:
    """One upstream. It refuses requests beyond its slots and counts starts by key."""

    def __init__(self, plan: RunnerPlan, slots: int) -> None:
        self.plan = plan
        self.port = 0
        self.leaving = False
        self.broken = False
        self.down_until_s = 0.0
        self.counters: collections.Counter[str] = collections.Counter()
        self.starts: collections.Counter[str] = collections.Counter()
        self.last_start_s = 0.0
        self._slots = slots
        self._busy = 0
        self._runner: web.AppRunner | None = None

    async def start(self, host: str) -> None:
        """Open the port."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _headers(self) -> dict[str, str]:
        return {LEAVING_HEADER: "true"} if self.leaving else {}

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if time.monotonic() < self.down_until_s:
            return _abort(request)
        body = await request.read()
        if self._busy >= self._slots:
            self.counters["refused"] += 1
            headers = {NOT_STARTED_HEADER: "slots", **self._headers()}
            return web.Response(status=503, headers=headers)
        self._busy += 1
        try:
            return await self._run(request, body)
        finally:
            self._busy -= 1

    async def _run(self, request: web.Request, body: bytes) -> web.StreamResponse:
        self.counters["started"] += 1
        self.counters["most_at_once"] = max(self.counters["most_at_once"], self._busy)
        self.last_start_s = time.time()
        key = request.headers.get(IDEMPOTENCY_HEADER)
        if key:
            self.starts[key] += 1
        await asyncio.sleep(int(request.query.get("delay_ms", "0")) / 1000)
        if self.broken or time.monotonic() < self.down_until_s:
            return _abort(request)
        self.counters["ended"] += 1
        return await self._answer(request, body)

    async def _answer(self, request: web.Request, body: bytes) -> web.StreamResponse:
        size_bytes = int(request.query.get("size_bytes", "0"))
        digest = hashlib.sha256(request.path_qs.encode() + body).hexdigest()
        if not size_bytes:
            answer = {"instance": self.plan.instance_id, "digest": digest}
            return web.json_response(answer, headers=self._headers())
        return await self._long_answer(request, digest, size_bytes)

    async def _long_answer(
        self, request: web.Request, digest: str, size_bytes: int
    ) -> web.StreamResponse:
        """Send the digest and filler bytes; abort after ``break_at_bytes`` if set."""
        headers = {"Content-Type": "application/octet-stream", **self._headers()}
        response = web.StreamResponse(headers=headers)
        if "chunked" not in request.query:
            response.content_length = size_bytes
        break_at = int(request.query.get("break_at_bytes", str(size_bytes + 1)))
        await response.prepare(request)
        await response.write(digest.encode())
        sent = len(digest)
        while sent < size_bytes:
            if sent >= break_at:
                return _abort(request)
            chunk = CHUNK[: size_bytes - sent]
            await response.write(chunk)
            sent += len(chunk)
        await response.write_eof()
        return response


def _abort(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class UpstreamStandins(Service):
    """Many runners in one process, registered with the platform stand-in."""

    def __init__(
        self,
        plans: t.Sequence[RunnerPlan],
        platform_url: str,
        slots: int = 8,
        host: str = "127.0.0.1",
    ) -> None:
        super().__init__()
        self.port = 0
        self.runners = {plan.instance_id: Runner(plan, slots) for plan in plans}
        self._platform_url = platform_url
        self._host = host
        self._control: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open all ports and register."""
        for runner in self.runners.values():
            await runner.start(self._host)
        app = web.Application()
        app.router.add_post("/control/reboot", self._reboot)
        app.router.add_post("/control/set", self._set)
        app.router.add_get("/control/counters", self._counters)
        self._control = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._control.setup()
        await web.TCPSite(self._control, self._host, 0).start()
        self.port = self._control.addresses[0][1]
        await self._register()

    async def on_stop(self) -> None:
        """Close all ports."""
        for runner in self.runners.values():
            await runner.stop()
        if self._control is not None:
            await self._control.cleanup()

    async def _register(self) -> None:
        control_url = f"http://{self._host}:{self.port}"
        instances = [
            {
                "instance_id": runner.plan.instance_id,
                "hall": runner.plan.hall,
                "rack": runner.plan.rack,
                "address": f"{self._host}:{runner.port}",
                "labels": runner.plan.labels,
                "control_url": control_url,
            }
            for runner in self.runners.values()
        ]
        async with aiohttp.ClientSession() as session:
            url = f"{self._platform_url}/standin/instances"
            async with session.post(url, json={"instances": instances}) as reply:
                reply.raise_for_status()

    async def _reboot(self, request: web.Request) -> web.Response:
        body: JsonObject = await request.json()
        runner = self.runners[body["instance_id"]]
        runner.down_until_s = time.monotonic() + body["reboot_s"]
        runner.leaving = False
        return web.json_response({})

    async def _set(self, request: web.Request) -> web.Response:
        body: JsonObject = await request.json()
        runner = self.runners[body["instance_id"]]
        runner.leaving = bool(body.get("leaving", runner.leaving))
        runner.broken = bool(body.get("broken", runner.broken))
        return web.json_response({"time_s": time.time()})

    async def _counters(self, request: web.Request) -> web.Response:
        answer = {
            name: {
                **runner.counters,
                "last_start_s": runner.last_start_s,
                "double_starts": sum(count > 1 for count in runner.starts.values()),
                "starts": dict(runner.starts) if "starts" in request.query else {},
            }
            for name, runner in self.runners.items()
        }
        return web.json_response(answer)
