"""Which halls may be used, and which are lost."""

from .outages import HallCount
from .outages import HallOutages
from .outages import OutageSettings

__all__ = ["HallCount", "HallOutages", "OutageSettings"]
