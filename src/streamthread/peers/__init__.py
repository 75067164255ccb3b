"""Soft state and single calls between the daemons."""

from .rumors import RumorBook
from .service import PeerService
from .service import PeerSettings

__all__ = ["PeerService", "PeerSettings", "RumorBook"]
