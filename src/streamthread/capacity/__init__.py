"""Decides how many machines each pool needs, and which machines move."""

from .bursts import PoolArrivals
from .demand import job_demand
from .demand import JobDemand
from .demand import pool_demand
from .handover import plan_handovers
from .plan import CapacitySettings
from .plan import count_present
from .plan import MachineView
from .plan import Move
from .plan import plan_moves
from .plan import PoolView
from .plan import target_size

__all__ = [
    "CapacitySettings",
    "JobDemand",
    "MachineView",
    "Move",
    "PoolArrivals",
    "PoolView",
    "count_present",
    "job_demand",
    "plan_handovers",
    "plan_moves",
    "pool_demand",
    "target_size",
]
