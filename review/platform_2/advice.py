"""The advice service: which runners may run a step, with a ticket for each."""

import asyncio
import time
import typing as t

import attrs
from aiohttp import web

from streamthread.standins.cell.port import HttpPort

__all__ = ["AdviceService", "Call"]

MAX_WORKERS = 100
"""The documented limit of ids in one call."""


@attrs.frozen
class Call:
    """One call, with the ids that were asked for and those that may run the step."""

    step: str
    at_s: float
    asked: tuple[str, ...]
    good: tuple[str, ...]


class AdviceService:
    """Answers after `decide_ms` plus `each_ms` for each id, one call at a time.

    :param may_run: the policy: whether a step may run on a runner.
    :param valid_s: how long a ticket holds.
    """

    def __init__(
        self,
        may_run: t.Callable[[str, str], bool],
        decide_s: float,
        each_s: float,
        valid_s: float,
    ) -> None:
        self._may_run = may_run
        self._decide_s = decide_s
        self._each_s = each_s
        self._valid_s = valid_s
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._turn = asyncio.Lock()
        self.calls: list[Call] = []
        self.port = HttpPort(self._serve)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        step, workers = str(body["step"]), list(body["workers"])
        if request.path != "/-/advise" or len(workers) > MAX_WORKERS:
            return web.Response(status=400)
        async with self._turn:
            await asyncio.sleep(self._decide_s + self._each_s * len(workers))
            good = [
                [w, self._issue(step, w)] for w in workers if self._may_run(step, w)
            ]
        self.calls.append(
            Call(step, time.monotonic(), tuple(workers), tuple(w for w, _ in good))
        )
        return web.json_response({"good": good})

    def _issue(self, step: str, runner_id: str) -> str:
        ticket = f"t{len(self._tickets) + 1:07d}"
        until_s = time.monotonic() + self._valid_s
        self._tickets[ticket] = (step, runner_id, until_s)
        return ticket

    def holds(self, step: str, runner_id: str, ticket: str) -> bool:
        """Whether a ticket is good for a step at a runner now."""
        known = self._tickets.get(ticket)
        if known is None or known[:2] != (step, runner_id):
            return False
        return time.monotonic() <= known[2]
