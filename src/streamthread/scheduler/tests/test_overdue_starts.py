"""Tests starts whose answers are overdue, as on a connection that does not respond."""

import asyncio

import attrs
import pytest

from streamthread.errors import AnswerOverdueError
from streamthread.errors import NoAnswerError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.runners import OrderReply
from streamthread.platform.runners import Refusal
from streamthread.scheduler import Phase
from streamthread.scheduler.orders import OrderSettings

from .support import StartCell

SETTINGS = OrderSettings()
OVERDUE = AnswerOverdueError("no answer yet", remedy="-")
UNANSWERED = NoAnswerError("no answer", remedy="-")


class TestOverdueStart:
    async def test_is_sent_again_within_its_time_limit(self) -> None:
        """Guards against a start that waits on a connection that does not respond."""
        cell = StartCell(replies=[OVERDUE])
        attempt = await cell.start()
        assert attempt.phase is Phase.CONFIRMED
        rest_s = SETTINGS.answer_s - SETTINGS.overdue_s
        assert cell.time_limits_s == [
            (SETTINGS.answer_s, SETTINGS.overdue_s),
            (rest_s, None),
        ]

    async def test_leaves_its_runner_usable(self) -> None:
        cell = StartCell(replies=[OVERDUE])
        await cell.start()
        assert cell.steps == ["start", "start"]
        assert cell.runner.usable()

    async def test_is_stopped_if_the_second_try_is_refused(self) -> None:
        """Guards against a second run beside that of the first try."""
        cell = StartCell(replies=[OVERDUE, OrderReply(Refusal.NO_CAPACITY, 100)])
        attempt = await cell.start()
        assert attempt.phase is Phase.STOPPING
        assert attempt in cell.task.attempts

    async def test_that_is_refused_a_connection_then_is_sent_after_a_pause(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a loop that calls a runner that is gone without a pause."""
        pauses_s: list[float] = []

        async def pause(delay_s: float) -> None:
            pauses_s.append(delay_s)

        monkeypatch.setattr(asyncio, "sleep", pause)
        gone = StoreUnavailableError("connection refused", remedy="-")
        cell = StartCell(replies=[OVERDUE, gone, gone])
        await cell.start()
        assert pauses_s == [SETTINGS.retry_s] * 2

    async def test_is_unanswered_after_the_second_try(self) -> None:
        cell = StartCell(replies=[OVERDUE, UNANSWERED])
        await cell.start()
        assert cell.steps == ["start", "start", "unanswered", "start"]
        assert attrs.astuple(SETTINGS)[:2] == cell.time_limits_s[-1]
