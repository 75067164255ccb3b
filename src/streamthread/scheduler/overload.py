"""Chooses the work of an overloaded pool that can end in time, as pure functions."""

import collections
import heapq
import typing as t

import attrs

from .timeline import Capacity
from .timeline import chain_s
from .timeline import OpenStep
from .timeline import Timeline

__all__ = ["Choice", "OpenWork", "Standing", "WorkKey", "choose", "fair_order"]

WorkKey = tuple[str, int]
"""A job's id and the number of its occurrence."""

Rank = tuple[int, bool, bool, bool]
"""The rank of work: priority, excess, of an overserved account, not begun."""

OVERSERVED_FACTOR = 3.0
"""An account that has had more than this multiple of the mean, relative to its weight,
is behind the others even with what has begun. While one account floods, the others
then lose up to 0.035 of what they earn, and up to 0.074 without it. With 1.5, a crowd
within the weights does 0.05 less of its work in time."""

STARVING_AFTER_S = 8.0
"""Work that was left out is promoted at this age. The objectives of callers are below
three seconds, and three times that is when their jobs are worth nothing."""

STARVING_SHARE = 0.05
"""The part of a pool that is given to promoted work, before all other work of its
priority."""

SPARE_SHARE = 0.1
"""The part of a pool that is kept from the reservations of work that has not begun.
Work that was left out and runs in gaps takes room that chosen steps need soon, and some
tasks find no room on a single runner. Work that has begun would be lost by that."""

SPREAD_SHARE = 0.2
"""Work that has not begun is chosen only if it ends earlier than it must by this part
of the length of its later steps. They wait for the slowest task of the step before, and
tasks take up to a fifth longer than expected in the loads of the tests."""


@attrs.frozen
class OpenWork:
    """What is open of one occurrence of a job.

    :param steps: its open steps, each after those that it depends on.
    :param due_s: wall time at which its objective began to count.
    :param latest_end_s: wall time at which it must end to meet its objective.
    :param begun: some of it was run, and not only in what others left.
    """

    key: WorkKey
    account: str
    steps: tuple[OpenStep, ...]
    due_s: float
    latest_end_s: float
    accepted_at_s: float
    priority: int = 0
    excess: bool = False
    begun: bool = False

    @property
    def work(self) -> float:
        """All of its open work, in thousandths of a core times seconds."""
        return sum(step.waiting_work + step.running_work for step in self.steps)

    @property
    def latest_start_s(self) -> float:
        """Wall time at which it must begin, or go on, to meet its objective."""
        return self.latest_end_s - chain_s(self.steps)

    def rank(self, overserved: bool) -> Rank:
        """Return the rank by which work is chosen, the lowest first.

        :param overserved: its account has had far more than others.
        """
        last = self.excess and (overserved or not self.begun)
        return (self.priority, last, overserved, not self.begun)


@attrs.frozen
class Standing:
    """What each account was served, its weight, and what it may have.

    :param served: in seconds of the whole pool.
    :param limits: the cpu that accounts with a limit may have in the pool.
    """

    weights: t.Mapping[str, float]
    served: t.Mapping[str, float] = attrs.field(factory=dict)
    limits: t.Mapping[str, float] = attrs.field(factory=dict)

    def ratio(self, account: str, further: float) -> tuple[float, float]:
        """Return what an account has had relative to its weight, for comparisons.

        What has no weight has had more than anything that has one.

        :param further: what it gets in addition, in seconds of the whole pool.
        """
        weight = self.weights.get(account, 0.0)
        had = self.served.get(account, 0.0) + further
        return (0.0, had / weight) if weight > 0 else (1.0, had)

    def overserved(self, accounts: t.Iterable[str]) -> set[str]:
        """Return those of some accounts that have had far more than the others.

        :param accounts: the accounts with open work.
        """
        names = {*accounts}
        active = names | {*self.served}
        weight = sum(self.weights.get(name, 0.0) for name in active)
        mean = sum(self.served.values()) / weight if weight > 0 else 0.0
        limit = (0.0, OVERSERVED_FACTOR * mean)
        return {name for name in names if self.ratio(name, 0.0) > limit}


@attrs.frozen
class Choice:
    """The order in which an overloaded pool does its work.

    :param at_s: wall time at which the choice was made.
    :param promoted: work that would starve otherwise; it comes first.
    :param chosen: work that ends in time if it comes before all other work.
    :param left_out: all other work, with its place in the order.
    :param begun: work that has begun, and not only in what others left. It counts as
        begun in later choices, too, even if it is left out for a while.
    """

    at_s: float
    promoted: t.Mapping[WorkKey, int]
    chosen: frozenset[WorkKey]
    left_out: t.Mapping[WorkKey, int]
    begun: frozenset[WorkKey] = frozenset()

    def sort_key(
        self, key: WorkKey, excess: bool, latest_start_s: float
    ) -> tuple[int, float]:
        """Return the place of work within its priority.

        Work that came after the choice was made is behind the chosen work of others
        until the next choice, but before what was left out.
        """
        if key in self.promoted:
            return (0, self.promoted[key])
        if key in self.chosen:
            return (1, latest_start_s)
        if key in self.left_out:
            return (4, self.left_out[key])
        return (3 if excess else 2, latest_start_s)


def choose(
    works: t.Sequence[OpenWork],
    capacity: Capacity,
    standing: Standing,
    now_s: float,
    overloaded: bool = False,
) -> Choice | None:
    """Return the order of a pool's open work, or None if all of it can end in time.

    All of it can if it fits in the order of its latest ends. Otherwise work is taken in
    the order of `fair_order`, but what has begun by its latest start within its rank.
    It is chosen if it can end in time in what the work before it has left; what has not
    begun must leave ``SPARE_SHARE`` of the pool, and some time by ``SPREAD_SHARE``.
    So what is left out is of the lowest priority,
    excess, of the account that has had most relative to its weight, and the newest. The
    kind of a job does not matter, and its size only as far as it fits.

    :param overloaded: the pool was overloaded at the last choice. Its order is then
        kept until nothing is left out. Going back to the order of the latest ends while
        both are close makes 0.05 to 0.1 less of a crowd's work end in time.
    """
    if capacity.rate <= 0:
        return None
    late = [work for work in works if now_s > work.latest_start_s]
    late_keys = {work.key for work in late}
    open_works = [work for work in works if work.key not in late_keys]
    by_end = sorted(open_works, key=lambda work: (work.latest_end_s, work.key))
    if not overloaded:
        timeline = _timeline(works, capacity, standing.limits, now_s)
        if len(_fitting(by_end, timeline)) == len(by_end):
            return None
    by_rank = _choice_order(open_works, standing, capacity.rate)
    chosen = _admitted(by_rank, _timeline(works, capacity, standing.limits, now_s))
    left_out = [work for work in by_rank if work.key not in chosen]
    if not left_out:
        return None
    late = fair_order(late, standing, capacity.rate)
    order = left_out + late
    return Choice(
        now_s,
        _starving(order, capacity.rate, now_s),
        chosen,
        {work.key: place for place, work in enumerate(order)},
        frozenset(work.key for work in works if work.begun),
    )


def _timeline(
    works: t.Iterable[OpenWork],
    capacity: Capacity,
    limits: t.Mapping[str, float],
    now_s: float,
) -> Timeline:
    """Return a pool's capacity without what runs take."""
    timeline = Timeline(capacity, now_s, limits, SPARE_SHARE)
    for work in works:
        timeline.reserve_running(work.steps, work.account)
    return timeline


def _fitting(works: t.Iterable[OpenWork], timeline: Timeline) -> frozenset[WorkKey]:
    """Reserve capacity for work in its order; return what can end in time."""
    return frozenset(
        work.key
        for work in works
        if timeline.reserve(work.steps, work.latest_end_s, work.account) is not None
    )


def _admitted(works: t.Iterable[OpenWork], timeline: Timeline) -> frozenset[WorkKey]:
    """Reserve capacity for work in its order; return what is chosen."""
    return frozenset(work.key for work in works if _is_admitted(work, timeline))


def _is_admitted(work: OpenWork, timeline: Timeline) -> bool:
    """Whether work can end in time; what has not begun leaves a reserve."""
    end_s = work.latest_end_s
    if not work.begun:
        end_s -= SPREAD_SHARE * _following_s(work.steps)
    return timeline.reserve(work.steps, end_s, work.account, work.begun) is not None


def _following_s(steps: t.Sequence[OpenStep]) -> float:
    """Return the length of the longest chain without its first step."""
    numbers = {step.number for step in steps}
    first = [step.length_s for step in steps if numbers.isdisjoint(step.after)]
    return chain_s(steps) - min(first, default=0.0)


def _choice_order(
    works: t.Iterable[OpenWork], standing: Standing, rate: float
) -> list[OpenWork]:
    """Return work in the order of `fair_order`, but what has begun by latest start.

    Stopping between its steps makes it late, and its runs so far are wasted then.
    """
    order = fair_order(works, standing, rate)
    overserved = standing.overserved(work.account for work in order)
    return sorted(
        order,
        key=lambda work: (
            work.rank(work.account in overserved),
            work.latest_start_s if work.begun else 0.0,
        ),
    )


def fair_order(
    works: t.Iterable[OpenWork], standing: Standing, rate: float
) -> list[OpenWork]:
    """Return work by rank, then by what its account has had, then by age.

    This is weighted fair queueing: the account with the least relative to its weight is
    next, and what is taken of it counts from then on.
    """
    works = list(works)
    overserved = standing.overserved(work.account for work in works)
    queues: dict[Rank, dict[str, list[OpenWork]]] = {}
    for work in sorted(works, key=lambda work: work.accepted_at_s, reverse=True):
        accounts = queues.setdefault(work.rank(work.account in overserved), {})
        accounts.setdefault(work.account, []).append(work)
    order: list[OpenWork] = []
    had: collections.defaultdict[str, float] = collections.defaultdict(float)
    for _, accounts in sorted(queues.items()):
        heap = [(standing.ratio(name, had[name] / rate), name) for name in accounts]
        heapq.heapify(heap)
        while heap:
            _, name = heap[0]
            work = accounts[name].pop()
            order.append(work)
            had[name] += work.work
            if accounts[name]:
                ratio = standing.ratio(name, had[name] / rate)
                heapq.heapreplace(heap, (ratio, name))
            else:
                heapq.heappop(heap)
    return order


def _starving(
    left_out: t.Iterable[OpenWork], rate: float, now_s: float
) -> dict[WorkKey, int]:
    """Return the oldest work that was left out for long, with its place.

    At least one occurrence is promoted, and more until they have a second's work for
    ``STARVING_SHARE`` of the pool. The oldest remain the oldest until they are done, so
    that work with N older ones before it begins at the latest once it is
    ``STARVING_AFTER_S`` old and N chains have passed.
    """
    old = [work for work in left_out if now_s - work.due_s > STARVING_AFTER_S]
    promoted: dict[WorkKey, int] = {}
    total = 0.0
    for work in sorted(old, key=lambda work: (work.due_s, work.key)):
        if promoted and total >= STARVING_SHARE * rate:
            break
        promoted[work.key] = len(promoted)
        total += work.work
    return promoted
