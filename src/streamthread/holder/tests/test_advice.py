"""Tickets are fetched ahead, used while valid, and dropped after a rejection."""

import asyncio
import time
import typing as t

from streamthread.errors import StoreUnavailableError
from streamthread.holder.advice import AdviceCache
from streamthread.platform.advice import Advice
from streamthread.platform.advice import Ticket
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.manifest import AdvicePolicy
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler import StepRun

POLICY = AdvicePolicy(0.01, 0.001, 0.2)


class _Client:
    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.steps: list[str] = []

    async def advise(
        self, step: str, runner_ids: t.Sequence[str], timeout_s: float
    ) -> Advice:
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError("over its rate", remedy="-")
        self.steps.append(step)
        return Advice((Ticket(runner_ids[0], "t-1"),), None)


def _step() -> StepRun:
    request = JobRequest("", (StepRequest(),))
    job = Job("a" * 16, JobTerms("r", "desk"), request, b"", time.time())
    return job.begin(0).steps[0]


def _cache(client: _Client, policy: AdvicePolicy | None = POLICY) -> AdviceCache:
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 1, 1, 0)
    other = RunnerState("i-2", "desk", "x:2", "z", ("a",), 1, 1, 0)
    return AdviceCache(
        t.cast(t.Any, client),
        lambda job: policy,
        lambda pool, last_resort: [runner, other],
        lambda: None,
    )


async def _until_allowed(cache: AdviceCache, step: StepRun) -> list[str]:
    async with asyncio.timeout(5):
        while not (allowed := cache.allowed(step)):
            await asyncio.sleep(0.01)
    return list(allowed)


class TestRestartedRunner:
    async def test_gets_no_start_with_a_ticket_of_its_previous_incarnation(
        self,
    ) -> None:
        client = _Client()
        cache, step, other = _cache(client), _step(), _step()
        loop = asyncio.create_task(cache.run())
        try:
            assert await _until_allowed(cache, step) == ["i-1"]
            assert await _until_allowed(cache, other) == ["i-1"]
            cache.forget_runner("i-1")
            assert cache.ticket(step, "i-1") == cache.ticket(other, "i-1") == ""
            assert await _until_allowed(cache, step) == ["i-1"]
            assert len(client.steps) >= 3
        finally:
            loop.cancel()

    async def test_does_not_affect_steps_without_a_ticket_for_it(self) -> None:
        client = _Client()
        cache, step = _cache(client), _step()
        loop = asyncio.create_task(cache.run())
        try:
            await _until_allowed(cache, step)
            cache.forget_runner("i-2")
            assert list(cache.allowed(step) or ()) == ["i-1"]
            assert len(client.steps) == 1
        finally:
            loop.cancel()


class TestAdvice:
    async def test_is_not_requested_if_any_runner_may_run_the_step(self) -> None:
        client = _Client()
        assert _cache(client, policy=None).allowed(_step()) is None
        assert client.steps == []

    async def test_allows_only_runners_with_tickets(self) -> None:
        client, step = _Client(), _step()
        cache = _cache(client)
        running = asyncio.ensure_future(cache.run())
        assert cache.allowed(step) == ()
        assert await _until_allowed(cache, step) == ["i-1"]
        assert cache.ticket(step, "i-1") == "t-1"
        assert client.steps == [f"{'a' * 16}.0.0"]
        running.cancel()

    async def test_is_requested_again_once_tickets_have_expired(self) -> None:
        client, step = _Client(), _step()
        cache = _cache(client)
        running = asyncio.ensure_future(cache.run())
        await _until_allowed(cache, step)
        async with asyncio.timeout(5):
            while cache.allowed(step):
                await asyncio.sleep(0.01)
        await _until_allowed(cache, step)
        assert len(client.steps) == 2
        running.cancel()

    async def test_is_requested_again_after_a_refusal(self) -> None:
        client, step = _Client(failures=2), _step()
        cache = _cache(client)
        running = asyncio.ensure_future(cache.run())
        assert await _until_allowed(cache, step) == ["i-1"]
        running.cancel()

    async def test_a_rejected_ticket_is_not_used_again(self) -> None:
        client, step = _Client(), _step()
        cache = _cache(client)
        running = asyncio.ensure_future(cache.run())
        await _until_allowed(cache, step)
        cache.reject(step, "i-1")
        assert cache.ticket(step, "i-1") == ""
        running.cancel()
