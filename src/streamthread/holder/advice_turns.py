"""The order in which steps get their calls for advice."""

import itertools
import weakref

import attrs

from ..scheduler import Job
from ..scheduler import StepRun

__all__ = ["TurnQueue"]

PRIORITY_ROUNDS = 3
"""A step waits this many rounds longer than one with the next higher priority."""

EXCESS_ROUNDS = 10
"""What exceeds an account's share waits this many rounds longer."""

OVERTAKING_STEPS = 2
"""This many steps overtake one in its round with each call that gave it no ticket."""


@attrs.frozen
class _Place:
    """The place of a step among those that wait.

    :param due: the round in which it gets its call.
    :param number: the order within a round; lower ones come first.
    :param round: the round that counts for its job, without what it waits longer.
    """

    due: int
    number: int
    round: int


class TurnQueue:
    """The steps that wait for a call, in the order of start-time fair queueing.

    Jobs get one call each in a round. Each further step of a job waits for the next
    round, so that a job with many steps does not delay the others. Every other call is
    for a long-running task, if one needs it: it has to run again within seconds.
    """

    def __init__(self) -> None:
        self._places: dict[StepRun, _Place] = {}
        self._numbers = itertools.count()
        self._round = 0
        self._is_long_running_next = True
        # The last round that the calls and the waiting steps of a job take up.
        self._last_rounds: weakref.WeakKeyDictionary[Job, int]
        self._last_rounds = weakref.WeakKeyDictionary()

    def __len__(self) -> int:
        return len(self._places)

    def in_order(self) -> list[StepRun]:
        """Return the steps; the one whose turn it is comes first."""
        return sorted(self._places, key=self._sort_key)

    def _sort_key(self, step: StepRun) -> tuple[bool, int, int]:
        place = self._places[step]
        later = _is_urgent(step) is not self._is_long_running_next
        return (later, place.due, place.number)

    def add(self, step: StepRun) -> None:
        """Give a step a place unless it has one."""
        if step in self._places:
            return
        job = step.occurrence.job
        number = max(self._round, self._last_rounds.get(job, 0)) + 1
        self._last_rounds[job] = number
        later = PRIORITY_ROUNDS * job.priority + EXCESS_ROUNDS * job.excess
        self._places[step] = _Place(number + later, next(self._numbers), number)

    def leave(self, step: StepRun) -> None:
        """Remove a step that needs no call now; its job's round remains unused."""
        if self._places.pop(step, None) is not None:
            self._last_rounds[step.occurrence.job] -= 1

    def take(self, step: StepRun) -> _Place:
        """Remove a step for its call; return the place that it had."""
        place = self._places.pop(step)
        self._round = max(self._round, place.round)
        self._is_long_running_next = not _is_urgent(step)
        return place

    def keep(self, step: StepRun, place: _Place) -> None:
        """Let a step wait where it was before its call, a few steps further back."""
        number = place.number + OVERTAKING_STEPS
        self._places[step] = attrs.evolve(place, number=number)


def _is_urgent(step: StepRun) -> bool:
    """Whether a step has long-running tasks within its account's share."""
    return step.request.lasting and not step.occurrence.job.excess
