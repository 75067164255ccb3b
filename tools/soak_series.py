"""Faults of the soak in which runners exit in series, overlapping with others."""

import asyncio
import json
import random
import signal
import time
import typing as t

from streamthread.standins.cell import MachineStandin
from tools.soak_checks import SubmittedJob
from tools.soak_checks import TASK_CPU
from tools.soak_restarts import restart_runner
from tools.soak_stops import LastingJobs
from tools.soak_stops import StopFaults
from tools.soak_view import SoakPart
from tools.soak_view import SoakView

__all__ = ["SeriesFaults"]

POOLS = ("desk", "audit")

SERIES_PER_S = 0.7
"""How often a series begins beside those that go on."""

EXITS = (4, 10)
"""How often each of its runners exits in one series, at least and at most."""

UP_S = (0.1, 1.5)
"""How long a runner is up between two exits of a series."""

DOWN_S = (0.05, 0.6)
"""How long it is down."""

AFTER_START_S = (0.02, 0.4)
"""How soon after a start a runner exits, or the holder is killed."""

REFUSED_S = (0.5, 2.0)
"""How long the store refuses all calls."""

MIN_ALIVE = 4
"""No more runners exit while there are fewer: other faults choose among the living, and
a hall that loses power takes three at once."""

JOBS_PER_S = 0.8
"""Finite and lasting jobs, of each kind, whose tasks work during many exits."""

RUN_S = 2.0
"""How long each task of the finite ones works."""

LIFE_S = 1000.0
"""Most of the lasting ones are cancelled only at the end."""


class SeriesFaults(SoakPart):
    """Runners that exit in series while holders are killed and the store refuses."""

    def __init__(
        self, soak: SoakView, choices: random.Random, holders: StopFaults
    ) -> None:
        super().__init__(soak, choices)
        self._holders = holders
        self._pool = choices.choice(POOLS)
        self._lasting = LastingJobs(soak, choices, JOBS_PER_S, LIFE_S)

    async def play(self, until_s: float) -> None:
        """Begin series until a time, at which all of them end."""
        await asyncio.gather(
            self._begin_series(until_s),
            self._submit(until_s),
            self._lasting.submit(until_s),
        )

    async def _submit(self, until_s: float) -> None:
        """Submit jobs that take a while."""
        while time.monotonic() < until_s:
            job_id = f"{self._random.getrandbits(64):016x}"
            job = SubmittedJob(job_id, self._random.choice(POOLS))
            self._soak.jobs[job_id] = job
            step = {"count": 2, "cpu": TASK_CPU, "memMb": 100}
            spec = json.dumps({"run_s": RUN_S, "cpu": TASK_CPU})
            body = json.dumps({"spec": spec, "steps": [step]}).encode()
            self._soak.spawn(self._soak.submit(job, body, self._any))
            await asyncio.sleep(min(1.0, self._random.expovariate(JOBS_PER_S)))

    async def _begin_series(self, until_s: float) -> None:
        others = [self._kill_holder, self._refuse_store]
        while time.monotonic() < until_s:
            await asyncio.sleep(min(1.0, self._random.expovariate(SERIES_PER_S)))
            self._soak.spawn(self._series(until_s))
            for other in self._random.sample(others, self._random.randint(0, 2)):
                self._soak.spawn(other())

    async def _series(self, until_s: float) -> None:
        """Have runners of one pool exit, by turns or each in a series of its own."""
        machines = [
            machine
            for machine in self._soak.world.cloud.machines.values()
            if machine.pool == self._pool
        ]
        count = min(len(machines), self._random.randint(1, 3))
        chosen = self._random.sample(machines, count)
        groups = self._random.choice([[chosen], [[machine] for machine in chosen]])
        names = [" ".join(machine.machine_id for machine in group) for group in groups]
        self._soak.note(f"series of exits: {names}")
        await asyncio.gather(*(self._exit(group, until_s) for group in groups))

    async def _exit(self, by_turns: list[MachineStandin], until_s: float) -> None:
        after_start = self._random.random() < 0.5
        keep_id = self._random.random() < 0.5
        for _ in range(self._random.randint(*EXITS)):
            for machine in by_turns:
                if after_start:
                    await self._await_start(machine)
                else:
                    await asyncio.sleep(self._choose(UP_S) / len(by_turns))
                if time.monotonic() > until_s:
                    return
                if (
                    sum(runner.alive for runner in self._soak.world.runners)
                    >= MIN_ALIVE
                ):
                    down_s = self._choose(DOWN_S)
                    restart_runner(machine, self._soak, down_s, keep_id)

    def _choose(self, bounds_s: tuple[float, float]) -> float:
        return self._random.uniform(*bounds_s)

    async def _await_start(self, machine: MachineStandin) -> None:
        """Wait until soon after a start on a machine."""
        await self._until_start(
            lambda runner_id: (
                machine.runner is not None and runner_id == machine.runner.runner_id
            )
        )

    async def _until_start(self, chosen: t.Callable[[str], bool]) -> None:
        """Wait until soon after a start, or for as long as a runner may be up."""
        seen = len(self._soak.world.started)
        give_up_at_s = time.monotonic() + UP_S[1]
        while time.monotonic() < give_up_at_s:
            new = self._soak.world.started[seen:]
            if any(chosen(started.runner_id) for started in new):
                break
            await asyncio.sleep(0.01)
        await asyncio.sleep(self._choose(AFTER_START_S))

    async def _kill_holder(self) -> None:
        await self._until_start(lambda runner_id: True)
        await self._holders.end_holder(signal.SIGKILL)

    async def _refuse_store(self) -> None:
        self._soak.note("store refuses")
        faults = self._soak.world.store.faults
        faults.refuse = self._random.choice([429, 503])
        await asyncio.sleep(self._choose(REFUSED_S))
        faults.refuse = 0
