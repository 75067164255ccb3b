"""Callers' requests: upstream choice, limits, retries and at-most-once dispatch."""

from .claims import Claim
from .claims import claim_key
from .claims import ClaimService
from .claims import ClaimSettings
from .claims import ClaimState
from .outcomes import Outcome
from .outcomes import Problem
from .retries import RetryBudget
from .router import Router
from .router import Slot
from .service import RequestService
from .shares import BorrowingBackoff
from .shares import own_slots
from .slots import SlotQueue
from .sweeper import ClaimSweeper
from .sweeper import SweepSettings
from .upstreams import Choice
from .upstreams import choose
from .upstreams import Upstream
from .upstreams import UpstreamHealth

__all__ = [
    "BorrowingBackoff",
    "Choice",
    "Claim",
    "ClaimService",
    "ClaimSettings",
    "ClaimState",
    "ClaimSweeper",
    "Outcome",
    "Problem",
    "RequestService",
    "RetryBudget",
    "Router",
    "Slot",
    "SlotQueue",
    "SweepSettings",
    "Upstream",
    "UpstreamHealth",
    "choose",
    "claim_key",
    "own_slots",
]
