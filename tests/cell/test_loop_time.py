"""Time limits that count the time for which the event loop ran."""

import asyncio
import time
import typing as t

import pytest

from streamthread.clocks import processor_s

from .loop_time import LoopTime

WITHIN_S = 0.1
TOOK_S = 0.25


async def _stall() -> str:
    time.sleep(TOOK_S)
    # The ticks that were due meanwhile are late now.
    await asyncio.sleep(0.02)
    return "done"


async def _stall_before_answer() -> str:
    time.sleep(TOOK_S)
    return "done"


async def _compute() -> str:
    until_s = processor_s() + TOOK_S
    while processor_s() < until_s:
        pass
    await asyncio.sleep(0.02)
    return "done"


async def _wait() -> str:
    await asyncio.sleep(TOOK_S)
    return "done"


class TestResult:
    # Guards against a test that fails by the load of its machine.
    @pytest.mark.parametrize("stalled", [_stall, _stall_before_answer])
    async def test_may_arrive_late_by_a_stall_of_the_loop(self, stalled: t.Any) -> None:
        async with LoopTime(stall_cost_s=0.0, counts_work=True) as clock:
            await asyncio.sleep(0)
            assert await clock.result(stalled(), WITHIN_S) == "done"

    # Guards against a limit that a slower product keeps.
    @pytest.mark.parametrize("slow", [_compute, _wait])
    async def test_may_not_arrive_late_by_work_or_waits(self, slow: t.Any) -> None:
        async with LoopTime(stall_cost_s=0.0, counts_work=True) as clock:
            await asyncio.sleep(0)
            with pytest.raises(AssertionError, match=r"s are allowed|not in"):
                await clock.result(slow(), WITHIN_S)


class TestElapsedTime:
    # Guards against a limit that a stall of the loop exceeds because the time is read
    # before the late tick.
    async def test_excludes_a_stall_that_no_tick_has_counted_yet(self) -> None:
        async with LoopTime(stall_cost_s=0.0, counts_work=True) as clock:
            await asyncio.sleep(0)
            began_at_s = clock.elapsed_s()
            time.sleep(TOOK_S)
            assert clock.elapsed_s() - began_at_s < WITHIN_S
            await asyncio.sleep(0.02)
            assert clock.elapsed_s() - began_at_s < WITHIN_S

    async def test_includes_work_that_no_tick_has_counted_yet(self) -> None:
        async with LoopTime(stall_cost_s=0.0, counts_work=True) as clock:
            await asyncio.sleep(0)
            began_at_s = clock.elapsed_s()
            until_s = processor_s() + TOOK_S
            while processor_s() < until_s:
                pass
            assert clock.elapsed_s() - began_at_s > WITHIN_S
