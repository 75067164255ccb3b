"""What the parts of the soak that submit jobs of small tasks share."""

import json
import typing as t

from tools.soak_checks import SubmittedJob
from tools.soak_view import SoakPart

__all__ = ["SMALL_TASK_CPU", "SmallTaskJobs"]

SMALL_TASK_CPU = 5
"""So little that many tasks run at once."""

ACCEPTED, UNFORESEEN = 200, 500

MAX_SHOWN_BYTES = 200
"""Of a body that should have been refused."""


class SmallTaskJobs(SoakPart):
    """Submits jobs of small tasks, and some that must be refused."""

    def _new_id(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    def _submit(self, body: dict[str, t.Any], what: str) -> None:
        """Submit a valid job beside; it must end.

        :param what: describes the job.
        """
        job = SubmittedJob(self._new_id(), "desk", task_cpu=SMALL_TASK_CPU)
        self._soak.jobs[job.job_id] = job
        self._soak.note(f"{job.job_id} has {what}")
        text = json.dumps(body).encode()
        self._soak.spawn(self._soak.submit(job, text, self._any))

    async def _check_refused(self, job_id: str, body: bytes) -> None:
        """Submit an invalid job, which must not be accepted."""
        job = SubmittedJob(job_id, "desk")
        status, _ = await self._soak.call(job, "POST", self._any(), body)
        if status in (ACCEPTED, UNFORESEEN):
            shown = body[:MAX_SHOWN_BYTES]
            self._soak.broken.append(f"INVALID {shown!r} is answered {status}")
