"""How fast tasks that fill may work beside tasks that serve."""

from .control import next_pace
from .control import SharingSettings
from .plan import PaceOrder
from .plan import plan_paces

__all__ = ["PaceOrder", "SharingSettings", "next_pace", "plan_paces"]
