"""Faults of the soak in which runners start again under their ids."""

import asyncio
import random
import time

from streamthread.standins.cell import MachineStandin
from streamthread.standins.cell import RunnerStandin
from tools.soak_view import SoakView

__all__ = ["RestartFaults", "restart_runner"]

FAULTS_PER_S = 0.8
"""How often one of these faults begins."""

SILENT_RESTARTS_PER_S = 3.0
"""The same where runners only start again while they are silent."""

MOST_IN_SERIES = 4
"""So often at most one runner starts again before another one does."""


def restart_runner(
    machine: MachineStandin, soak: SoakView, for_s: float, keep_id: bool
) -> None:
    """Crash the runner of a machine that is up; it is back after ``for_s``.

    :param keep_id: under its id, if it tells its birth.
    """
    runner = machine.runner
    if machine.state != "up" or runner is None or not runner.alive:
        return
    soak.note(f"restart {runner.runner_id}")
    runner.kill()
    soak.world.cloud.crash(machine, for_s, keep_id and runner.reports_birth)


class RestartFaults:
    """Runners that crash and are back under their ids, alone and in series.

    :param silent_only: runners only start again while they are silent, and more often.
    """

    def __init__(
        self, soak: SoakView, choices: random.Random, silent_only: bool = False
    ) -> None:
        self._soak = soak
        self._silent_only = silent_only
        self._random = choices
        self._soak.world.keeps_ids = choices.random() < 0.5

    async def play(self, until_s: float) -> None:
        """Begin faults until a time."""
        kinds = [self._restart, self._restart_in_series, self._restart_while_silent]
        per_s = FAULTS_PER_S
        if self._silent_only:
            kinds = [self._restart_while_silent]
            per_s = SILENT_RESTARTS_PER_S
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(per_s))
            # Some runners never tell their birth; those get a new id with each life.
            self._soak.world.reports_birth = self._random.random() < 0.8
            kind = self._random.choice(kinds)
            self._soak.spawn(kind(self._random.choice([0.01, 0.2, 1.0, 3.0])))

    def _choose(self) -> MachineStandin | None:
        machines = [
            machine
            for machine in self._soak.world.cloud.machines.values()
            if machine.state == "up" and machine.runner is not None
        ]
        return self._random.choice(machines) if machines else None

    async def _restart(self, for_s: float) -> None:
        machine = self._choose()
        if machine is not None:
            self._begin(machine, for_s)

    def _begin(self, machine: MachineStandin, for_s: float) -> None:
        restart_runner(machine, self._soak, for_s, keep_id=True)

    async def _restart_in_series(self, for_s: float) -> None:
        machine = self._choose()
        if machine is None:
            return
        for _ in range(self._random.randint(2, MOST_IN_SERIES)):
            self._begin(machine, for_s / MOST_IN_SERIES)
            await asyncio.sleep(for_s / MOST_IN_SERIES + self._random.uniform(0.0, 1.0))

    async def _restart_while_silent(self, for_s: float) -> None:
        """A runner falls silent with its connections open, and is another life then."""
        machine = self._choose()
        if machine is None or machine.runner is None:
            return
        runner: RunnerStandin = machine.runner
        runner.faults.silent = True
        await asyncio.sleep(self._random.uniform(0.1, 2.0))
        if machine.runner is runner:
            self._begin(machine, for_s)
        runner.faults.silent = False
