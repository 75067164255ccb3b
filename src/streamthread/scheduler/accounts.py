"""What each client account has running, and how much more it may run."""

import typing as t

import attrs

from ..platform.accounts import Limit
from ..platform.callers import StepRequest
from .model import Attempt
from .model import Job

__all__ = ["AccountUsage", "LimitSource", "Running", "may_see", "over_limit"]

LIMIT_USED_SHARE = 0.9
"""A limit counts as used from this share on: the rest is less than a job's step."""

LimitSource = t.Callable[[str], Limit | None]
"""Returns the limit on what an account may have running at once; None if unknown."""


def may_see(account: str, owner: str) -> bool:
    """Whether a caller's account may see the submissions of the account ``owner``.

    If either account is empty, access is allowed: the route needed no key, or a daemon
    or job predates client accounts, so the accounts can't be distinguished.
    """
    return not account or not owner or account == owner


@attrs.define
class Running:
    """What one account runs, or may be running, on all runners.

    :param cpu: thousandths of a core.
    :param tasks: the number of runs.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    tasks: int = 0

    def add(self, request: StepRequest, runs: int) -> None:
        """Add runs of a step; a negative count removes runs that are over."""
        self.cpu += request.cpu * runs
        self.memory_mb += request.memory_mb * runs
        self.gpu += request.gpu * runs
        self.tasks += runs

    def count_fitting(self, request: StepRequest, limit: Limit, max_count: int) -> int:
        """Return how many more runs the limit allows, at most ``max_count``."""
        count = max_count
        for used, each, whole in (
            (self.cpu, request.cpu, limit.cpu),
            (self.memory_mb, request.memory_mb, limit.memory_mb),
            (self.gpu, request.gpu, limit.gpu),
        ):
            if whole and each:
                count = min(count, (whole - used) // each)
        return max(0, count)


class AccountUsage:
    """Enforces the limit of each account over all pools and runners.

    A run counts from the moment it is planned until it is known to be over. This
    includes the time while its order is in transit, unanswered or late, while the run
    is being stopped and while its runner is silent. The next holder counts it from its
    replay on. The plan is persisted before the order is sent, so every holder of the
    cell counts all runs that may exist.
    """

    def __init__(
        self, limit_of: LimitSource, are_limits_known: t.Callable[[], bool]
    ) -> None:
        self._limit_of = limit_of
        self._are_limits_known = are_limits_known
        self.running: dict[str, Running] = {}

    def add(self, attempt: Attempt) -> None:
        """Count a run that may exist from now on."""
        self._count(attempt, 1)

    def remove(self, attempt: Attempt) -> None:
        """Stop counting a run that is over."""
        self._count(attempt, -1)

    def _count(self, attempt: Attempt, runs: int) -> None:
        step = attempt.task.step
        account = step.occurrence.job.account
        if not account:
            return
        running = self.running.setdefault(account, Running())
        running.add(step.request, runs)
        if not running.tasks:
            del self.running[account]

    def of(self, account: str) -> Running:
        """Return what an account runs or may be running."""
        return self.running.get(account) or Running()

    def limit_of(self, account: str) -> Limit | None:
        """Return an account's limit on what it may run at once; None if unknown."""
        return self._limit_of(account) if account else None

    def cpu_limit_of(self, account: str) -> float | None:
        """Return the cpu that an account may have running at once; None: no limit."""
        limit = self.limit_of(account)
        return float(limit.cpu) if limit is not None and limit.cpu else None

    def has_used_limit(self, account: str) -> bool:
        """Whether an account has nearly all the cpu running that its limit allows.

        Its further jobs wait for its own runs to end, not for machines.
        """
        limit = self.cpu_limit_of(account)
        return limit is not None and self.of(account).cpu > LIMIT_USED_SHARE * limit

    def count_fitting(self, job: Job, request: StepRequest, max_count: int) -> int:
        """Return how many more runs of a job's step its account may have.

        There are none until the limits are known: a new holder may read the jobs before
        the configuration.
        """
        if job.account and not self._are_limits_known():
            return 0
        limit = self.limit_of(job.account)
        if limit is None:
            return max_count
        return self.of(job.account).count_fitting(request, limit, max_count)


def over_limit(job: Job, limit: Limit | None) -> str:
    """Return why a job can never run under its account's limit, or an empty string.

    A gang runs as a whole, any other task on its own.
    """
    if limit is None:
        return ""
    for number, step in enumerate(job.request.steps):
        count = step.count if step.gang else 1
        if step.count and not limit.allows(
            step.cpu * count, step.memory_mb * count, step.gpu * count
        ):
            what = "a gang" if step.gang else "a task"
            return f"{what} of step {number} is over the limit of its account"
    return ""
