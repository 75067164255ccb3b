"""Events in the object store, so that the time line outlives the daemons."""

import collections
import json
import typing as t

import attrs
import cattrs
from mode import Service

from ..errors import StreamthreadError
from ..providers import Objects
from .events import Event
from .events import EventFilter

__all__ = ["Archive", "ArchiveSettings", "read_archive"]

PREFIX = "timeline/"


@attrs.frozen
class ArchiveSettings:
    """How events are stored.

    :param batch_s: new events are stored so often, as one object.
    :param waiting_limit: more events than this do not wait for a store that is
        down; the oldest are dropped and counted.
    """

    batch_s: float = 10.0
    waiting_limit: int = 10_000


class Archive(Service):
    """Stores a daemon's events in batches."""

    def __init__(
        self, objects: Objects, daemon_id: str, settings: ArchiveSettings
    ) -> None:
        super().__init__()
        self.dropped = 0
        self._objects = objects
        self._daemon_id = daemon_id
        self._settings = settings
        self._waiting: collections.deque[Event] = collections.deque()

    def add(self, event: Event) -> None:
        """Take an event for the next batch."""
        if len(self._waiting) >= self._settings.waiting_limit:
            self._waiting.popleft()
            self.dropped += 1
        self._waiting.append(event)

    @Service.task
    async def _store_batches(self) -> None:
        while not self.should_stop:
            await self.sleep(self._settings.batch_s)
            await self.store()

    async def store(self) -> None:
        """Store what waits; it goes on waiting if the store is down."""
        if not self._waiting:
            return
        batch = list(self._waiting)
        key = f"{PREFIX}{batch[-1].time.physical_ms:015d}-{self._daemon_id}"
        body = "".join(json.dumps(cattrs.unstructure(event)) + "\n" for event in batch)
        try:
            await self._objects.put(key, body.encode())
        except StreamthreadError as error:
            self.log.info("events not stored: %s", error)
            return
        stored = set(batch)
        while self._waiting and self._waiting[0] in stored:
            self._waiting.popleft()


async def read_archive(objects: Objects, event_filter: EventFilter) -> list[Event]:
    """Return the stored events that match, oldest batch first.

    :raises StoreUnavailableError: the object store could not be read.
    """
    events: list[Event] = []
    for key in await objects.list_keys(PREFIX):
        newest_ms = int(key.removeprefix(PREFIX).split("-", 1)[0])
        if newest_ms < event_filter.since_ms:
            continue
        body = await objects.get(key)
        for line in (body or b"").decode().splitlines():
            event = cattrs.structure(json.loads(line), Event)
            if event_filter.matches(event):
                events.append(event)
    return events


def sink_of(*sinks: t.Callable[[Event], None]) -> t.Callable[[Event], None]:
    """Return a function that hands an event to several."""

    def hand_on(event: Event) -> None:
        for sink in sinks:
            sink(event)

    return hand_on
