"""Simulated runners, and the client that calls them or fails to reach them."""

import asyncio
import time
import typing as t

from streamthread.errors import AnswerOverdueError
from streamthread.errors import NoAnswerError
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import IncarnationEndedError
from streamthread.platform.runners import OrderReply
from streamthread.platform.runners import Refusal
from streamthread.platform.runners import RunnerClient
from streamthread.platform.runners import RunningTask
from streamthread.platform.runners import StartOrder

from .availability import Availability
from .schedule import Outcome
from .schedule import Outcomes

LATENCY_S = 0.001
"""One-way latency to a runner."""

SLOW_ANSWER_S = 0.4
"""Delay of a slow answer."""

LATE_ORDER_S = 1.5
"""Delay until a late order is carried out, which is before its deadline."""

STOP_DURATION_S = 0.3
"""Duration of a stop."""

RUN_DURATION_S = 1.5
"""Duration of a run that ends by itself."""

CRASH_DELAY_S = 0.01
"""Delay after which a crashing run crashes its runner."""

CRASHING_SPEC = "crashing"
"""The spec of a run that crashes its runner."""

LONG_RUNNING_SPEC = "lasting"
"""The spec of a run that goes on until it is stopped."""

FULL_CPU = 1000
"""The cpu of each runner."""

RATES = (1.0, 0.98)
"""Rates of the runners' clocks. The second clock is as slow as the user documentation
allows."""

FIRST_CLOCKS_MS = (0, 50_000, 10_000_000)
"""First clock readings of incarnations with the same id: behind the previous clock or
ahead of it."""

MAX_HOLD_MS = 10_000
"""The runner shortens longer holds to this."""

REFUSAL_BY_OUTCOME = {
    Outcome.UNHEALTHY: Refusal.UNHEALTHY,
    Outcome.UNHEALTHY_CLOCK: Refusal.UNHEALTHY,
    Outcome.MALFORMED: Refusal.MALFORMED,
    Outcome.NO_CAPACITY: Refusal.NO_CAPACITY,
}

Run = tuple[str, int]
"""A task's name and the number of its run."""


class Incarnation:
    """One incarnation of a runner.

    :param rate: the rate of its clock.
    :param started: called with each run that begins, when its order was sent, and
        whether the order is carried out late.
    :param crashed: called when a run has crashed this incarnation.
    :param born_ms: distinguishes incarnations with the same runner id; None if each
        incarnation has an id of its own.
    :param clock_start_ms: the first reading of its clock; None for the simulated time.
    :param running: the current runs, and whether each of them is being stopped.
    :param cpu: its capacity, which may shrink and grow.
    :param resized_at_s: when the capacity last changed.
    :param stop_duration_s: how long a stop takes.
    :param max_listed_ends: how many ended runs it lists at once; None for all.
    :param noted_done: the runs that a holder knows to have ended as done, each with the
        time of its end.
    """

    def __init__(
        self,
        runner_id: str,
        rate: float,
        started: t.Callable[["Incarnation", Run, float, bool], None],
        crashed: t.Callable[["Incarnation", Run], None],
        born_ms: int | None = None,
        clock_start_ms: int | None = None,
        max_listed_ends: int | None = None,
    ) -> None:
        self.runner_id = runner_id
        self.max_listed_ends = max_listed_ends
        self.noted_done: dict[Run, float] = {}
        self._done_at_s: dict[Run, float] = {}
        self.born_ms = born_ms
        self._clock_zero_s = 0.0
        if clock_start_ms is not None:
            self._clock_zero_s = time.monotonic() - clock_start_ms / 1000 / rate
        self.cpu = FULL_CPU
        self.resized_at_s = 0.0
        self.stop_duration_s = STOP_DURATION_S
        self._crashed = crashed
        self.running: dict[Run, bool] = {}
        self.terminated = False
        self._rate = rate
        self._started = started
        self._fence = 0
        self._deadline_ms = 0
        self._highest_ended: dict[str, int] = {}
        self._ended: list[EndedRun] = []
        self._end_count = 0
        self._end_added = asyncio.Event()
        self._expiry: asyncio.TimerHandle | None = None

    @property
    def clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_zero_s) * 1000 * self._rate)

    def start(self, order: StartOrder, sent_at_s: float, late: bool) -> OrderReply:
        run = (order.task, order.run)
        if refusal := self._refuse_start(order):
            return OrderReply(refusal, self.clock_ms)
        self._extend(order.deadline_ms)
        if run not in self.running:
            self.running[run] = False
            self._started(self, run, sent_at_s, late)
            if order.spec == CRASHING_SPEC:
                loop = asyncio.get_running_loop()
                loop.call_later(CRASH_DELAY_S, self._crash, run)
            elif order.spec != LONG_RUNNING_SPEC:
                self._end_later(RUN_DURATION_S, run, EndKind.DONE)
        return OrderReply(None, self.clock_ms)

    def _refuse_start(self, order: StartOrder) -> Refusal | None:
        if self._is_fenced(order.fencing_token):
            return Refusal.FENCED
        if order.deadline_ms <= self.clock_ms:
            return Refusal.TOO_LATE
        if order.run <= self._highest_ended.get(order.task, 0):
            self._extend(order.deadline_ms)
            return Refusal.OLD_RUN
        return None

    def stop(self, run: Run, token: int) -> OrderReply:
        if self._is_fenced(token):
            return OrderReply(Refusal.FENCED, self.clock_ms)
        self._note_ended(run)
        if self.running.get(run) is False:
            self.running[run] = True
            self._end_later(self.stop_duration_s, run, EndKind.STOPPED)
        return OrderReply(None, self.clock_ms)

    def check_token(self, token: int) -> OrderReply:
        refusal = Refusal.FENCED if self._is_fenced(token) else None
        return OrderReply(refusal, self.clock_ms)

    def extend(self, token: int, confirmed: int, deadline_ms: int | None) -> bool:
        """Handle a hold call; return whether it is fenced."""
        if self._is_fenced(token):
            return True
        self._note_done(confirmed)
        self._ended = [ended for ended in self._ended if ended.number > confirmed]
        if deadline_ms is not None:
            self._extend(deadline_ms)
        return False

    async def wait_for_end(self, within_s: float) -> None:
        """Return once there is an end to report, or after a timeout."""
        if self._ended:
            return
        self._end_added.clear()
        try:
            async with asyncio.timeout(within_s):
                await self._end_added.wait()
        except TimeoutError:
            return

    def listing(self) -> HoldReply:
        rows = tuple(RunningTask(task, run, "", 100.0) for task, run in self.running)
        limit = self.max_listed_ends
        return HoldReply(
            self.clock_ms,
            rows,
            tuple(self._ended[:limit]),
            born_ms=self.born_ms,
            ends_truncated=limit is not None and len(self._ended) >= limit,
        )

    def _note_done(self, confirmed: int) -> None:
        for ended in self._ended:
            run = (ended.task, ended.run)
            if ended.number <= confirmed and run in self._done_at_s:
                self.noted_done[run] = self._done_at_s[run]

    def end_all(self, kind: EndKind) -> None:
        if kind is EndKind.EXPIRED:
            # No holder has to know the ends before the expiry of the leases.
            self._done_at_s.clear()
        for run in list(self.running):
            self._end(run, kind)

    def terminate(self) -> None:
        """End this incarnation and all its runs; late orders have no effect on it."""
        self.terminated = True
        self.running.clear()
        self._end_added.set()

    def _crash(self, run: Run) -> None:
        if run in self.running:
            self._crashed(self, run)

    def _is_fenced(self, token: int) -> bool:
        self._fence = max(self._fence, token)
        return token < self._fence

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        if self._expiry is not None:
            self._expiry.cancel()
        loop = asyncio.get_running_loop()
        left_s = self.left_s(self._deadline_ms)
        self._expiry = loop.call_later(left_s, self.end_all, EndKind.EXPIRED)

    def left_s(self, deadline_ms: int) -> float:
        """Return the time until a deadline on this incarnation's clock."""
        return (deadline_ms - self.clock_ms) / 1000 / self._rate

    def _end_later(self, after_s: float, run: Run, kind: EndKind) -> None:
        asyncio.get_running_loop().call_later(after_s, self._end, run, kind)

    def _note_ended(self, run: Run) -> None:
        task, number = run
        self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))

    def _end(self, run: Run, kind: EndKind) -> None:
        if self.running.pop(run, None) is None:
            return
        self._note_ended(run)
        if kind is EndKind.DONE:
            self._done_at_s[run] = time.monotonic()
        self._end_count += 1
        self._ended.append(EndedRun(self._end_count, *run, kind, ""))
        self._end_added.set()


class FakeRunners(RunnerClient):
    """Calls the runners at their addresses, with the faults of the schedule.

    :param incarnations: the current incarnation at each address.
    :param unreachable_until_s: until when each address is unreachable, on the monotonic
        clock.
    :param availability: checks which long-running tasks are ended by orders.
    """

    def __init__(self, outcomes: Outcomes, record: t.Callable[[str], None]) -> None:
        self._outcomes = outcomes
        self._record = record
        self.incarnations: dict[str, Incarnation] = {}
        self.unreachable_until_s: dict[str, float] = {}
        self.availability = Availability(record)

    async def start(self, address, runner_id, order, timeout_s, overdue_s=None):
        sent_at_s = time.monotonic()

        def act(incarnation: Incarnation, late: bool = False) -> OrderReply:
            reply = incarnation.start(order, sent_at_s, late)
            if order.spec == LONG_RUNNING_SPEC:
                self.availability.note_started(order.task)
            return reply

        description = f"{order.task} run {order.run}, token {order.fencing_token}"
        call = self._order("start", description, address, runner_id, timeout_s, act)
        try:
            async with asyncio.timeout(overdue_s):
                return await call
        except TimeoutError as error:
            raise AnswerOverdueError("no answer yet", remedy="send it again") from error

    async def stop(self, address, runner_id, task, run, fencing_token, timeout_s):
        def act(incarnation: Incarnation, late: bool = False) -> OrderReply:
            works = incarnation.running.get((task, run)) is False
            reply = incarnation.stop((task, run), fencing_token)
            if works and reply.refusal is None:
                self.availability.note_ended(task, run)
            return reply

        description = f"{task} run {run}, token {fencing_token}"
        return await self._order(
            "stop", description, address, runner_id, timeout_s, act
        )

    async def pace(
        self, address, runner_id, task, run, percent, fencing_token, timeout_s
    ):
        def act(incarnation: Incarnation, late: bool = False) -> OrderReply:
            return incarnation.check_token(fencing_token)

        description = f"{task} run {run}, token {fencing_token}"
        return await self._order(
            "pace", description, address, runner_id, timeout_s, act
        )

    async def _order(self, kind, description, address, runner_id, timeout_s, act):
        outcome = self._outcomes.next(kind)
        reply = None
        try:
            incarnation = await self._reach(outcome, address, runner_id, timeout_s)
            reply = await self._carry_out(outcome, incarnation, timeout_s, act)
            return reply
        finally:
            answer = reply and (reply.refusal.value if reply.refusal else "done")
            self._record(
                f"{kind} {description} at {runner_id}: {outcome.value}, {answer}"
            )

    async def _carry_out(self, outcome, incarnation, timeout_s, act):
        if outcome in REFUSAL_BY_OUTCOME:
            clock_ms = None if outcome is Outcome.UNHEALTHY else incarnation.clock_ms
            return OrderReply(REFUSAL_BY_OUTCOME[outcome], clock_ms)
        if outcome is Outcome.LATE:
            asyncio.get_running_loop().call_later(
                LATE_ORDER_S, _act_unless_terminated, incarnation, act
            )
            await _no_answer(timeout_s)
        reply = act(incarnation)
        if outcome is Outcome.UNANSWERED:
            await _no_answer(timeout_s)
        await asyncio.sleep(SLOW_ANSWER_S if outcome is Outcome.SLOW else LATENCY_S)
        return reply

    async def hold(
        self, address, runner_id, token, confirmed, deadline_ms, wait_s, timeout_s
    ):
        outcome = self._outcomes.next("hold")
        if outcome is not Outcome.FINE:
            self._record(f"hold at {runner_id}: {outcome.value}")
        timeout_s += wait_s
        incarnation = await self._reach(outcome, address, runner_id, timeout_s)
        if outcome in REFUSAL_BY_OUTCOME:
            return REFUSAL_BY_OUTCOME[outcome]
        if outcome is Outcome.LATE:
            asyncio.get_running_loop().call_later(
                LATE_ORDER_S, incarnation.extend, token, confirmed, deadline_ms
            )
            await _no_answer(timeout_s)
        if incarnation.extend(token, confirmed, deadline_ms):
            return Refusal.FENCED
        if outcome is Outcome.UNANSWERED:
            await _no_answer(timeout_s)
        await incarnation.wait_for_end(wait_s)
        listing = incarnation.listing()
        for row in listing.running:
            self.availability.note_listed(row.task, row.run)
        await asyncio.sleep(SLOW_ANSWER_S if outcome is Outcome.SLOW else LATENCY_S)
        if incarnation.terminated:
            raise OutcomeUnknownError("the runner was terminated", remedy="ask again")
        return listing

    async def _reach(self, outcome, address, runner_id, timeout_s) -> Incarnation:
        await asyncio.sleep(LATENCY_S)
        incarnation = self.incarnations.get(address)
        if incarnation is None or outcome is Outcome.UNSENT:
            raise StoreUnavailableError("no runner listens there", remedy="try again")
        if outcome is Outcome.LOST or time.monotonic() < self.unreachable_until_s.get(
            address, 0
        ):
            await _no_answer(timeout_s)
        if incarnation.runner_id != runner_id:
            raise IncarnationEndedError(runner_id)
        return incarnation


def is_later_incarnation(incarnation: Incarnation, before: Incarnation) -> bool:
    """Whether an incarnation has replaced a terminated one under the same id."""
    return (
        before.terminated
        and incarnation.runner_id == before.runner_id
        and incarnation is not before
    )


def address_of(number: int) -> str:
    return f"127.0.0.1:{7000 + number}"


def _act_unless_terminated(
    incarnation: Incarnation, act: t.Callable[[Incarnation, bool], OrderReply]
) -> None:
    if not incarnation.terminated:
        act(incarnation, True)


async def _no_answer(timeout_s: float) -> t.NoReturn:
    await asyncio.sleep(timeout_s)
    raise NoAnswerError("no answer came", remedy="send it again")
