"""Maintenance of pools: availability budgets, waves and the steps of each pool."""

from .budgets import Budget
from .budgets import measure_budget
from .decide import decide_pool
from .decide import InstanceFacts
from .decide import PoolSnapshot
from .decide import Step
from .decide import StepKind
from .decide import WaveFacts
from .standing import is_reboot_due
from .standing import run_key
from .waves import GROWTH
from .waves import wave_limit
from .waves import WaveProgress

__all__ = [
    "GROWTH",
    "Budget",
    "InstanceFacts",
    "PoolSnapshot",
    "Step",
    "StepKind",
    "WaveFacts",
    "WaveProgress",
    "decide_pool",
    "is_reboot_due",
    "measure_budget",
    "run_key",
    "wave_limit",
]
