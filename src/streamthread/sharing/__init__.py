"""Controls how fast filling tasks may work on the same runner as serving tasks.

A serving task is a long-running one with a target for its tail latency. A filling task
uses only what others leave.
"""

from .control import next_pace
from .control import SharingSettings
from .plan import PaceOrder
from .plan import plan_paces

__all__ = ["PaceOrder", "SharingSettings", "next_pace", "plan_paces"]
