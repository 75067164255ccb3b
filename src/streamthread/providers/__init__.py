"""What the platform gives: tables, objects, membership and workers.

Abstract interfaces, with an adapter in memory and one over HTTP.
"""

import attrs

from .http import HttpMembership
from .http import HttpObjects
from .http import HttpTables
from .http import HttpWorkers
from .http import PlatformClient
from .memory import MemoryMembership
from .memory import MemoryObjects
from .memory import MemoryTables
from .memory import MemoryWorkers
from .services import Instance
from .services import InstanceStatus
from .services import Membership
from .services import MembershipChanges
from .services import Objects
from .services import Task
from .services import TaskChanges
from .services import TaskStart
from .services import TaskState
from .services import Workers
from .tables import ABSENT
from .tables import CommitOutcome
from .tables import CommitResult
from .tables import Fence
from .tables import JsonObject
from .tables import MAX_ROWS_PER_SCAN
from .tables import MAX_ROWS_PER_TRANSACTION
from .tables import new_token
from .tables import Row
from .tables import Tables
from .tables import Transaction
from .tables import Write


@attrs.frozen
class Platform:
    """The four services of one platform."""

    tables: Tables
    objects: Objects
    membership: Membership
    workers: Workers


def memory_platform() -> Platform:
    """Return a platform that lives in this process and keeps nothing."""
    membership = MemoryMembership()
    return Platform(
        tables=MemoryTables(),
        objects=MemoryObjects(),
        membership=membership,
        workers=MemoryWorkers(membership),
    )


def http_platform(client: PlatformClient) -> Platform:
    """Return a platform that is reached over HTTP."""
    return Platform(
        tables=HttpTables(client),
        objects=HttpObjects(client),
        membership=HttpMembership(client),
        workers=HttpWorkers(client),
    )


__all__ = [
    "ABSENT",
    "MAX_ROWS_PER_SCAN",
    "MAX_ROWS_PER_TRANSACTION",
    "CommitOutcome",
    "CommitResult",
    "Fence",
    "Instance",
    "InstanceStatus",
    "JsonObject",
    "Membership",
    "MembershipChanges",
    "MemoryMembership",
    "MemoryObjects",
    "MemoryTables",
    "MemoryWorkers",
    "Objects",
    "Platform",
    "PlatformClient",
    "Row",
    "Tables",
    "Task",
    "TaskChanges",
    "TaskStart",
    "TaskState",
    "Transaction",
    "Workers",
    "Write",
    "http_platform",
    "memory_platform",
    "new_token",
]
