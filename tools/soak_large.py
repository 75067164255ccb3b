"""Large and invalid jobs in the soak, and many runs that end at once."""

import asyncio
import json
import random
import time
import typing as t

from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_view import SoakView

__all__ = ["LargeJobs"]

JOBS_PER_S = 0.4
"""How often one of these jobs is submitted, or many runs end at once."""

TASK_CPU = 5

MAX_TASKS = 900
"""The progress of a job with that many tasks takes half a row of the store, and several
chunks. More would take the soak's time for starts."""

INVALID_BODIES = (
    b"[]",
    b'{"steps":[{}],"unknown":"\xff"}',
    b'{"steps":[{"count":100001}]}',
    b'{"steps":[{"cpu":-1}]}',
)


class LargeJobs:
    """Submits jobs whose rows need the limits of the store."""

    def __init__(self, soak: SoakView, choices: random.Random) -> None:
        self._soak = soak
        self._random = choices

    async def play(self, until_s: float) -> None:
        """Submit jobs until a time."""
        kinds = [self._many_tasks, self._many_steps, self._invalid, self._many_ends]
        while time.monotonic() < until_s:
            await self._random.choice(kinds)()
            await asyncio.sleep(self._random.expovariate(JOBS_PER_S))

    async def _many_tasks(self) -> None:
        count = self._random.randint(150, MAX_TASKS)
        await self._submit([{"count": count, "cpu": TASK_CPU, "memMb": 1}])

    async def _many_steps(self) -> None:
        """Submit a job whose body takes more than one row."""
        step = {"count": 1, "cpu": TASK_CPU, "memMb": 1, "image": "x" * 300}
        await self._submit([step] * 250)

    async def _submit(self, steps: list[dict[str, t.Any]]) -> None:
        job_id = f"{self._random.getrandbits(64):016x}"
        job = self._soak.jobs[job_id] = SubmittedJob(job_id, "desk", task_cpu=TASK_CPU)
        spec = json.dumps({"run_s": 0.5, "cpu": TASK_CPU})
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        self._soak.note(f"{job_id} has {sum(step['count'] for step in steps)} tasks")
        self._soak.spawn(self._soak.submit(job, body, self._any))

    async def _invalid(self) -> None:
        job = SubmittedJob(f"{self._random.getrandbits(64):016x}", "desk")
        body = self._random.choice(INVALID_BODIES)
        status, _ = await self._soak.call(job, "POST", self._any(), body)
        if status in (200, 500):
            self._soak.broken.append(f"INVALID {body!r} is answered {status}")

    async def _many_ends(self) -> None:
        """Let all runs of the busiest runner end at this moment."""
        alive = [runner for runner in self._soak.world.runners if runner.alive]
        busiest = max(alive, key=lambda runner: len(runner.runs()), default=None)
        if busiest is not None:
            busiest.finish_runs()

    def _any(self) -> Daemon:
        return self._random.choice(self._soak.daemons)
