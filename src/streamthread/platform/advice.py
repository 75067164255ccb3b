"""The service that says which runners may run a step."""

import typing as t

import attrs

from .http import refuse_status
from .http import ServiceClient

__all__ = ["Advice", "AdviceClient", "Ticket"]

MOST_RUNNERS_PER_CALL = 100
"""Ids beyond these are left out of a call."""

CONNECTIONS = 1
"""The service takes one call at a time from us."""

_ADVISE = "/-/advise"


@attrs.frozen
class Ticket:
    """Lets one life of a runner run the tasks of one step."""

    runner_id: str
    text: str


@attrs.frozen
class Advice:
    """The runners that may run a step; tickets hold for ``valid_s``."""

    tickets: tuple[Ticket, ...]
    valid_s: float | None


class AdviceClient(ServiceClient):
    """The client of the advice service.

    :param address: ``host:port``.
    :param timeout_s: an answer begins within this time.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        super().__init__(address, timeout_s, CONNECTIONS)
        self.calls = 0

    async def advise(self, step: str, runner_ids: t.Sequence[str]) -> Advice:
        """Ask which of the runners may run a step (``ID.K.STEP``)."""
        self.calls += 1
        body = {"step": step, "workers": list(runner_ids[:MOST_RUNNERS_PER_CALL])}
        answer = await self._caller.call(
            "POST", self._url + _ADVISE, body, timeout_s=self._timeout_s
        )
        refuse_status(answer, self._url + _ADVISE)
        rows = answer.body.get("good", ())
        valid_ms = answer.body.get("valid_ms", answer.body.get("validMs"))
        return Advice(
            tuple(Ticket(row[0], row[1]) for row in rows),
            None if valid_ms is None else float(valid_ms) / 1000,
        )
