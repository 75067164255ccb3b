"""Lives of runners, and the client that reaches them or does not."""

import asyncio
import time
import typing as t

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

from .schedule import Fate
from .schedule import Fates

HOP_S = 0.001
"""One way to a runner."""

SLOW_S = 0.4
"""A slow answer takes so long."""

LATE_S = 1.5
"""A late order is carried out after so long: before its deadline passes."""

STOP_S = 0.3
"""A stop takes so long."""

PLAIN_RUN_S = 1.5
"""A run that ends by itself takes so long."""

CRASH_S = 0.01
"""A run that crashes its runner does so after so long."""

CRASHING_SPEC = "crashing"
"""A run of this takes its runner down."""

LASTING_SPEC = "lasting"
"""A run of this goes on until it is stopped."""

FULL_CPU = 1000
"""The room of each runner."""

MOST_HOLD_MS = 10_000
"""The runner cuts longer holds to this."""

REFUSED_AS = {
    Fate.UNHEALTHY: Refusal.UNHEALTHY,
    Fate.UNHEALTHY_CLOCK: Refusal.UNHEALTHY,
    Fate.MALFORMED: Refusal.MALFORMED,
    Fate.ROOM: Refusal.NO_CAPACITY,
}

Run = tuple[str, int]
"""A task's name and the number of its run."""


class Life:
    """One life of a runner.

    :param rate: of its clock.
    :param started: called with each run that begins, when its order was sent, and
        whether that is carried out late.
    :param crashed: called when a run has taken this life down.
    :param born_ms: tells it from other lives under its id; None: its id does.
    :param clock_start_ms: what its clock said when it began; None: the model's time.
    :param running: the runs that are there, and whether they are being stopped.
    :param cpu: its room, which may shrink and grow.
    :param resized_at_s: when that changed last.
    """

    def __init__(
        self,
        runner_id: str,
        rate: float,
        started: t.Callable[["Life", Run, float, bool], None],
        crashed: t.Callable[["Life", Run], None],
        born_ms: int | None = None,
        clock_start_ms: int | None = None,
    ) -> None:
        self.runner_id = runner_id
        self.born_ms = born_ms
        self._clock_zero_s = 0.0
        if clock_start_ms is not None:
            self._clock_zero_s = time.monotonic() - clock_start_ms / 1000 / rate
        self.cpu = FULL_CPU
        self.resized_at_s = 0.0
        self._crashed = crashed
        self.running: dict[Run, bool] = {}
        self.dead = False
        self._rate = rate
        self._started = started
        self._fence = 0
        self._deadline_ms = 0
        self._highest_over: dict[str, int] = {}
        self._ended: list[EndedRun] = []
        self._end_count = 0
        self._news = asyncio.Event()
        self._lapse: asyncio.TimerHandle | None = None

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
                loop.call_later(CRASH_S, self._crash, run)
            elif order.spec != LASTING_SPEC:
                self._later(PLAIN_RUN_S, run, EndKind.DONE)
        return OrderReply(None, self.clock_ms)

    def _refuse_start(self, order: StartOrder) -> Refusal | None:
        if self._is_fenced(order.fencing_token):
            return Refusal.FENCED
        if order.deadline_ms <= self.clock_ms:
            return Refusal.TOO_LATE
        if order.run <= self._highest_over.get(order.task, 0):
            self._extend(order.deadline_ms)
            return Refusal.OLD_RUN
        return None

    def stop(self, run: Run, token: int) -> OrderReply:
        if self._is_fenced(token):
            return OrderReply(Refusal.FENCED, self.clock_ms)
        self._note_over(run)
        if self.running.get(run) is False:
            self.running[run] = True
            self._later(STOP_S, run, EndKind.STOPPED)
        return OrderReply(None, self.clock_ms)

    def touch(self, token: int) -> OrderReply:
        refusal = Refusal.FENCED if self._is_fenced(token) else None
        return OrderReply(refusal, self.clock_ms)

    def extend(self, token: int, confirmed: int, deadline_ms: int | None) -> bool:
        """Take a hold; return whether it is fenced."""
        if self._is_fenced(token):
            return True
        self._ended = [ended for ended in self._ended if ended.number > confirmed]
        if deadline_ms is not None:
            self._extend(deadline_ms)
        return False

    async def until_end(self, within_s: float) -> None:
        """Return once an end is to be told, or after a time."""
        if self._ended:
            return
        self._news.clear()
        try:
            async with asyncio.timeout(within_s):
                await self._news.wait()
        except TimeoutError:
            return

    def lists(self) -> HoldReply:
        rows = tuple(RunningTask(task, run, "", 100.0) for task, run in self.running)
        return HoldReply(self.clock_ms, rows, tuple(self._ended), born_ms=self.born_ms)

    def end_all(self, kind: EndKind) -> None:
        for run in list(self.running):
            self._end(run, kind)

    def die(self) -> None:
        """End this life with all that runs; what comes late finds nobody."""
        self.dead = True
        self.running.clear()
        self._news.set()

    def _crash(self, run: Run) -> None:
        if run in self.running:
            self._crashed(self, run)

    def _is_fenced(self, token: int) -> bool:
        self._fence = max(self._fence, token)
        return token < self._fence

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + MOST_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        if self._lapse is not None:
            self._lapse.cancel()
        left_s = (self._deadline_ms - self.clock_ms) / 1000 / self._rate
        loop = asyncio.get_running_loop()
        self._lapse = loop.call_later(left_s, self.end_all, EndKind.EXPIRED)

    def _later(self, after_s: float, run: Run, kind: EndKind) -> None:
        asyncio.get_running_loop().call_later(after_s, self._end, run, kind)

    def _note_over(self, run: Run) -> None:
        task, number = run
        self._highest_over[task] = max(number, self._highest_over.get(task, 0))

    def _end(self, run: Run, kind: EndKind) -> None:
        if self.running.pop(run, None) is None:
            return
        self._note_over(run)
        self._end_count += 1
        self._ended.append(EndedRun(self._end_count, *run, kind, ""))
        self._news.set()


class FakeRunners(RunnerClient):
    """Calls the lives at their addresses, as the schedule lets it.

    :param lives: who lives at an address now.
    :param cut_until_s: on the monotonic clock, by address: unreachable until then.
    """

    def __init__(self, fates: Fates, tell: t.Callable[[str], None]) -> None:
        self._fates = fates
        self._tell = tell
        self.lives: dict[str, Life] = {}
        self.cut_until_s: dict[str, float] = {}

    async def start(self, address, runner_id, order, timeout_s):
        sent_at_s = time.monotonic()

        def act(life: Life, late: bool = False) -> OrderReply:
            return life.start(order, sent_at_s, late)

        what = f"{order.task} run {order.run}, token {order.fencing_token}"
        return await self._order("start", what, address, runner_id, timeout_s, act)

    async def stop(self, address, runner_id, task, run, fencing_token, timeout_s):
        def act(life: Life, late: bool = False) -> OrderReply:
            return life.stop((task, run), fencing_token)

        what = f"{task} run {run}, token {fencing_token}"
        return await self._order("stop", what, address, runner_id, timeout_s, act)

    async def pace(
        self, address, runner_id, task, run, percent, fencing_token, timeout_s
    ):
        def act(life: Life, late: bool = False) -> OrderReply:
            return life.touch(fencing_token)

        what = f"{task} run {run}, token {fencing_token}"
        return await self._order("pace", what, address, runner_id, timeout_s, act)

    async def _order(self, kind, what, address, runner_id, timeout_s, act):
        fate = self._fates.next(kind)
        reply = None
        try:
            life = await self._reach(fate, address, runner_id, timeout_s)
            reply = await self._carry_out(fate, life, timeout_s, act)
            return reply
        finally:
            answer = reply and (reply.refusal.value if reply.refusal else "done")
            self._tell(f"{kind} {what} at {runner_id}: {fate.value}, {answer}")

    async def _carry_out(self, fate, life, timeout_s, act):
        if fate in REFUSED_AS:
            clock_ms = None if fate is Fate.UNHEALTHY else life.clock_ms
            return OrderReply(REFUSED_AS[fate], clock_ms)
        if fate is Fate.LATE:
            asyncio.get_running_loop().call_later(LATE_S, _act_late, life, act)
            await _no_answer(timeout_s)
        reply = act(life)
        if fate is Fate.UNANSWERED:
            await _no_answer(timeout_s)
        await asyncio.sleep(SLOW_S if fate is Fate.SLOW else HOP_S)
        return reply

    async def hold(
        self, address, runner_id, token, confirmed, deadline_ms, wait_s, timeout_s
    ):
        fate = self._fates.next("hold")
        if fate is not Fate.FINE:
            self._tell(f"hold at {runner_id}: {fate.value}")
        timeout_s += wait_s
        life = await self._reach(fate, address, runner_id, timeout_s)
        if fate in REFUSED_AS:
            return REFUSED_AS[fate]
        if fate is Fate.LATE:
            asyncio.get_running_loop().call_later(
                LATE_S, life.extend, token, confirmed, deadline_ms
            )
            await _no_answer(timeout_s)
        if life.extend(token, confirmed, deadline_ms):
            return Refusal.FENCED
        if fate is Fate.UNANSWERED:
            await _no_answer(timeout_s)
        await life.until_end(wait_s)
        lists = life.lists()
        await asyncio.sleep(SLOW_S if fate is Fate.SLOW else HOP_S)
        if life.dead:
            raise OutcomeUnknownError("the runner died", remedy="ask again")
        return lists

    async def _reach(self, fate, address, runner_id, timeout_s) -> Life:
        await asyncio.sleep(HOP_S)
        life = self.lives.get(address)
        if life is None or fate is Fate.UNSENT:
            raise StoreUnavailableError("nobody listens", remedy="try again")
        if fate is Fate.LOST or time.monotonic() < self.cut_until_s.get(address, 0):
            await _no_answer(timeout_s)
        if life.runner_id != runner_id:
            raise IncarnationEndedError(runner_id)
        return life


def _act_late(life: Life, act: t.Callable[[Life, bool], OrderReply]) -> None:
    if not life.dead:
        act(life, True)


async def _no_answer(timeout_s: float) -> t.NoReturn:
    await asyncio.sleep(timeout_s)
    raise NoAnswerError("no answer came", remedy="send it again")
