"""The hold calls to runners, which renew the leases of runs and report their ends."""

from .batching import EndBatching
from .link import LinkOwner
from .link import LinkSettings
from .link import RunnerLink

__all__ = ["EndBatching", "LinkOwner", "LinkSettings", "RunnerLink"]
