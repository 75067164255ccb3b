"""Floods in the soak: one account sends eight times its weight, another one less."""

import asyncio
import random
import time
import typing as t

from tools.soak_accounts import FLOOD_PREFIXES
from tools.soak_accounts import FLOOD_WEIGHTS
from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_view import SoakView

__all__ = ["Floods"]

FLOOD_FACTOR = 8
"""The flooding account sends so many times its weight."""

FLOOD_S = 4.0
"""How long a flood lasts, and the maximum time before each flood."""

WITHIN_PER_S = 1.5
"""Jobs per second of the other account, which stay within its weight even if each of
them is submitted several times."""

ACCEPTED_WITHIN_S = 30.0
"""A job within the weight is accepted within this time, in spite of other faults."""

LARGE_JOB = b"""{"spec": "{\\"run_s\\": 1.0, \\"cpu\\": 1500}",
"steps": [{"count": 4, "cpu": 1500, "memMb": 100}]}"""
"""A job of the flood, which asks for more than the runners of the pool have."""

SMALL_JOB = b"""{"spec": "{\\"run_s\\": 0.2, \\"cpu\\": 1500}",
"steps": [{"count": 1, "cpu": 1500, "memMb": 100}]}"""


class Floods:
    """Submits the jobs of a flood, and beside it those of an account within its weight.

    :param choices: determines times, job ids and daemons.
    """

    def __init__(self, soak: SoakView, choices: random.Random) -> None:
        self._soak = soak
        self._random = choices
        self._within: list[SubmittedJob] = []

    async def play(self, until_s: float) -> None:
        """Submit jobs until a time."""
        await asyncio.gather(self._submit_within(until_s), self._flood(until_s))

    def check(self) -> t.Iterator[str]:
        """Yield a line for each job within its account's weight that was not done."""
        for job in self._within:
            if not job.accepted or "completed" not in job.states:
                yield f"SHARE {job.job_id}: accepted {job.accepted}, {job.states}"

    async def _flood(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.0, FLOOD_S))
            self._soak.note("dan floods desk")
            end_s = min(until_s, time.monotonic() + FLOOD_S)
            while time.monotonic() < end_s:
                job = self._new_job("dan")
                self._soak.spawn(self._soak.submit(job, LARGE_JOB, self._any))
                per_s = FLOOD_FACTOR * FLOOD_WEIGHTS["dan"]
                await asyncio.sleep(self._random.expovariate(per_s))

    async def _submit_within(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            self._within.append(self._new_job("cat"))
            self._soak.spawn(self._submit_until_accepted(self._within[-1]))
            await asyncio.sleep(1 / WITHIN_PER_S)

    async def _submit_until_accepted(self, job: SubmittedJob) -> None:
        give_up_at_s = time.monotonic() + ACCEPTED_WITHIN_S
        while not job.accepted and time.monotonic() < give_up_at_s:
            await self._soak.submit(job, SMALL_JOB, self._any)

    def _new_job(self, account: str) -> SubmittedJob:
        job_id = f"{FLOOD_PREFIXES[account]}{self._random.getrandbits(32):08x}"
        job = self._soak.jobs[job_id] = SubmittedJob(job_id, "desk")
        return job

    def _any(self) -> Daemon:
        return self._random.choice(self._soak.daemons)
