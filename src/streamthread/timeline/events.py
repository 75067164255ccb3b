"""Events: every decision with its reason, in a bounded ring and in the log."""

import collections
import itertools
import typing as t

import attrs

from .clock import HybridClock
from .clock import HybridTime

__all__ = ["Event", "EventFilter", "Recorder", "merge_events"]


@attrs.frozen
class Event:
    """One decision or observation of one daemon.

    :param area: the slice that decided.
    :param subject: what it is about, as ``kind/name``.
    :param cause: why, in words.
    """

    time: HybridTime
    daemon_id: str
    area: str
    kind: str
    subject: str
    cause: str = ""
    generation: int = 0
    epoch: int = 0


@attrs.frozen
class EventFilter:
    """Which events are asked for; empty fields match everything."""

    subject: str = ""
    kind: str = ""
    since_ms: int = 0
    limit: int = 1000

    def matches(self, event: Event) -> bool:
        """Whether an event is asked for."""
        return (
            event.subject.startswith(self.subject)
            and (not self.kind or event.kind == self.kind)
            and event.time.physical_ms >= self.since_ms
        )


def merge_events(parts: t.Iterable[t.Iterable[Event]]) -> list[Event]:
    """Return the events of several daemons in causal order, each once."""
    unique = set(itertools.chain.from_iterable(parts))
    return sorted(unique, key=lambda event: (event.time, event.daemon_id))


class Recorder:
    """Keeps the latest events of this daemon.

    :param sink: called with each event, to log it.
    :param capacity: how many events are kept; the oldest go first, counted.
    """

    def __init__(
        self,
        daemon_id: str,
        clock: HybridClock | None = None,
        sink: t.Callable[[Event], None] = lambda event: None,
        capacity: int = 10_000,
    ) -> None:
        self.daemon_id = daemon_id
        self.clock = clock or HybridClock()
        self.dropped = 0
        self._sink = sink
        self._ring: collections.deque[Event] = collections.deque(maxlen=capacity)

    def record(
        self,
        area: str,
        kind: str,
        subject: str,
        cause: str = "",
        *,
        generation: int = 0,
        epoch: int = 0,
    ) -> Event:
        """Add an event that happens now."""
        event = Event(
            self.clock.now(),
            self.daemon_id,
            area,
            kind,
            subject,
            cause,
            generation,
            epoch,
        )
        if len(self._ring) == self._ring.maxlen:
            self.dropped += 1
        self._ring.append(event)
        self._sink(event)
        return event

    def select(self, event_filter: EventFilter) -> list[Event]:
        """Return the latest events that match, oldest first."""
        matching = [event for event in self._ring if event_filter.matches(event)]
        return matching[-event_filter.limit :]
