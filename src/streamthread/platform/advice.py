"""Client of the advice service, which decides which runners may run a step."""

import typing as t

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Decoder
from ..decoding import PartsDecoder
from ..errors import OutcomeUnknownError
from ..errors import UnreadableError
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .http import refuse_status
from .http import ServiceClient

__all__ = ["MAX_RUNNERS_PER_CALL", "Advice", "AdviceClient", "Ticket"]

MAX_RUNNERS_PER_CALL = 100
"""The service accepts no more runner ids in one call."""

CONNECTIONS = 1
"""The service accepts one call at a time from each client."""

_ADVISE = "/-/advise"


@attrs.frozen
class Ticket:
    """Permits one incarnation of a runner to run the tasks of one step."""

    runner_id: str
    text: str


@attrs.frozen
class Advice:
    """The runners that may run a step; their tickets are valid for ``valid_s``."""

    tickets: tuple[Ticket, ...]
    valid_s: float | None


class _TicketRow(msgspec.Struct, array_like=True):
    runner_id: str
    ticket: str


class _AdviceAnswer(msgspec.Struct):
    """The service spells ``valid_ms`` also as ``validMs``."""

    good: list[msgspec.Raw] = []
    valid_ms: Amount | None = None
    validMs: Amount | None = None  # noqa: N815


_ADVICE = PartsDecoder[_AdviceAnswer](_AdviceAnswer)
_TICKETS = Decoder[_TicketRow](_TicketRow)


class AdviceClient(ServiceClient):
    """The client of the advice service.

    :param address: ``host:port``.
    """

    def __init__(self, address: str, notes: UnreadableNotes | None = None) -> None:
        self._notes = notes or UnreadableNotes()
        super().__init__(address, CONNECTIONS, self._notes)
        self.calls = 0

    async def advise(
        self, step: str, runner_ids: t.Sequence[str], timeout_s: float
    ) -> Advice:
        """Ask which of the runners may run a step (``ID.K.STEP``).

        A row that cannot be decoded permits no runner.

        :param runner_ids: at most :data:`MAX_RUNNERS_PER_CALL`.
        :param timeout_s: maximum time until the answer begins.
        :raises NoAnswerError: there was no answer in this time.
        :raises StoreUnavailableError: the service refused the call for now.
        :raises OutcomeUnknownError: there was no complete answer.
        """
        self.calls += 1
        body = {"step": step, "workers": list(runner_ids)}
        answer = await self._caller.call(
            "POST", self._url + _ADVISE, body, timeout_s=timeout_s
        )
        refuse_status(answer, self._url + _ADVISE)
        if answer.status != 200:
            # Without an answer about them, no runner is denied.
            raise OutcomeUnknownError(
                f"answered with status {answer.status}",
                remedy="the call is retried automatically",
                location=self._url + _ADVISE,
            )
        advice = self._caller.read(answer, _ADVICE)
        valid_ms = advice.validMs if advice.valid_ms is None else advice.valid_ms
        return Advice(
            tuple(self._tickets(step, advice.good)),
            None if valid_ms is None else valid_ms / 1000,
        )

    def _tickets(self, step: str, rows: t.Iterable[msgspec.Raw]) -> t.Iterator[Ticket]:
        for text in rows:
            try:
                row = _TICKETS.decode(text, step)
            except UnreadableError as error:
                self._notes.note(Source.ADVICE, error)
                continue
            yield Ticket(row.runner_id, row.ticket)
