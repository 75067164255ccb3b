"""The clock, the ring, the merge and the archive."""

import hypothesis
import hypothesis.strategies as st

from streamthread.errors import StoreUnavailableError
from streamthread.providers import MemoryObjects
from streamthread.timeline import Archive
from streamthread.timeline import ArchiveSettings
from streamthread.timeline import Event
from streamthread.timeline import EventFilter
from streamthread.timeline import HybridClock
from streamthread.timeline import HybridTime
from streamthread.timeline import merge_events
from streamthread.timeline import read_archive
from streamthread.timeline import Recorder

walls = st.lists(st.integers(0, 50), min_size=1, max_size=30)


class TestHybridClock:
    @hypothesis.given(walls, st.lists(st.integers(0, 80), max_size=30))
    def test_times_grow_whatever_the_wall_clock_does(
        self, wall_ms: list[int], remote_ms: list[int]
    ) -> None:
        ticks = iter(wall_ms)
        clock = HybridClock(lambda: next(ticks) / 1000)
        last = HybridTime()
        for number in range(len(wall_ms)):
            if number < len(remote_ms):
                remote = HybridTime(remote_ms[number], 3)
                clock.observe(remote)
                last = max(last, remote)
            now = clock.now()
            assert now > last
            last = now


class TestMerge:
    def test_answer_comes_after_what_it_answers_despite_slow_clocks(self) -> None:
        ahead = Recorder("a", HybridClock(lambda: 100.0))
        behind = Recorder("b", HybridClock(lambda: 5.0))
        asked = ahead.record("x", "asked", "s")
        behind.clock.observe(asked.time)
        answered = behind.record("x", "answered", "s")
        merged = merge_events([behind.select(EventFilter()), [asked]])
        assert merged == [asked, answered]

    def test_event_that_was_told_twice_is_there_once(self) -> None:
        event = Recorder("a").record("x", "k", "s")
        assert merge_events([[event], [event]]) == [event]


class TestRecorder:
    def test_ring_drops_the_oldest_and_counts(self) -> None:
        recorder = Recorder("a", capacity=3)
        for number in range(5):
            recorder.record("x", "k", f"s/{number}")
        kept = [event.subject for event in recorder.select(EventFilter())]
        assert kept == ["s/2", "s/3", "s/4"]
        assert recorder.dropped == 2

    def test_filter_by_subject_kind_and_limit(self) -> None:
        recorder = Recorder("a")
        for subject in ("pool/a", "pool/b", "job/a"):
            recorder.record("x", "k", subject)
        recorder.record("x", "other", "pool/a")
        found = recorder.select(EventFilter(subject="pool/", kind="k", limit=1))
        assert [event.subject for event in found] == ["pool/b"]


class FailingObjects(MemoryObjects):
    """An object store that can be down."""

    down = False

    async def put(self, key: str, body: bytes) -> None:
        if self.down:
            raise StoreUnavailableError("down", remedy="wait")
        await super().put(key, body)


def _event(number: int) -> Event:
    return Event(HybridTime(number), "a", "x", "k", f"s/{number}")


class TestArchive:
    async def test_events_outlive_the_daemon(self) -> None:
        objects = FailingObjects()
        archive = Archive(objects, "a", ArchiveSettings())
        for number in range(3):
            archive.add(_event(number))
        await archive.store()
        archive.add(_event(3))
        await archive.store()
        found = await read_archive(objects, EventFilter(since_ms=2))
        assert found == [_event(2), _event(3)]

    async def test_store_that_is_down_loses_only_the_oldest_counted(self) -> None:
        objects = FailingObjects()
        objects.down = True
        archive = Archive(objects, "a", ArchiveSettings(waiting_limit=4))
        for number in range(6):
            archive.add(_event(number))
            await archive.store()
        assert archive.dropped == 2
        objects.down = False
        await archive.store()
        assert len(await read_archive(objects, EventFilter())) == 4
