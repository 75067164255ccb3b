"""Serves callers' requests on the callers' port and counts their outcomes."""

import asyncio
import typing as t

from aiohttp import web
from mode import Service

from ..clocks import boot_s
from ..configuration import ConfigurationService
from .at_most_once import AtMostOnce
from .claims import ClaimService
from .dispatch import Dispatcher
from .outcomes import Outcome
from .outcomes import OUTCOME_HEADER
from .outcomes import Problem
from .outcomes import problem_response
from .parse import MAX_BODY_BYTES
from .parse import parse_call
from .parse import TokenAuthenticator
from .router import Router

__all__ = ["RequestService"]

SHUTDOWN_TIMEOUT_S = 0.1
"""Short, because :meth:`RequestService.finish` has already waited for requests."""

FINISH_POLL_S = 0.02
"""How often :meth:`RequestService.finish` checks whether all requests have ended."""

OUTDATED_RETRY_S = 1.0
"""Retry-After while the configuration here may be outdated.

Meanwhile the balancer chooses another daemon.
"""


class RequestService(Service):
    """The HTTP server for callers.

    :param is_current: returns whether this daemon's configuration is current enough
        for new requests.
    """

    def __init__(
        self,
        host: str,
        port: int,
        daemon_id: str,
        configuration: ConfigurationService,
        router: Router,
        claims: ClaimService,
        is_current: t.Callable[[], bool],
    ) -> None:
        super().__init__()
        self.port = port
        self.in_flight = 0
        self.outcomes: dict[str, int] = {}
        self.stopping = False
        self._host = host
        self._configuration = configuration
        self._is_current = is_current
        self._authenticator = TokenAuthenticator(configuration)
        self._dispatcher = Dispatcher(router, lambda: self.stopping)
        self._at_most_once = AtMostOnce(daemon_id, claims, self._dispatcher)
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    async def on_start(self) -> None:
        """Open the callers' port."""
        self._dispatcher.open()
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._handle_counted)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(self._runner, self._host, self.port)
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the remaining connections from callers and to upstreams."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._dispatcher.close()

    async def finish(self, limit_s: float) -> int:
        """Refuse new connections and wait for the requests in flight.

        :return: how many requests are still in flight after ``limit_s``; they will be
            cut off.
        """
        if self._site is not None:
            await self._site.stop()
        give_up_at_s = boot_s() + limit_s
        while self.in_flight and boot_s() < give_up_at_s:
            await asyncio.sleep(FINISH_POLL_S)
        return self.in_flight

    # Handling of a request.

    async def _handle_counted(self, request: web.Request) -> web.StreamResponse:
        self.in_flight += 1
        outcome = Outcome.UNKNOWN
        try:
            response = await self._handle(request)
            outcome = Outcome(response.headers[OUTCOME_HEADER])
            return response
        finally:
            self.in_flight -= 1
            count = self.outcomes.get(outcome.value, 0)
            self.outcomes[outcome.value] = count + 1

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        try:
            self._require_current_configuration()
            call = await parse_call(
                request, self._configuration.active, self._authenticator
            )
            if call.repeat_safe:
                return await self._dispatcher.dispatch(request, call)
            return await self._at_most_once.dispatch(request, call)
        except Problem as problem:
            response = problem_response(problem)
            self._close_if_stopping(response)
            return response

    def _require_current_configuration(self) -> None:
        if self._is_current():
            return
        raise Problem(
            status=503,
            kind="cut-off",
            detail="this entry cannot tell whether its configuration is current",
            remedy="send it again: the balancer chooses another entry",
            outcome=Outcome.NOT_RUN,
            retry_after_s=OUTDATED_RETRY_S,
        )

    def _close_if_stopping(self, response: web.StreamResponse) -> None:
        if self.stopping:
            response.force_close()
