"""A stand-in for the service that decides which runners may run a step."""

import asyncio
import time
import typing as t

import attrs
from aiohttp import web

from .port import HttpPort
from .port import PLAY_DEAD_S

__all__ = ["AdviceCall", "AdviceFaults", "AdviceStandin", "PolicyFigures"]

MAX_RUNNERS = 100
"""Maximum number of ids in one call."""

MAX_WAITING_CALLS = 32
"""With this number of calls waiting, further ones are refused with 429."""


@attrs.frozen
class PolicyFigures:
    """What a route's manifest says of its policy.

    :param decide_ms: fixed duration of a call.
    :param each_ms: additional duration for each runner in a call.
    :param valid_ms: how long a ticket is valid.
    """

    decide_ms: float = 50.0
    each_ms: float = 5.0
    valid_ms: float = 20_000.0


@attrs.frozen
class AdviceCall:
    """One answered call, with the ids that it named and those that were permitted."""

    step: str
    at_s: float
    asked: tuple[str, ...]
    good: tuple[str, ...]


@attrs.define
class AdviceFaults:
    """The simulated faults; tests change the fields.

    :param slowness: calls take this many times as long as the policy says.
    :param silent: calls get no answer.
    :param refuse: HTTP status that answers all calls; 0: none.
    """

    slowness: float = 1.0
    silent: bool = False
    refuse: int = 0


class AdviceStandin:
    """Answers one call at a time, after the duration that the policy says.

    :param may_run: whether a step (``ID.K.STEP``) may run on a runner.
    :param calls: the calls that were answered.
    :param ids_asked: how many ids all calls named, also those without an answer.
    """

    def __init__(
        self,
        may_run: t.Callable[[str, str], bool] = lambda step, runner_id: True,
        figures: PolicyFigures = PolicyFigures(),
    ) -> None:
        self.may_run = may_run
        self.figures = figures
        self.faults = AdviceFaults()
        self.calls: list[AdviceCall] = []
        self.ids_asked = 0
        self.tickets_refused = 0
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._turn = asyncio.Lock()
        self._waiting = 0
        self.port = HttpPort(self._serve)

    def manifest_row(self) -> dict[str, float]:
        """Return the policy in the manifest's format."""
        return attrs.asdict(self.figures)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        runner_ids = body["workers"]
        if request.path != "/-/advise" or len(runner_ids) > MAX_RUNNERS:
            return web.Response(status=400)
        self.ids_asked += len(runner_ids)
        if self.faults.silent:
            await asyncio.sleep(PLAY_DEAD_S)
        if self.faults.refuse or self._waiting >= MAX_WAITING_CALLS:
            return web.Response(status=self.faults.refuse or 429)
        self._waiting += 1
        try:
            async with self._turn:
                await asyncio.sleep(self._duration_s(len(runner_ids)))
        finally:
            self._waiting -= 1
        return web.json_response({"good": self._decide(body["step"], runner_ids)})

    def _duration_s(self, count: int) -> float:
        figures = self.figures
        duration_ms = figures.decide_ms + figures.each_ms * count
        return duration_ms * self.faults.slowness / 1000

    def _decide(self, step: str, runner_ids: list[str]) -> list[list[str]]:
        good = [[i, self._issue(step, i)] for i in runner_ids if self.may_run(step, i)]
        call = AdviceCall(
            step, time.monotonic(), tuple(runner_ids), tuple(i for i, _ in good)
        )
        self.calls.append(call)
        return good

    def _issue(self, step: str, runner_id: str) -> str:
        ticket = f"ticket-{len(self._tickets) + 1}"
        until_s = time.monotonic() + self.figures.valid_ms / 1000
        self._tickets[ticket] = (step, runner_id, until_s)
        return ticket

    def is_valid(self, ticket: str, task: str, runner_id: str) -> bool:
        """Whether a start of a task (``ID.K.STEP.INDEX``) on a runner is permitted."""
        step = task.rpartition(".")[0]
        known = self._tickets.get(ticket)
        if known is not None and known[:2] == (step, runner_id):
            if time.monotonic() <= known[2]:
                return True
        self.tickets_refused += 1
        return False
