"""Small stand-ins for external systems, and a fault-injecting proxy."""

from .faults import Faults
from .platform import PlatformStandin
from .proxy import FaultProxy
from .proxy import LinkFaults
from .upstreams import RunnerPlan
from .upstreams import UpstreamStandins

__all__ = [
    "FaultProxy",
    "Faults",
    "LinkFaults",
    "PlatformStandin",
    "RunnerPlan",
    "UpstreamStandins",
]
