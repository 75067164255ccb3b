"""Starts that wait for runners of a lost hall are placed elsewhere."""

import asyncio
import time

from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Phase
from streamthread.scheduler.orders import OrderSettings

from .support import StartCell

SOON_S = 5.0
WAITS_S = 0.2


def _cell() -> StartCell:
    cell = StartCell()
    cell.settings = OrderSettings(leaves_silent=True)
    return cell


class TestStartForARunnerThatMayGetNoTasks:
    # Guards against tasks that wait for a runner of a lost hall, or for the end of its
    # leases, although nothing of them was sent.
    async def test_is_withdrawn_if_nothing_was_sent(self) -> None:
        for silent in (False, True):
            cell = _cell()
            (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
            cell.runner.ready, cell.links["i-1"].silent = False, silent
            async with asyncio.timeout(SOON_S):
                await cell.send(attempt)
            assert cell.steps == []
            assert cell.task.needs_attempt and not cell.runner.used_cpu

    # Guards against a second run: the runner may have received the start.
    async def test_waits_if_it_may_have_been_sent(self) -> None:
        cell = _cell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        attempt.phase = Phase.SENT
        cell.runner.ready, cell.links["i-1"].silent = False, True
        sending = asyncio.ensure_future(cell.send(attempt))
        await asyncio.sleep(WAITS_S)
        assert not sending.done() and cell.task.attempts == [attempt]
        sending.cancel()

    # Guards against a gang that lacks the member withdrawn.
    async def test_waits_if_it_is_one_of_a_gang(self) -> None:
        cell = _cell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        cell.task.step.request = StepRequest(cpu=1, memory_mb=1, gang=True)
        cell.runner.ready, cell.links["i-1"].silent = False, True
        sending = asyncio.ensure_future(cell.send(attempt))
        await asyncio.sleep(WAITS_S)
        assert not sending.done() and cell.task.attempts == [attempt]
        sending.cancel()

    async def test_waits_where_no_loss_of_a_hall_is_tolerated(self) -> None:
        cell = StartCell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        cell.runner.ready, cell.links["i-1"].silent = False, True
        sending = asyncio.ensure_future(cell.send(attempt))
        await asyncio.sleep(WAITS_S)
        assert not sending.done() and cell.task.attempts == [attempt]
        sending.cancel()


class TestManyStarts:
    async def test_wait_for_their_turn_before_their_time_limit_begins(self) -> None:
        """Guards against starts that count as unanswered before they are sent."""
        cell = StartCell()
        cell.links["i-1"].start_slots = asyncio.Semaphore(0)
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        sending = asyncio.ensure_future(cell.send(attempt))
        await asyncio.sleep(0)
        assert cell.steps == []
        assert attempt.phase is Phase.PLANNED
        cell.links["i-1"].start_slots.release()
        await sending
        assert cell.steps == ["start"]
