"""Runners stay listed for as long as their entries may come back."""

import asyncio
import contextlib
import json
import time
import typing as t

from streamthread.errors import StoreUnavailableError
from streamthread.holder import listing
from streamthread.holder.listing import RunnerListing
from streamthread.platform.documents import RunnerEntry
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow

WITHIN_S = 5.0


class _Runner:
    def __init__(self) -> None:
        self.draining = False
        self.ready = True


class _Link:
    """What the list needs of a link."""

    def __init__(self) -> None:
        self.runner = _Runner()
        self.listed = True
        self.silent = False


class _Store:
    """Answers with the pages, or errors, that a test puts in."""

    def __init__(self) -> None:
        self.answers: asyncio.Queue[Page | Exception] = asyncio.Queue()

    async def read_all(self, table: str, part: str) -> Page:
        return await self._next()

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        return await self._next()

    async def _next(self) -> Page:
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


def _row(runner_id: str, gone: bool = False) -> StoredRow:
    entry = {"service": "desk", "address": "127.0.0.1:1", "state": "ready"}
    value = None if gone else json.dumps(entry).encode()
    return StoredRow("servers", "", runner_id, value, 1)


async def _until(condition: t.Callable[[], bool]) -> None:
    give_up_at_s = time.monotonic() + WITHIN_S
    while not condition():
        assert time.monotonic() < give_up_at_s
        await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _following(
    links: dict[str, _Link],
) -> t.AsyncIterator[tuple[_Store, list[str]]]:
    store = _Store()
    added: list[str] = []

    def add(entry: RunnerEntry) -> None:
        added.append(entry.runner_id)
        links[entry.runner_id] = _Link()

    following = RunnerListing(t.cast(t.Any, store), t.cast(t.Any, links), 0.0, add)
    task = asyncio.create_task(following.run())
    try:
        yield store, added
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class TestEntries:
    async def test_that_go_take_the_runner_with_them(self) -> None:
        links: dict[str, _Link] = {}
        async with _following(links) as (store, added):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            store.answers.put_nowait(Page((_row("i-1", gone=True),), 2))
            await _until(lambda: "i-1" in links and not links["i-1"].listed)
            assert added == ["i-1"]

    async def test_that_lapsed_in_an_outage_may_come_back(
        self, monkeypatch: t.Any
    ) -> None:
        monkeypatch.setattr(listing, "RETURN_GRACE_S", 0.3)
        links: dict[str, _Link] = {}
        async with _following(links) as (store, added):
            store.answers.put_nowait(Page((_row("i-1"), _row("i-2")), 1))
            await _until(lambda: len(links) == 2)
            store.answers.put_nowait(StoreUnavailableError("down", remedy="-"))
            gone = (_row("i-1", gone=True), _row("i-2", gone=True))
            store.answers.put_nowait(Page(gone, 2))
            store.answers.put_nowait(Page((_row("i-1"),), 3))
            await _until(lambda: store.answers.empty())
            assert links["i-1"].listed and links["i-2"].listed
            await _until(lambda: not links["i-2"].listed)
            assert links["i-1"].listed
            assert added == ["i-1", "i-2"]

    async def test_of_silent_runners_are_not_waited_for(self) -> None:
        links: dict[str, _Link] = {}
        async with _following(links) as (store, _):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            await _until(lambda: "i-1" in links)
            links["i-1"].silent = True
            store.answers.put_nowait(StoreUnavailableError("down", remedy="-"))
            store.answers.put_nowait(Page((_row("i-1", gone=True),), 2))
            await _until(lambda: not links["i-1"].listed)
