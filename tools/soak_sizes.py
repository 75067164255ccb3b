"""Jobs of the soak whose sizes are at a limit, or next to it."""

import asyncio
import json
import time
import typing as t

from tools.soak_jobs import SMALL_TASK_CPU
from tools.soak_jobs import SmallTaskJobs

__all__ = ["SizedJobs"]

JOBS_PER_S = 0.5
"""How often one of these jobs is submitted."""

COUNTS = (1, 63, 64, 65, 128, 129, 257)
"""Tasks of a step: the progress of a job is divided into rows of 64 tasks, if it has
more than 128."""

STEPS = (1, 2, 9)
"""Steps of a chain."""

TIMES = (1, 2, 33)
"""Occurrences of a timed job."""

SPEC_BYTES = 4000
"""The longest text for the tasks of a job."""

Json = dict[str, t.Any]


class SizedJobs(SmallTaskJobs):
    """Submits jobs with one drawn size each; those over a limit must be refused."""

    async def play(self, until_s: float) -> None:
        """Submit jobs until a time."""
        kinds = [self._count, self._steps, self._times, self._longest_spec]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(JOBS_PER_S))
            if self._random.random() < 0.2:
                self._soak.spawn(self._over_limit())
            else:
                self._submit_sized(self._random.choice(kinds)())

    def _count(self) -> Json:
        return _job([_step(self._random.choice(COUNTS))])

    def _steps(self) -> Json:
        count = self._random.choice(STEPS)
        return _job([_step(1) | {"after": [n - 1] if n else []} for n in range(count)])

    def _times(self) -> Json:
        start_ms = int(time.time() * 1000)
        times = self._random.choice(TIMES)
        timed = {"times": times, "startAtMs": start_ms, "intervalMs": 100}
        return _job([_step(2)]) | timed

    def _longest_spec(self) -> Json:
        return _job([_step(1)], SPEC_BYTES)

    def _submit_sized(self, body: Json) -> None:
        steps, times = body["steps"], body.get("times", 0)
        counts = f"{len(steps)} steps of {steps[0]['count']}"
        self._submit(body, f"{counts}, {times} times, {len(body['spec'])} bytes")

    async def _over_limit(self) -> None:
        body = self._random.choice(
            [_job([_step(100_001)]), _job([_step(1)], SPEC_BYTES + 1)]
        )
        await self._check_refused(self._new_id(), json.dumps(body).encode())


def _step(count: int) -> Json:
    return {"count": count, "cpu": SMALL_TASK_CPU, "memMb": 1}


def _job(steps: list[Json], spec_bytes: int = 0) -> Json:
    """Return a job whose spec has at least a number of bytes."""
    spec = {"run_s": 0.2, "cpu": SMALL_TASK_CPU, "pad": ""}
    spec["pad"] = "x" * (spec_bytes - len(json.dumps(spec)))
    return {"spec": json.dumps(spec), "steps": steps}
