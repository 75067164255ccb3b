"""Small stand-ins for the platform of a cell: store, runners and cloud, with faults."""

from .advice import AdviceCall
from .advice import AdviceFaults
from .advice import AdviceStandin
from .advice import PolicyFigures
from .cloud import CloudStandin
from .cloud import Duty
from .cloud import MachineStandin
from .odd import ODD_PARTS
from .runner import RunnerStandin
from .runner import StartedRun
from .store import StoreFaults
from .store import StoreStandin
from .world import CellWorld

__all__ = [
    "ODD_PARTS",
    "AdviceCall",
    "AdviceFaults",
    "AdviceStandin",
    "CellWorld",
    "CloudStandin",
    "Duty",
    "MachineStandin",
    "PolicyFigures",
    "RunnerStandin",
    "StartedRun",
    "StoreFaults",
    "StoreStandin",
]
