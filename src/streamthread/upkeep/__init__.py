"""Waves of upkeep: which machine goes down when, and what must leave it first."""

from .pacing import paced_slots
from .pacing import presses
from .plan import DueMachine
from .plan import plan_upkeep
from .plan import UpkeepPlan
from .plan import UpkeepSettings
from .plan import WaveView
from .progress import WaveProgress

__all__ = [
    "DueMachine",
    "UpkeepPlan",
    "UpkeepSettings",
    "WaveProgress",
    "WaveView",
    "paced_slots",
    "plan_upkeep",
    "presses",
]
