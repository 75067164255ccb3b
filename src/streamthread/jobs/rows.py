"""Defines jobs and their numbered attempts, as persisted in table rows."""

import enum

import attrs

from ..configuration.items import at_least
from ..configuration.items import is_selector

__all__ = ["Job", "JobSpec", "JobState", "job_key"]


class JobState(enum.Enum):
    """Represents the state of a job.

    STARTED means that the current attempt may be running, because the row is committed
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
    """Describes a job as an operator submits it.

    :param job_id: chosen by the submitter. Submissions with the same id are the same
        job.
    :param run_s: the declared run time in seconds.
    :param repeat_safe: whether the job may be attempted again after a failed or lost
        attempt.
    :param urgent: whether the job may preempt jobs that are not urgent.
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
    """Represents a job's row.

    :param attempt: the number of the latest attempt, or 0 before the first.
    :param worker_id: the worker on which the latest attempt runs or ran.
    :param reason: why the job is in its state, or what a queued job waits for.
    :param own_failures_on: the distinct workers that reported an attempt as failed.
        Rows of an earlier version have ``failed_on`` instead, which counts lost workers
        as well and is not read.
    :param lost_attempts: the number of attempts that were lost with their workers.
    :param lost_with: the workers of the latest losses, the latest one last.
    :param started_ms: when the latest attempt was decided on, by the hybrid clock.
    :param submitted_ms: the wall-clock time of the submission, which orders the queue.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: int = 0
    worker_id: str = ""
    reason: str = ""
    own_failures_on: tuple[str, ...] = ()
    lost_attempts: int = 0
    lost_with: tuple[str, ...] = ()
    started_ms: int = 0
    submitted_ms: int = 0

    @property
    def suspect(self) -> bool:
        """Return whether the job may have harmed a worker on which it ran."""
        return bool(self.own_failures_on or self.lost_attempts)

    @property
    def ended(self) -> bool:
        """Return whether the job is in a final state."""
        return self.state in FINAL_STATES


def job_key(pool: str, job_id: str) -> str:
    """Return the key of a job's row."""
    return f"job/{pool}/{job_id}"
