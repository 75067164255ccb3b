"""Policies of the soak: an advice service with drawn figures, and its faults."""

import asyncio
import collections
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

DENIED = (1, 1, 2, 3)
"""How many runners a step is denied. A pool that shrank may have no more than two."""

FAULTS_PER_S = 0.3
"""How often a fault of the service begins."""


class AdvicePolicies:
    """Denies each step the first runners asked about, and permits all others.

    The answers do not change. Since a machine that moves gets a new runner, a permitted
    one can always be had.

    :param denials: draws how many runners are denied.
    """

    def __init__(self, choices: random.Random, denials: random.Random) -> None:
        self._random = choices
        self._denied: collections.defaultdict[str, set[str]]
        self._denied = collections.defaultdict(set)
        figures = PolicyFigures(
            choices.choice(DECIDE_MS), choices.choice(EACH_MS), choices.choice(VALID_MS)
        )
        self._denied_count = denials.choice(DENIED)
        self.service = AdviceStandin(self._may_run, figures)

    def _may_run(self, step: str, runner_id: str) -> bool:
        """Return the answer for a step and a runner, which does not change."""
        denied = self._denied[step]
        if len(denied) < self._denied_count:
            denied.add(runner_id)
        return runner_id not in denied

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
