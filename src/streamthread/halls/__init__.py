"""Decides whether a hall may be used: which halls are evacuated, and which warm up."""

from .evacuations import Evacuation
from .evacuations import Evacuations
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
    "HallPolicy",
    "HallRegistry",
    "HallState",
    "OpenHalls",
]
