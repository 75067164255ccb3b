"""Holding runners: what runs there, for how long, and what became of it."""

from .batching import EndBatching
from .link import LinkOwner
from .link import LinkSettings
from .link import RunnerLink

__all__ = ["EndBatching", "LinkOwner", "LinkSettings", "RunnerLink"]
