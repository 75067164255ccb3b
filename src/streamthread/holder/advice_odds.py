"""Learns from earlier answers which runners the policy of a queue permits."""

import collections
import typing as t

import attrs

__all__ = ["PolicyOdds"]

PRIOR_ANSWERS = 8.0
"""Weight of a queue's overall share against a runner's own answers, in answers."""


@attrs.define
class _Count:
    asked: int = 0
    good: int = 0

    def add(self, good: bool) -> None:
        self.asked += 1
        self.good += good


@attrs.define
class _QueueCounts:
    total: _Count = attrs.field(factory=_Count)
    by_runner: collections.defaultdict[str, _Count] = attrs.field(
        factory=lambda: collections.defaultdict(_Count)
    )


class PolicyOdds:
    """Estimates how likely a policy is to permit a runner for a step not asked yet."""

    def __init__(self) -> None:
        self._queues: collections.defaultdict[str, _QueueCounts]
        self._queues = collections.defaultdict(_QueueCounts)

    def add(self, route: str, asked: t.Iterable[str], good: t.Collection[str]) -> None:
        """Record one answer for a step of a queue."""
        counts = self._queues[route]
        for runner_id in asked:
            permitted = runner_id in good
            counts.total.add(permitted)
            counts.by_runner[runner_id].add(permitted)

    def of(self, route: str) -> t.Callable[[str], float]:
        """Return a function that estimates the odds of a runner, from 0 to 1."""
        counts = self._queues[route]
        share = (counts.total.good + 1) / (counts.total.asked + 2)

        def odds(runner_id: str) -> float:
            own = counts.by_runner.get(runner_id)
            if own is None:
                return share
            good = own.good + PRIOR_ANSWERS * share
            return good / (own.asked + PRIOR_ANSWERS)

        return odds

    def forget(self, runner_id: str) -> None:
        """Forget a runner that is gone."""
        for counts in self._queues.values():
            counts.by_runner.pop(runner_id, None)
