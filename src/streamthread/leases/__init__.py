"""Shard ownership: leases, epochs, and commits whose outcome is resolved."""

from .committer import Backoff
from .committer import Committer
from .observer import LeaseObserver
from .observer import LeaseRecord
from .rendezvous import first_ranked
from .rendezvous import shard_of
from .service import LeaseService
from .service import LeaseSettings
from .service import new_incarnation
from .shards import plan_shards
from .shards import ShardPlan
from .shards import ShardState

__all__ = [
    "Backoff",
    "Committer",
    "LeaseObserver",
    "LeaseRecord",
    "LeaseService",
    "LeaseSettings",
    "ShardPlan",
    "ShardState",
    "first_ranked",
    "new_incarnation",
    "plan_shards",
    "shard_of",
]
