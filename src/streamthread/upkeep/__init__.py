"""Waves of upkeep: decides which machines go down when, and which to empty first."""

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
