"""Decides which instances of a pool drain, reboot, return, move, leave or join.

:func:`decide_pool` is a pure function from a snapshot to steps. Each step replaces
one member of the pool's row. The fleet service commits the steps, fenced by the
shard's epoch.
"""

import collections
import typing as t

import attrs

from ..fleet.pools import Member
from ..fleet.pools import MemberState
from ..fleet.pools import PoolRow
from .budgets import measure_budget
from .waves import wave_limit
from .waves import WaveProgress

__all__ = [
    "InstanceFacts",
    "PoolSnapshot",
    "Step",
    "StepKind",
    "WaveFacts",
    "decide_pool",
]

MOVE_PREFIX = "move/"
"""Begins the purpose of a move and precedes the name of the target pool.

Without a name, the instance leaves its pool and joins no other.
"""

WAVE_PREFIX = "wave/"
"""Begins the key of a wave, which is also the purpose of its drains."""


class StepKind:
    """The kinds of steps, under the names that the timeline shows."""

    DRAIN = "drain-granted"
    REBOOT = "reboot-started"
    HOLD = "held"
    RETURN = "returned"
    MOVE = "moved"
    JOIN = "joined"
    LEAVE = "left"


@attrs.frozen
class InstanceFacts:
    """The current state of one instance.

    :param idle: whether all daemons have confirmed that nothing runs on it any more.
    :param wanted_by: the keys of the holds and waves that select it, holds first.
    :param better_pool: the pool that it should move to; empty if there is none.
    :param better_pool_vacancies: how many more instances that pool takes.
    :param matches_pool: whether the selector of this pool matches it.
    :param overdue: whether its reboot has exceeded the time limit.
    """

    live: bool
    boot: int
    hall: str
    rack: str
    idle: bool = False
    wanted_by: tuple[str, ...] = ()
    better_pool: str = ""
    better_pool_vacancies: int = 0
    matches_pool: bool = True
    overdue: bool = False


@attrs.frozen
class WaveFacts:
    """The configured state of a wave."""

    paused: bool = False
    max_failed_fraction: float = 0.1


@attrs.frozen
class PoolSnapshot:
    """All inputs of the decision about one pool.

    :param target: how many live members the pool should have; None for no limit.
    :param candidates: instances in no pool that this pool may add, best first.
    :param fresh: whether the membership list was read recently.
    """

    name: str
    row: PoolRow
    min_available: int
    target: int | None
    facts: t.Mapping[str, InstanceFacts]
    waves: t.Mapping[str, WaveFacts] = attrs.field(factory=dict)
    candidates: tuple[str, ...] = ()
    fresh: bool = True


@attrs.frozen
class Step:
    """The replacement of one member, with its cause.

    :param member: the new member, or None if the instance leaves the pool.
    :param move_to: the pool that an instance moves to when it leaves, if any.
    """

    kind: str
    instance_id: str
    member: Member | None
    cause: str
    move_to: str = ""


def decide_pool(snapshot: PoolSnapshot) -> list[Step]:
    """Return the steps to commit now, in order."""
    steps = list(_advance_members(snapshot))
    steps.extend(_grant_drains(snapshot))
    steps.extend(_join_candidates(snapshot))
    return steps


def _advance_members(snapshot: PoolSnapshot) -> t.Iterator[Step]:
    for instance_id, member in sorted(snapshot.row.members.items()):
        facts = snapshot.facts.get(instance_id)
        if facts is None or member.state is MemberState.SERVING:
            continue
        step = _advance_member(instance_id, member, facts, snapshot)
        if step is not None:
            yield step


def _advance_member(
    instance_id: str, member: Member, facts: InstanceFacts, snapshot: PoolSnapshot
) -> Step | None:
    if member.state is MemberState.REBOOTING:
        return _complete_reboot(instance_id, member, facts, snapshot)
    if not _purpose_still_applies(member, facts, snapshot):
        returned = Member(boot=facts.boot, done=member.done)
        return Step(StepKind.RETURN, instance_id, returned, "no longer asked to leave")
    if member.state is MemberState.DRAINING and facts.idle:
        return _step_when_idle(instance_id, member)
    return None


def _complete_reboot(
    instance_id: str, member: Member, facts: InstanceFacts, snapshot: PoolSnapshot
) -> Step | None:
    if not facts.live or facts.boot <= member.boot:
        return None
    known_waves = tuple(key for key in member.done if key in snapshot.waves)
    returned = Member(boot=facts.boot, done=(*known_waves, member.purpose))
    return Step(StepKind.RETURN, instance_id, returned, f"{member.purpose} is done")


def _purpose_still_applies(
    member: Member, facts: InstanceFacts, snapshot: PoolSnapshot
) -> bool:
    if member.purpose == MOVE_PREFIX:
        return not facts.matches_pool and not facts.better_pool
    if member.purpose.startswith(MOVE_PREFIX):
        return facts.better_pool == member.purpose.removeprefix(MOVE_PREFIX)
    return member.purpose in facts.wanted_by


def _step_when_idle(instance_id: str, member: Member) -> Step:
    if member.purpose.startswith(WAVE_PREFIX):
        rebooting = attrs.evolve(member, state=MemberState.REBOOTING)
        return Step(
            StepKind.REBOOT, instance_id, rebooting, f"idle, for {member.purpose}"
        )
    if member.purpose.startswith(MOVE_PREFIX):
        target = member.purpose.removeprefix(MOVE_PREFIX)
        kind = StepKind.MOVE if target else StepKind.LEAVE
        cause = f"idle, {member.purpose}"
        return Step(kind, instance_id, None, cause, move_to=target)
    held = attrs.evolve(member, state=MemberState.HELD)
    return Step(StepKind.HOLD, instance_id, held, f"idle, for {member.purpose}")


def _grant_drains(snapshot: PoolSnapshot) -> t.Iterator[Step]:
    live = {key for key, facts in snapshot.facts.items() if facts.live}
    budget = measure_budget(snapshot.row, live, snapshot.fresh, snapshot.min_available)
    grants_left = budget.grants_left
    quota = _WaveQuota(snapshot)
    for instance_id in _sort_for_grants(snapshot):
        facts = snapshot.facts[instance_id]
        member = snapshot.row.members[instance_id]
        purpose = _choose_purpose(member, facts, snapshot)
        if not purpose or not snapshot.fresh:
            continue
        # An instance that is not live is unavailable already.
        cost = 1 if facts.live else 0
        if cost > grants_left or not quota.allows(purpose, facts):
            continue
        grants_left -= cost
        quota.consume(purpose, facts)
        draining = Member(MemberState.DRAINING, purpose, facts.boot, member.done)
        cause = f"{purpose}, {budget.available} available of {budget.min_available}"
        yield Step(StepKind.DRAIN, instance_id, draining, cause)


def _sort_for_grants(snapshot: PoolSnapshot) -> list[str]:
    """Return the serving members: those that are not live first, then by hall."""
    serving = [
        instance_id
        for instance_id, member in snapshot.row.members.items()
        if member.state is MemberState.SERVING and instance_id in snapshot.facts
    ]

    def order(instance_id: str) -> tuple[bool, str, str, str]:
        facts = snapshot.facts[instance_id]
        return facts.live, facts.hall, facts.rack, instance_id

    return sorted(serving, key=order)


def _choose_purpose(
    member: Member, facts: InstanceFacts, snapshot: PoolSnapshot
) -> str:
    for key in facts.wanted_by:
        if not key.startswith(WAVE_PREFIX):
            return key
        wave = snapshot.waves.get(key, WaveFacts())
        if key not in member.done and not wave.paused:
            return key
    if facts.better_pool or not facts.matches_pool:
        return MOVE_PREFIX + facts.better_pool
    return ""


class _WaveQuota:
    """Limits how many members may drain for each purpose.

    A wave is limited by :func:`wave_limit` (canary, growth and halting) and by the
    halls that it may empty. Moves to a better pool are limited to its vacancies.
    Holds, and moves of instances that no longer match this pool, are not limited.
    """

    def __init__(self, snapshot: PoolSnapshot) -> None:
        self._remaining: dict[str, int] = {}
        self._moves = _count_moves_by_purpose(snapshot)
        self._hall_limit = _HallLimit(snapshot)
        for key, wave in snapshot.waves.items():
            progress = _wave_progress(key, snapshot)
            limit = wave_limit(progress, wave.max_failed_fraction)
            self._remaining[key] = limit - progress.in_progress

    def allows(self, purpose: str, facts: InstanceFacts) -> bool:
        if purpose.startswith(MOVE_PREFIX) and facts.matches_pool:
            moves = self._moves.get(purpose, 0)
            return moves < facts.better_pool_vacancies
        if not purpose.startswith(WAVE_PREFIX):
            return True
        return (
            self._hall_limit.allows(facts.hall) and self._remaining.get(purpose, 0) > 0
        )

    def consume(self, purpose: str, facts: InstanceFacts) -> None:
        if purpose.startswith(MOVE_PREFIX):
            self._moves[purpose] = self._moves.get(purpose, 0) + 1
        if purpose.startswith(WAVE_PREFIX):
            self._hall_limit.consume(facts.hall)
            self._remaining[purpose] -= 1


class _HallLimit:
    """Prevents waves from draining all members of a pool in two halls at once."""

    def __init__(self, snapshot: PoolSnapshot) -> None:
        self._members: collections.Counter[str] = collections.Counter()
        self._drained: collections.Counter[str] = collections.Counter()
        for instance_id, member in snapshot.row.members.items():
            facts = snapshot.facts.get(instance_id)
            if facts is None:
                continue
            self._members[facts.hall] += 1
            if member.purpose.startswith(WAVE_PREFIX):
                self._drained[facts.hall] += 1

    def allows(self, hall: str) -> bool:
        """Return whether one more member in a hall may drain."""
        emptied_halls = {
            name
            for name, count in self._drained.items()
            if count >= self._members[name]
        }
        if self._drained[hall] + 1 >= self._members[hall]:
            emptied_halls.add(hall)
        return len(emptied_halls) <= 1

    def consume(self, hall: str) -> None:
        """Count one more member in a hall as draining."""
        self._drained[hall] += 1


def _count_moves_by_purpose(snapshot: PoolSnapshot) -> dict[str, int]:
    """Count the members that drain for a move, by purpose (``move/POOL``)."""
    counts: dict[str, int] = {}
    for member in snapshot.row.members.values():
        if member.purpose.startswith(MOVE_PREFIX):
            counts[member.purpose] = counts.get(member.purpose, 0) + 1
    return counts


def _wave_progress(key: str, snapshot: PoolSnapshot) -> WaveProgress:
    members = snapshot.row.members
    in_progress = [name for name, member in members.items() if member.purpose == key]
    failed = sum(
        name in snapshot.facts and snapshot.facts[name].overdue for name in in_progress
    )
    done = sum(key in member.done for member in members.values())
    return WaveProgress(done, len(in_progress), failed)


def _join_candidates(snapshot: PoolSnapshot) -> t.Iterator[Step]:
    max_joins = len(snapshot.candidates)
    if snapshot.target is not None:
        live_members = sum(
            facts.live
            for name, facts in snapshot.facts.items()
            if name in snapshot.row.members
        )
        max_joins = max(0, snapshot.target - live_members)
    for instance_id in snapshot.candidates[:max_joins]:
        facts = snapshot.facts[instance_id]
        member = Member(boot=facts.boot)
        cause = f"matches {snapshot.name}'s selector"
        yield Step(StepKind.JOIN, instance_id, member, cause)
