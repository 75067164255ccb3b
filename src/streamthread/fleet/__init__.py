"""The fleet: labels, selectors, and which instance sits in which pool."""

from .assignment import best_pool
from .assignment import PoolNeed
from .assignment import should_leave_for
from .catalog import Catalog
from .catalog import instance_labels
from .catalog import LabelSetter
from .drains import DrainReport
from .drains import DrainTracker
from .pools import instance_key
from .pools import Member
from .pools import MemberState
from .pools import pool_key
from .pools import PoolRow
from .selectors import Labels
from .selectors import Selector

__all__ = [
    "Catalog",
    "DrainReport",
    "DrainTracker",
    "LabelSetter",
    "Labels",
    "Member",
    "MemberState",
    "PoolNeed",
    "PoolRow",
    "Selector",
    "best_pool",
    "instance_key",
    "instance_labels",
    "pool_key",
    "should_leave_for",
]
