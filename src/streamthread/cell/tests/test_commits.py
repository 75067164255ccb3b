"""When a holder doubts that it can commit."""

import time
import typing as t

from streamthread.cell import CommitLog
from streamthread.cell import LeaseTimes

TIMES = LeaseTimes()


def _log(tried_s: float | None, failed: bool) -> CommitLog:
    log = CommitLog(t.cast(t.Any, None), "main", 1, 1, 0.0, 0.4)
    if tried_s is not None:
        log.trying_since_s = time.monotonic() - tried_s
    if failed:
        log.failing_since_s = log.trying_since_s
    return log


def _is_doubtful(log: CommitLog) -> bool:
    return log.is_doubtful(TIMES.doubt_s, TIMES.slow_doubt_s)


class TestDoubt:
    async def test_is_none_without_a_commit(self) -> None:
        assert not _is_doubtful(_log(None, failed=False))

    async def test_leaves_a_slow_store_time(self) -> None:
        assert not _is_doubtful(_log(0.7, failed=False))
        assert _is_doubtful(_log(1.0, failed=False))

    async def test_comes_sooner_once_a_try_has_failed(self) -> None:
        assert not _is_doubtful(_log(0.5, failed=True))
        assert _is_doubtful(_log(0.7, failed=True))

    async def test_comes_before_trust_is_over(self) -> None:
        assert TIMES.doubt_s < TIMES.slow_doubt_s < TIMES.trust_s
