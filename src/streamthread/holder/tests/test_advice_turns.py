"""All usable runners of a pool are asked about in turn, and all steps get a turn."""

import asyncio
import contextlib
import time
import typing as t

import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from streamthread.holder.advice import AdviceCache
from streamthread.holder.advice_choice import RunnerAnswer
from streamthread.holder.advice_choice import RunnerChooser
from streamthread.holder.advice_times import AdviceTimes
from streamthread.holder.advice_times import TURN_S
from streamthread.holder.advice_turns import TurnQueue
from streamthread.platform.advice import Advice
from streamthread.platform.advice import MAX_RUNNERS_PER_CALL
from streamthread.platform.advice import Ticket
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.manifest import AdvicePolicy
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler import StepRun

POLICY = AdvicePolicy(0.05, 0.082, 20.0)
QUICK = AdvicePolicy(0.0, 0.0, 20.0)


def _runner(number: int, cpu: int = 16) -> RunnerState:
    return RunnerState(f"i-{number}", "desk", f"x:{number}", "z", ("a",), cpu, 64, 0)


def _step(count: int = 1, priority: int = 0, **request: t.Any) -> StepRun:
    steps = (StepRequest(count=count, cpu=4, **request),)
    terms = JobTerms("r", "desk", priority)
    job = Job("a" * 16, terms, JobRequest("", steps), b"", time.time())
    return job.begin(0).steps[0]


class _Service:
    """Permits what a test says, without any delay."""

    def __init__(self, may_run: t.Callable[[str], bool]) -> None:
        self._may_run = may_run
        self.asked: list[tuple[str, ...]] = []
        self.also: list[Ticket] = []

    async def advise(
        self, step: str, runner_ids: t.Sequence[str], timeout_s: float
    ) -> Advice:
        await asyncio.sleep(0)
        self.asked.append(tuple(runner_ids))
        good = [Ticket(i, f"t-{i}") for i in runner_ids if self._may_run(i)]
        return Advice((*good, *self.also), None)

    def all_asked(self) -> list[str]:
        return [runner_id for call in self.asked for runner_id in call]


@attrs.define
class _Pool:
    """A cache, its runners and its service."""

    runners: list[RunnerState]
    service: _Service
    policy: AdvicePolicy = QUICK

    def cache(self) -> AdviceCache:
        return AdviceCache(
            t.cast(t.Any, self.service),
            lambda job: self.policy,
            lambda pool, last_resort: self.runners,
            lambda: None,
        )


@contextlib.asynccontextmanager
async def _running(cache: AdviceCache) -> t.AsyncIterator[None]:
    running = asyncio.ensure_future(cache.run())
    try:
        async with asyncio.timeout(10):
            yield
    finally:
        running.cancel()


async def _until_idle(cache: AdviceCache) -> None:
    """Wait until no step has runners to ask about."""
    while cache._turns or cache._wake.is_set():
        await asyncio.sleep(0)


class TestRunners:
    # Guards against a job that never starts as none of the first runners may run it.
    @pytest.mark.parametrize("count", [1, 31, 100, 300])
    @pytest.mark.parametrize("policy", [POLICY, QUICK, AdvicePolicy(5.0, 1.0, 20.0)])
    async def test_are_all_asked_about_once(
        self, count: int, policy: AdvicePolicy
    ) -> None:
        last = f"i-{count - 1}"
        service = _Service(lambda runner_id: runner_id == last)
        runners = [_runner(number) for number in range(count)]
        cache, step = _Pool(runners, service, policy).cache(), _step()
        async with _running(cache):
            while not (allowed := cache.allowed(step)):
                await asyncio.sleep(0)
            await _until_idle(cache)
        assert list(allowed) == [last]
        assert sorted(service.all_asked()) == sorted(r.runner_id for r in runners)
        assert all(len(call) <= MAX_RUNNERS_PER_CALL for call in service.asked)

    # Guards against a job that waits beside a runner that came after the answer.
    async def test_that_came_since_are_asked_about(self) -> None:
        service = _Service(lambda runner_id: runner_id == "i-9")
        pool = _Pool([_runner(0)], service)
        cache, step = pool.cache(), _step()
        async with _running(cache):
            assert not cache.allowed(step)
            await _until_idle(cache)
            pool.runners.append(_runner(9))
            while list(cache.allowed(step) or ()) != ["i-9"]:
                await asyncio.sleep(0.01)
        assert service.all_asked() == ["i-0", "i-9"]

    # Guards against calls that take longer than the waiting tasks need.
    async def test_with_room_are_asked_about_as_far_as_needed(self) -> None:
        service = _Service(lambda runner_id: True)
        runners = [_runner(number) for number in range(40)]
        for runner in runners[:30]:
            runner.used_cpu = runner.cpu
        cache, step = _Pool(runners, service, POLICY).cache(), _step(count=8)
        async with _running(cache):
            cache.request(step)
            await _until_idle(cache)
        asked = service.all_asked()
        assert set(asked) <= {runner.runner_id for runner in runners[30:]}
        assert 2 <= len(asked) <= 6

    # Guards against a step that needs a second call once a busy runner is free.
    async def test_that_are_busy_are_asked_about_ahead(self) -> None:
        service = _Service(lambda runner_id: True)
        runners = [_runner(number) for number in range(8)]
        for runner in runners:
            runner.used_cpu = runner.cpu
        cache, step = _Pool(runners, service, POLICY).cache(), _step(count=8)
        async with _running(cache):
            cache.request(step)
            await _until_idle(cache)
        assert 2 <= len(service.all_asked()) <= 6

    # Guards against a task that waits as it avoids all runners with a ticket.
    async def test_are_asked_about_further_while_tasks_are_not_placed(self) -> None:
        service = _Service(lambda runner_id: True)
        runners = [_runner(number) for number in range(20)]
        cache, step = _Pool(runners, service, POLICY).cache(), _step()
        async with _running(cache):
            while len(cache.allowed(step) or ()) < len(runners):
                await asyncio.sleep(0.01)

    # Guards against tickets for runners that the call did not name.
    async def test_that_were_not_named_get_no_ticket(self) -> None:
        service = _Service(lambda runner_id: True)
        service.also = [Ticket("i-7", "t-7")]
        cache, step = _Pool([_runner(0)], service).cache(), _step()
        async with _running(cache):
            cache.request(step)
            await _until_idle(cache)
            assert list(cache.allowed(step) or ()) == ["i-0"]

    # Guards against calls without end about a runner that rejects its tickets.
    async def test_that_reject_two_tickets_are_left_alone(self) -> None:
        service = _Service(lambda runner_id: True)
        cache, step = _Pool([_runner(0)], service).cache(), _step()
        async with _running(cache):
            for _ in range(5):
                cache.allowed(step)
                await _until_idle(cache)
                cache.reject(step, "i-0")
                await asyncio.sleep(0.11)
        assert len(service.asked) == 2


class TestSteps:
    async def _turns(self, may_run: bool, count: int) -> list[int]:
        """Return the order in which 40 steps make this number of calls."""
        service = _Service(lambda runner_id: may_run)
        runners = [_runner(number) for number in range(300)]
        cache = _Pool(runners, service, POLICY).cache()
        steps = [_step(count=50) for _ in range(40)]
        turns: list[int] = []
        fetch = cache._fetch

        async def noting(call: t.Any) -> bool:
            turns.append(steps.index(call.step))
            return await fetch(call)

        cache._fetch = noting  # type: ignore[method-assign]
        async with _running(cache):
            for step in steps:
                cache.request(step)
            while len(turns) < count:
                await asyncio.sleep(0)
        return turns[:count]

    # Guards against steps that wait while others ask about runner after runner.
    async def test_with_tickets_let_all_others_go_before_them(self) -> None:
        assert await self._turns(True, 80) == list(range(40)) * 2

    # Guards against a step that holds up all others, as none of its runners may run it.
    async def test_without_tickets_are_overtaken(self) -> None:
        assert set(await self._turns(False, 450)) == set(range(40))

    # Guards against tickets for two steps where only one of them fits.
    async def test_are_not_given_tickets_for_the_same_room(self) -> None:
        service = _Service(lambda runner_id: True)
        runners = [_runner(number) for number in range(12)]
        cache = _Pool(runners, service, POLICY).cache()
        steps = [_step(count=4) for _ in range(3)]
        async with _running(cache):
            for step in steps:
                cache.request(step)
            await _until_idle(cache)
        used: list[set[str]] = [set(cache._by_step[step].claims) for step in steps]
        assert all(used)
        assert not (used[0] & used[1] or used[1] & used[2] or used[0] & used[2])

    # Guards against low priorities that wait for good while others keep coming.
    async def test_of_low_priority_are_not_overtaken_for_ever(self) -> None:
        cache = _Pool([_runner(0)], _Service(lambda runner_id: True), POLICY).cache()
        low = _step(priority=1)
        turns: list[bool] = []
        fetch = cache._fetch

        async def noting(call: t.Any) -> bool:
            turns.append(call.step is low)
            cache.request(_step())
            cache.request(_step())
            return await fetch(call)

        cache._fetch = noting  # type: ignore[method-assign]
        async with _running(cache):
            cache.request(low)
            cache.request(_step())
            while not any(turns):
                await asyncio.sleep(0)
        assert 1 <= turns.index(True) <= 20

    # Guards against a job of many steps that delays all other jobs.
    async def test_of_one_job_do_not_delay_others(self) -> None:
        cache = _Pool([_runner(0)], _Service(lambda runner_id: True), POLICY).cache()
        request = JobRequest("", (StepRequest(cpu=4),), times=300)
        large = Job("c" * 16, JobTerms("r", "desk"), request, b"", time.time())
        for number in range(300):
            cache.request(large.begin(number).steps[0])
        turns: list[t.Any] = []
        fetch = cache._fetch

        async def noting(call: t.Any) -> bool:
            turns.append(call.step.occurrence.job)
            return await fetch(call)

        cache._fetch = noting  # type: ignore[method-assign]
        async with _running(cache):
            while len(turns) < 3:
                await asyncio.sleep(0)
            other = _step()
            cache.request(other)
            while other.occurrence.job not in turns:
                await asyncio.sleep(0)
        assert turns.index(other.occurrence.job) <= 6

    # Guards against a long-running task that waits for seconds behind a crowd of jobs.
    def test_of_long_running_tasks_wait_for_one_other_call(self) -> None:
        turns = TurnQueue()
        for _ in range(200):
            turns.add(_step())
        long_running = _step(lasting=True)
        turns.add(long_running)
        for _ in range(3):
            # Its first ticket has expired before it could be placed.
            calls = 0
            while (step := turns.in_order()[0]) is not long_running:
                turns.take(step)
                turns.add(step)
                calls += 1
            assert calls <= 1
            turns.take(long_running)
            turns.add(long_running)

    # Guards against other jobs that wait for long-running tasks nothing permits.
    def test_alternate_with_those_of_long_running_tasks(self) -> None:
        turns = TurnQueue()
        for _ in range(20):
            turns.add(_step(lasting=True))
        others = [_step() for _ in range(10)]
        for step in others:
            turns.add(step)
        taken: list[StepRun] = []
        for _ in range(20):
            taken.append(turns.in_order()[0])
            turns.take(taken[-1])
        assert [step for step in taken if step in others] == others

    # Guards against an account that floods a queue and so delays all other accounts.
    async def test_of_an_accounts_excess_come_last(self) -> None:
        cache = _Pool([_runner(0)], _Service(lambda runner_id: True), POLICY).cache()
        for _ in range(50):
            excess = _step()
            excess.occurrence.job.excess = True
            cache.allowed(excess)
        other = _step()
        cache.allowed(other)
        call = cache._next_call()
        assert call is not None and call.step is other

    # Guards against accepted work that waits behind a flood once that has had a call.
    async def test_of_an_accounts_excess_stay_last(self) -> None:
        turns = TurnQueue()
        for _ in range(50):
            excess = _step()
            excess.occurrence.job.excess = True
            turns.add(excess)
        for _ in range(3):
            turns.take(turns.in_order()[0])
        other = _step()
        turns.add(other)
        assert turns.in_order()[0] is other

    # Guards against a step that others overtake, as it was looked at without a call.
    def test_keep_their_turns_if_they_need_no_call(self) -> None:
        turns, step = TurnQueue(), _step()
        for _ in range(100):
            turns.add(step)
            turns.leave(step)
        turns.add(step)
        turns.add(_step())
        assert turns.in_order()[0] is step

    # Guards against steps with room that wait for those that are not ready yet.
    async def test_that_wait_for_others_come_last(self) -> None:
        service = _Service(lambda runner_id: True)
        runners = [_runner(number) for number in range(40)]
        cache = _Pool(runners, service, POLICY).cache()
        steps = (StepRequest(cpu=4), StepRequest(cpu=4, count=2, after=(0,)))
        job = Job(
            "b" * 16, JobTerms("r", "desk"), JobRequest("", steps), b"", time.time()
        )
        _, blocked = job.begin(0).steps
        ready = _step()
        cache.request(blocked)
        cache.request(ready)
        call = cache._next_call()
        assert call is not None and call.step is ready
        async with _running(cache):
            await _until_idle(cache)
        # Tickets for its two tasks suffice; none of the others is asked about.
        assert len(cache._by_step[blocked].answers) <= 4

    # Guards against memory that grows with the steps of ended jobs.
    async def test_that_have_ended_are_forgotten(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("streamthread.holder.advice.MAX_STEPS", 10)
        cache = _Pool([], _Service(lambda runner_id: True)).cache()
        cache._max_steps = 10
        for _ in range(200):
            step = _step()
            cache.request(step)
            step.occurrence.job.cancelled = True
        assert len(cache._by_step) <= 10


class TestChoice:
    def _choose(
        self, answers: dict[str, RunnerAnswer], runners: list[RunnerState]
    ) -> tuple[str, ...]:
        chooser = RunnerChooser(
            _step(count=4), answers, lambda runner_id: 0.5, {}, 0, 0, 100.0
        )
        return chooser.ahead(runners)

    # Guards against a call about a denied runner while others were never asked about.
    def test_prefers_expired_tickets_to_runners_never_asked_about(self) -> None:
        answers = {"i-0": RunnerAnswer("", 50.0), "i-2": RunnerAnswer("t", 50.0)}
        runners = [_runner(number) for number in range(3)]
        assert self._choose(answers, runners)[0] == "i-2"
        del answers["i-2"]
        assert self._choose(answers, runners)[-1] != "i-0"

    def test_leaves_out_runners_without_the_capacity(self) -> None:
        assert self._choose({}, [_runner(0, cpu=3)]) == ()


class TestSize:
    # Guards against calls of any policy that make all other steps wait.
    @settings(max_examples=200, deadline=None)
    @given(
        decide_s=st.floats(0, 1000),
        each_s=st.floats(0, 1000),
        slowness=st.floats(1, 50),
    )
    def test_of_a_call_is_bounded_by_its_turn(
        self, decide_s: float, each_s: float, slowness: float
    ) -> None:
        policy, times = AdvicePolicy(decide_s, each_s, 1.0), AdviceTimes(slowness)
        count = times.max_count(policy)
        assert 1 <= count <= MAX_RUNNERS_PER_CALL
        assert times.time_limit_s(policy, count) > times.expected_s(policy, count)
        stated_s = policy.duration_s(count) if count > 1 else 0.0
        assert stated_s <= max(TURN_S / slowness, 2 * decide_s) + 1e-6
