"""Policies of the soak: an advice service with drawn figures, and its faults."""

import asyncio
import random
import time

from streamthread.standins.cell import AdviceStandin
from streamthread.standins.cell import PolicyFigures
from tools.soak_view import SoakView

__all__ = ["AdvicePolicies"]

DECIDE_MS = (0.0, 2.0, 5.0)
EACH_MS = (0.0, 0.5, 2.0)
"""A timed job needs 250 calls, and a flood hundreds. With more, the service has no time
for them."""

VALID_MS = (1_500.0, 5_000.0, 20_000.0)

FAULTS_PER_S = 0.3
"""How often a fault of the service begins."""


class AdvicePolicies:
    """Lets each step run on all runners but one, at most.

    The one that is denied stays so. A policy that denies several may allow none of the
    machines that a pool has left, which no holder can mend.
    """

    def __init__(self, choices: random.Random) -> None:
        self._random = choices
        self._denied: dict[str, str] = {}
        figures = PolicyFigures(
            choices.choice(DECIDE_MS), choices.choice(EACH_MS), choices.choice(VALID_MS)
        )
        self.service = AdviceStandin(self._may_run, figures)

    def _may_run(self, step: str, runner_id: str) -> bool:
        """Return the answer for a step and a runner, which does not change."""
        return self._denied.setdefault(step, runner_id) != runner_id

    async def play(self, soak: SoakView, until_s: float) -> None:
        """Begin faults of the service until a time."""
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(FAULTS_PER_S))
            soak.spawn(self._fault(soak, self._random.uniform(0.5, 3.0)))

    async def _fault(self, soak: SoakView, for_s: float) -> None:
        faults = self.service.faults
        kind = self._random.choice(["silent", "slow", "refused"])
        soak.note(f"advice {kind}")
        faults.silent = kind == "silent"
        faults.slowness = 5.0 if kind == "slow" else 1.0
        faults.refuse = 503 if kind == "refused" else 0
        await asyncio.sleep(for_s)
        faults.silent, faults.slowness, faults.refuse = False, 1.0, 0
