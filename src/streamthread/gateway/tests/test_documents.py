"""How often a daemon reads the operator's documents, and which answers confirm them."""

import json
import typing as t

import pytest

from streamthread.gateway import documents as module
from streamthread.gateway.documents import Documents
from streamthread.platform import table_feed as feed_module
from streamthread.platform.store import HistoryGoneError
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow

HOUR_S = 3600.0


class _Store:
    """Returns a manifest on a full read, and no change on each feed call."""

    def __init__(self) -> None:
        manifest = json.dumps({"version": 1}).encode()
        self.row = StoredRow("op", "", "config", manifest, 1)
        self.full_reads = 0
        self.feeds = 0

    async def read_all(self, table: str, part: str) -> Page:
        self.full_reads += 1
        return Page((self.row,), 1)

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        self.feeds += 1
        return Page((), after + 1)


class _Clock:
    """A boot clock that advances by an hour with each reading."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def boot_s(self) -> float:
        self.now_s += HOUR_S
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    clock = _Clock()
    monkeypatch.setattr(module, "boot_s", clock.boot_s)
    return clock


class TestReading:
    async def test_reads_the_documents_in_full_once(self, clock: _Clock) -> None:
        store = _Store()
        documents = Documents(t.cast(t.Any, store))
        for _ in range(3):
            await documents._watch_once()
        assert store.full_reads == 1
        assert store.feeds == 2

    async def test_each_answer_confirms_the_documents(self, clock: _Clock) -> None:
        documents = Documents(t.cast(t.Any, _Store()))
        await documents._watch_once()
        before_s = documents.confirmed_at_s
        await documents._watch_once()
        assert documents.confirmed_at_s > before_s


class _EvacuatingStore(_Store):
    """Returns an evacuation on the first full read; answers feeds as listed."""

    def __init__(self, *answers: Page | Exception) -> None:
        super().__init__()
        self.evacuated = StoredRow("op", "", "evacuate/a", b"{}", 1)
        self._answers = list(answers)

    async def read_all(self, table: str, part: str) -> Page:
        page = await super().read_all(table, part)
        return Page((*page.rows, self.evacuated), 1) if self.full_reads == 1 else page

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class TestEvacuations:
    async def test_are_known_as_of_the_time_before_the_call(
        self, clock: _Clock, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an answer that counts as new although this process was
        suspended before it read it."""
        monkeypatch.setattr(feed_module, "boot_s", clock.boot_s)
        documents = Documents(t.cast(t.Any, _Store()))
        await documents._watch_once()
        assert documents.evacuations.as_of_s == HOUR_S
        before_s = clock.now_s
        await documents._watch_once()
        assert documents.evacuations.as_of_s == before_s + HOUR_S

    async def test_are_withdrawn_by_a_removed_row(self) -> None:
        gone = StoredRow("op", "", "evacuate/a", None, 2)
        documents = Documents(t.cast(t.Any, _EvacuatingStore(Page((gone,), 2))))
        await documents._watch_once()
        assert "a" in documents.evacuations.in_force
        await documents._watch_once()
        assert not documents.evacuations.in_force

    async def test_are_read_again_when_the_history_is_gone(self) -> None:
        """Guards against a withdrawal that is missed with the history, and against a
        missing history that counts as an answer about the evacuations."""
        store = _EvacuatingStore(HistoryGoneError())
        documents = Documents(t.cast(t.Any, store))
        await documents._watch_once()
        as_of_s = documents.evacuations.as_of_s
        await documents._watch_once()
        assert "a" in documents.evacuations.in_force
        assert documents.evacuations.as_of_s == as_of_s
        await documents._watch_once()
        assert not documents.evacuations.in_force
        assert documents.evacuations.as_of_s > as_of_s
