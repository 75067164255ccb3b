"""Small stand-ins for the platform of a cell: store, runners and cloud, with faults."""

from .cloud import CloudStandin
from .cloud import Duty
from .cloud import MachineStandin
from .runner import RunnerStandin
from .runner import StartedRun
from .store import StoreFaults
from .store import StoreStandin
from .world import CellWorld

__all__ = [
    "CellWorld",
    "CloudStandin",
    "Duty",
    "MachineStandin",
    "RunnerStandin",
    "StartedRun",
    "StoreFaults",
    "StoreStandin",
]
