"""Tests that overdue writes are read back and dead connections are abandoned."""

import asyncio
import typing as t

import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.cell.answers import version_written
from streamthread.clocks import boot_s
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.store import TransactResult
from streamthread.response_times import MAX_ANSWER_TIMEOUT_S
from streamthread.response_times import MIN_ANSWER_TIMEOUT_S
from streamthread.response_times import ResponseTimes

NEVER_S = 60.0
SOON_S = 5.0


async def _answered(
    after_s: float, result: TransactResult | Exception
) -> TransactResult:
    await asyncio.sleep(after_s)
    if isinstance(result, Exception):
        raise result
    return result


def _read_back(version: int | None, after_s: float = 0.0) -> t.Any:
    async def read_back() -> int | None:
        await asyncio.sleep(after_s)
        return version

    return read_back


DONE = TransactResult(committed=True, version=7)
REFUSED_CONDITION = TransactResult(committed=False)
LOST = OutcomeUnknownError("no answer", remedy="")


class TestVersionWritten:
    async def test_is_the_version_in_the_answer(self) -> None:
        write = _answered(0.0, DONE)
        assert await version_written(write, _read_back(None), ResponseTimes()) == 7

    async def test_is_read_back_when_the_answer_is_lost(self) -> None:
        began_at_s = boot_s()
        write = _answered(NEVER_S, DONE)
        assert await version_written(write, _read_back(9), ResponseTimes()) == 9
        assert boot_s() - began_at_s < SOON_S

    async def test_is_zero_if_the_connection_was_dead(self) -> None:
        write = _answered(NEVER_S, DONE)
        assert await version_written(write, _read_back(0), ResponseTimes()) == 0

    # Guards against a write that is given up and still sent afterwards.
    async def test_has_taken_back_its_write_when_it_is_cancelled(self) -> None:
        began, taken_back = asyncio.Event(), False

        async def write() -> TransactResult:
            nonlocal taken_back
            began.set()
            try:
                return await _answered(NEVER_S, DONE)
            finally:
                taken_back = True

        times = ResponseTimes()
        task = asyncio.ensure_future(version_written(write(), _read_back(0), times))
        await began.wait()
        task.cancel()
        await asyncio.wait((task,))
        assert task.cancelled() and taken_back

    async def test_waits_for_a_store_that_is_slow_for_all_clients(self) -> None:
        write = _answered(MIN_ANSWER_TIMEOUT_S * 3, DONE)
        read_back = _read_back(0, after_s=MIN_ANSWER_TIMEOUT_S * 1.5)
        assert await version_written(write, read_back, ResponseTimes()) == 7

    async def test_waits_while_the_write_cannot_be_read_back(self) -> None:
        write = _answered(MIN_ANSWER_TIMEOUT_S * 3, DONE)
        assert await version_written(write, _read_back(None), ResponseTimes()) == 7

    async def test_is_determined_soon_after_an_outage(self) -> None:
        reads = [
            _read_back(0, after_s=NEVER_S),
            _read_back(0, after_s=NEVER_S),
            _read_back(0),
        ]

        async def read_back() -> t.Any:
            return await reads.pop(0)()

        began_at_s = boot_s()
        write = _answered(NEVER_S, DONE)
        assert await version_written(write, read_back, ResponseTimes()) == 0
        assert boot_s() - began_at_s < SOON_S

    @pytest.mark.parametrize("end", [REFUSED_CONDITION, LOST])
    async def test_is_read_back_if_the_outcome_is_unknown(self, end: t.Any) -> None:
        assert (
            await version_written(_answered(0.0, end), _read_back(5), ResponseTimes())
            == 5
        )
        assert (
            await version_written(_answered(0.0, end), _read_back(0), ResponseTimes())
            == 0
        )

    async def test_is_none_after_a_rejection(self) -> None:
        refusal = StoreUnavailableError("refused", remedy="")
        with pytest.raises(StoreUnavailableError):
            await version_written(
                _answered(0.0, refusal), _read_back(5), ResponseTimes()
            )


class TestAnswerTimeout:
    @given(st.lists(st.floats(0, 5), max_size=50))
    def test_stays_within_its_bounds(self, took_s: list[float]) -> None:
        times = ResponseTimes()
        for each_s in took_s:
            times.observe(each_s)
        assert MIN_ANSWER_TIMEOUT_S <= times.answer_timeout_s <= MAX_ANSWER_TIMEOUT_S

    def test_follows_a_store_that_becomes_slow(self) -> None:
        times = ResponseTimes()
        for _ in range(20):
            times.observe(0.3)
        assert times.answer_timeout_s > 0.3

    def test_doubles_while_no_answer_arrives(self) -> None:
        times = ResponseTimes()
        times.back_off()
        assert times.answer_timeout_s == 2 * MIN_ANSWER_TIMEOUT_S
        times.observe(0.0)
        assert times.answer_timeout_s == MIN_ANSWER_TIMEOUT_S
