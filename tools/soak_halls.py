"""Faults of the soak around halls: evacuations, power losses and partitions."""

import asyncio
import random
import signal
import time

from streamthread.standins.proxy import LinkFaults
from tools.soak_daemon import Daemon
from tools.soak_view import SoakView

__all__ = ["HALLS", "HallFaults"]

HALLS = ("north", "south", "west")
UNNAMED_HALL = "nowhere"

EVACUATE_MS = 5000
"""The bound `evacuateMs` of the daemons' settings."""

FAULTS_PER_S = 0.5
"""How often one of these faults begins."""

EVACUATIONS_S = (0.01, 1.0, 6.5, 8.0)
"""How long evacuations last. Only those longer than the bound can be violated."""

EXISTED_SHARE = 0.3
"""Probability that an evacuation exists before the daemons start."""

VALUES = (b"{}", b'{"reason": "power"}', b"", b"{")
"""Values of the operator's rows; the key alone names the hall."""


class HallFaults:
    """Evacuates halls, cuts them off and switches off their power."""

    def __init__(self, soak: SoakView, choices: random.Random) -> None:
        self._soak = soak
        self._soak.world.evacuate_ms = EVACUATE_MS
        self._random = choices

    def prepare(self) -> None:
        """Begin an evacuation before the daemons start, in some runs."""
        if self._random.random() < EXISTED_SHARE:
            self._soak.spawn(self._evacuate(self._random.choice(HALLS), 0.0, 8.0))

    async def play(self, until_s: float) -> None:
        """Begin faults until a time."""
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(FAULTS_PER_S))
            kind = self._random.choice([self._evacuate_some, self._hit])
            self._soak.spawn(kind(self._random.choice(HALLS)))

    async def _evacuate_some(self, hall: str) -> None:
        """Evacuate halls once, all at once, in series, or the same one twice."""
        for_s = self._random.choice(EVACUATIONS_S)
        order = self._random.sample(HALLS, len(HALLS))
        gap_s = self._random.uniform(0.0, 2.0)
        chosen = self._random.choice(
            [
                [(hall, 0.0)],
                [(UNNAMED_HALL, 0.0)],
                [(other, 0.0) for other in order],
                [(other, number * gap_s) for number, other in enumerate(order)],
                [(hall, 0.0), (hall, for_s + 1.0)],
            ]
        )
        for other, after_s in chosen:
            self._soak.spawn(self._evacuate(other, after_s, for_s))

    async def _evacuate(self, hall: str, after_s: float, for_s: float) -> None:
        world = self._soak.world
        await asyncio.sleep(after_s)
        if world.is_evacuated(hall):
            return
        self._soak.note(f"evacuate {hall} for {for_s} s")
        await world.evacuate(hall, self._random.choice(VALUES))
        await asyncio.sleep(for_s)
        await world.take_back(hall)

    async def _hit(self, hall: str) -> None:
        """A hall loses power or is cut off, unless another fault has its daemons."""
        free = self._soak.free()
        daemons = [daemon for daemon in self._soak.daemons if daemon.zone == hall]
        if any(daemon not in free for daemon in daemons) or len(free) == len(daemons):
            return
        if self._random.random() < 0.5:
            await self._cut_off(hall, daemons, self._random.uniform(1.0, 6.0))
            return
        off_s = self._random.uniform(0.3, 1.5)
        self._soak.note(f"{hall} loses power for {off_s:.2f} s")
        for daemon in daemons:
            self._soak.restart(daemon, signal.SIGKILL, off_s)
        self._soak.world.lose_power(hall, off_s, self._random.random() < 0.5)

    async def _cut_off(self, hall: str, daemons: list[Daemon], for_s: float) -> None:
        """No bytes pass between a hall and the platform, and its runners are silent.

        Daemons reach each other, and those in the hall do not reach its runners, since
        no relay is on these ways.
        """
        self._soak.note(f"cut off {hall} for {for_s:.2f} s")
        runners = [r for r in self._soak.world.runners if r.alive and r.zone == hall]
        self._soak.busy |= {daemon.name for daemon in daemons}
        for faults in (LinkFaults(hold=True), LinkFaults()):
            for runner in runners:
                runner.faults.silent = faults.hold
            for daemon in daemons:
                daemon.link.set_faults(faults)
                daemon.cloud_link.set_faults(faults)
            await asyncio.sleep(for_s if faults.hold else 0.0)
        self._soak.busy -= {daemon.name for daemon in daemons}
