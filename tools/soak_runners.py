"""Callers and faults of the soak around runners: crashes, rooms, turns, sleep."""

import asyncio
import json
import time

from streamthread.standins.cell import RunnerStandin
from tools.soak_checks import SubmittedJob
from tools.soak_suspend import SUSPEND_SIGNAL
from tools.soak_suspend import SUSPENDED_S
from tools.soak_view import SoakPart

__all__ = ["RunnerFaults"]

FAULTS_PER_S = 0.5
"""How often one of these faults begins."""

TURN_S = 3.0
"""Demand rises for so long in one pool after the other."""

JOBS_PER_S = 2.0
"""Jobs of a pool in the mean of its turns and the time in between."""

IN_TURN = 5.0
"""Times its mean, of a pool in its turn (the users' pages)."""

OUT_OF_TURN = 0.05
"""The same in between: a twentieth."""

TURNS = ("desk", "audit", "")
"""Whose turn it is, one after the other; in the last one it is nobody's."""


class RunnerFaults(SoakPart):
    """Jobs that crash their runners, rooms that shrink, machines that sleep."""

    async def play(self, until_s: float) -> None:
        """Begin faults until a time."""
        for runner in self._soak.world.runners:
            runner.faults.overcommit = self._random.random() < 0.5
        kinds = [self._crashing_job, self._shrink, self._shrink, self._suspend]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(FAULTS_PER_S))
            kind = self._random.choice(kinds)
            self._soak.spawn(kind(self._random.uniform(0.5, 6.0)))

    async def submit_in_turns(self, until_s: float) -> None:
        """Submit jobs to one pool after the other."""
        while time.monotonic() < until_s:
            turn = TURNS[int(time.monotonic() / TURN_S) % len(TURNS)]
            weights = [
                JOBS_PER_S * (IN_TURN if pool == turn else OUT_OF_TURN)
                for pool in TURNS[:-1]
            ]
            await asyncio.sleep(min(TURN_S, self._random.expovariate(sum(weights))))
            (pool,) = self._random.choices(TURNS[:-1], weights)
            self._soak.spawn(self._soak.one_job(self._random, pool))

    async def _crashing_job(self, for_s: float) -> None:
        """Submit a job of which one task crashes each runner that starts it."""
        job_id = f"{self._random.getrandbits(64):016x}"
        pool = self._random.choice(["desk", "audit"])
        count = self._random.randint(1, 3)
        job = SubmittedJob(job_id, pool, sound_tasks=count - 1)
        self._soak.jobs[job_id] = job
        self._soak.note(f"crashing job {job_id}")
        spec = {"run_s": 0.4, "cpu": 1500, "crash": [str(count - 1)]}
        step = {"count": count, "cpu": 1500, "memMb": 100}
        step["speculative"] = self._random.random() < 0.5
        body = json.dumps({"spec": json.dumps(spec), "steps": [step]}).encode()
        await self._soak.submit(job, body, self._any)

    async def _shrink(self, for_s: float) -> None:
        """A runner's room shrinks for a while, with what runs there."""
        living = [runner for runner in self._soak.world.runners if runner.alive]
        runner = self._random.choice(living)
        full_cpu = self._soak.world.cpu
        self._soak.note(f"room of {runner.runner_id} shrinks")
        await self._resize(runner, int(full_cpu * self._random.uniform(0.05, 0.6)))
        await asyncio.sleep(for_s)
        await self._resize(runner, full_cpu)

    async def _resize(self, runner: RunnerStandin, cpu: int) -> None:
        runner.resize(cpu)
        if runner.alive:
            await self._soak.world.write_entry(runner)

    async def _suspend(self, for_s: float) -> None:
        """A daemon's machine sleeps."""
        free = self._soak.free()
        if len(free) < 2:
            return
        daemon = self._random.choice(free)
        self._soak.busy.add(daemon.name)
        self._soak.note(f"suspend {daemon.name}")
        daemon.signal(SUSPEND_SIGNAL)
        await asyncio.sleep(SUSPENDED_S)
        self._soak.busy.discard(daemon.name)
