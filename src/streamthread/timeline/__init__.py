"""The time line of events over all daemons."""

from .archive import Archive
from .archive import ArchiveSettings
from .archive import read_archive
from .archive import sink_of
from .clock import HybridClock
from .clock import HybridTime
from .events import Event
from .events import EventFilter
from .events import merge_events
from .events import Recorder

__all__ = [
    "Archive",
    "ArchiveSettings",
    "Event",
    "EventFilter",
    "HybridClock",
    "HybridTime",
    "Recorder",
    "merge_events",
    "read_archive",
    "sink_of",
]
