"""Tests that a pace order carried out late is corrected.

An unanswered pace order may take effect after a newer one. Lists do not contain the
pace, so the last order counts as set once it is answered.
"""

import time
import types
import typing as t

from streamthread.errors import OutcomeUnknownError
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import OrderReply
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.scheduler.orders import OrderSender
from streamthread.scheduler.orders import OrderSettings
from streamthread.sharing import plan_paces
from streamthread.sharing import SharingSettings

LISTS = 20


class _Client:
    """Leaves the first pace order unanswered, and carries it out on request."""

    def __init__(self) -> None:
        self.pace_percent = 100
        self.late: int | None = None

    async def pace(self, *args: t.Any) -> OrderReply:
        percent: int = args[4]
        if self.late is None:
            self.late = percent
            raise OutcomeUnknownError("no answer", remedy="-")
        self.pace_percent = percent
        return OrderReply()

    def carry_out_late(self) -> None:
        assert self.late is not None
        self.pace_percent = self.late


class _Owner:
    """Owns one runner and has a valid lease."""

    token = 1

    def __init__(self, runner: RunnerState) -> None:
        self.links = {
            "i-1": types.SimpleNamespace(silent=False, over=False, runner=runner)
        }

    async def until_trusted(self) -> None:
        return


class TestPace:
    async def test_carried_out_late_is_corrected(self) -> None:
        step = StepRequest(fills=True)
        job = Job(
            "a" * 16, JobTerms("r", "desk"), JobRequest("", (step,)), b"", time.time()
        )
        task = job.begin(0).steps[0].tasks[0]
        attempt = Attempt(task, 1, "i-1", Phase.CONFIRMED)
        runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9, 9, 0)
        runner.attempts = {(task.name, 1): attempt}
        client = _Client()
        owner: t.Any = _Owner(runner)
        sender = OrderSender(
            t.cast(t.Any, client), Engine(lambda job: None), owner, OrderSettings()
        )

        async def list_once() -> None:
            for order in plan_paces(runner, SharingSettings()):
                await sender.pace(order.attempt, order.percent)

        await sender.pace(attempt, 0)
        await list_once()
        assert client.pace_percent == 100
        client.carry_out_late()
        for _ in range(LISTS):
            await list_once()
        assert client.pace_percent == 100
