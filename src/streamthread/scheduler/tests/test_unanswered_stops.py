"""Tests that a refused stop does not complete an earlier, unanswered one.

The unanswered stop may be carried out seconds later. If its run counted as running in
the meantime, another run of its step might be stopped as well.
"""

import types
import typing as t

from streamthread.clocks import boot_s
from streamthread.errors import OutcomeUnknownError
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import OrderReply
from streamthread.platform.runners import Refusal
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Phase
from streamthread.scheduler.orders import OrderSender
from streamthread.scheduler.orders import OrderSettings

from .test_stops import _engine_with_runs


class _Client:
    """Leaves the first stop unanswered and refuses the second one."""

    def __init__(self) -> None:
        self.stops = 0

    async def stop(self, *args: t.Any) -> OrderReply:
        self.stops += 1
        if self.stops == 1:
            raise OutcomeUnknownError("no answer", remedy="-")
        return OrderReply(Refusal.UNHEALTHY)


class TestStopWithoutAnswer:
    async def test_is_not_completed_by_the_refusal_of_the_next_try(self) -> None:
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.confirm(first, 1)
        runner = engine.runners["i-1"]
        link = types.SimpleNamespace(silent=False, over=False, runner=runner)

        async def until_trusted() -> None:
            return

        owner: t.Any = types.SimpleNamespace(
            token=1, links={"i-1": link}, until_trusted=until_trusted
        )
        client = _Client()
        sender = OrderSender(
            t.cast(t.Any, client), engine, owner, OrderSettings(retry_s=0.0)
        )
        engine.stop(first, "upkeep")
        (attempt,) = engine.take_stops()
        await sender.stop(attempt)
        assert client.stops == 2
        row = RunningTask(first.task.name, first.run, "", 100.0)
        engine.on_hold(runner, HoldReply(int(boot_s() * 1000), (row,), ()))
        assert first.phase is Phase.STOPPING
