"""Rows of jobs: what was handed in, and how far it has come.

The first row is written at the hand-in, and anew while the job is over: once nothing
of it runs any more, its end alone is kept, so that the next holder has less to read.

The second row is rewritten at each change, so it is compact: of a step that has
begun, one number tells which tasks are done, and only tasks with something to
tell have an entry of their own.
"""

import json
import typing as t

from ..platform.callers import decode_job
from ..platform.callers import JobRequest
from .model import Attempt
from .model import Job
from .model import JobState
from .model import Phase
from .model import StepRun
from .model import Task
from .model import TaskState

__all__ = ["decode_row", "encode_definition", "encode_progress", "restore_progress"]

Json = t.Any

READ_BACK = "read-back"
"""Why a run is to be stopped that an earlier holder left: its job is over, or its task
is done."""


def encode_definition(job: Job) -> bytes:
    """Encode what was handed in; of a job that is over, how it ended and no more."""
    if job.over and not job.has_attempts():
        return _encode_ended(job)
    value: dict[str, Json] = {
        "route": job.route,
        "service": job.service,
        "accepted_at_s": job.accepted_at_s,
        "priority": job.priority,
        "max_attempts": job.max_attempts,
        "stretch": job.stretch,
        "target_s": job.target_s,
        "body": job.body.decode(),
    }
    return _dump(value)


def _dump(value: dict[str, Json]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def _encode_ended(job: Job) -> bytes:
    value = {
        "route": job.route,
        "service": job.service,
        "accepted_at_s": job.accepted_at_s,
        "ended_at_s": job.ended_at_s,
        "state": job.state.value,
    }
    return _dump(value)


def decode_row(job_id: str, value: bytes) -> Job:
    """Decode a job that has not begun, or one that is over."""
    row = json.loads(value)
    if "state" in row:
        return _decode_ended(job_id, row)
    body = row["body"].encode()
    return Job(
        job_id=job_id,
        route=row["route"],
        service=row["service"],
        request=decode_job(body),
        body=body,
        accepted_at_s=row["accepted_at_s"],
        priority=row["priority"],
        max_attempts=row["max_attempts"],
        stretch=row["stretch"],
        target_s=row["target_s"],
    )


def _decode_ended(job_id: str, row: dict[str, Json]) -> Job:
    state = JobState(row["state"])
    return Job(
        job_id=job_id,
        route=row["route"],
        service=row["service"],
        request=JobRequest("", ()),
        body=b"",
        accepted_at_s=row["accepted_at_s"],
        done_times={0} if state is JobState.COMPLETED else set(),
        begun=True,
        cancelled=state is JobState.CANCELLED,
        failed=state is JobState.FAILED,
        ended_at_s=row["ended_at_s"],
    )


def encode_progress(job: Job) -> bytes:
    """Encode how far a job has come."""
    value: dict[str, Json] = {}
    if job.cancelled:
        value["cancelled"] = True
    if job.failed:
        value["failed"] = True
    if job.begun:
        value["begun"] = True
    if job.ended_at_s is not None:
        value["ended_at_s"] = job.ended_at_s
    if job.done_times:
        value["done_times"] = sorted(job.done_times)
    times = {
        str(number): [_encode_step(step) for step in occurrence.steps]
        for number, occurrence in job.occurrences.items()
    }
    if times:
        value["times"] = times
    return _dump(value)


def _encode_step(step: StepRun) -> list[Json]:
    done = 0
    entries: list[Json] = []
    for task in step.tasks:
        if task.state is TaskState.DONE:
            done |= 1 << task.index
        if task.attempts or (task.state is not TaskState.DONE and task.last_run):
            entries.append(_encode_task(task))
    return [f"{done:x}", entries]


def _encode_task(task: Task) -> list[Json]:
    attempts = [[a.run, a.runner_id] for a in task.attempts]
    return [task.index, task.last_run, task.failures, task.checkpoint, attempts]


def restore_progress(job: Job, value: bytes) -> None:
    """Bring a job to where its row says it was.

    Attempts that were recorded may or may not have been sent: they come back as
    sent, and the runner is asked. Those of a job that is over, or of a task that is
    done, come back as to be stopped: nobody may start them any more, and the stop that
    the holder before sent may not have come.
    """
    row = json.loads(value)
    job.cancelled = row.get("cancelled", False)
    job.failed = row.get("failed", False)
    job.begun = row.get("begun", False)
    job.ended_at_s = row.get("ended_at_s")
    job.done_times = set(row.get("done_times", ()))
    for number, steps in row.get("times", {}).items():
        occurrence = job.begin(int(number))
        for step, (done, entries) in zip(occurrence.steps, steps, strict=True):
            _restore_step(step, int(done, 16), entries)


def _restore_step(step: StepRun, done: int, entries: list[Json]) -> None:
    for task in step.tasks:
        if done >> task.index & 1:
            task.state = TaskState.DONE
            step.done_count += 1
    for index, last_run, failures, checkpoint, attempts in entries:
        task = step.tasks[index]
        task.last_run = last_run
        task.failures = failures
        task.checkpoint = checkpoint
        task.attempts = [
            Attempt(task, run, runner_id, Phase.SENT, pace_percent=None)
            for run, runner_id in attempts
        ]
        if task.state is TaskState.DONE or step.occurrence.job.over:
            for attempt in task.attempts:
                attempt.be_stopped(READ_BACK)
        if task.attempts and task.state is TaskState.WAITING:
            task.state = TaskState.PLACED
