"""What a daemon reads of the operator's documents, and how often."""

import json
import typing as t

import pytest

from streamthread.gateway import documents as module
from streamthread.gateway.documents import Documents
from streamthread.platform.store import Page
from streamthread.platform.store import StoredRow

HOUR_S = 3600.0


class _Store:
    """A manifest that is read whole, and feeds without a change."""

    def __init__(self) -> None:
        manifest = json.dumps({"version": 1}).encode()
        self.row = StoredRow("op", "", "config", manifest, 1)
        self.whole_reads = 0
        self.feeds = 0

    async def read_all(self, table: str, part: str) -> Page:
        self.whole_reads += 1
        return Page((self.row,), 1)

    async def feed(self, table: str, after: int, wait_s: float) -> Page:
        self.feeds += 1
        return Page((), after + 1)


class _Clock:
    """Stands for the clock."""

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
    async def test_reads_the_documents_whole_once(self, clock: _Clock) -> None:
        store = _Store()
        documents = Documents(t.cast(t.Any, store))
        for _ in range(3):
            await documents._watch_once()
        assert store.whole_reads == 1
        assert store.feeds == 2

    async def test_knows_the_documents_by_each_answer(self, clock: _Clock) -> None:
        documents = Documents(t.cast(t.Any, _Store()))
        await documents._watch_once()
        before_s = documents.confirmed_at_s
        await documents._watch_once()
        assert documents.confirmed_at_s > before_s
