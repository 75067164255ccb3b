"""What the daemon that holds the cell does with it."""

from .context import CellSettings
from .context import DutySettings
from .context import HolderContext
from .service import Holder

__all__ = ["CellSettings", "DutySettings", "Holder", "HolderContext"]
