"""What the list of machines proves about runners that do not answer."""

import enum
import typing as t

import attrs

from ..platform.cloud import Machine
from ..platform.cloud import MachineState
from ..runners import RunnerLink
from ..scheduler import Attempt
from ..scheduler import RunnerState
from .owner import DutyOwner

__all__ = ["Evidence", "LastRunners", "ListedMachines", "LostRunners", "judge"]

ENDED_STATES = (MachineState.DOWN, MachineState.UPKEEP)
"""States in which nothing runs on a machine that is in them without an order of this
holder."""


class Evidence(enum.Enum):
    """What a list proves about a runner that does not answer."""

    NONE = "nothing"
    ENDED = "its machine is listed as down"
    REPLACED = "its machine has another runner"


@attrs.frozen
class ListedMachines:
    """One list of machines that was read in full.

    :param asked_at_s: when its first page was requested, on the boot clock.
    :param decoded: the machines with exactly one row that could be decoded, by id.
    """

    asked_at_s: float
    decoded: t.Mapping[str, Machine]

    @classmethod
    def of(
        cls,
        asked_at_s: float,
        machines: t.Iterable[Machine],
        unreadable: t.Collection[str],
    ) -> "ListedMachines":
        """Return a list without the machines of which it does not say one thing.

        :param unreadable: ids of machines with rows that could not be decoded.
        """
        decoded: dict[str, Machine] = {}
        ambiguous = set(unreadable)
        for machine in machines:
            if decoded.setdefault(machine.machine_id, machine) != machine:
                # The machine changed while the pages were read.
                ambiguous.add(machine.machine_id)
        for machine_id in ambiguous:
            decoded.pop(machine_id, None)
        return cls(asked_at_s, decoded)


LastRunners = t.Callable[[str, str], bool]
"""Whether a machine, by its id, had a runner with this id before its present one."""


def judge(
    runner: RunnerState,
    known_since_s: float,
    listed: ListedMachines,
    was_earlier: LastRunners,
) -> Evidence:
    """Return what a list proves about one runner.

    The list shows the machines at a moment after it was requested. A runner that was
    known and silent by then is over if its machine is down at that moment, or has
    another runner that is not an earlier one.

    :param known_since_s: when this incarnation became known, on the boot clock.
    """
    machine = listed.decoded.get(runner.machine_id)
    if machine is None or runner.silent_at_s is None:
        return Evidence.NONE
    if max(runner.silent_at_s, known_since_s) >= listed.asked_at_s:
        return Evidence.NONE
    if machine.runner_id not in ("", runner.runner_id):
        earlier = was_earlier(machine.machine_id, machine.runner_id)
        return Evidence.NONE if earlier else Evidence.REPLACED
    return Evidence.ENDED if machine.state in ENDED_STATES else Evidence.NONE


def _is_orphan_over(
    attempt: Attempt, listed: ListedMachines, runners: t.Mapping[str, RunnerState]
) -> bool:
    """Whether a list proves that the runner of an earlier holder's attempt is over.

    Its machine has another runner, and that one has answered this holder, so that it is
    the later one. As an entry may name the wrong machine, no other machine may have the
    runner either.

    :param attempt: one on a runner that is not listed.
    :param runners: those that are listed, by id.
    """
    machine = listed.decoded.get(attempt.machine_id)
    other = runners.get(machine.runner_id) if machine is not None else None
    if other is None or not other.heard:
        return False
    return all(m.runner_id != attempt.runner_id for m in listed.decoded.values())


class LostRunners:
    """Ends the runs of runners that a list of machines proves to be over.

    These are silent, or were never listed since the holder began.

    :param was_listed_before: whether earlier lists showed a runner on a machine that
        has had another one since.
    """

    def __init__(self, owner: DutyOwner, was_listed_before: LastRunners) -> None:
        self._owner = owner
        self._was_listed_before = was_listed_before
        self._checked_at_s = 0.0
        self._may_have_orphans = True

    def check(self, listed: ListedMachines) -> None:
        """End what one list proves to be over, at once for all runners.

        Those with long-running tasks come first, whose steps miss them most.
        """
        if listed.asked_at_s <= self._checked_at_s:
            return
        self._checked_at_s = listed.asked_at_s
        found = [(link, self._judge(link, listed)) for link in self._silent_links()]
        found = [pair for pair in found if pair[1] is not Evidence.NONE]
        for link, evidence in sorted(found, key=lambda pair: not _runs_long(pair[0])):
            self._end(link, evidence)
        if self._may_have_orphans:
            self._drop_orphans(listed)

    def _drop_orphans(self, listed: ListedMachines) -> None:
        """Drop the runs that an earlier holder left on runners that are over.

        Only earlier holders leave such runs, so that none come after the last one.
        """
        engine = self._owner.engine
        orphans = engine.orphans()
        self._may_have_orphans = bool(orphans)
        over = [a for a in orphans if _is_orphan_over(a, listed, engine.runners)]
        for attempt in over:
            engine.drop_orphan(attempt)
        if over:
            self._owner.kick()

    def _silent_links(self) -> list[RunnerLink]:
        return [link for link in self._owner.links.values() if link.silent]

    def _judge(self, link: RunnerLink, listed: ListedMachines) -> Evidence:
        runner = link.runner

        def was_earlier(machine_id: str, other_id: str) -> bool:
            other = self._owner.engine.runners.get(other_id)
            if other is not None and None not in (other.born_ms, runner.born_ms):
                return (other.born_ms or 0) <= (runner.born_ms or 0)
            return self._was_listed_before(machine_id, other_id)

        return judge(runner, link.held_since_s, listed, was_earlier)

    def _end(self, link: RunnerLink, evidence: Evidence) -> None:
        if evidence is Evidence.REPLACED:
            link.over = True
            self._owner.on_runner_exit(link, evidence.value)
            return
        # The next incarnation may have the same id and still receive an unanswered
        # start, so that only runs that the former one has listed are certainly over.
        engine, runner_id = self._owner.engine, link.runner.runner_id
        if engine.attempts_expired(runner_id, evidence.value, seen_only=True):
            self._owner.kick()


def _runs_long(link: RunnerLink) -> bool:
    """Whether a runner has a long-running task."""
    attempts = link.runner.attempts.values()
    return any(attempt.task.step.request.lasting for attempt in attempts)
