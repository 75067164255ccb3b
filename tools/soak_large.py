"""Large and invalid jobs in the soak, and many runs that end at once."""

import asyncio
import json
import time
import typing as t

from tools.soak_jobs import SMALL_TASK_CPU
from tools.soak_jobs import SmallTaskJobs

__all__ = ["LargeJobs"]

JOBS_PER_S = 0.4
"""How often one of these jobs is submitted, or many runs end at once."""

MAX_TASKS = 900
"""The progress of a job with that many tasks takes half a row of the store, and several
chunks. More would take the soak's time for starts."""

INVALID_BODIES = (
    b"[]",
    b'{"steps":[{}],"unknown":"\xff"}',
    b'{"steps":[{"count":100001}]}',
    b'{"steps":[{"cpu":-1}]}',
)


class LargeJobs(SmallTaskJobs):
    """Submits jobs whose rows need the limits of the store."""

    async def play(self, until_s: float) -> None:
        """Submit jobs until a time."""
        kinds = [self._many_tasks, self._many_steps, self._invalid, self._many_ends]
        while time.monotonic() < until_s:
            await self._random.choice(kinds)()
            await asyncio.sleep(self._random.expovariate(JOBS_PER_S))

    async def _many_tasks(self) -> None:
        count = self._random.randint(150, MAX_TASKS)
        self._submit_steps([{"count": count, "cpu": SMALL_TASK_CPU, "memMb": 1}])

    async def _many_steps(self) -> None:
        """Submit a job whose body takes more than one row."""
        step = {"count": 1, "cpu": SMALL_TASK_CPU, "memMb": 1, "image": "x" * 300}
        self._submit_steps([step] * 250)

    def _submit_steps(self, steps: list[dict[str, t.Any]]) -> None:
        spec = json.dumps({"run_s": 0.5, "cpu": SMALL_TASK_CPU})
        tasks = sum(step["count"] for step in steps)
        self._submit({"spec": spec, "steps": steps}, f"{tasks} tasks")

    async def _invalid(self) -> None:
        job_id = self._new_id()
        await self._check_refused(job_id, self._random.choice(INVALID_BODIES))

    async def _many_ends(self) -> None:
        """Let all runs of the busiest runner end at this moment."""
        alive = [runner for runner in self._soak.world.runners if runner.alive]
        busiest = max(alive, key=lambda runner: len(runner.runs()), default=None)
        if busiest is not None:
            busiest.finish_runs()
