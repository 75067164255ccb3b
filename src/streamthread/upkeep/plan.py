"""Which machines of a wave go down now, and which are to be emptied."""

import typing as t

import attrs

__all__ = [
    "DueMachine",
    "UpkeepPlan",
    "UpkeepSettings",
    "WaveView",
    "count_unavailable",
    "may_stop_long_running",
    "plan_upkeep",
]


@attrs.frozen
class UpkeepSettings:
    """Figures of the waves.

    :param emptying_ahead: so many more machines than have a slot are emptied
        ahead, since that takes as long as a task runs.
    """

    emptying_ahead: int = 1


@attrs.frozen
class DueMachine:
    """A machine that still has to go into upkeep.

    :param idle: nothing runs there.
    :param off: it sits in a spare pool.
    :param missed: its pool has one machine less without it; not so for one that is
        being emptied already, drains or is silent.
    :param emptying: it is being emptied already.
    :param load: how much runs there; less is emptied sooner.
    """

    machine_id: str
    pool: str
    idle: bool
    off: bool
    up: bool = True
    missed: bool = True
    emptying: bool = False
    load: float = 0.0


@attrs.frozen
class WaveView:
    """One wave: what is left, and how many may still go down at once.

    :param releasable_by_pool: how many machines each pool can do without for now.
    """

    due: tuple[DueMachine, ...]
    free_slots: int
    releasable_by_pool: t.Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class UpkeepPlan:
    """Machines whose upkeep begins now, and machines to be emptied."""

    begin: tuple[str, ...]
    empty: tuple[str, ...]


def plan_upkeep(wave: WaveView, settings: UpkeepSettings) -> UpkeepPlan:
    """Return what to do now for a wave.

    Machines that are off go first, then idle ones, then those with least to do.
    Each pool gives up only what it can do without.
    """
    releasable_by_pool = dict(wave.releasable_by_pool)
    ready = [m for m in wave.due if m.up and m.idle]
    ready.sort(key=lambda machine: (not machine.off, machine.machine_id))
    begin = _take(ready, wave.free_slots, releasable_by_pool)
    busy = [m for m in wave.due if m.up and not m.idle]
    busy.sort(key=lambda machine: (not machine.emptying, machine.load))
    left = wave.free_slots - len(begin) + settings.emptying_ahead
    return UpkeepPlan(begin, _take(busy, left, releasable_by_pool))


def _take(
    machines: t.Iterable[DueMachine], most: int, releasable_by_pool: dict[str, int]
) -> tuple[str, ...]:
    """Return the first machines that their pools can do without.

    :param releasable_by_pool: reduced by what is taken.
    """
    taken: list[str] = []
    for machine in machines:
        if len(taken) >= most:
            break
        if machine.missed:
            if releasable_by_pool.get(machine.pool, 0) <= 0:
                continue
            releasable_by_pool[machine.pool] -= 1
        taken.append(machine.machine_id)
    return tuple(taken)


def may_stop_long_running(
    others_away: int, may_miss: int | None, default_may_miss: int = 1
) -> bool:
    """Whether one more lasting task of a step may be taken away now."""
    limit = default_may_miss if may_miss is None else may_miss
    return others_away < limit


def count_unavailable(at_work: t.Iterable[bool]) -> int:
    """Return how many tasks are not at work."""
    return sum(not working for working in at_work)
