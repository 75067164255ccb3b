"""Client for runners: start, stop, hold and pace.

A hold call renews the leases of a runner's runs and returns what has ended.
"""

import enum
import itertools
import typing as t

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import Number
from ..decoding import PartsDecoder
from ..decoding import Text
from ..errors import OutcomeUnknownError
from ..errors import UnreadableError
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .http import Answer
from .http import HttpCaller
from .http import JsonObject

__all__ = [
    "CONNECTIONS_PER_RUNNER",
    "EndKind",
    "EndedRun",
    "HoldReply",
    "IncarnationEndedError",
    "OrderReply",
    "Refusal",
    "RunnerClient",
    "RunningTask",
    "StartOrder",
]

Row = t.TypeVar("Row")
"""A row of a list in its wire format."""

CONNECTIONS_PER_RUNNER = 8
"""One connection waits in a hold call; the others carry parallel starts and stops."""

OTHER_INCARNATION_STATUS = 421
"""A runner's answer to a call that is addressed to another incarnation."""

REFUSED_STATUS = 409
"""A runner's answer to an order that it refused; the body has the reason."""

MAX_LISTED_ENDS = 500
"""Maximum number of ended runs in one answer. A runner with more lists the oldest ones,
and the others only after these have been confirmed."""

EXPECT_HEADER = "Streamthread-Expect-Instance"


class EndKind(enum.Enum):
    """How a run ended, as reported by its runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Refusal(enum.Enum):
    """Why a runner refused an order; a refused order has no effect."""

    FENCED = "fence"
    OLD_RUN = "old"
    TOO_LATE = "late"
    NO_CAPACITY = "room"
    BAD_TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class IncarnationEndedError(Exception):
    """Another incarnation answers at the runner's address: the called one has ended."""


@attrs.frozen
class StartOrder:
    """An order to start one run of a task.

    :param deadline_ms: on the runner's clock; the runner refuses the order after it.
    """

    task: str
    run: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class RunningTask:
    """A run that is active on its runner.

    :param percent: progress of the work; 100 for a long-running task that is at work.
    :param usage: a rough value for the last half second: the tail latency in ms of a
        long-running task, or the thousandths of a core that another task used.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    usage: float | None = None


@attrs.frozen
class EndedRun:
    """A run that ended; ``number`` counts the ended runs of a runner's incarnation."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@attrs.frozen
class HoldReply:
    """The runs on a runner, and its ended runs that are not confirmed yet.

    :param born_ms: when the runner's incarnation started, in ms since 1970, or None if
        the answer does not say. The runner's clock and the numbers of its ended runs
        start again with each incarnation.
    :param ends_truncated: the runner may have more ended runs than it lists, so that a
        run in neither list may have ended.
    :param confirmable: some rows could not be decoded, and ended runs may be confirmed
        only up to this number; None: all rows could be.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    remaining_ms: float | None = None
    born_ms: int | None = None
    ends_truncated: bool = False
    confirmable: int | None = None

    @property
    def omits_runs(self) -> bool:
        """Whether a run in neither list may exist, or may have ended."""
        return self.ends_truncated or self.confirmable is not None


@attrs.frozen
class OrderReply:
    """A runner's answer to an order; ``refusal`` is None if it was carried out."""

    refusal: Refusal | None = None
    clock_ms: int | None = None


# Answers in their wire format. A list with a row that cannot be decoded proves nothing
# about the runs that it does not name: they would count as ended, and start again.


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: Count
    saved: Text = None
    percent: Amount | None = None
    usage: Number | None = None


class _EndedRow(msgspec.Struct, array_like=True):
    number: Count
    task: str
    run: Count
    how: EndKind
    saved: Text = None


class _HoldAnswer(msgspec.Struct, rename="camel"):
    clock_ms: Count
    running: tuple[_RunningRow, ...] = ()
    finished: tuple[_EndedRow, ...] = ()
    remaining_ms: Number | None = None
    born: Count | None = None


class _HoldParts(msgspec.Struct, rename="camel"):
    """The same, with rows that are decoded one by one."""

    clock_ms: Count
    running: list[msgspec.Raw] = []
    finished: list[msgspec.Raw] = []
    remaining_ms: Number | None = None
    born: Count | None = None


class _OrderAnswer(msgspec.Struct, rename="camel"):
    clock_ms: Count | None = None


class _RefusalAnswer(msgspec.Struct):
    reason: t.Literal["fence", "old", "late", "room", "ticket"]


_HOLDS = Decoder[_HoldAnswer](_HoldAnswer)
_HOLD_PARTS = PartsDecoder[_HoldParts](_HoldParts)
_RUNNING_ROWS = Decoder[_RunningRow](_RunningRow)
_ENDED_ROWS = Decoder[_EndedRow](_EndedRow)
_ORDERS = Decoder[_OrderAnswer](_OrderAnswer)
_REFUSALS = Decoder[_RefusalAnswer](_RefusalAnswer)


class RunnerClient:
    """Client for all runners. A process has one, so that the connections are shared."""

    def __init__(self, notes: UnreadableNotes | None = None) -> None:
        self._notes = notes or UnreadableNotes()
        self._caller = HttpCaller(CONNECTIONS_PER_RUNNER, self._notes)
        self.calls: dict[str, int] = {"start": 0, "stop": 0, "hold": 0, "pace": 0}

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def start(
        self,
        address: str,
        runner_id: str,
        order: StartOrder,
        timeout_s: float,
        overdue_s: float | None = None,
    ) -> OrderReply:
        """Start a run. The order is idempotent: repeating it starts no second run.

        :param overdue_s: end early, with an `AnswerOverdueError`, if there is no answer
            after this time.
        """
        body: JsonObject = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.fencing_token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(
            "start", address, runner_id, body, timeout_s, overdue_s
        )

    async def stop(
        self,
        address: str,
        runner_id: str,
        task: str,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> OrderReply:
        """Stop a run. If the runner does not have it yet, it will refuse its start."""
        body = {"task": task, "run": run, "fencingToken": fencing_token}
        return await self._order("stop", address, runner_id, body, timeout_s)

    async def pace(
        self,
        address: str,
        runner_id: str,
        task: str,
        run: int,
        percent: int,
        fencing_token: int,
        timeout_s: float,
    ) -> OrderReply:
        """Slow a run down to a percentage of its speed."""
        body = {
            "task": task,
            "run": run,
            "percent": percent,
            "fencingToken": fencing_token,
        }
        return await self._order("pace", address, runner_id, body, timeout_s)

    async def _order(
        self,
        kind: str,
        address: str,
        runner_id: str,
        body: JsonObject,
        timeout_s: float,
        overdue_s: float | None = None,
    ) -> OrderReply:
        answer = await self._call(kind, address, runner_id, body, timeout_s, overdue_s)
        if answer.status == 200:
            return OrderReply(None, self._caller.read(answer, _ORDERS).clock_ms)
        refusal = self._refusal(answer)
        if answer.status != REFUSED_STATUS:
            return OrderReply(refusal)
        return OrderReply(refusal, self._caller.read(answer, _ORDERS).clock_ms)

    async def hold(
        self,
        address: str,
        runner_id: str,
        fencing_token: int,
        confirmed: int,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> HoldReply | Refusal:
        """Make a hold call.

        It renews the leases of the runner's runs, confirms ended runs, and returns the
        active runs and the ended ones that are not confirmed yet.

        :param confirmed: the number of the last ended run that is persisted; on the
            wire ``observed``, although only a persisted one may be named there.
        :param deadline_ms: end of the leases, on the runner's clock; None renews none.
        :param wait_s: how long the runner may wait for an ended run before it answers.
        """
        body: JsonObject = {"fencingToken": fencing_token, "observed": confirmed}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        answer = await self._call("hold", address, runner_id, body, timeout_s + wait_s)
        if answer.status != 200:
            return self._refusal(answer)
        try:
            return _hold_reply(_HOLDS.decode(answer.text, answer.url))
        except UnreadableError:
            return self._read_by_rows(answer)

    def _read_by_rows(self, answer: Answer) -> HoldReply:
        """Return the rows that can be decoded of lists that can't be as a whole.

        :raises OutcomeUnknownError: the answer is unreadable beside its rows, too.
        """
        parts = self._caller.read(answer, _HOLD_PARTS)
        running = [self._row(text, _RUNNING_ROWS, answer) for text in parts.running]
        finished = [self._row(text, _ENDED_ROWS, answer) for text in parts.finished]
        confirmable = itertools.takewhile(lambda row: row is not None, finished)
        numbers = [row.number for row in confirmable if row is not None]
        return HoldReply(
            clock_ms=parts.clock_ms,
            running=tuple(_running(row) for row in running if row is not None),
            ended=tuple(_ended(row) for row in finished if row is not None),
            remaining_ms=parts.remaining_ms,
            born_ms=parts.born,
            ends_truncated=len(finished) >= MAX_LISTED_ENDS,
            confirmable=max(numbers, default=0),
        )

    def _row(
        self, text: msgspec.Raw, decoder: Decoder[Row], answer: Answer
    ) -> Row | None:
        try:
            return decoder.decode(text, answer.url)
        except UnreadableError as error:
            self._notes.note(Source.ANSWER, error)
            return None

    def _refusal(self, answer: Answer) -> Refusal:
        """Return why an order was refused.

        :raises OutcomeUnknownError: the order may have been carried out, or it was
            refused for an unknown reason.
        """
        if answer.status in (429, 503):
            return Refusal.UNHEALTHY
        if answer.status == REFUSED_STATUS:
            return Refusal(self._caller.read(answer, _REFUSALS).reason)
        if answer.status < 500:
            return Refusal.MALFORMED
        raise OutcomeUnknownError(
            f"a runner answered with status {answer.status}",
            remedy="the order is resent automatically",
        )

    async def _call(
        self,
        kind: str,
        address: str,
        runner_id: str,
        body: JsonObject,
        timeout_s: float,
        overdue_s: float | None = None,
    ) -> Answer:
        self.calls[kind] += 1
        answer = await self._caller.call(
            "POST",
            f"http://{address}{_PATHS[kind]}",
            body,
            timeout_s=timeout_s,
            headers={EXPECT_HEADER: runner_id},
            overdue_s=overdue_s,
        )
        if answer.status == OTHER_INCARNATION_STATUS:
            raise IncarnationEndedError(runner_id)
        if answer.instance_id and answer.instance_id != runner_id:
            raise IncarnationEndedError(runner_id)
        return answer


_PATHS = {
    "start": "/-/run-start",
    "stop": "/-/run-stop",
    "hold": "/-/hold",
    "pace": "/-/pace",
}


def _hold_reply(answer: _HoldAnswer) -> HoldReply:
    return HoldReply(
        clock_ms=answer.clock_ms,
        running=tuple(_running(row) for row in answer.running),
        ended=tuple(_ended(row) for row in answer.finished),
        remaining_ms=answer.remaining_ms,
        born_ms=answer.born,
        ends_truncated=len(answer.finished) >= MAX_LISTED_ENDS,
    )


def _running(row: _RunningRow) -> RunningTask:
    saved = row.saved or ""
    return RunningTask(row.task, row.run, saved, row.percent or 0.0, row.usage)


def _ended(row: _EndedRow) -> EndedRun:
    return EndedRun(row.number, row.task, row.run, row.how, row.saved or "")
