"""Odd inputs of the soak: bodies on every verb, and odd parts in each list."""

import asyncio
import time

from streamthread.standins.cell import ODD_PARTS
from tools.soak_view import SoakPart

__all__ = ["OddInputs"]

FAULTS_PER_S = 0.6
"""How often a list begins to have an odd part."""

TABLES = ("servers", "op")
"""Tables that others write."""

BODIES = (
    b"",
    b"{}",
    b"null",
    b"\xff\xfe{",
    b"[" * 20_000,
    b'{"spec":"","steps":[{"count":1,"cpu":100,"memMb":10}]}',
    b"x" * 1_200_000,
)
"""What calls carry that need no body."""


class OddInputs(SoakPart):
    """Draws bodies, and places odd parts in the lists that the daemons follow."""

    def body(self) -> bytes:
        """Return the body of a call that needs none."""
        return self._random.choice(BODIES)

    async def play(self, until_s: float) -> None:
        """Begin faults until a time."""
        kinds = [self._machines, self._rows, self._runner]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(FAULTS_PER_S))
            name = self._random.choice(list(ODD_PARTS))
            kind = self._random.choice(kinds)
            self._soak.spawn(kind(name, self._random.uniform(0.5, 4.0)))

    async def _machines(self, name: str, for_s: float) -> None:
        self._soak.note(f"odd part {name} among the machines")
        cloud = self._soak.world.cloud
        cloud.odd_part = ODD_PARTS[name]
        await asyncio.sleep(for_s)
        cloud.odd_part = ""

    async def _rows(self, name: str, for_s: float) -> None:
        table = self._random.choice(TABLES)
        self._soak.note(f"odd part {name} in {table}")
        parts = self._soak.world.store.faults.odd_parts
        parts[table] = ODD_PARTS[name]
        await asyncio.sleep(for_s)
        parts.pop(table, None)

    async def _runner(self, name: str, for_s: float) -> None:
        living = [runner for runner in self._soak.world.runners if runner.alive]
        if not living:
            return
        runner = self._random.choice(living)
        self._soak.note(f"odd part {name} in the lists of {runner.runner_id}")
        runner.faults.odd_part = ODD_PARTS[name]
        await asyncio.sleep(for_s)
        runner.faults.odd_part = ""
