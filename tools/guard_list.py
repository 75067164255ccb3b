"""All guards of the promises."""

from tools.guard import Guard
from tools.guards_cell import CELL_GUARDS
from tools.guards_entry import ENTRY_GUARDS
from tools.guards_halls import HALL_GUARDS
from tools.guards_loads import LOAD_GUARDS
from tools.guards_partitions import PARTITION_GUARDS

__all__ = ["GUARDS", "Guard"]

GUARDS = (
    *ENTRY_GUARDS,
    *CELL_GUARDS,
    *HALL_GUARDS,
    *LOAD_GUARDS,
    *PARTITION_GUARDS,
)
