"""The states of jobs, tasks and attempts."""

import enum

__all__ = ["JobState", "Phase", "TaskState"]


class JobState(enum.Enum):
    """The state of a job as reported to callers; the values are on the wire."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.Enum):
    """The state of a task."""

    WAITING = "waiting"
    PLACED = "placed"
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
