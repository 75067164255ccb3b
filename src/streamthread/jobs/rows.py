"""Jobs and their numbered attempts, as kept in table rows."""

import enum

import attrs

from ..configuration.items import at_least
from ..configuration.items import is_selector

__all__ = ["Job", "JobSpec", "JobState", "job_key"]


class JobState(enum.Enum):
    """Where a job stands.

    STARTED means that its present attempt may be running: the row says so
    before the task is started.
    """

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"


FINAL_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.PARKED}
)


@attrs.frozen
class JobSpec:
    """What an operator submits.

    :param job_id: chosen by the submitter; the same id twice is the same job.
    :param run_s: the declared run time.
    :param repeat_safe: whether another attempt may follow a failed or lost one.
    :param urgent: may push aside jobs that are not urgent.
    """

    job_id: str
    pool: str
    team: str
    cores: int = attrs.field(validator=at_least(1))
    memory_bytes: int = attrs.field(validator=at_least(0))
    run_s: float = attrs.field(validator=at_least(0))
    repeat_safe: bool
    accelerators: int = attrs.field(default=0, validator=at_least(0))
    urgent: bool = False
    selector: str = attrs.field(default="", validator=is_selector)


@attrs.frozen
class Job:
    """A job's row.

    :param attempt: the number of the latest attempt; 0 before the first.
    :param worker_id: where the latest attempt runs or ran.
    :param failed_on: the distinct workers that it failed on.
    :param submitted_ms: wall time of the submission, which orders the queue.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: int = 0
    worker_id: str = ""
    reason: str = ""
    failed_on: tuple[str, ...] = ()
    submitted_ms: int = 0

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen to it."""
        return self.state in FINAL_STATES


def job_key(pool: str, job_id: str) -> str:
    """Return the key of a job's row."""
    return f"job/{pool}/{job_id}"
