"""Reads back whether a write took effect if the store's answer is overdue."""

import asyncio
import typing as t

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..platform.store import TransactResult
from ..response_times import ResponseTimes
from ..stopwatch import Stopwatch

__all__ = ["ReadBack", "version_written"]

ReadBack = t.Callable[[], t.Awaitable[int | None]]
"""Reads back whether a write took effect: returns the version that it created, 0 if it
took no effect, or None if this cannot be read now."""

READ_BACK_TIMEOUT_S = 0.4
"""Time-out of a read-back. A read takes 0.25 s in a store that is 60 times slower, and
a read that was sent before the store recovered may never be answered."""

READ_BACK_PAUSE_S = 0.1
"""Pause before the next read-back while the answer is overdue."""

GIVE_UP_FACTOR = 2.0
"""A write without effect is abandoned after this multiple of the answer time-out. In a
store that is slow for all clients, a write takes twice as long as a read-back."""


async def version_written(
    write: t.Awaitable[TransactResult], read_back: ReadBack, times: ResponseTimes
) -> int:
    """Return the version that a write created, or 0 if it has not taken effect.

    While the answer is overdue, the effect of the write is read back concurrently. If
    the store answers the read-back in time and the write has had no effect, the write
    is abandoned, because its connection is most likely dead. The write may still take
    effect later if its conditions hold then.

    :raises StoreUnavailableError: the store refused the write; nothing was written.
    """
    began_at_s = boot_s()
    since_sent = Stopwatch()
    answer = asyncio.ensure_future(write)
    try:
        wait_s = times.answer_timeout_s
        while not await _is_done(answer, wait_s):
            wait_s = READ_BACK_PAUSE_S
            read_at_s = boot_s()
            version = await _read_back_concurrently(answer, read_back)
            if answer.done():
                break
            now_s = boot_s()
            quick = now_s - read_at_s < times.answer_timeout_s
            overdue = now_s - began_at_s > GIVE_UP_FACTOR * times.answer_timeout_s
            if version or (version == 0 and quick and overdue):
                times.back_off()
                return version
        result = await answer
        times.observe(since_sent.elapsed_s())
    except OutcomeUnknownError:
        return await read_back() or 0
    finally:
        answer.cancel()
    if result.committed:
        return result.version
    return await read_back() or 0


async def _is_done(answer: "asyncio.Future[TransactResult]", within_s: float) -> bool:
    await asyncio.wait((answer,), timeout=within_s)
    return answer.done()


async def _read_back_concurrently(
    answer: "asyncio.Future[TransactResult]", read_back: ReadBack
) -> int | None:
    """Read back until the result, the time-out or the answer of the write arrives.

    :return: the result of the read-back, or None if it did not complete.
    """
    reading = asyncio.ensure_future(read_back())
    try:
        await asyncio.wait(
            (answer, reading),
            timeout=READ_BACK_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        return reading.result() if reading.done() else None
    finally:
        reading.cancel()
