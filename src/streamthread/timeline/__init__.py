"""The time line of events over all daemons."""

from .clock import HybridClock
from .clock import HybridTime
from .events import Event
from .events import EventFilter
from .events import merge_events
from .events import Recorder

__all__ = [
    "Event",
    "EventFilter",
    "HybridClock",
    "HybridTime",
    "Recorder",
    "merge_events",
]
