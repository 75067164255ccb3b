"""Holding runners: what runs there, for how long, and what became of it."""

from .batching import EndBatching
from .clock import SLOWEST_CLOCK
from .link import LinkOwner
from .link import LinkSettings
from .link import RunnerLink

__all__ = ["SLOWEST_CLOCK", "EndBatching", "LinkOwner", "LinkSettings", "RunnerLink"]
