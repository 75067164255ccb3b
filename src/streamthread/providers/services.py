"""The platform's other services: objects, membership and workers."""

import enum
import typing as t
from abc import ABC
from abc import abstractmethod

import attrs

__all__ = [
    "Instance",
    "InstanceStatus",
    "Membership",
    "MembershipChanges",
    "Objects",
    "Task",
    "TaskChanges",
    "TaskStart",
    "TaskState",
    "Workers",
]


class InstanceStatus(enum.Enum):
    """What the membership list says of an instance, with a lag."""

    LIVE = "live"
    LEAVING = "leaving"
    LOST = "lost"


@attrs.frozen
class Instance:
    """One machine as the platform lists it.

    ``boot`` counts its starts: it grows when the instance was rebooted.
    """

    instance_id: str
    hall: str
    rack: str
    address: str = ""
    status: InstanceStatus = InstanceStatus.LIVE
    boot: int = 1
    cores: int = 0
    memory_bytes: int = 0
    accelerators: int = 0
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class MembershipChanges:
    """What changed after a cursor; ``cursor`` is where to go on from."""

    cursor: int
    instances: tuple[Instance, ...]


class TaskState(enum.Enum):
    """What a worker reports of a task, or the platform in place of a lost worker.

    FAILED is a worker's own report that the task ended by itself without success. LOST
    is reported by the platform: the worker was lost or restarted, or let the task's
    lease expire, before it reported an end. It says nothing of the task itself.
    """

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


@attrs.frozen
class TaskStart:
    """One numbered attempt of a job, to be run by one worker.

    The platform runs a (job, attempt) pair at most once and refuses an attempt
    that is lower than one it has seen.
    """

    job_id: str
    attempt: int
    worker_id: str
    cores: int
    memory_bytes: int
    accelerators: int
    run_s: float


@attrs.frozen
class Task:
    """A task's last report."""

    job_id: str
    attempt: int
    worker_id: str
    state: TaskState
    peak_memory_bytes: int = 0


@attrs.frozen
class TaskChanges:
    """Task reports after a cursor."""

    cursor: int
    tasks: tuple[Task, ...]


class Objects(ABC):
    """The object store: whole objects by key, no transactions."""

    @abstractmethod
    async def put(self, key: str, body: bytes) -> None:
        """Store an object, replacing one of the same key."""

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return an object, or None where there is none."""

    @abstractmethod
    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix in order."""


class Membership(ABC):
    """The lagging list of live and leaving instances, read as changes."""

    @abstractmethod
    async def changes(self, cursor: int) -> MembershipChanges:
        """Return the instances that changed after ``cursor`` (0: all)."""


class Workers(ABC):
    """Runs tasks under leases, and reboots instances."""

    @abstractmethod
    async def start(self, start: TaskStart) -> None:
        """Start a task; the same attempt twice is the same task.

        :raises OutcomeUnknownError: the reply was lost.
        :raises ConflictError: a higher attempt was seen, or the worker refused.
        """

    @abstractmethod
    async def stop(self, job_id: str, attempt: int, checkpoint: bool) -> None:
        """Stop a task, after writing a checkpoint if asked to; idempotent."""

    @abstractmethod
    async def task_changes(self, cursor: int) -> TaskChanges:
        """Return the task reports after ``cursor``; they come with a lag."""

    @abstractmethod
    async def find_task(self, job_id: str, attempt: int) -> Task | None:
        """Return the report of one attempt, or None if it was never started."""

    @abstractmethod
    async def reboot(self, instance_id: str, from_boot: int) -> None:
        """Reboot an instance if it is still in the given boot; idempotent."""

    async def stop_many(self, tasks: t.Sequence[tuple[str, int]]) -> None:
        """Stop many tasks without checkpoints."""
        for job_id, attempt in tasks:
            await self.stop(job_id, attempt, checkpoint=False)
