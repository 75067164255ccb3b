"""Callers of the soak that ask for the states of jobs while faults go on."""

import asyncio
import time

from tools.soak_checks import ENDED
from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_view import SoakPart

__all__ = ["StateCallers"]

PAUSE_S = 0.05
"""Time between an answer and the next question to the same daemon."""

OPEN_SHARE = 0.8
"""Share of the questions that concern jobs which have not been shown as ended."""


class StateCallers(SoakPart):
    """One caller per daemon, so that a daemon that is stuck delays no other.

    They end when they are cancelled.
    """

    async def play(self) -> None:
        """Ask without end."""
        daemons = list(self._soak.daemons)
        await asyncio.gather(*(self._ask(daemon) for daemon in daemons))

    async def _ask(self, daemon: Daemon) -> None:
        while True:
            await asyncio.sleep(PAUSE_S)
            job = self._choose()
            if job is None:
                continue
            _, state = await self._soak.call(job, "GET", daemon)
            if state in ENDED and state not in job.states:
                job.states.add(state)
                job.shown.append(f"{state} by {daemon.name} at {time.time():.2f}")

    def _choose(self) -> SubmittedJob | None:
        """Return a job that may be known, most often one not yet shown as ended."""
        known = [
            job for job in self._soak.jobs.values() if job.accepted or job.uncertain
        ]
        open_jobs = [job for job in known if not job.states]
        often = self._random.random() < OPEN_SHARE
        jobs = open_jobs if open_jobs and often else known
        return self._random.choice(jobs) if jobs else None
