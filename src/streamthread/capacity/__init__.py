"""Decides how many machines each pool needs, and which machines move."""

from .bursts import PoolArrivals
from .demand import JobDemands
from .demand import pool_demand
from .plan import CapacitySettings
from .plan import MachineView
from .plan import Move
from .plan import plan_moves
from .plan import PoolView
from .plan import target_size

__all__ = [
    "CapacitySettings",
    "JobDemands",
    "MachineView",
    "Move",
    "PoolArrivals",
    "PoolView",
    "plan_moves",
    "pool_demand",
    "target_size",
]
