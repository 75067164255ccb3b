"""The platform in memory: the embedded default and the heart of the stand-in."""

import typing as t

import attrs
from sortedcontainers import SortedDict

from ..changelog import ChangeLog
from ..errors import BadInputError
from ..errors import ConflictError
from ..errors import NotFoundError
from .services import Instance
from .services import InstanceStatus
from .services import Membership
from .services import MembershipChanges
from .services import Objects
from .services import Task
from .services import TaskChanges
from .services import TaskStart
from .services import TaskState
from .services import Workers
from .tables import ABSENT
from .tables import CommitOutcome
from .tables import CommitResult
from .tables import MAX_ROWS_PER_SCAN
from .tables import MAX_ROWS_PER_TRANSACTION
from .tables import Row
from .tables import Tables
from .tables import Transaction

__all__ = ["MemoryMembership", "MemoryObjects", "MemoryTables", "MemoryWorkers"]


class MemoryTables(Tables):
    """Rows in a dictionary, one commit at a time."""

    def __init__(self) -> None:
        self._rows: SortedDict[str, Row] = SortedDict()

    async def get(self, keys: t.Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``."""
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(
        self, prefix: str, after: str = "", limit: int = MAX_ROWS_PER_SCAN
    ) -> list[Row]:
        """Return one page of rows by key order."""
        page: list[Row] = []
        start = max(prefix, after)
        for key in self._rows.irange(start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(page) == limit:
                break
            page.append(self._rows[key])
        return page

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if every version it names is current."""
        if len(transaction.writes) > MAX_ROWS_PER_TRANSACTION:
            raise BadInputError(
                f"a transaction of {len(transaction.writes)} rows",
                remedy=f"write at most {MAX_ROWS_PER_TRANSACTION} rows at once",
            )
        conflicting = self._conflicting_keys(transaction)
        if conflicting:
            return CommitResult(CommitOutcome.CONFLICTED, conflicting)
        for write in transaction.writes:
            if write.value is None:
                self._rows.pop(write.key, None)
                continue
            version = write.expected_version + 1
            row = Row(write.key, write.value, version, transaction.token)
            self._rows[write.key] = row
        return CommitResult(CommitOutcome.COMMITTED)

    def _version_of(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT

    def _conflicting_keys(self, transaction: Transaction) -> tuple[str, ...]:
        expected = [(fence.key, fence.version) for fence in transaction.fences]
        expected += [
            (write.key, write.expected_version) for write in transaction.writes
        ]
        return tuple(
            key for key, version in expected if self._version_of(key) != version
        )


class MemoryObjects(Objects):
    """Objects in a dictionary."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    async def put(self, key: str, body: bytes) -> None:
        """Store an object."""
        self._objects[key] = body

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None."""
        return self._objects.get(key)

    async def list_keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix in order."""
        return sorted(key for key in self._objects if key.startswith(prefix))


class MemoryMembership(Membership):
    """A list of instances with a change number each."""

    def __init__(self) -> None:
        self._instances: ChangeLog[str, Instance] = ChangeLog()

    def put(self, instance: Instance) -> None:
        """Add an instance or replace what is known of it."""
        self._instances.put(instance.instance_id, instance)

    def find(self, instance_id: str) -> Instance:
        """Return one instance.

        :raises NotFoundError: it was never listed.
        """
        instance = self._instances.get(instance_id)
        if instance is None:
            raise NotFoundError(
                f"no instance {instance_id!r}", remedy="list them with 'get instances'"
            )
        return instance

    def all(self) -> list[Instance]:
        """Return every instance that was ever listed."""
        return self._instances.values()

    async def changes(self, cursor: int) -> MembershipChanges:
        """Return the instances that changed after ``cursor``."""
        changed = self._instances.after(cursor)
        return MembershipChanges(self._instances.cursor, tuple(changed))


class MemoryWorkers(Workers):
    """Tasks in memory; whoever owns it calls :meth:`finish` to end them."""

    def __init__(self, membership: MemoryMembership) -> None:
        self._membership = membership
        self._tasks: ChangeLog[tuple[str, int], Task] = ChangeLog()
        self._highest_attempt: dict[str, int] = {}
        self.starts = 0

    async def start(self, start: TaskStart) -> None:
        """Start a task unless this attempt was seen already."""
        if (start.job_id, start.attempt) in self._tasks:
            return
        if start.attempt <= self._highest_attempt.get(start.job_id, 0):
            raise ConflictError(
                f"attempt {start.attempt} of {start.job_id} is superseded",
                remedy="read the job's row again",
            )
        worker = self._membership.find(start.worker_id)
        if worker.status is not InstanceStatus.LIVE:
            raise ConflictError(
                f"worker {start.worker_id} is {worker.status.value}",
                remedy="place the job elsewhere",
            )
        self._highest_attempt[start.job_id] = start.attempt
        self.starts += 1
        self._report(
            Task(start.job_id, start.attempt, start.worker_id, TaskState.RUNNING)
        )

    def finish(self, job_id: str, attempt: int, state: TaskState) -> None:
        """End a running task; one that has ended keeps its state."""
        task = self._tasks.get((job_id, attempt))
        if task is not None and task.state is TaskState.RUNNING:
            self._report(attrs.evolve(task, state=state))

    async def stop(self, job_id: str, attempt: int, checkpoint: bool) -> None:
        """Stop a task."""
        self.finish(job_id, attempt, TaskState.STOPPED)

    async def task_changes(self, cursor: int) -> TaskChanges:
        """Return the reports after ``cursor``."""
        return TaskChanges(self._tasks.cursor, tuple(self._tasks.after(cursor)))

    async def find_task(self, job_id: str, attempt: int) -> Task | None:
        """Return the report of one attempt."""
        return self._tasks.get((job_id, attempt))

    async def reboot(self, instance_id: str, from_boot: int) -> None:
        """Count one more boot, at once."""
        instance = self._membership.find(instance_id)
        if instance.boot != from_boot:
            return
        self.end_tasks_on(instance_id)
        self._membership.put(
            attrs.evolve(instance, boot=from_boot + 1, status=InstanceStatus.LIVE)
        )

    def end_tasks_on(self, instance_id: str) -> None:
        """Report what runs on an instance that stops as lost with it."""
        for task in self._tasks.values():
            if task.worker_id == instance_id:
                self.finish(task.job_id, task.attempt, TaskState.LOST)

    def _report(self, task: Task) -> None:
        self._tasks.put((task.job_id, task.attempt), task)
