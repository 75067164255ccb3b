"""Says where each task of a job is, and why."""

import json
import typing as t

from ..cell import cell_pb2 as pb
from ..holder import Holder
from ..scheduler import Job
from ..scheduler import StepRun
from ..scheduler import Task
from ..scheduler import TaskState
from .account_report import describe_accounts
from .account_report import describe_limit

__all__ = ["answer_question", "describe_holder", "explain_job"]

Json = dict[str, t.Any]


def explain_job(holder: Holder, job_id: str) -> Json | None:
    """Return what the holder knows of a job, or None where there is none."""
    job = holder.engine.jobs.get(job_id)
    if job is None:
        return None
    return {
        "job": job.job_id,
        "state": job.state.value,
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
        {"task": task.name, "state": task.state.value, "why": _why(holder, step, task)}
        for occurrence in job.occurrences.values()
        for step in occurrence.steps
        for task in step.tasks
        if task.state is not TaskState.DONE
    ]


def _why(holder: Holder, step: StepRun, task: Task) -> str:
    if task.attempts:
        return "; ".join(
            f"run {a.run} on {a.runner_id}: {a.phase.value}"
            + (f" ({a.stop_reason})" if a.stop_reason else "")
            for a in task.attempts
        )
    earlier = step.blocked_by()
    if earlier:
        return f"waits for steps {earlier}"
    job, request = step.occurrence.job, step.request
    accounts = holder.engine.accounts
    if not accounts.count_fitting(job, request, 1):
        return _account_limit(holder, job.account)
    pool = job.service
    runners = [r for r in holder.engine.runners.values() if r.service == pool]
    usable = [r for r in runners if r.usable()]
    fitting = [r for r in usable if r.fits(request.cpu, request.memory_mb, request.gpu)]
    return (
        f"waits for room: {len(runners)} runners in {pool}, {len(usable)} usable, "
        f"{len(fitting)} with room for one task; failed {task.failures} times"
    )


def _account_limit(holder: Holder, account: str) -> str:
    running = holder.engine.accounts.of(account)
    limit = describe_limit(holder.admission.limit_of(account))
    return (
        f"waits for the limit of account {account}: cpu {running.cpu}, memory_mb "
        f"{running.memory_mb} and gpu {running.gpu} run of {limit} in version "
        f"{holder.admission.version}"
    )


def describe_holder(holder: Holder) -> list[Json]:
    """Return a row a runner: what it has, and whether it answers."""
    return [
        {
            "runner": runner.runner_id,
            "pool": runner.service,
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
    holder: Holder | None, request: pb.ExplainRequest
) -> pb.ExplainReply:
    """Answer a question as the holder; an empty answer where there is nothing."""
    value: t.Any = None
    if holder is not None and request.kind == "job":
        value = explain_job(holder, request.name)
    elif holder is not None and request.kind == "accounts":
        value = describe_accounts(holder)
    elif holder is not None:
        value = describe_holder(holder)
    return pb.ExplainReply(text_json=json.dumps(value))
