"""Floods in the soak: one account sends eight times its weight, another one less."""

import asyncio
import time
import typing as t

from tools.soak_accounts import account_of
from tools.soak_accounts import FLOOD_ACCOUNTS
from tools.soak_checks import SubmittedJob
from tools.soak_view import SoakPart

__all__ = ["Floods"]

FLOOD_PER_S = 8 * FLOOD_ACCOUNTS["dan"][1]

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


class Floods(SoakPart):
    """Submits the jobs of floods, and beside them some within another's weight."""

    async def play(self, until_s: float) -> None:
        """Submit jobs until a time."""
        within = self._submit("cat", SMALL_JOB, WITHIN_PER_S, until_s)
        await asyncio.gather(within, self._flood(until_s))

    async def _flood(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.0, FLOOD_S))
            self._soak.note("dan floods desk")
            end_s = min(until_s, time.monotonic() + FLOOD_S)
            await self._submit("dan", LARGE_JOB, FLOOD_PER_S, end_s)

    async def _submit(
        self, account: str, body: bytes, per_s: float, until_s: float
    ) -> None:
        while time.monotonic() < until_s:
            prefix, _ = FLOOD_ACCOUNTS[account]
            job_id = f"{prefix}{self._random.getrandbits(32):08x}"
            job = self._soak.jobs[job_id] = SubmittedJob(job_id, "desk")
            # Callers of the flood do not insist.
            insist_s = ACCEPTED_WITHIN_S if account == "cat" else 0.0
            self._soak.spawn(self._submit_one(job, body, insist_s))
            await asyncio.sleep(1 / per_s)

    async def _submit_one(
        self, job: SubmittedJob, body: bytes, insist_s: float
    ) -> None:
        give_up_at_s = time.monotonic() + insist_s
        await self._soak.submit(job, body, self._any)
        while not job.accepted and time.monotonic() < give_up_at_s:
            await self._soak.submit(job, body, self._any)

    def check(self) -> t.Iterator[str]:
        """Yield a line for each job within its account's weight that was not done."""
        for job in self._soak.jobs.values():
            if account_of(job.job_id) == "cat" and "completed" not in job.states:
                yield f"SHARE {job.job_id}: accepted {job.accepted}, {job.states}"
