"""Another writer in the store, beside the runners: entries that name no runner."""

import asyncio
import random
import time
import typing as t

from streamthread.standins.cell import CellWorld
from streamthread.standins.cell.foreign import FOREIGN_ENTRIES

__all__ = ["ForeignWriter"]

WRITES_PER_S = 3.0
"""How often it writes."""

REWRITTEN_S = 1.5
"""A runner writes its own entry anew in this time, whatever stands there."""


class ForeignWriter:
    """Leaves entries of its own, and writes over those of runners.

    :param note: told of each write.
    """

    def __init__(
        self, world: CellWorld, choices: random.Random, note: t.Callable[[str], None]
    ) -> None:
        self._world = world
        self._random = choices
        self._note = note

    async def play(self, until_s: float) -> None:
        """Write until a time."""
        kinds = [self._leave_entry, self._leave_entry, self._write_over, self._wave]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(WRITES_PER_S))
            await self._random.choice(kinds)()

    async def finish(self) -> None:
        """Have all runners write their entries once more."""
        for runner in self._world.runners:
            if runner.alive:
                await self._world.write_entry(runner)

    def _value(self) -> bytes:
        return self._random.choice(FOREIGN_ENTRIES)

    async def _leave_entry(self) -> None:
        key = f"{self._random.choice('az')}-foreign-{self._random.randrange(40)}"
        self._note(f"foreign entry {key}")
        await self._world.write_bytes("servers", key, self._value())

    async def _write_over(self) -> None:
        living = [runner for runner in self._world.runners if runner.alive]
        if not living:
            return
        runner = self._random.choice(living)
        self._note(f"foreign entry over {runner.runner_id}")
        await self._world.write_bytes("servers", runner.runner_id, self._value())
        await asyncio.sleep(self._random.uniform(0.0, REWRITTEN_S))
        if runner.alive:
            await self._world.write_entry(runner)
        else:
            await self._world.store.drop("servers", runner.runner_id)

    async def _wave(self) -> None:
        key = f"wave/{900 + self._random.randrange(5)}"
        self._note(f"foreign {key}")
        await self._world.write_bytes("op", key, self._value())
