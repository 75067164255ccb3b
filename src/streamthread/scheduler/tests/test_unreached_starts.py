"""Tests that a start answered only by the next incarnation blames no task."""

import asyncio
import time
import types
import typing as t

import pytest

from streamthread.errors import OutcomeUnknownError
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import IncarnationEndedError
from streamthread.platform.runners import OrderReply
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler.model import Task
from streamthread.scheduler.orders import OrderSender
from streamthread.scheduler.orders import OrderSettings


class _Client:
    """Answers each start by raising the next error."""

    def __init__(self, *errors: Exception) -> None:
        self._errors = list(errors)

    async def start(self, *args: t.Any, **limits: t.Any) -> OrderReply:
        raise self._errors.pop(0)


class _Owner:
    """Owns one runner and has a valid lease."""

    token = 1

    def __init__(self, engine: Engine, runner: RunnerState) -> None:
        self._engine = engine
        link = types.SimpleNamespace(
            silent=False,
            over=False,
            runner=runner,
            start_slots=asyncio.Semaphore(),
            clock=types.SimpleNamespace(known=True),
            start_deadline_ms=lambda within_s: 1,
            on_order_unanswered=lambda sent_at_s: None,
        )
        self.links = {runner.runner_id: link}

    async def until_trusted(self) -> None:
        return

    def ticket_for(self, attempt: t.Any) -> str:
        return ""

    def on_runner_exit(self, link: t.Any, why: str) -> None:
        self._engine.runner_exited(link.runner.runner_id, why)


async def _start(*errors: Exception) -> Task:
    """Return a task whose start got these answers and whose runner then exited."""
    engine = Engine(lambda job: None)
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9, 9, 0)
    runner.ready = True
    engine.add_runner(runner)
    step = StepRequest(cpu=1, memory_mb=1)
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("", (step,)), b"", time.time()
    )
    job.begin(0)
    engine.add(job)
    (attempt,) = engine.place_all(time.time(), lambda step: None)
    client: t.Any = _Client(*errors)
    owner: t.Any = _Owner(engine, runner)
    await OrderSender(client, engine, owner, OrderSettings()).start(attempt)
    return attempt.task


class TestStartAnsweredByAnotherIncarnation:
    async def test_is_attributed_to_no_task(self) -> None:
        """Guards against failing jobs for exits that precede their tasks' start."""
        task = await _start(IncarnationEndedError())
        assert task.lost_runners == 0
        assert task.needs_attempt

    @pytest.mark.parametrize("tries", [1, 2])
    async def test_counts_if_an_earlier_try_may_have_started(self, tries: int) -> None:
        """Guards against missing a task that crashes its runner before answering."""
        lost = [OutcomeUnknownError("no answer", remedy="-")] * tries
        task = await _start(*lost, IncarnationEndedError())
        assert task.crashes == 1
