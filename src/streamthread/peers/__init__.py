"""Soft state and single calls between the daemons."""

from .rumors import RumorStore
from .service import PeerService
from .service import PeerSettings

__all__ = ["PeerService", "PeerSettings", "RumorStore"]
