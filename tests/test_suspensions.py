"""What this process learns is not changed by the time for which it stood still.

The failure: a process that was stopped, or whose machine was suspended, reads late what
came in time. The time of the suspension was learned as that of a run, of an answer or
of a request, and its effects lasted much longer than the suspension itself.
"""

import asyncio
import contextlib
import time
import types
import typing as t

import attrs
import pytest

from streamthread.cell.answers import version_written
from streamthread.clocks import boot_s
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.inflight import ConnectionUse
from streamthread.platform.inflight import Flight
from streamthread.platform.inflight import Flights
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunnerClient
from streamthread.platform.runners import RunningTask
from streamthread.platform.store import TransactResult
from streamthread.requests import dispatch
from streamthread.requests.dispatch import Dispatcher
from streamthread.requests.router import Router
from streamthread.requests.slots import SlotQueue
from streamthread.response_times import MAX_ANSWER_TIMEOUT_S
from streamthread.response_times import MIN_ANSWER_TIMEOUT_S
from streamthread.response_times import ResponseTimes
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.scheduler.learning import learning_key

SUSPENDED_S = (1.0, 10.0, 60.0)


@attrs.define
class Machine:
    """The machine of this process, which can be suspended."""

    suspended_s: float = 0.0

    def suspend(self, for_s: float) -> None:
        """Let the boot clock go on by this time; nothing else happens meanwhile."""
        self.suspended_s += for_s


@pytest.fixture(name="machine")
def make_machine(monkeypatch: pytest.MonkeyPatch) -> Machine:
    """Return the machine; its boot clock includes the suspensions."""
    machine = Machine()
    read_clock = time.clock_gettime
    monkeypatch.setattr(
        time, "clock_gettime", lambda clock: read_clock(clock) + machine.suspended_s
    )
    return machine


for_each_suspension = pytest.mark.parametrize("for_s", SUSPENDED_S)
for_each_long_suspension = pytest.mark.parametrize("for_s", SUSPENDED_S[1:])

CALL_LIMIT_S = 1.2
"""The time limit of calls to the store."""

USUAL_ANSWER_S = 0.007
"""What a commit takes."""


async def _write_suspended(
    machine: Machine, for_s: float, times: ResponseTimes
) -> None:
    """Write a row; the process is suspended before it reads the answer."""

    async def write() -> TransactResult:
        machine.suspend(for_s)
        return TransactResult(committed=True, version=7)

    async def read_back() -> int | None:
        return None

    assert await version_written(write(), read_back, times) == 7


async def _call_suspended(
    machine: Machine, for_s: float, flights: Flights, calls: int
) -> None:
    """Have calls in flight; the process is suspended before it reads the answers."""
    async with contextlib.AsyncExitStack() as stack:
        open_flights = []
        for _ in range(calls):
            limit = asyncio.Timeout(asyncio.get_running_loop().time() + CALL_LIMIT_S)
            await stack.enter_async_context(limit)
            flight = Flight(flights, ("127.0.0.1", 1))
            stack.enter_context(flight.tracked(limit))
            flight.attempt.on_connection(ConnectionUse.REUSED)
            open_flights.append(flight)
        machine.suspend(for_s)
        for flight in open_flights:
            flight.on_begun()


def _answers_until_usual(times: ResponseTimes) -> int:
    """Return after how many usual answers the time-out is the shortest again."""
    answers = 0
    while times.answer_timeout_s > MIN_ANSWER_TIMEOUT_S:
        times.observe(USUAL_ANSWER_S)
        answers += 1
    return answers


class TestAnswerTimeout:
    @for_each_long_suspension
    async def test_of_writes_stays_short(self, machine: Machine, for_s: float) -> None:
        """On a connection that is silent, a commit would take 0.6 s, not 0.08 s."""
        times = ResponseTimes()
        await _write_suspended(machine, for_s, times)
        assert times.answer_timeout_s == MIN_ANSWER_TIMEOUT_S

    @for_each_long_suspension
    async def test_of_calls_stays_short(self, machine: Machine, for_s: float) -> None:
        flights = Flights(lambda address, since_s: 0)
        for _ in range(10):
            await _call_suspended(machine, for_s, flights, 1)
        assert flights.times.answer_timeout_s == MIN_ANSWER_TIMEOUT_S

    @pytest.mark.parametrize(("calls", "answers"), [(1, 21), (10, 34)])
    async def test_after_a_suspension_below_the_limit(
        self, machine: Machine, calls: int, answers: int
    ) -> None:
        """A suspension shorter than the time limit counts as one slow answer."""
        flights = Flights(lambda address, since_s: 0)
        await _call_suspended(machine, 1.0, flights, calls)
        assert flights.times.answer_timeout_s == MAX_ANSWER_TIMEOUT_S
        assert _answers_until_usual(flights.times) <= answers

    async def test_of_writes_after_a_suspension_below_the_limit(
        self, machine: Machine
    ) -> None:
        times = ResponseTimes()
        await _write_suspended(machine, 1.0, times)
        assert times.answer_timeout_s == MAX_ANSWER_TIMEOUT_S
        assert _answers_until_usual(times) <= 21

    async def test_follows_a_service_that_is_slow_within_the_limit(
        self, machine: Machine
    ) -> None:
        """Guards against ignoring a slow service as if the process had stood still."""
        flights = Flights(lambda address, since_s: 0)
        await _call_suspended(machine, 0.3, flights, 1)
        assert flights.times.answer_timeout_s > 0.3

    async def test_still_follows_a_slow_service(self, machine: Machine) -> None:
        times = ResponseTimes()
        times.observe(0.3)
        assert times.answer_timeout_s > 0.3


class _Cell:
    """A runner with one run at a time, all of the same kind."""

    def __init__(self) -> None:
        self.engine = Engine(lambda job: None)
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9000, 900, 0)
        self.runner.ready = True
        self.engine.add_runner(self.runner)
        self.jobs = 0
        self.ends = 0

    def start(self, clock_ms: int) -> Attempt:
        """Start a run, which the runner confirms."""
        self.jobs += 1
        request = JobRequest("", (StepRequest(cpu=1, memory_mb=1),))
        job = Job(f"{self.jobs:016x}", JobTerms("r", "desk"), request, b"", time.time())
        job.begin(0)
        self.engine.add(job)
        (attempt,) = self.engine.place_all(time.time(), lambda step: None)
        attempt.phase = Phase.SENT
        self.engine.confirm(attempt, clock_ms)
        return attempt

    def list(self, clock_ms: int, *running: Attempt, percent: float = 0.0) -> None:
        """Read a list of runs."""
        rows = tuple(
            RunningTask(run.task.name, run.run, "", percent, None) for run in running
        )
        self.engine.on_hold(self.runner, HoldReply(clock_ms, rows, ()))

    def end(self, attempt: Attempt, clock_ms: int) -> None:
        """Read a list with an end."""
        self.ends += 1
        ended = EndedRun(self.ends, attempt.task.name, attempt.run, EndKind.DONE, "")
        self.engine.on_hold(self.runner, HoldReply(clock_ms, (), (ended,)))

    def learned_s(self, attempt: Attempt) -> float | None:
        """Return the learned run time of such runs."""
        return self.engine.times.learned_s(learning_key(attempt.task.step))


class TestRunTimes:
    """Pools would get machines for runs that take as long as the suspension."""

    @for_each_suspension
    def test_follow_from_the_clock_of_the_runner(
        self, machine: Machine, for_s: float
    ) -> None:
        cell = _Cell()
        for clock_ms in (1000, 2000, 3000):
            attempt = cell.start(clock_ms)
            cell.list(clock_ms + 1, attempt)
            machine.suspend(for_s)
            cell.end(attempt, clock_ms + 400)
        assert cell.learned_s(attempt) == pytest.approx(0.4)

    @pytest.mark.parametrize("for_s", [10.0, 60.0])
    def test_ignore_runs_that_ended_at_an_unknown_time(self, for_s: float) -> None:
        """A run that ended during a suspension is listed only after it."""
        cell = _Cell()
        clock_ms = 1000
        for late_s in (0.0, 0.0, for_s):
            attempt = cell.start(clock_ms)
            cell.list(clock_ms + 1, attempt)
            clock_ms += 400 + round(late_s * 1000)
            cell.end(attempt, clock_ms)
        assert cell.learned_s(attempt) == pytest.approx(0.4)

    def test_of_ordinary_runs_are_the_elapsed_time(self, machine: Machine) -> None:
        """Guards against a constant error of the measure on the runner's clock."""
        cell = _Cell()
        for clock_ms in (1000, 3000):
            attempt = cell.start(clock_ms)
            machine.suspend(0.4)
            cell.end(attempt, clock_ms + 400)
            took_s = boot_s() - attempt.began_at_s
        assert cell.learned_s(attempt) == pytest.approx(took_s, abs=0.005)

    @pytest.mark.parametrize("is_listed", [False, True])
    def test_of_starts_that_name_no_clock(
        self, machine: Machine, is_listed: bool
    ) -> None:
        """They would not be learned, or from the first list with the run."""
        cell = _Cell()
        clock_ms = 1000
        for _ in range(2):
            cell.list(clock_ms)
            machine.suspend(0.2)
            attempt = cell.start(0)
            if is_listed:
                machine.suspend(0.3)
                cell.list(clock_ms + 500, attempt)
                machine.suspend(0.1)
            else:
                machine.suspend(0.4)
            cell.end(attempt, clock_ms + 600)
            clock_ms += 700
            machine.suspend(0.1)
        assert cell.learned_s(attempt) == pytest.approx(0.4, abs=0.01)

    def test_are_not_learned_from_runs_of_an_earlier_holder(self) -> None:
        """What is left of such a run would be learned as the time of a whole run."""
        cell = _Cell()
        for clock_ms in (1000, 9000):
            attempt = cell.start(0)
            attempt.read_back, attempt.began_ms = True, 0
            cell.list(clock_ms, attempt)
            cell.end(attempt, clock_ms + 100)
        assert cell.learned_s(attempt) is None

    def test_forget_the_earlier_incarnation(self) -> None:
        """The log would tell that the restarted runner listed the run."""
        cell = _Cell()
        attempt = cell.start(1000)
        cell.list(1001, attempt)
        attempt.reset_confirmation(None)
        assert (attempt.listed_at_s, attempt.began_ms) == (0.0, 0)

    def test_are_learned_from_long_runs(self) -> None:
        """Guards against ignoring runs that are longer than the limit."""
        cell = _Cell()
        for began_ms in (1000, 9000):
            attempt = cell.start(began_ms)
            for clock_ms in range(began_ms + 800, began_ms + 5000, 800):
                cell.list(clock_ms, attempt)
            cell.end(attempt, began_ms + 5000)
        assert cell.learned_s(attempt) == pytest.approx(5.0)


class TestProgress:
    @for_each_suspension
    def test_of_a_run_is_measured_by_its_runner(
        self, machine: Machine, for_s: float
    ) -> None:
        """A healthy run would be stopped, and started elsewhere from the beginning."""
        cell = _Cell()
        other = RunnerState("i-2", "desk", "x:2", "z", ("a",), 9000, 900, 0)
        other.ready = True
        cell.engine.add_runner(other)
        attempt = cell.start(1000)
        runner = cell.engine.runners[attempt.runner_id]
        row = RunningTask(attempt.task.name, attempt.run, "", 20.0, None)
        for clock_ms in (1200, 1230):
            cell.engine.on_hold(runner, HoldReply(clock_ms, (row,), ()))
            machine.suspend(for_s)
        machine.suspend(1.0)
        cell.engine.handle_lagging_runs()
        assert cell.engine.take_stops() == []


class TestSlots:
    """An entry daemon would refuse requests as too many for their deadlines.

    Once it refuses all of them, no answer corrects the estimate.
    """

    @for_each_suspension
    async def test_drain_rate_is_kept(self, machine: Machine, for_s: float) -> None:
        queue = SlotQueue(limit=10, poll_s=0.001)
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)

        lengths: set[int] = set()

        def acquire() -> int | None:
            lengths.add(len(queue))
            if 3 not in lengths:
                return None
            if len(queue) == 2:
                machine.suspend(for_s)
            return 1

        await _acquire_all(queue, acquire, now_s + 1e6)
        assert queue.expected_wait_s() < 0.1

    async def test_drain_rate_of_a_slow_service_is_learned(
        self, machine: Machine
    ) -> None:
        """Guards against ignoring long intervals in which the entry polled in time."""
        queue = SlotQueue(limit=10, poll_s=0.001)
        tries = 0

        def acquire() -> int | None:
            nonlocal tries
            machine.suspend(0.1)
            tries += 1
            return 1 if tries % 20 == 0 else None

        await _acquire_all(queue, acquire, boot_s() + 1e6)
        assert queue.expected_wait_s() == pytest.approx(2.0, abs=0.5)

    @for_each_long_suspension
    async def test_run_times_are_kept(
        self, machine: Machine, monkeypatch: pytest.MonkeyPatch, for_s: float
    ) -> None:
        assert await self._run_times(machine, monkeypatch, for_s) == [None]

    @pytest.mark.parametrize("for_s", [1.0, 4.0])
    async def test_run_times_within_the_deadline_are_learned(
        self, machine: Machine, monkeypatch: pytest.MonkeyPatch, for_s: float
    ) -> None:
        """Guards against ignoring a slow upstream."""
        took_s = await self._run_times(machine, monkeypatch, for_s)
        assert took_s == [pytest.approx(for_s, abs=0.1)]

    async def test_run_times_that_are_unknown_change_no_estimate(self) -> None:
        queue = SlotQueue(limit=10)
        queue.note_run(0.4)
        router = Router.__new__(Router)
        router._queues = {"search": queue}
        health = types.SimpleNamespace(note_success=lambda: None)
        directory: t.Any = types.SimpleNamespace(health=lambda upstream: health)
        router._directory = directory
        slot: t.Any = types.SimpleNamespace(service="search", upstream=None)
        router.note_success(slot, None)
        assert queue.run_s == 0.4

    @staticmethod
    async def _run_times(
        machine: Machine, monkeypatch: pytest.MonkeyPatch, for_s: float
    ) -> list[float | None]:
        """Return what is learned from a request during which there is a suspension."""
        took_s: list[float | None] = []
        router: t.Any = types.SimpleNamespace(
            note_success=lambda slot, run_s: took_s.append(run_s),
            note_accepted=lambda slot: None,
        )

        async def relay(*arguments: t.Any) -> t.Any:
            machine.suspend(for_s)
            return None

        monkeypatch.setattr(dispatch, "relay_answer", relay)
        unused: t.Any = types.SimpleNamespace()
        call: t.Any = types.SimpleNamespace(deadline_at_s=boot_s() + 5.0)
        await _Dispatcher(router, lambda: False)._send(unused, call, unused, None)
        return took_s


async def _acquire_all(
    queue: SlotQueue, acquire: t.Callable[[], int | None], deadline_at_s: float
) -> None:
    """Acquire three slots one after the other, while all three requests wait."""
    waiting = [
        asyncio.create_task(queue.acquire(acquire, deadline_at_s)) for _ in range(3)
    ]
    await asyncio.gather(*waiting)


class _Exchange:
    """An exchange with an upstream that answers at once."""

    async def __aenter__(self) -> t.Any:
        return types.SimpleNamespace(headers={}, status=200)

    async def __aexit__(self, *error: t.Any) -> None:
        return None


class _Dispatcher(Dispatcher):
    def _exchange(self, call: t.Any, slot: t.Any) -> t.Any:
        return _Exchange()

    def _note_reply_headers(self, slot: t.Any, reply: t.Any) -> None:
        return None


class _HoldClient(RunnerClient):
    """A runner whose first answer is read after a suspension."""

    def __init__(self, machine: Machine, for_s: float) -> None:
        self.waits_s: list[float] = []
        self._machine = machine
        self._for_s = for_s

    async def hold(  # type: ignore[no-untyped-def]
        self, address, runner_id, token, confirmed, deadline_ms, wait_s, timeout_s
    ):
        self.waits_s.append(wait_s)
        if len(self.waits_s) == 2:
            self._machine.suspend(self._for_s)
        if len(self.waits_s) == 4:
            raise IndexError
        return HoldReply(1000 + len(self.waits_s), (), ())


class _LinkOwner:
    token = 1

    def may_extend_s(self, wanted_s: float) -> float:
        return wanted_s

    async def on_hold_reply(self, link: RunnerLink, reply: HoldReply) -> None:
        return None

    def on_ready(self, link: RunnerLink) -> None:
        return None


class TestRunnerClock:
    @pytest.mark.parametrize("for_s", [10.0, 60.0])
    async def test_is_read_again_at_once(self, machine: Machine, for_s: float) -> None:
        """Starts would be refused as late until the runner's next list, after 1.5 s."""
        client = _HoldClient(machine, for_s)
        runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9000, 900, 0)
        owner: t.Any = _LinkOwner()
        link = RunnerLink(runner, client, owner, LinkSettings(), 0.0)
        with pytest.raises(IndexError):
            await link.run()
        idle_wait_s = LinkSettings().idle_wait_s
        assert client.waits_s == [0.0, idle_wait_s, 0.0, idle_wait_s]
