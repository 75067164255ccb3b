"""Writes whose answer does not come: what they did is looked up meanwhile."""

import asyncio
import typing as t

import attrs

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..platform.store import TransactResult

__all__ = ["ReadBack", "ResponseTimes", "version_written"]

ReadBack = t.Callable[[], t.Awaitable[int | None]]
"""Reads back whether a write has taken effect: the version that it made, 0 where it
has not, None where that cannot be read now."""

MEAN_WEIGHT = 0.125
"""Of the newest answer in the mean, as in TCP's estimate of round trips (RFC 6298)."""

DEVIATION_WEIGHT = 0.25
"""The same of the newest deviation."""

DEVIATION_FACTOR = 4.0
"""An answer that takes so many deviations longer than the mean is overdue."""

MIN_PATIENCE_S = 0.08
"""A commit takes 7 ms; a holder that is busy gets to its answer up to 50 ms later."""

MAX_PATIENCE_S = 0.6
"""A look is made this often at least: a store 60 times slower takes 0.3 s."""

READ_BACK_TIMEOUT_S = 0.4
"""A look takes no longer: a read takes 0.25 s in a store 60 times slower, and one that
was sent before the store came back may never be answered."""

READ_BACK_PAUSE_S = 0.1
"""Pause before the next look, while the answer is overdue."""

GIVE_UP_FACTOR = 2.0
"""A write without effect is given up after so many times the patience: in a store that
is slow for all, a write takes twice as long as a look."""


@attrs.define
class ResponseTimes:
    """How long the store's answers took lately."""

    _mean_s: float = 0.0
    _deviation_s: float = 0.0
    _doublings: int = 0

    @property
    def patience_s(self) -> float:
        """How long an answer may take before its effect is looked up."""
        usual_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        patience_s = max(MIN_PATIENCE_S, usual_s) * 2.0**self._doublings
        return min(patience_s, MAX_PATIENCE_S)

    def observe(self, took_s: float) -> None:
        """Take how long an answer took."""
        self._doublings = 0
        error_s = abs(took_s - self._mean_s)
        self._deviation_s += (error_s - self._deviation_s) * DEVIATION_WEIGHT
        self._mean_s += (took_s - self._mean_s) * MEAN_WEIGHT

    def back_off(self) -> None:
        """Wait longer next time: an answer did not come at all."""
        if self.patience_s < MAX_PATIENCE_S:
            self._doublings += 1


async def version_written(
    write: t.Awaitable[TransactResult], read_back: ReadBack, times: ResponseTimes
) -> int:
    """Return the version that a write made, or 0 where it has not taken effect.

    While its answer is overdue, its effect is looked up beside it. A write that has
    had none, though the store answers the look in time, is given up: its connection
    is most likely dead. It may still take effect later, if its conditions hold then.

    :raises StoreUnavailableError: the store refused it; nothing was done.
    """
    began_at_s = boot_s()
    answer = asyncio.ensure_future(write)
    try:
        wait_s = times.patience_s
        while not await _is_done(answer, wait_s):
            wait_s = READ_BACK_PAUSE_S
            read_at_s = boot_s()
            version = await _read_back_concurrently(answer, read_back)
            if answer.done():
                break
            now_s = boot_s()
            quick = now_s - read_at_s < times.patience_s
            overdue = now_s - began_at_s > GIVE_UP_FACTOR * times.patience_s
            if version or (version == 0 and quick and overdue):
                times.back_off()
                return version
        result = await answer
        times.observe(boot_s() - began_at_s)
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
    """Look until that ends, takes too long, or the answer comes."""
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
