"""Encodes and decodes the rows of a job's progress.

They are rewritten at each change, so they are compact: one number encodes which tasks
are done, and only tasks with more state than that have an entry of their own. The
progress of a small job is one row. That of a large one is divided into chunks of
consecutive tasks, and a change rewrites only the chunks that it concerns; the job's
first row then holds what concerns the job as a whole.
"""

import json
import typing as t

import logbook
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder
from ..decoding import OWN_ROW_REMEDY
from ..errors import UnreadableError
from .chunks import Chunk
from .intervals import IntervalSet
from .model import Attempt
from .model import FailureCause
from .model import Job
from .model import Occurrence
from .model import Phase
from .model import StepRun
from .model import Task
from .model import TaskState

__all__ = ["encode_chunk", "encode_progress", "restore_progress"]

log = logbook.Logger("streamthread.scheduler")

Json = t.Any

READ_BACK = "read-back"
"""The reason for stopping a run that an earlier holder left: its job is over, its task
is done, or a runner exit has been attributed to it."""

IN_CHUNKS: t.Literal["chunks"] = "chunks"
"""Stands in a job's first row in place of its occurrences if these are in chunks. An
earlier version can't read it, and leaves such a job alone."""

NO_LIMIT = 2**31
"""Size in bytes of a row that is not stored."""


class _AttemptRow(msgspec.Struct, array_like=True):
    run: Count
    runner_id: str
    born_ms: Count | None = None
    blamed: bool = False
    cleared: bool = False
    machine_id: str = ""


class _TaskRow(msgspec.Struct, array_like=True):
    index: Count
    last_run: Count
    failures: Count
    checkpoint: str
    attempts: list[_AttemptRow]
    crashes: Count = 0
    later_ends: Count = 0
    crashes_runners: bool = False
    observed_crashes: Count = 0
    late_crashes: Count = 0


class _TasksRow(msgspec.Struct, array_like=True):
    """Consecutive tasks, of one step or of one chunk.

    ``done`` is a hexadecimal number in which bit N stands for the Nth of these tasks.
    """

    done: t.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]+\Z")]
    tasks: list[_TaskRow]


class _ProgressRow(msgspec.Struct):
    cancelled: bool = False
    failed: bool = False
    failure: str = ""
    begun: bool = False
    ended_at_s: Amount | None = None
    done_times: list[Count] = []
    done_intervals: list[tuple[Count, Count]] = []
    times: dict[int, list[_TasksRow]] | t.Literal["chunks"] = {}


_PROGRESS = Decoder[_ProgressRow](_ProgressRow, remedy=OWN_ROW_REMEDY)
_CHUNKS = Decoder[_TasksRow](_TasksRow, remedy=OWN_ROW_REMEDY)


# Encoding.


def encode_progress(job: Job, max_bytes: int = NO_LIMIT) -> bytes:
    """Encode a job's progress, without its tasks if these are in chunks.

    :param max_bytes: if the row would be larger, it contains no checkpoints.
    """
    value: dict[str, Json] = {}
    if job.cancelled:
        value["cancelled"] = True
    if job.failure is not None:
        value["failed"] = True
        value["failure"] = job.failure.value
    if job.begun:
        value["begun"] = True
    if job.ended_at_s is not None:
        value["ended_at_s"] = job.ended_at_s
    if job.chunked:
        value["done_intervals"] = job.done_times.intervals
        return _dump(value | {"times": IN_CHUNKS})
    if job.done_times:
        value["done_times"] = list(job.done_times)

    def encode(with_checkpoints: bool) -> bytes:
        times = {
            str(number): [
                _encode_tasks(step.tasks, with_checkpoints) for step in occurrence.steps
            ]
            for number, occurrence in job.occurrences.items()
        }
        return _dump(value | {"times": times} if times else value)

    return _fit(encode, job.job_id, max_bytes)


def encode_chunk(
    occurrence: Occurrence, chunk: Chunk, max_bytes: int = NO_LIMIT
) -> bytes:
    """Encode the progress of consecutive tasks of an occurrence.

    :param max_bytes: if the row would be larger, it contains no checkpoints.
    """
    tasks = occurrence.tasks[chunk.positions]

    def encode(with_checkpoints: bool) -> bytes:
        return _dump(_encode_tasks(tasks, with_checkpoints))

    return _fit(encode, chunk.key(occurrence.job.job_id), max_bytes)


def _dump(value: Json) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _fit(encode: t.Callable[[bool], bytes], key: str, max_bytes: int) -> bytes:
    """Return a row with its checkpoints if it is small enough.

    Without a checkpoint, a task starts from the beginning.
    """
    value = encode(True)
    if len(value) <= max_bytes:
        return value
    log.warning("checkpoints-omitted", extra={"key": key, "size_bytes": len(value)})
    return encode(False)


def _encode_tasks(tasks: t.Sequence[Task], with_checkpoints: bool) -> list[Json]:
    done = 0
    entries: list[Json] = []
    for position, task in enumerate(tasks):
        if task.state is TaskState.DONE:
            done |= 1 << position
        if task.attempts or (task.state is not TaskState.DONE and task.last_run):
            entries.append(_encode_task(position, task, with_checkpoints))
    return [f"{done:x}", entries]


def _encode_task(position: int, task: Task, with_checkpoints: bool) -> list[Json]:
    attempts = [_encode_attempt(attempt) for attempt in task.attempts]
    checkpoint = task.checkpoint if with_checkpoints else ""
    row = [position, task.last_run, task.failures, checkpoint, attempts]
    exits = [
        task.crashes,
        task.later_ends,
        task.crashes_runners,
        task.observed_crashes,
        task.late_crashes,
    ]
    return [*row, *_without_trailing_zeros(exits)]


def _encode_attempt(attempt: Attempt) -> list[Json]:
    row: list[Json] = [attempt.run, attempt.runner_id]
    machine_id = attempt.machine_id if attempt.task.step.request.lasting else ""
    marks = _without_trailing_zeros([attempt.blamed, attempt.cleared, machine_id])
    if not marks and attempt.born_ms is None:
        return row
    return [*row, attempt.born_ms, *marks]


def _without_trailing_zeros(values: t.Sequence[Json]) -> list[Json]:
    """Omit what nearly all tasks and attempts have in common: 2 bytes of some 30."""
    kept = list(values)
    while kept and not kept[-1]:
        kept.pop()
    return kept


# Decoding.


def restore_progress(
    job: Job, value: bytes, chunks: t.Mapping[Chunk, bytes] | None = None
) -> None:
    """Restore a job to the progress in its rows.

    The start of a persisted attempt may or may not have been sent: the attempt is
    restored as sent, and the runner is asked. Attempts of a job that is over or a task
    that is done, and those with an attributed runner exit, are restored as to be
    stopped: they must not be started any more, and a stop from the previous holder may
    not have arrived.

    An earlier version kept all tasks of a large job in its first row. Those are
    restored as well, unless a chunk that was written since contains them, and count as
    changed, so that they are written as chunks.

    :param chunks: the rows of the job's chunks.
    :raises UnreadableError: a row can't be read or does not match this job.
    """
    chunks = chunks or {}
    row = _PROGRESS.decode(value, job.job_id)
    job.cancelled = row.cancelled
    job.failure = FailureCause.parse(row.failure) if row.failed else None
    job.begun = row.begun
    job.ended_at_s = row.ended_at_s
    job.done_times = _done_times(job, row)
    times = row.times if isinstance(row.times, dict) else {}
    for number, steps in times.items():
        _restore_steps(job, number, steps, chunks)
    for chunk in sorted(chunks):
        _restore_chunk(job, chunk, chunks[chunk])
    _complete_done_occurrences(job)
    job.changed_chunks.clear()
    if times and job.chunked:
        _note_all_changed(job)


def _done_times(job: Job, row: _ProgressRow) -> IntervalSet:
    if not row.done_intervals:
        return IntervalSet(row.done_times)
    try:
        return IntervalSet.of_intervals(row.done_intervals)
    except ValueError as error:
        raise _PROGRESS.refuse_at("$.done_intervals", str(error), job.job_id) from error


def _progress_mismatch(job: Job, number: int, message: str) -> UnreadableError:
    """Return the error for progress that does not match its job."""
    return _PROGRESS.refuse_at(f"$.times[{number}]", message, job.job_id)


def _restore_steps(
    job: Job, number: int, rows: t.Sequence[_TasksRow], chunks: t.Container[Chunk]
) -> None:
    """Restore the tasks of one occurrence, except for those in chunks."""
    if len(rows) != len(job.request.steps):
        raise _progress_mismatch(job, number, "has a different number of steps")
    occurrence = job.begin(number)
    for step, row in zip(occurrence.steps, rows, strict=True):

        def is_in_chunk(index: int, step: StepRun = step) -> bool:
            return Chunk.at(number, step.first_position + index) in chunks

        _restore_tasks(job, number, step.tasks, row, is_in_chunk)


def _restore_chunk(job: Job, chunk: Chunk, value: bytes) -> None:
    number = chunk.occurrence
    if number >= job.times:
        raise _progress_mismatch(job, number, "is an occurrence that does not exist")
    occurrence = job.occurrences.get(number) or job.begin(number)
    row = _CHUNKS.decode(value, chunk.key(job.job_id))
    tasks = occurrence.tasks[chunk.positions]
    _restore_tasks(job, number, tasks, row)


def _restore_tasks(
    job: Job,
    number: int,
    tasks: t.Sequence[Task],
    row: _TasksRow,
    is_omitted: t.Callable[[int], bool] = lambda position: False,
) -> None:
    """Restore consecutive tasks from their row, except for those that are omitted."""
    done = int(row.done, 16)
    if done >> len(tasks) or any(entry.index >= len(tasks) for entry in row.tasks):
        raise _progress_mismatch(job, number, "refers to tasks that do not exist")
    for position, task in enumerate(tasks):
        if done >> position & 1 and not is_omitted(position):
            _mark_done(task)
    for entry in row.tasks:
        if not is_omitted(entry.index):
            _restore_task(tasks[entry.index], entry, job.over)


def _mark_done(task: Task) -> None:
    if task.state is not TaskState.DONE:
        task.state = TaskState.DONE
        task.step.done_count += 1


def _restore_task(task: Task, row: _TaskRow, job_over: bool) -> None:
    task.last_run = row.last_run
    task.failures = row.failures
    task.checkpoint = row.checkpoint
    task.crashes = row.crashes
    task.later_ends = row.later_ends
    task.crashes_runners = row.crashes_runners
    task.observed_crashes = row.observed_crashes
    task.late_crashes = row.late_crashes
    task.on_probation = task.lost_runners > 0
    task.attempts = [
        Attempt(
            task,
            a.run,
            a.runner_id,
            Phase.SENT,
            born_ms=a.born_ms,
            machine_id=a.machine_id,
            read_back=True,
            blamed=a.blamed,
            cleared=a.cleared,
            pace_percent=None,
        )
        for a in row.attempts
    ]
    for attempt in task.attempts:
        if attempt.blamed or task.state is TaskState.DONE or job_over:
            attempt.mark_stopping(READ_BACK)
    if task.attempts and task.state is TaskState.WAITING:
        task.state = TaskState.PLACED


def _complete_done_occurrences(job: Job) -> None:
    """Mark the tasks of done occurrences as done, and drop those without a run.

    Their chunks are deleted one by one, so that the rows of some tasks may be gone.
    """
    for number in [n for n in job.occurrences if n in job.done_times]:
        occurrence = job.occurrences[number]
        for task in occurrence.tasks:
            _mark_done(task)
            for attempt in task.attempts:
                if attempt.stop is None:
                    attempt.mark_stopping(READ_BACK)
        if not any(task.attempts for task in occurrence.tasks):
            del job.occurrences[number]


def _note_all_changed(job: Job) -> None:
    for occurrence in job.occurrences.values():
        for task in occurrence.tasks:
            if task.last_run or task.state is TaskState.DONE:
                task.note_changed()
