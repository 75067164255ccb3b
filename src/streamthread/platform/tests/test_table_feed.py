"""A feed of the store, during and after outages."""

import typing as t

import pytest

from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.platform.store import HistoryGoneError
from streamthread.platform.store import Page
from streamthread.platform.table_feed import TableFeed

WAIT_S = 10.0


class _Store:
    """Answers feeds with the listed answers, and records the wait time of each call."""

    def __init__(self, *answers: Page | Exception) -> None:
        self._answers = list(answers)
        self.waits_s: list[float] = []

    async def read_all(self, table: str, part: str) -> Page:
        return Page((), 1)

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        self.waits_s.append(wait_s)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestFeed:
    @pytest.mark.parametrize("error", [OutcomeUnknownError, StoreUnavailableError])
    async def test_does_not_wait_for_a_change_after_a_failure(
        self, error: type[t.Any]
    ) -> None:
        store = _Store(Page((), 2), error("down", remedy=""), Page((), 2), Page((), 3))
        feed = TableFeed(t.cast(t.Any, store), "table", "main", WAIT_S)
        await feed.next()
        await feed.next()
        with pytest.raises(error):
            await feed.next()
        await feed.next()
        await feed.next()
        assert store.waits_s == [WAIT_S, WAIT_S, 0.0, WAIT_S]


class TestLook:
    async def test_does_not_advance_the_feed(self) -> None:
        store = _Store(Page((), 2))
        feed = TableFeed(t.cast(t.Any, store), "table", "main", WAIT_S)
        await feed.look()
        assert (await feed.next()).whole
        assert not (await feed.next()).whole


class TestKnownAt:
    async def test_is_set_only_by_answers(self) -> None:
        down = StoreUnavailableError("down", remedy="")
        store = _Store(Page((), 2), down, t.cast(t.Any, HistoryGoneError()))
        feed = TableFeed(t.cast(t.Any, store), "table", "main", WAIT_S)
        await feed.next()
        first_at_s = feed.known_at_s
        await feed.next()
        known_at_s = feed.known_at_s
        assert known_at_s >= first_at_s
        with pytest.raises(StoreUnavailableError):
            await feed.next()
        await feed.next()
        assert feed.known_at_s == known_at_s
