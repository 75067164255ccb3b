"""The operators' port: health, metrics, and the API behind the command line."""

import json
import typing as t

import cattrs
from aiohttp import web
from cattrs.errors import BaseValidationError
from mode import Service
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from ..configuration import BadConfiguration
from ..configuration import Change
from ..configuration import Proposal
from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import leaf_errors
from ..errors import NotFoundError
from ..errors import OutcomeUnknownError
from ..errors import PeerUnavailableError
from ..errors import StreamthreadError
from ..jobs.router import PoolJobsRequest
from ..providers import JsonObject
from ..structure import strict_converter
from ..structure import structure_errors
from ..timeline import EventFilter
from ..timeline import merge_events
from ..timeline import read_archive
from . import reports
from .metrics import make_registry

if t.TYPE_CHECKING:
    from .daemon import Entry

__all__ = ["OperatorService"]

_STATUS: dict[type[StreamthreadError], int] = {
    BadInputError: 400,
    NotFoundError: 404,
    ConflictError: 409,
    OutcomeUnknownError: 504,
}
UNAVAILABLE_STATUS = 503

Handler = t.Callable[[web.Request], t.Awaitable[t.Any]]


class OperatorService(Service):
    """Serves operators and the platform's probes."""

    def __init__(self, entry: "Entry") -> None:
        super().__init__()
        self.address = ""
        self._entry = entry
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the operators' port."""
        app = web.Application()
        registry = make_registry(self._entry)

        async def metrics(request: web.Request) -> web.Response:
            body = generate_latest(registry)
            return web.Response(
                body=body, headers={"Content-Type": CONTENT_TYPE_LATEST}
            )

        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", metrics)
        app.router.add_get("/configuration", self._api(self._get_configuration))
        app.router.add_post("/configuration", self._api(self._propose))
        app.router.add_get("/pools", self._api(self._pools))
        app.router.add_get("/instances", self._api(self._instances))
        app.router.add_get("/waves", self._api(self._waves))
        app.router.add_get("/entries", self._api(self._entries))
        app.router.add_post("/jobs", self._api(self._jobs))
        app.router.add_get("/timeline", self._api(self._timeline))
        app.router.add_get("/status", self._api(self._status))
        app.router.add_get("/explain/{kind}/{name:.+}", self._api(self._explain))
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        listen = self._entry.settings.operators
        await web.TCPSite(self._runner, listen.host, listen.port).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _api(self, handler: Handler) -> t.Any:
        async def handle(request: web.Request) -> web.Response:
            try:
                return web.json_response(await handler(request))
            except BadConfiguration as group:
                return _error_response(400, leaf_errors(group))
            except StreamthreadError as error:
                return _error_response(_status_of(error), [error])
            except BaseValidationError as invalid:
                return _error_response(400, structure_errors(invalid, "$"))
            except json.JSONDecodeError as error:
                bad = BadInputError(f"not JSON: {error}", remedy="send a JSON object")
                return _error_response(400, [bad])

        return handle

    # Probes.

    async def _healthz(self, request: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def _readyz(self, request: web.Request) -> web.Response:
        ready = self._entry.is_ready()
        text = "ready\n" if ready else "not ready\n"
        return web.Response(text=text, status=200 if ready else UNAVAILABLE_STATUS)

    # Configuration.

    async def _get_configuration(self, request: web.Request) -> JsonObject:
        active = self._entry.configuration.active
        return {
            "generation": active.generation,
            "digest": active.digest,
            "items": active.items,
        }

    async def _propose(self, request: web.Request) -> JsonObject:
        proposal = _structure_proposal(await request.json())
        generation = await self._entry.configuration.propose(proposal)
        return {"generation": generation}

    # Reports.

    async def _pools(self, request: web.Request) -> t.Any:
        return reports.pools(self._entry)

    async def _instances(self, request: web.Request) -> t.Any:
        return reports.instances(self._entry, request.query.get("selector", ""))

    async def _waves(self, request: web.Request) -> t.Any:
        return reports.waves(self._entry)

    async def _entries(self, request: web.Request) -> t.Any:
        return reports.entries(self._entry)

    async def _status(self, request: web.Request) -> t.Any:
        return reports.status(self._entry)

    async def _explain(self, request: web.Request) -> t.Any:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if kind == "job":
            return await reports.explain_job(self._entry, name)
        return reports.explain(self._entry, kind, name)

    async def _jobs(self, request: web.Request) -> t.Any:
        wish = strict_converter.structure(await request.json(), PoolJobsRequest)
        return cattrs.unstructure(await self._entry.job_router.handle(wish))

    # Timeline.

    async def _timeline(self, request: web.Request) -> JsonObject:
        """Merge the events of all daemons that answer; name those that do not.

        With ``archived`` in the query, the stored events of all daemons too; with
        ``only_here``, the events of this daemon alone.
        """
        event_filter = EventFilter(
            subject=request.query.get("subject", ""),
            kind=request.query.get("kind", ""),
            since_ms=int(request.query.get("since_ms", "0")),
            limit=int(request.query.get("limit", "1000")),
        )
        parts = [self._entry.recorder.select(event_filter)]
        silent: list[str] = []
        only_here = "only_here" in request.query
        for peer in [] if only_here else self._entry.leases.peers():
            try:
                parts.append(await self._entry.peers.fetch_events(peer, event_filter))
            except PeerUnavailableError:
                silent.append(peer.daemon_id)
        if "archived" in request.query:
            parts.append(await read_archive(self._entry.objects, event_filter))
        events = merge_events(parts)[-event_filter.limit :]
        return {"events": cattrs.unstructure(events), "silent": silent}


def _structure_proposal(value: JsonObject) -> Proposal:
    """Read a proposal; item values are checked by the configuration slice."""
    try:
        changes = tuple(
            Change(str(change["key"]), change["value"]) for change in value["changes"]
        )
        base_generation = int(value["base_generation"])
        read_keys = tuple(str(key) for key in value.get("read_keys", ()))
    except (KeyError, TypeError, ValueError) as error:
        raise BadInputError(
            f"not a proposal: {error!r}",
            remedy="send base_generation, and changes with key and value",
        ) from error
    return Proposal(base_generation, changes, read_keys)


def _status_of(error: StreamthreadError) -> int:
    for kind, status in _STATUS.items():
        if isinstance(error, kind):
            return status
    return UNAVAILABLE_STATUS


def _error_response(status: int, errors: t.Sequence[StreamthreadError]) -> web.Response:
    body = {
        "errors": [
            {
                "kind": error.kind,
                "message": error.message,
                "remedy": error.remedy,
                "location": error.location,
            }
            for error in errors
        ]
    }
    return web.json_response(body, status=status)
