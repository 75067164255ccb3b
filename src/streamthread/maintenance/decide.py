"""The decision about one pool: who leaves, reboots, returns, moves or joins.

A pure function from a snapshot to steps. Each step replaces one member of the
pool's row; the service around it commits them, fenced by the shard's epoch.
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
WAVE_PREFIX = "wave/"


class StepKind:
    """Names of the steps, as the time line shows them."""

    DRAIN = "drain-granted"
    REBOOT = "reboot-started"
    HOLD = "held"
    RETURN = "returned"
    MOVE = "moved"
    JOIN = "joined"
    LEAVE = "left"


@attrs.frozen
class InstanceFacts:
    """What is known of one instance now.

    :param idle: whether nothing runs on it any more, as confirmed by all.
    :param wanted_by: the waves and holds that select it, holds first.
    :param better_pool: where it should move, and how many fit in there.
    :param overdue: whether its reboot has taken too long.
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
    """The state of a wave, from its configuration."""

    paused: bool = False
    max_failed_fraction: float = 0.1


@attrs.frozen
class PoolSnapshot:
    """Everything that a decision about a pool depends on.

    :param target: how many it wants; None takes all.
    :param candidates: instances in no pool that this pool may take, best first.
    :param fresh: whether the membership list was read lately.
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
    """One member replaced, and why.

    :param member: the new member, or None where it leaves the pool.
    :param move_to: the pool that takes a member that leaves, if any.
    """

    kind: str
    instance_id: str
    member: Member | None
    cause: str
    move_to: str = ""


def decide_pool(snapshot: PoolSnapshot) -> list[Step]:
    """Return the steps to take now, in order."""
    steps = list(_advance(snapshot))
    steps.extend(_grants(snapshot))
    steps.extend(_joins(snapshot))
    return steps


def _advance(snapshot: PoolSnapshot) -> t.Iterator[Step]:
    for instance_id, member in sorted(snapshot.row.members.items()):
        facts = snapshot.facts.get(instance_id)
        if facts is None or member.state is MemberState.SERVING:
            continue
        step = _advance_one(instance_id, member, facts, snapshot)
        if step is not None:
            yield step


def _advance_one(
    instance_id: str, member: Member, facts: InstanceFacts, snapshot: PoolSnapshot
) -> Step | None:
    if member.state is MemberState.REBOOTING:
        return _advance_rebooting(instance_id, member, facts, snapshot)
    if not _still_wanted(member, facts, snapshot):
        back = Member(boot=facts.boot, done=member.done)
        return Step(StepKind.RETURN, instance_id, back, "no longer asked to leave")
    if member.state is MemberState.DRAINING and facts.idle:
        return _leave(instance_id, member)
    return None


def _advance_rebooting(
    instance_id: str, member: Member, facts: InstanceFacts, snapshot: PoolSnapshot
) -> Step | None:
    if not facts.live or facts.boot <= member.boot:
        return None
    still_there = tuple(key for key in member.done if key in snapshot.waves)
    back = Member(boot=facts.boot, done=(*still_there, member.purpose))
    return Step(StepKind.RETURN, instance_id, back, f"{member.purpose} is done")


def _still_wanted(member: Member, facts: InstanceFacts, snapshot: PoolSnapshot) -> bool:
    if member.purpose == MOVE_PREFIX:
        return not facts.matches_pool and not facts.better_pool
    if member.purpose.startswith(MOVE_PREFIX):
        return facts.better_pool == member.purpose.removeprefix(MOVE_PREFIX)
    return member.purpose in facts.wanted_by


def _leave(instance_id: str, member: Member) -> Step:
    if member.purpose.startswith(WAVE_PREFIX):
        away = attrs.evolve(member, state=MemberState.REBOOTING)
        return Step(StepKind.REBOOT, instance_id, away, f"idle, for {member.purpose}")
    if member.purpose.startswith(MOVE_PREFIX):
        target = member.purpose.removeprefix(MOVE_PREFIX)
        kind = StepKind.MOVE if target else StepKind.LEAVE
        cause = f"idle, {member.purpose}"
        return Step(kind, instance_id, None, cause, move_to=target)
    held = attrs.evolve(member, state=MemberState.HELD)
    return Step(StepKind.HOLD, instance_id, held, f"idle, for {member.purpose}")


def _grants(snapshot: PoolSnapshot) -> t.Iterator[Step]:
    live = {key for key, facts in snapshot.facts.items() if facts.live}
    budget = measure_budget(snapshot.row, live, snapshot.fresh, snapshot.min_available)
    left = budget.grants_left
    quota = _WaveQuota(snapshot)
    for instance_id in _in_grant_order(snapshot):
        facts = snapshot.facts[instance_id]
        member = snapshot.row.members[instance_id]
        purpose = _purpose(member, facts, snapshot)
        if not purpose or not snapshot.fresh:
            continue
        costs = 1 if facts.live else 0
        if costs > left or not quota.allows(purpose, facts):
            continue
        left -= costs
        quota.take(purpose, facts)
        away = Member(MemberState.DRAINING, purpose, facts.boot, member.done)
        cause = f"{purpose}, {budget.available} available of {budget.min_available}"
        yield Step(StepKind.DRAIN, instance_id, away, cause)


def _in_grant_order(snapshot: PoolSnapshot) -> list[str]:
    """Serving members: those that are down first, then hall by hall."""
    serving = [
        instance_id
        for instance_id, member in snapshot.row.members.items()
        if member.state is MemberState.SERVING and instance_id in snapshot.facts
    ]

    def order(instance_id: str) -> tuple[bool, str, str, str]:
        facts = snapshot.facts[instance_id]
        return facts.live, facts.hall, facts.rack, instance_id

    return sorted(serving, key=order)


def _purpose(member: Member, facts: InstanceFacts, snapshot: PoolSnapshot) -> str:
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
    """Canary, growth, halting, halls; and no more moves than fit."""

    def __init__(self, snapshot: PoolSnapshot) -> None:
        self._left: dict[str, int] = {}
        self._moving = _moving(snapshot)
        self._halls = _Halls(snapshot)
        for key, wave in snapshot.waves.items():
            progress = _progress(key, snapshot)
            limit = wave_limit(progress, wave.max_failed_fraction)
            self._left[key] = limit - progress.away

    def allows(self, purpose: str, facts: InstanceFacts) -> bool:
        if purpose.startswith(MOVE_PREFIX) and facts.matches_pool:
            moving = self._moving.get(purpose, 0)
            return moving < facts.better_pool_vacancies
        if not purpose.startswith(WAVE_PREFIX):
            return True
        return self._halls.allows(facts.hall) and self._left.get(purpose, 0) > 0

    def take(self, purpose: str, facts: InstanceFacts) -> None:
        if purpose.startswith(MOVE_PREFIX):
            self._moving[purpose] = self._moving.get(purpose, 0) + 1
        if purpose.startswith(WAVE_PREFIX):
            self._halls.take(facts.hall)
            self._left[purpose] -= 1


class _Halls:
    """Keeps a wave from taking all of a pool's members in two halls at once."""

    def __init__(self, snapshot: PoolSnapshot) -> None:
        self._members: collections.Counter[str] = collections.Counter()
        self._away: collections.Counter[str] = collections.Counter()
        for instance_id, member in snapshot.row.members.items():
            facts = snapshot.facts.get(instance_id)
            if facts is None:
                continue
            self._members[facts.hall] += 1
            if member.purpose.startswith(WAVE_PREFIX):
                self._away[facts.hall] += 1

    def allows(self, hall: str) -> bool:
        """Whether one more may go from a hall."""
        emptied = {
            name for name, count in self._away.items() if count >= self._members[name]
        }
        if self._away[hall] + 1 >= self._members[hall]:
            emptied.add(hall)
        return len(emptied) <= 1

    def take(self, hall: str) -> None:
        """Note that one more goes."""
        self._away[hall] += 1


def _moving(snapshot: PoolSnapshot) -> dict[str, int]:
    """Count the members that are on their way out, by where to."""
    counts: dict[str, int] = {}
    for member in snapshot.row.members.values():
        if member.purpose.startswith(MOVE_PREFIX):
            counts[member.purpose] = counts.get(member.purpose, 0) + 1
    return counts


def _progress(key: str, snapshot: PoolSnapshot) -> WaveProgress:
    members = snapshot.row.members
    away = [name for name, member in members.items() if member.purpose == key]
    failed = sum(
        name in snapshot.facts and snapshot.facts[name].overdue for name in away
    )
    done = sum(key in member.done for member in members.values())
    return WaveProgress(done, len(away), failed)


def _joins(snapshot: PoolSnapshot) -> t.Iterator[Step]:
    room = len(snapshot.candidates)
    if snapshot.target is not None:
        present = sum(
            facts.live
            for name, facts in snapshot.facts.items()
            if name in snapshot.row.members
        )
        room = max(0, snapshot.target - present)
    for instance_id in snapshot.candidates[:room]:
        facts = snapshot.facts[instance_id]
        member = Member(boot=facts.boot)
        cause = f"matches {snapshot.name}'s selector"
        yield Step(StepKind.JOIN, instance_id, member, cause)
