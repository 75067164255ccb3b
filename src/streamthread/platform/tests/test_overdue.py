"""Calls to runners that end early, and those that do not."""

import asyncio
import typing as t

import pytest
from aiohttp import web

from streamthread.errors import AnswerOverdueError
from streamthread.platform.overdue import OverdueTimer
from streamthread.platform.runners import RunnerClient
from streamthread.platform.runners import StartOrder
from streamthread.standins.cell.port import HttpPort

OVERDUE_S = 0.05
PATIENCE_S = 60.0
"""A time limit that no test waits for."""

ORDER = StartOrder(task="a.0.0.0", run=1, spec="", deadline_ms=1, fencing_token=1)


class _Runner:
    """Answers the first start once it is allowed to, and the others at once."""

    def __init__(self) -> None:
        self.calls = 0
        self.may_answer = asyncio.Event()
        self.port = HttpPort(self._serve)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.calls == 1:
            await self.may_answer.wait()
        return web.json_response({"clockMs": 1})


@pytest.fixture
async def runner() -> t.AsyncIterator[_Runner]:
    runner = _Runner()
    await runner.port.open()
    yield runner
    runner.may_answer.set()
    await runner.port.close()


@pytest.fixture
async def client() -> t.AsyncIterator[RunnerClient]:
    client = RunnerClient()
    yield client
    await client.close()


class TestStart:
    async def test_ends_early_if_its_answer_is_overdue(
        self, runner: _Runner, client: RunnerClient
    ) -> None:
        address = runner.port.address
        with pytest.raises(AnswerOverdueError):
            await client.start(address, "i-1", ORDER, PATIENCE_S, OVERDUE_S)
        reply = await client.start(address, "i-1", ORDER, PATIENCE_S)
        assert reply.refusal is None

    async def test_waits_for_its_time_limit_otherwise(
        self, runner: _Runner, client: RunnerClient
    ) -> None:
        start = client.start(runner.port.address, "i-1", ORDER, PATIENCE_S)
        answer = asyncio.ensure_future(start)
        await asyncio.wait([answer], timeout=4 * OVERDUE_S)
        assert not answer.done()
        runner.may_answer.set()
        assert (await answer).refusal is None


class TestOverdueTimer:
    async def test_is_extended_while_the_event_loop_is_late(self) -> None:
        """Guards against repeating calls whose answers a busy holder reads late."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE_S) as limit:
            timer = OverdueTimer(limit, PATIENCE_S)
            timer._due_at_s = loop.time() - 1.0
            timer._on_due()
            assert not timer.expired
            timer._due_at_s = loop.time()
            timer._on_due()
            assert timer.expired
            limit.reschedule(None)
            timer.cancel()

    async def test_is_cancelled_once_the_answer_begins(self) -> None:
        async with asyncio.timeout(PATIENCE_S) as limit:
            timer = OverdueTimer(limit, PATIENCE_S)
            timer.cancel()
            assert timer._handle.cancelled()
            assert limit.when() is not None and not timer.expired


class TestTimerThatIsDueWithTheTimeLimit:
    async def test_leaves_a_call_alone_that_has_just_ended(self) -> None:
        """Guards against an exception in the loop: a limit ends only once."""
        errors: list[t.Any] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(PATIENCE_S) as limit:
                timer = OverdueTimer(limit, PATIENCE_S)
                limit.reschedule(loop.time())
                loop.call_soon(timer._on_due)
                await asyncio.sleep(PATIENCE_S)
        loop.set_exception_handler(None)
        assert errors == []
        assert not timer.expired
