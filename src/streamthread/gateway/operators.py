"""The operators' port: metrics, status, and explanations of a job's tasks."""

import json

from aiohttp import web
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from ..cell import cell_pb2 as pb
from ..errors import PeerUnavailableError
from .metrics import make_registry
from .view import DaemonView

__all__ = ["CellOperators"]

SHUTDOWN_TIMEOUT_S = 0.3
"""How long open connections may take to end when the port closes."""


class CellOperators(Service):
    """Serves operators. Every daemon can answer, since it asks the holder."""

    def __init__(self, daemon: DaemonView, host: str, port: int) -> None:
        super().__init__()
        self.address = ""
        self._daemon = daemon
        self._host = host
        self._port = port
        self._registry = make_registry(daemon)
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the port."""
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/status", self._status)
        app.router.add_get("/explain/job/{name}", self._explain)
        app.router.add_get("/runners", self._runners)
        app.router.add_get("/accounts", self._accounts)
        app.router.add_get("/halls", self._halls)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        body = generate_latest(self._registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _status(self, request: web.Request) -> web.Response:
        daemon = self._daemon
        owner = daemon.lease.owner
        manifest = daemon.documents.manifest
        return web.json_response(
            {
                "daemon": daemon.node.daemon_id,
                "hall": daemon.node.hall,
                "ready": daemon.is_ready(),
                "holder": owner.daemon_id if owner else "",
                "token": owner.token if owner else 0,
                "holding": daemon.lease.holding,
                "manifest_version": manifest.version if manifest else 0,
                "unreadable": daemon.notes.describe(),
                "unforeseen_failures": daemon.failures.counts,
            }
        )

    async def _explain(self, request: web.Request) -> web.Response:
        return await self._ask("job", request.match_info["name"])

    async def _runners(self, request: web.Request) -> web.Response:
        return await self._ask("runners", "")

    async def _accounts(self, request: web.Request) -> web.Response:
        return await self._ask("accounts", "")

    async def _halls(self, request: web.Request) -> web.Response:
        return await self._ask("halls", "")

    async def _ask(self, kind: str, name: str) -> web.Response:
        """Answer from the holder, in this daemon or on a peer."""
        call = pb.ExplainRequest(kind=kind, name=name)
        owner = self._daemon.lease.owner
        if self._daemon.holder is not None:
            reply = self._daemon.explain(call)
        elif owner is None:
            return _problem(503, "no holder is known", "try again in a second")
        else:
            try:
                reply = await self._daemon.peers.explain(owner.address, call)
            except PeerUnavailableError as error:
                return _problem(503, error.message, error.remedy)
        value = json.loads(reply.text_json or "null")
        if value is None:
            return _problem(404, f"no {kind} {name}", "jobs are kept for some minutes")
        return web.json_response(value)


def _problem(status: int, message: str, remedy: str) -> web.Response:
    kind = "not-found" if status == 404 else "peer-unavailable"
    error = {"kind": kind, "message": message, "remedy": remedy, "location": ""}
    return web.json_response({"errors": [error]}, status=status)
