"""The shares of client accounts: which jobs are excess, and what each was served."""

import collections
import math
import typing as t

import attrs

from .fleet import RunnerState
from .learning import learning_key
from .learning import RunTimes
from .model import Job
from .model import Task
from .model import TaskState
from .overload import Standing

__all__ = ["JobCounts", "Shares", "WeightSource"]

WeightSource = t.Callable[[], t.Mapping[str, float] | None]
"""Returns the weight of each account in the newest configuration; None if no
configuration has been read yet."""

WINDOW_S = 1.0
"""The promise of an account is a number of jobs in any second."""

SERVED_DECAY_S = 4.0
"""What an account was served loses all but 1/e of its effect in this time. The longest
jobs take about as long, so that an account whose flood is over is soon served as any
other one."""

SERVED_NEGLIGIBLE = 1e-4
"""An account is forgotten once it was served less than this many pool-seconds."""


@attrs.define
class JobCounts:
    """How many jobs of an account this holder has accepted or read."""

    within: int = 0
    excess: int = 0


@attrs.define
class _Served:
    amount: float
    at_s: float

    def value(self, now_s: float) -> float:
        """Return the amount as it counts now; a clock that went back changes none."""
        return self.amount * math.exp(-max(0.0, now_s - self.at_s) / SERVED_DECAY_S)


class Shares:
    """Marks excess jobs, and tracks what each account was served.

    The state is soft. The next holder rebuilds it from the jobs that it reads, in the
    order of their acceptance, so that a change of holder neither forgives a flood nor
    punishes an account. All times are wall times, which holders have in common.

    A job without an account is within the weights, since its route promises nothing to
    anyone; such jobs together have the mean weight. An account that is not in the
    newest configuration has no weight: all that is accepted of it is excess.

    :param counts: the accepted jobs, by account.
    """

    def __init__(self, weights: WeightSource) -> None:
        self._weights_now = weights
        self._weights: t.Mapping[str, float] | None = None
        self._mean_weight = 0.0
        self._known_weights: dict[str, float] = {}
        self._within: dict[str, collections.deque[float]] = {}
        self._served: dict[str, _Served] = {}
        self._rebuilt: set[str] = set()
        # Jobs that were read before the configuration.
        self._unmarked: list[Job] = []
        self.counts: dict[str, JobCounts] = {}

    @property
    def in_force(self) -> bool:
        """Whether the newest configuration gives some account a weight above 0."""
        weights = self._weights_now()
        if weights is not self._weights:
            self._weights = weights
            positive = [weight for weight in (weights or {}).values() if weight > 0]
            self._mean_weight = sum(positive) / len(positive) if positive else 0.0
            self._known_weights = {**(weights or {}), "": self._mean_weight}
            if weights is not None:
                self._mark_unmarked()
        return self._mean_weight > 0

    def weight_of(self, account: str) -> float:
        """Return the weight of an account; 0 if it has none."""
        return self._known_weights.get(account, 0.0) if self.in_force else 0.0

    def standing(self, now_s: float) -> Standing:
        """Return what each account was served, and its weight."""
        weights = self._known_weights if self.in_force else {}
        return Standing(weights, self.served(now_s))

    # Excess.

    def accept(self, job: Job) -> None:
        """Mark a job as excess or not, and count it; jobs come in accepted order."""
        if self._weights_now() is None:
            self._unmarked.append(job)
            return
        self._mark_unmarked()
        self._mark(job)

    def _mark_unmarked(self) -> None:
        unmarked, self._unmarked = self._unmarked, []
        for job in sorted(unmarked, key=lambda job: job.accepted_at_s):
            self._mark(job)

    def _mark(self, job: Job) -> None:
        if not self.in_force or not job.account:
            return
        job.excess = self.would_exceed(job.account, job.accepted_at_s)
        counts = self.counts.setdefault(job.account, JobCounts())
        if job.excess:
            counts.excess += 1
            return
        counts.within += 1
        window = self._within.setdefault(job.account, collections.deque())
        window.append(job.accepted_at_s)

    def would_exceed(self, account: str, at_s: float) -> bool:
        """Whether one more job of an account, at a wall time, would be excess.

        Only jobs within the weight fill the window. An account that floods thus keeps
        what it is promised.
        """
        self._mark_unmarked()
        if not self.in_force or not account:
            return False
        weight = self.weight_of(account)
        if weight <= 0:
            return True
        window_s = max(WINDOW_S, 1 / weight)
        window = self._within.get(account, ())
        # Times ahead come from a clock that went back since.
        recent = collections.deque(s for s in window if at_s - window_s < s <= at_s)
        if window:
            self._within[account] = recent
        return len(recent) + 1 > max(1.0, weight * window_s)

    def withdraw(self, job: Job) -> None:
        """Stop counting a job that was not accepted after all."""
        if job in self._unmarked:
            self._unmarked.remove(job)
        window = self._within.get(job.account)
        if window and not job.excess and job.accepted_at_s in window:
            window.remove(job.accepted_at_s)

    # What was served.

    def served(self, now_s: float) -> dict[str, float]:
        """Return what each account was served, and forget what no longer counts.

        The unit is a second of a whole pool, by the resource of which a task takes the
        largest part.
        """
        values = {name: served.value(now_s) for name, served in self._served.items()}
        for name, value in values.items():
            if value < SERVED_NEGLIGIBLE:
                del self._served[name]
        return {n: value for n, value in values.items() if value >= SERVED_NEGLIGIBLE}

    def charge(
        self,
        tasks: t.Iterable[Task],
        runners: t.Sequence[RunnerState],
        times: RunTimes,
        now_s: float,
    ) -> None:
        """Add tasks that were placed on a pool's runners."""
        totals = _Totals.of(runners)
        for task in tasks:
            self._add(task, totals, times, now_s, now_s)

    def rebuild(
        self,
        service: str,
        jobs: t.Iterable[Job],
        runners: t.Sequence[RunnerState],
        times: RunTimes,
        now_s: float,
    ) -> None:
        """Add what an earlier holder served of a pool's open jobs; only once.

        What is known of the pool's size right after a change of holder scales the
        amounts of all of its accounts alike.
        """
        if service in self._rebuilt or not runners:
            return
        self._rebuilt.add(service)
        totals = _Totals.of(runners)
        for job in jobs:
            for occurrence in job.occurrences.values():
                for step in occurrence.steps:
                    for task in step.tasks:
                        if _was_served(task):
                            began_s = occurrence.due_at_s
                            self._add(task, totals, times, began_s, now_s)

    def _add(
        self,
        task: Task,
        totals: "_Totals",
        times: RunTimes,
        began_s: float,
        now_s: float,
    ) -> None:
        step = task.step
        if step.request.lasting:
            return
        account = step.occurrence.job.account
        run_s = times.expect_s(learning_key(step), step.request.estimate_ms)
        amount = _Served(totals.dominant_share(task) * run_s, began_s).value(now_s)
        before = self._served.get(account)
        if before is not None:
            amount += before.value(now_s)
        self._served[account] = _Served(amount, now_s)


def _was_served(task: Task) -> bool:
    """Whether an earlier holder has run a task or was running it."""
    if task.state is TaskState.DONE:
        return True
    return any(attempt.read_back for attempt in task.attempts)


@attrs.frozen
class _Totals:
    """The resources of a pool."""

    cpu: int
    memory_mb: int
    gpu: int

    @classmethod
    def of(cls, runners: t.Iterable[RunnerState]) -> "_Totals":
        """Return the sums over runners."""
        cpu = memory_mb = gpu = 0
        for runner in runners:
            cpu += runner.cpu
            memory_mb += runner.memory_mb
            gpu += runner.gpu
        return cls(cpu, memory_mb, gpu)

    def dominant_share(self, task: Task) -> float:
        """Return the largest part of a resource that a task takes."""
        request = task.step.request
        pairs = (
            (task.step.reserved_cpu, self.cpu),
            (request.memory_mb, self.memory_mb),
            (request.gpu, self.gpu),
        )
        return max((part / whole for part, whole in pairs if whole), default=0.0)
