"""A call's time limit that ends while the event loop stands still."""

import asyncio
import socket
import time

import pytest

from streamthread.platform.overdue import LateLoopGuard
from streamthread.platform.overdue import RECHECK_S

LIMIT_S = 0.1
STALL_S = 0.3


async def _receive(guarded: bool, answer: bytes, stall_s: float) -> bytes:
    """Receive an answer that is sent before a stall longer than the time limit."""
    near, far = socket.socketpair()
    near.setblocking(False)
    loop = asyncio.get_running_loop()

    def stall() -> None:
        far.send(answer)
        time.sleep(stall_s)

    with near, far:
        loop.call_later(LIMIT_S / 2, stall)
        async with asyncio.timeout(LIMIT_S) as limit:
            guard = LateLoopGuard(limit) if guarded else None
            received = await loop.sock_recv(near, 100)
        if guard is not None:
            guard.cancel()
        return received


class TestAnswerThatArrivesDuringAStall:
    # Guards against commits whose answer is thrown away: in a store that takes 0.8 s,
    # reading back their effect makes them last for 2 s, and submissions are refused.
    async def test_is_read(self) -> None:
        assert await _receive(True, b"answer", STALL_S) == b"answer"

    async def test_is_thrown_away_without_the_guard(self) -> None:
        with pytest.raises(TimeoutError):
            await _receive(False, b"answer", STALL_S)


class TestLimit:
    # Guards against a silent connection that a busy process waits for without end.
    async def test_is_extended_once(self) -> None:
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        loop.call_later(LIMIT_S / 2, time.sleep, STALL_S)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(LIMIT_S) as limit:
                LateLoopGuard(limit)
                await asyncio.sleep(10 * STALL_S)
        limit_s = LIMIT_S / 2 + STALL_S + RECHECK_S
        assert limit_s <= loop.time() - began_at_s < 10 * STALL_S

    async def test_is_not_extended_if_the_loop_runs(self) -> None:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(LIMIT_S) as limit:
                end_at_s = limit.when()
                LateLoopGuard(limit)
                await asyncio.sleep(10 * STALL_S)
        assert limit.when() == end_at_s

    async def test_that_was_moved_stays(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(LIMIT_S) as limit:
            LateLoopGuard(limit)
            limit.reschedule(loop.time() + 10 * STALL_S)
            moved_to_s = limit.when()
            time.sleep(STALL_S)
            await asyncio.sleep(LIMIT_S)
            assert limit.when() == moved_to_s
