"""Reports on client accounts for operators."""

import collections
import time
import typing as t

from ..holder import Holder
from ..platform.accounts import Limit
from ..scheduler import Job
from ..scheduler.accounts import Running
from ..scheduler.shares import JobCounts

__all__ = [
    "MAX_ACCOUNTS",
    "OTHER_ACCOUNTS",
    "AccountCounts",
    "describe_accounts",
]

Json = dict[str, t.Any]

MAX_ACCOUNTS = 1000
"""Limit on accounts with their own counters: 950 teams are planned. Each account has
a few counters."""

OTHER_ACCOUNTS = "other accounts"
"""The name under which answers to all further accounts are counted."""


class AccountCounts:
    """Counts the answers to callers, by account and status.

    :param counts: the number of answers, by account and status.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, int], int] = {}
        self._known: set[str] = set()

    def add(self, account: str, status: int) -> None:
        """Count an answer to a caller of an account."""
        if not account:
            return
        if account not in self._known and len(self._known) >= MAX_ACCOUNTS:
            account = OTHER_ACCOUNTS
        self._known.add(account)
        key = (account, status)
        self.counts[key] = self.counts.get(key, 0) + 1


def describe_accounts(holder: Holder) -> list[Json]:
    """Return a row per account: its share, its limit, its running and waiting work.

    ``served`` is in seconds of a whole pool and forgets within some seconds; jobs are
    counted as far as this holder has accepted or read them.
    """
    open_jobs: dict[str, list[Job]] = collections.defaultdict(list)
    for job in holder.engine.open_jobs():
        open_jobs[job.account].append(job)
    manifest = holder.admission.manifest
    known = manifest.accounts if manifest is not None else {}
    shares = holder.engine.shares
    served = shares.served(time.time())
    names = sorted({*known, *holder.engine.accounts.running, *open_jobs} - {""})
    return [
        {
            "account": name,
            "share": known[name].share if name in known else 0.0,
            "running": _describe_running(holder.engine.accounts.of(name)),
            "maximum": describe_limit(holder.admission.limit_of(name)),
            "version": holder.admission.version,
            "open_jobs": len(open_jobs[name]),
            "waiting_tasks": sum(map(_waiting_tasks, open_jobs[name])),
            "refused": holder.intake.refused.get(name, 0),
            "refused_overload": holder.intake.refused_overload.get(name, 0),
            "served": round(served.get(name, 0.0), 4),
            "jobs_within": shares.counts.get(name, JobCounts()).within,
            "jobs_excess": shares.counts.get(name, JobCounts()).excess,
        }
        for name in names
    ]


def _describe_running(running: Running) -> Json:
    return {
        "cpu": running.cpu,
        "memory_mb": running.memory_mb,
        "gpu": running.gpu,
        "tasks": running.tasks,
    }


def describe_limit(limit: Limit | None) -> Json:
    """Return the limits of an account, without the resources that have no limit."""
    if limit is None:
        return {}
    limits = {"cpu": limit.cpu, "memory_mb": limit.memory_mb, "gpu": limit.gpu}
    return {name: value for name, value in limits.items() if value}


def _waiting_tasks(job: Job) -> int:
    if job.over:
        return 0
    return sum(
        len(step.waiting())
        for occurrence in job.occurrences.values()
        for step in occurrence.ready_steps()
    )
