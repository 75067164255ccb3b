"""Runners stay listed for as long as their entries may be renewed."""

import asyncio
import contextlib
import json
import typing as t

import logbook
import pytest

from streamthread import unreadable
from streamthread.clocks import boot_s
from streamthread.errors import StoreUnavailableError
from streamthread.errors import UnreadableError
from streamthread.holder import listing
from streamthread.holder.listing import RunnerListing
from streamthread.platform.documents import decode_runner_entry
from streamthread.platform.documents import RunnerEntry
from streamthread.platform.documents import Wave
from streamthread.platform.manifest import Manifest
from streamthread.platform.manifest import Pool
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow
from streamthread.scheduler import RunnerState
from streamthread.standins.cell.foreign import FOREIGN_ENTRIES
from streamthread.unreadable import Source
from streamthread.unreadable import UnreadableNotes

WITHIN_S = 5.0

ENTRY: dict[str, t.Any] = {
    "service": "desk",
    "address": "127.0.0.1:1",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 1000, "memMb": 100, "gpu": 0},
    "labels": ["a", "r1"],
}


class _Link:
    """The part of a link that the listing uses."""

    def __init__(self, entry: RunnerEntry) -> None:
        self.runner = RunnerState.from_entry(entry)
        self.runner.ready = True
        self.listed = True
        self.silent = False


class _Handler:
    """Records the runners that it is given, and the incarnations that follow one."""

    def __init__(self, links: dict[str, _Link]) -> None:
        self.added: list[str] = []
        self.restarted: list[int | None] = []
        self._links = links

    def add_runner(self, entry: RunnerEntry) -> None:
        self.added.append(entry.runner_id)
        self._links[entry.runner_id] = _Link(entry)

    def restart_runner(self, link: t.Any, entry: RunnerEntry) -> None:
        self.restarted.append(entry.born_ms)
        after = _Link(entry)
        after.runner.earlier_born_ms = frozenset({link.runner.born_ms})
        self._links[entry.runner_id] = after


class _Documents:
    """The part of the operator's documents that the listing uses."""

    def __init__(self, manifest: Manifest | None = None) -> None:
        self.manifest = manifest
        self.waves: dict[int, Wave] = {}


class _Store:
    """Answers with the pages or errors that a test provides."""

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


def _row(runner_id: str, gone: bool = False, **fields: t.Any) -> StoredRow:
    value = None if gone else json.dumps(ENTRY | fields).encode()
    return StoredRow("servers", "", runner_id, value, 1)


async def _until(condition: t.Callable[[], bool]) -> None:
    give_up_at_s = boot_s() + WITHIN_S
    while not condition():
        assert boot_s() < give_up_at_s
        await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _following(
    links: dict[str, _Link],
    documents: "_Documents | None" = None,
    handler: "_Handler | None" = None,
) -> t.AsyncIterator[tuple[_Store, list[str]]]:
    store = _Store()
    handler = handler or _Handler(links)
    following = RunnerListing(
        t.cast(t.Any, store),
        t.cast(t.Any, links),
        documents or _Documents(),
        0.0,
        t.cast(t.Any, handler),
        UnreadableNotes(),
    )
    task = asyncio.create_task(following.run())
    try:
        yield store, handler.added
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class TestRestartedRunners:
    async def test_are_distinguished_by_their_birth_times(self) -> None:
        links: dict[str, _Link] = {}
        handler = _Handler(links)
        async with _following(links, handler=handler) as (store, added):
            rows = [_row("i-1", born=born, sequence=n) for n, born in enumerate([5, 5])]
            store.answers.put_nowait(Page((rows[0],), 1))
            store.answers.put_nowait(Page((rows[1],), 2))
            store.answers.put_nowait(Page((_row("i-1", born=9),), 3))
            await _until(lambda: bool(handler.restarted))
            assert handler.restarted == [9]
            assert added == ["i-1"]

    async def test_are_not_described_by_an_entry_of_an_earlier_incarnation(
        self,
    ) -> None:
        """The next incarnation may answer a call before its own entry is read."""
        links: dict[str, _Link] = {}
        handler = _Handler(links)
        async with _following(links, handler=handler) as (store, _):
            store.answers.put_nowait(Page((_row("i-1", born=5),), 1))
            await _until(lambda: "i-1" in links)
            handler.restart_runner(
                links["i-1"],
                decode_runner_entry("i-1", _row("i-1", born=9).value or b""),
            )
            links["i-1"].listed = False
            store.answers.put_nowait(Page((_row("i-1", born=5, state="draining"),), 2))
            store.answers.put_nowait(Page((_row("i-2"),), 3))
            await _until(lambda: "i-2" in links)
            assert handler.restarted == [9]
            assert not links["i-1"].listed
            assert not links["i-1"].runner.draining

    async def test_that_report_no_birth_time_are_one_incarnation(self) -> None:
        links: dict[str, _Link] = {}
        handler = _Handler(links)
        async with _following(links, handler=handler) as (store, _):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            store.answers.put_nowait(Page((_row("i-1", sequence=1, born=None),), 2))
            store.answers.put_nowait(Page((_row("i-2"),), 3))
            await _until(lambda: "i-2" in links)
            assert handler.restarted == []


class TestEntries:
    async def test_that_are_deleted_unlist_the_runner(self) -> None:
        links: dict[str, _Link] = {}
        async with _following(links) as (store, added):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            store.answers.put_nowait(Page((_row("i-1", gone=True),), 2))
            await _until(lambda: "i-1" in links and not links["i-1"].listed)
            assert added == ["i-1"]

    async def test_that_expired_in_an_outage_may_be_renewed(
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

    async def test_of_silent_runners_have_no_grace_period(self) -> None:
        links: dict[str, _Link] = {}
        async with _following(links) as (store, _):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            await _until(lambda: "i-1" in links)
            links["i-1"].silent = True
            store.answers.put_nowait(StoreUnavailableError("down", remedy="-"))
            store.answers.put_nowait(Page((_row("i-1", gone=True),), 2))
            await _until(lambda: not links["i-1"].listed)


NAMED = Manifest(1, (), {"desk": Pool("desk")}, 0)


def _foreign(runner_id: str, value: bytes, version: int = 1) -> StoredRow:
    return StoredRow("servers", "", runner_id, value, version)


class TestForeignEntries:
    """A row that another writer left among the runners' entries.

    Before, any such row ended the holder's loop or added a runner that can't be called.
    """

    @pytest.mark.parametrize("value", FOREIGN_ENTRIES, ids=lambda value: value[:40])
    async def test_add_no_runner_and_do_not_affect_other_entries(
        self, value: bytes
    ) -> None:
        links: dict[str, _Link] = {}
        documents = _Documents(NAMED)
        async with _following(links, documents) as (store, added):
            rows = (_foreign("a-foreign", value), _row("i-1"))
            store.answers.put_nowait(Page(rows, 1))
            await _until(lambda: "i-1" in added)
            store.answers.put_nowait(Page((_foreign("z-foreign", value),), 2))
            store.answers.put_nowait(Page((_row("i-2"),), 3))
            await _until(lambda: "i-2" in added)
            assert added == ["i-1", "i-2"]

    @pytest.mark.parametrize("value", FOREIGN_ENTRIES, ids=lambda value: value[:40])
    async def test_in_place_of_a_runners_entry_end_no_runs(self, value: bytes) -> None:
        links: dict[str, _Link] = {}
        async with _following(links, _Documents(NAMED)) as (store, added):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            await _until(lambda: "i-1" in links)
            link = links["i-1"]
            store.answers.put_nowait(Page((_foreign("i-1", value),), 2))
            await _until(lambda: not link.listed)
            assert links["i-1"] is link
            assert not link.runner.ready
            store.answers.put_nowait(Page((_row("i-1"),), 3))
            await _until(lambda: link.listed)
            assert added == ["i-1"]

    async def test_are_not_used_during_the_grace_period(self) -> None:
        links: dict[str, _Link] = {}
        async with _following(links, _Documents(NAMED)) as (store, _):
            store.answers.put_nowait(Page((_row("i-1"),), 1))
            await _until(lambda: "i-1" in links)
            store.answers.put_nowait(StoreUnavailableError("down", remedy="-"))
            store.answers.put_nowait(Page((_foreign("i-1", b"{}"),), 2))
            await _until(lambda: not links["i-1"].listed)

    async def test_of_a_pool_are_used_once_it_is_named(self) -> None:
        links: dict[str, _Link] = {}
        documents = _Documents(Manifest(1, (), {}, 0))
        async with _following(links, documents) as (store, added):
            store.answers.put_nowait(Page((_row("i-1"), _row("i-2")), 1))
            store.answers.put_nowait(Page((_row("i-2", gone=True),), 2))
            await _until(lambda: store.answers.empty())
            assert added == []
            documents.manifest = NAMED
            store.answers.put_nowait(Page((), 3))
            await _until(lambda: added != [])
            assert added == ["i-1"]

    async def test_are_logged_once_while_they_stay(self) -> None:
        notes = UnreadableNotes()
        with logbook.TestHandler() as captured:
            for _ in range(3):
                with pytest.raises(UnreadableError) as raised:
                    decode_runner_entry("i-1", b"{}")
                notes.note(Source.RUNNER_ENTRY, raised.value)
        lines = [
            record for record in captured.records if record.message == "unreadable"
        ]
        assert len(lines) == 1
        assert lines[0].extra["key"] == "i-1"
        assert notes.counts["runner-entry"] == 3

    async def test_fill_the_log_only_up_to_a_limit(self) -> None:
        notes = UnreadableNotes()
        with logbook.TestHandler() as captured:
            for number in range(1000):
                error = UnreadableError("odd", remedy="-", key=f"i-{number}")
                notes.note(Source.RUNNER_ENTRY, error)
        assert len(captured.records) == unreadable.LINES_PER_PERIOD
        assert len(notes.describe()) == unreadable.MOST_KEPT
        assert notes.counts["runner-entry"] == 1000
