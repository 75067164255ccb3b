"""Calls for advice get the time that their policy and earlier calls ask for."""

import asyncio
import typing as t

import pytest

from streamthread.errors import NoAnswerError
from streamthread.holder.advice import AdviceCache
from streamthread.holder.advice_times import AdviceTimes
from streamthread.platform.advice import Advice
from streamthread.platform.advice import Ticket
from streamthread.platform.manifest import AdvicePolicy
from streamthread.scheduler import RunnerState

from .test_advice import _step

POLICIES = [
    AdvicePolicy(decide_s, each_s, 20.0)
    for decide_s in (0.0, 0.05, 2.0, 30.0)
    for each_s in (0.0, 0.005, 0.082, 1.0, 10.0)
]


class _SlowService:
    """Answers calls that have at least the time that it takes.

    :param slowness: it takes this many times as long as the policy says.
    """

    def __init__(self, policy: AdvicePolicy, slowness: float) -> None:
        self._policy = policy
        self._slowness = slowness
        self.calls: list[tuple[int, float]] = []

    async def advise(
        self, step: str, runner_ids: t.Sequence[str], timeout_s: float
    ) -> Advice:
        self.calls.append((len(runner_ids), timeout_s))
        if self._policy.duration_s(len(runner_ids)) * self._slowness >= timeout_s:
            raise NoAnswerError("no answer", remedy="-")
        return Advice(tuple(Ticket(i, f"t-{i}") for i in runner_ids), None)


def _runners(count: int) -> list[RunnerState]:
    return [
        RunnerState(f"i-{n}", "desk", f"x:{n}", "z", ("a",), 1, 1, 0)
        for n in range(count)
    ]


async def _ask(service: _SlowService, policy: AdvicePolicy) -> None:
    """Run a cache until a step has tickets."""
    runners, step = _runners(60), _step()
    cache = AdviceCache(
        t.cast(t.Any, service),
        lambda job: policy,
        lambda pool, last_resort: runners,
        lambda: None,
    )
    running = asyncio.ensure_future(cache.run())
    try:
        async with asyncio.timeout(10):
            while not cache.allowed(step):
                await asyncio.sleep(0)
    finally:
        running.cancel()


class TestTimeLimit:
    # Guards against calls that are given up before the policy lets them be answered.
    @pytest.mark.parametrize("policy", POLICIES)
    async def test_outlasts_what_the_policy_states(self, policy: AdvicePolicy) -> None:
        service = _SlowService(policy, 1.0)
        await _ask(service, policy)
        assert len(service.calls) == 1

    # Guards against a call that is repeated as it was after its time ran out.
    @pytest.mark.parametrize("policy", POLICIES[1:])
    async def test_that_ran_out_is_followed_by_another_call(
        self, policy: AdvicePolicy, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr("streamthread.holder.advice.RETRY_S", 0.0)
        service = _SlowService(policy, 100.0)
        await _ask(service, policy)
        assert len(set(service.calls)) == len(service.calls)
        counts = [count for count, _ in service.calls]
        assert counts == sorted(counts, reverse=True)

    def test_follows_the_answers(self) -> None:
        times, policy = AdviceTimes(), AdvicePolicy(0.05, 0.01, 20.0)
        before_s = times.time_limit_s(policy, 10)
        times.on_answer(policy, 10, 8 * policy.duration_s(10))
        assert times.time_limit_s(policy, 10) > 8 * policy.duration_s(10) > before_s
        for _ in range(50):
            times.on_answer(policy, 10, policy.duration_s(10))
        assert times.time_limit_s(policy, 10) == pytest.approx(before_s, rel=0.01)

    # Guards against a time limit that grows without end while nothing answers.
    def test_is_bounded(self) -> None:
        times, policy = AdviceTimes(), AdvicePolicy(0.05, 0.01, 20.0)
        for _ in range(2000):
            times.on_no_answer()
        bound_s = times.time_limit_s(policy, 10)
        times.on_no_answer()
        assert times.time_limit_s(policy, 10) == bound_s


class TestTicket:
    # Guards against tickets that count as expired because their call took long.
    async def test_is_valid_from_the_end_of_a_long_call(self) -> None:
        policy = AdvicePolicy(0.0, 0.005, 0.25)

        class _Service(_SlowService):
            async def advise(
                self, step: str, runner_ids: t.Sequence[str], timeout_s: float
            ) -> Advice:
                await asyncio.sleep(policy.duration_s(len(runner_ids)))
                return await super().advise(step, runner_ids, timeout_s)

        await _ask(_Service(policy, 0.0), policy)
