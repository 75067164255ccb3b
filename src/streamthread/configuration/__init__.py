"""The configuration: items, accepted generations, and what is in force."""

from .active import ActiveConfiguration
from .active import EMPTY_DIGEST
from .active import Generation
from .active import next_digest
from .active import Snapshot
from .checks import BadConfiguration
from .checks import check_changes
from .checks import flatten
from .items import BurstSpec
from .items import Change
from .items import HoldSpec
from .items import item_key
from .items import ItemKind
from .items import LabelRule
from .items import PoolSpec
from .items import RouteSpec
from .items import ServiceSpec
from .items import split_key
from .items import TeamSpec
from .items import WaveSpec
from .service import ConfigurationService
from .service import Proposal
from .store import ConfigurationStore
from .store import Head

__all__ = [
    "EMPTY_DIGEST",
    "ActiveConfiguration",
    "BadConfiguration",
    "BurstSpec",
    "Change",
    "ConfigurationService",
    "ConfigurationStore",
    "Generation",
    "Head",
    "HoldSpec",
    "ItemKind",
    "LabelRule",
    "PoolSpec",
    "Proposal",
    "RouteSpec",
    "ServiceSpec",
    "Snapshot",
    "TeamSpec",
    "WaveSpec",
    "check_changes",
    "flatten",
    "item_key",
    "next_digest",
    "split_key",
]
