"""Explains to operators where each task of a job is, and why."""

import json
import typing as t

from ..cell import cell_pb2 as pb
from ..clocks import boot_s
from ..halls import HallRegistry
from ..holder import Holder
from ..scheduler import Job
from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..scheduler import Task
from ..scheduler import TaskState
from .account_report import describe_accounts
from .account_report import describe_limit
from .hall_report import describe_halls

__all__ = ["answer_question", "describe_runners", "explain_job"]

Json = dict[str, t.Any]


def explain_job(holder: Holder, job_id: str) -> Json | None:
    """Return what the holder knows of a job, or None if it has no such job."""
    job = holder.engine.jobs.get(job_id)
    if job is None:
        return None
    return {
        "job": job.job_id,
        "state": job.state.value,
        "failure": job.failure.value if job.failure is not None else None,
        "route": job.route,
        "pool": job.service,
        "account": job.account,
        "accepted_at_s": round(job.accepted_at_s, 3),
        "ended_at_s": job.ended_at_s,
        "durable": job.durable,
        "tasks": _tasks(holder, job),
    }


def _tasks(holder: Holder, job: Job) -> list[Json]:
    return [
        {
            "task": task.name,
            "state": task.state.value,
            "why": _explain_task(holder, step, task),
        }
        for occurrence in job.occurrences.values()
        for step in occurrence.steps
        for task in step.tasks
        if task.state is not TaskState.DONE
    ]


def _explain_task(holder: Holder, step: StepRun, task: Task) -> str:
    if task.attempts:
        return "; ".join(
            f"run {a.run} on {a.runner_id}: {a.phase.value}"
            + (f" ({a.stop_reason})" if a.stop_reason else "")
            for a in task.attempts
        )
    if task.state is TaskState.QUARANTINED:
        left_s = max(0.0, task.quarantined_until_s - boot_s())
        return (
            f"in quarantine for {left_s:.0f} s: {task.crashes} runners exited as it "
            f"started, {task.later_ends} later ({task.late_crashes} soon after it)"
        )
    blocking = step.blocked_by()
    if blocking:
        return f"waits for steps {blocking}"
    job, request = step.occurrence.job, step.request
    accounts = holder.engine.accounts
    if not accounts.count_fitting(job, request, 1):
        return _account_limit(holder, job.account)
    if not holder.engine.halls.are_known():
        return "waits until the operator's evacuations are known"
    pool = job.service
    runners = [r for r in holder.engine.runners.values() if r.service == pool]
    usable = [r for r in runners if r.usable()]
    fitting = [r for r in usable if r.fits(request.cpu, request.memory_mb, request.gpu)]
    return (
        f"waits for free capacity: {len(runners)} runners in {pool}, "
        f"{len(usable)} usable, {len(fitting)} with capacity for one task; "
        f"failed {task.failures} times" + _closed_halls(holder, runners)
    )


def _closed_halls(holder: Holder, runners: t.Iterable[RunnerState]) -> str:
    """Return which halls of these runners may not be used, and why."""
    halls = holder.engine.halls
    closed = sorted({r.zone for r in runners if not halls.may_start(r.zone)})
    return "".join(f"; hall {hall} is {halls.state(hall).value}" for hall in closed)


def _account_limit(holder: Holder, account: str) -> str:
    running = holder.engine.accounts.of(account)
    limit = describe_limit(holder.admission.limit_of(account))
    return (
        f"waits for the limit of account {account}: cpu {running.cpu}, memory_mb "
        f"{running.memory_mb} and gpu {running.gpu} run of {limit} in version "
        f"{holder.admission.version}"
    )


def describe_runners(holder: Holder) -> list[Json]:
    """Return a row per runner: its state, its runs and its free cpu."""
    return [
        {
            "runner": runner.runner_id,
            "pool": runner.service,
            "hall": runner.zone,
            "machine": runner.machine_id,
            "born_ms": runner.born_ms,
            "ready": runner.ready,
            "draining": runner.draining,
            "emptying": runner.emptying,
            "runs": len(runner.attempts),
            "free_cpu": runner.free_cpu,
        }
        for runner in holder.engine.runners.values()
    ]


def answer_question(
    holder: Holder | None, halls: HallRegistry, request: pb.ExplainRequest
) -> pb.ExplainReply:
    """Answer a question as the holder; the answer is null if nothing is known."""
    value: t.Any = None
    if holder is not None and request.kind == "job":
        value = explain_job(holder, request.name)
    elif holder is not None and request.kind == "accounts":
        value = describe_accounts(holder)
    elif holder is not None and request.kind == "halls":
        value = describe_halls(holder, halls)
    elif holder is not None:
        value = describe_runners(holder)
    return pb.ExplainReply(text_json=json.dumps(value))
