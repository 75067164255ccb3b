"""The states of jobs, tasks and attempts, and the identity of a runner."""

import enum

import attrs

__all__ = [
    "FailureCause",
    "JobState",
    "Phase",
    "RunnerIncarnation",
    "Stop",
    "TaskState",
]


class JobState(enum.Enum):
    """The state of a job as reported to callers; the values are on the wire."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class FailureCause(enum.Enum):
    """Why a job has failed; the values are in rows, logs and metrics.

    Nothing else fails a job. In particular, a run that is lost with its runner has not
    failed.
    """

    ATTEMPTS = "attempts"
    """The runs of one of its tasks ended as failed as often as its queue allows."""
    NOT_STORABLE = "not-storable"
    """The store never takes one of the job's rows."""
    NOT_RECORDED = "not-recorded"
    """The version that failed the job did not record why."""

    @classmethod
    def parse(cls, value: str) -> "FailureCause":
        """Return a recorded cause; one that this version does not know is lost."""
        try:
            return cls(value)
        except ValueError:
            return cls.NOT_RECORDED


class TaskState(enum.Enum):
    """The state of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    QUARANTINED = "quarantined"
    """It gets no run for a while, since its starts seem to crash runners."""
    DONE = "done"
    FAILED = "failed"


class Phase(enum.Enum):
    """The phase of an attempt."""

    PLANNED = "planned"
    """Placed, but not yet persisted."""
    SENT = "sent"
    """Persisted. The start was sent or may have been sent; its outcome is unknown."""
    CONFIRMED = "confirmed"
    """The runner has confirmed that it has the run."""
    STOPPING = "stopping"
    """To be stopped. It uses resources until the runner lists it as ended."""


@attrs.frozen
class RunnerIncarnation:
    """One incarnation of a runner.

    What a runner did in one incarnation says nothing about another one under the same
    id.
    """

    runner_id: str
    born_ms: int | None = None


@attrs.define(eq=False)
class Stop:
    """The stop of one run.

    :param since_s: boot clock time at which this holder decided to stop the run.
    :param under_way: the stop is queued, or is being sent until the runner answers.
    :param uncertain: a stop order got no answer and may be carried out seconds later.
    :param answered_ms: the runner's clock when it last accepted the stop; 0 if it has
        not yet.
    """

    reason: str
    since_s: float
    under_way: bool = False
    uncertain: bool = False
    answered_ms: int = 0
