"""Jobs of the soak whose sizes are at a limit, or next to it."""

import asyncio
import json
import random
import time
import typing as t

from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_view import SoakView

__all__ = ["SizedJobs"]

JOBS_PER_S = 0.5
"""How often one of these jobs is submitted."""

TASK_CPU = 5

COUNTS = (1, 63, 64, 65, 128, 129, 257)
"""Tasks of a step: the progress of a job is divided into rows of 64 tasks, if it has
more than 128."""

STEPS = (1, 2, 9)
"""Steps of a chain."""

TIMES = (1, 2, 33)
"""Occurrences of a timed job."""

SPEC_BYTES = 4000
"""The longest text for the tasks of a job."""

ACCEPTED, UNFORESEEN = 200, 500

Json = dict[str, t.Any]


class SizedJobs:
    """Submits jobs with one drawn size each; those over a limit must be refused."""

    def __init__(self, soak: SoakView, choices: random.Random) -> None:
        self._soak = soak
        self._random = choices

    async def play(self, until_s: float) -> None:
        """Submit jobs until a time."""
        kinds = [self._count, self._steps, self._times, self._longest_spec]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(JOBS_PER_S))
            if self._random.random() < 0.2:
                self._soak.spawn(self._over_limit())
            else:
                self._submit(self._random.choice(kinds)())

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

    def _submit(self, body: Json) -> None:
        job_id = f"{self._random.getrandbits(64):016x}"
        job = self._soak.jobs[job_id] = SubmittedJob(job_id, "desk", task_cpu=TASK_CPU)
        steps, spec = body["steps"], body["spec"]
        counts = f"{len(steps)} steps of {steps[0]['count']}"
        times = body.get("times", 0)
        self._soak.note(f"{job_id}: {counts}, {times} times, {len(spec)} bytes")
        text = json.dumps(body).encode()
        self._soak.spawn(self._soak.submit(job, text, self._any))

    async def _over_limit(self) -> None:
        body = self._random.choice(
            [_job([_step(100_001)]), _job([_step(1)], SPEC_BYTES + 1)]
        )
        job = SubmittedJob(f"{self._random.getrandbits(64):016x}", "desk")
        text = json.dumps(body).encode()
        status, _ = await self._soak.call(job, "POST", self._any(), text)
        if status in (ACCEPTED, UNFORESEEN):
            self._soak.broken.append(f"INVALID a job over a limit is answered {status}")

    def _any(self) -> Daemon:
        return self._random.choice(self._soak.daemons)


def _step(count: int) -> Json:
    return {"count": count, "cpu": TASK_CPU, "memMb": 1}


def _job(steps: list[Json], spec_bytes: int = 0) -> Json:
    """Return a job whose spec has at least a number of bytes."""
    spec = {"run_s": 0.2, "cpu": TASK_CPU, "pad": ""}
    spec["pad"] = "x" * (spec_bytes - len(json.dumps(spec)))
    return {"spec": json.dumps(spec), "steps": steps}
