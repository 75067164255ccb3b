"""Which machines of a wave go down now, and which are to be emptied."""

import typing as t

import attrs

__all__ = [
    "DueMachine",
    "UpkeepPlan",
    "UpkeepSettings",
    "WaveView",
    "count_away",
    "may_stop_lasting",
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
    :param may_empty: its pool can do without it for now.
    :param reserved: it is being emptied already.
    :param load: how much runs there; less is emptied sooner.
    """

    machine_id: str
    pool: str
    idle: bool
    off: bool
    up: bool = True
    may_empty: bool = True
    reserved: bool = False
    load: float = 0.0


@attrs.frozen
class WaveView:
    """One wave: what is left, and how many may still go down at once."""

    number: int
    due: tuple[DueMachine, ...]
    free_slots: int


@attrs.frozen
class UpkeepPlan:
    """Machines whose upkeep begins now, and machines to be emptied."""

    begin: tuple[str, ...]
    empty: tuple[str, ...]


def plan_upkeep(wave: WaveView, settings: UpkeepSettings) -> UpkeepPlan:
    """Return what to do now for a wave.

    Machines that are off go first, then idle ones, then those with least to do.
    Each pool gives up only what it can do without; the caller counts that.
    """
    ready = [m for m in wave.due if m.up and m.idle and (m.off or m.may_empty)]
    ready.sort(key=lambda machine: (not machine.off, machine.machine_id))
    begin = [machine.machine_id for machine in ready[: max(0, wave.free_slots)]]
    left = wave.free_slots - len(begin) + settings.emptying_ahead
    busy = [m for m in wave.due if m.up and not m.idle and (m.may_empty or m.reserved)]
    busy.sort(key=lambda machine: (not machine.reserved, machine.load))
    empty = [machine.machine_id for machine in busy[: max(0, left)]]
    return UpkeepPlan(tuple(begin), tuple(empty))


def may_stop_lasting(
    others_away: int, may_miss: int | None, default_may_miss: int = 1
) -> bool:
    """Whether one more lasting task of a step may be taken away now."""
    limit = default_may_miss if may_miss is None else may_miss
    return others_away < limit


def count_away(at_work: t.Iterable[bool]) -> int:
    """Return how many tasks are not at work."""
    return sum(not working for working in at_work)
