"""Decides whether a hall may be used, and finds halls that are lost."""

from .evacuations import Evacuation
from .evacuations import Evacuations
from .outages import HallCount
from .outages import HallOutages
from .outages import OutageSettings
from .policy import HallPolicy
from .policy import HallState
from .policy import OPEN_HALLS
from .policy import OpenHalls
from .registry import HallRegistry
from .warming import ColdRate
from .warming import ColdStarts

__all__ = [
    "OPEN_HALLS",
    "ColdRate",
    "ColdStarts",
    "Evacuation",
    "Evacuations",
    "HallCount",
    "HallOutages",
    "HallPolicy",
    "HallRegistry",
    "HallState",
    "OpenHalls",
    "OutageSettings",
]
