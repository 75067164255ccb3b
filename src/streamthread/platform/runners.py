"""Calls to runners: start, stop, hold and pace."""

import enum
import typing as t

import attrs

from ..errors import OutcomeUnknownError
from .http import Answer
from .http import HttpCaller
from .http import JsonObject

__all__ = [
    "EndKind",
    "EndedRun",
    "HoldReply",
    "LifeOverError",
    "OrderReply",
    "Refusal",
    "RunnerClient",
    "RunningTask",
    "StartOrder",
]

CONNECTIONS_PER_RUNNER = 8
"""One waits in a hold; the others carry starts and stops side by side."""

OTHER_LIFE_STATUS = 421
"""A runner's answer to a call that is meant for another life."""

EXPECT_HEADER = "Streamthread-Expect-Instance"


class EndKind(enum.Enum):
    """How a run ended, as its runner says."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Refusal(enum.Enum):
    """Why a runner did not carry out an order; it did nothing."""

    FENCED = "fence"
    OLD_RUN = "old"
    TOO_LATE = "late"
    NO_ROOM = "room"
    BAD_TICKET = "ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class LifeOverError(Exception):
    """Another life answers at this runner's address: the asked one has ended."""


@attrs.frozen
class StartOrder:
    """Starts one run of one task.

    :param deadline_ms: on the runner's clock; after it the order is refused.
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
    """A run that is on its runner.

    :param percent: of its work; of a lasting task, 100 once it is at work.
    :param usage: a rough figure of the last half second: a lasting task's tail
        latency in ms, or the thousandths of a core that another one used.
    """

    task: str
    run: int
    checkpoint: str
    percent: float
    usage: float | None = None


@attrs.frozen
class EndedRun:
    """A run that ended; ``number`` counts the ends of one life of the runner."""

    number: int
    task: str
    run: int
    kind: EndKind
    checkpoint: str


@attrs.frozen
class HoldReply:
    """What runs on a runner, and the ends that were not confirmed yet."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    remaining_ms: int | None = None


@attrs.frozen
class OrderReply:
    """A runner's answer to an order; ``refusal`` is None where it did it."""

    refusal: Refusal | None = None
    clock_ms: int | None = None


class RunnerClient:
    """Calls runners; one for the process, it shares the connections."""

    def __init__(self) -> None:
        self._caller = HttpCaller(CONNECTIONS_PER_RUNNER)
        self.calls: dict[str, int] = {"start": 0, "stop": 0, "hold": 0, "pace": 0}

    async def close(self) -> None:
        """Close all connections."""
        await self._caller.close()

    async def start(
        self, address: str, runner_id: str, order: StartOrder, timeout_s: float
    ) -> OrderReply:
        """Start a run; the same run again is the same run."""
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
        return await self._order("start", address, runner_id, body, timeout_s)

    async def stop(
        self,
        address: str,
        runner_id: str,
        task: str,
        run: int,
        fencing_token: int,
        timeout_s: float,
    ) -> OrderReply:
        """Stop a run, or refuse it in advance where it is not there yet."""
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
        """Let a run work at a share of its speed."""
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
    ) -> OrderReply:
        answer = await self._call(kind, address, runner_id, body, timeout_s)
        clock_ms = answer.body.get("clockMs")
        return OrderReply(_refusal(answer), clock_ms)

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
        """Extend what runs there, confirm ends and read both lists.

        :param confirmed: the last end that is recorded for good; on the wire
            ``observed``, though only a durable end may be named there.
        :param deadline_ms: until when, on the runner's clock; None extends nothing.
        :param wait_s: how long the runner may wait for an end before it answers.
        """
        body: JsonObject = {"fencingToken": fencing_token, "observed": confirmed}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        answer = await self._call("hold", address, runner_id, body, timeout_s + wait_s)
        refusal = _refusal(answer)
        if refusal is not None:
            return refusal
        return _decode_hold(answer.body)

    async def _call(
        self,
        kind: str,
        address: str,
        runner_id: str,
        body: JsonObject,
        timeout_s: float,
    ) -> Answer:
        self.calls[kind] += 1
        answer = await self._caller.call(
            "POST",
            f"http://{address}{_PATHS[kind]}",
            body,
            timeout_s=timeout_s,
            headers={EXPECT_HEADER: runner_id},
        )
        if answer.status == OTHER_LIFE_STATUS:
            raise LifeOverError(runner_id)
        if answer.instance_id and answer.instance_id != runner_id:
            raise LifeOverError(runner_id)
        return answer


_PATHS = {
    "start": "/-/run-start",
    "stop": "/-/run-stop",
    "hold": "/-/hold",
    "pace": "/-/pace",
}


def _refusal(answer: Answer) -> Refusal | None:
    if answer.status == 200:
        return None
    if answer.status in (429, 503):
        return Refusal.UNHEALTHY
    if answer.status == 409:
        return Refusal(answer.body.get("reason", "fence"))
    if answer.status < 500:
        return Refusal.MALFORMED
    raise OutcomeUnknownError(
        f"a runner answered {answer.status}", remedy="the order is sent again"
    )


def _decode_hold(body: JsonObject) -> HoldReply:
    return HoldReply(
        clock_ms=int(body["clockMs"]),
        running=tuple(_decode_running(row) for row in body.get("running", ())),
        ended=tuple(_decode_ended(row) for row in body.get("finished", ())),
        remaining_ms=body.get("remainingMs"),
    )


def _decode_running(row: t.Sequence[t.Any]) -> RunningTask:
    usage = row[4] if len(row) > 4 else None
    return RunningTask(row[0], int(row[1]), row[2] or "", float(row[3] or 0), usage)


def _decode_ended(row: t.Sequence[t.Any]) -> EndedRun:
    checkpoint = row[4] if len(row) > 4 else ""
    return EndedRun(int(row[0]), row[1], int(row[2]), EndKind(row[3]), checkpoint or "")
