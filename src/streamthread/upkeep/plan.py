"""Decides which machines of a wave go down now, and which are emptied."""

import typing as t

import attrs

from .pacing import DEFAULT_UPKEEP_S

__all__ = [
    "DueMachine",
    "UpkeepPlan",
    "UpkeepSettings",
    "WaveView",
    "count_unavailable",
    "is_after_earlier_stops",
    "may_stop_long_running",
    "plan_upkeep",
]


@attrs.frozen
class UpkeepSettings:
    """Settings of the waves.

    :param emptying_ahead: how many machines beyond the free slots are emptied in
        advance, because emptying takes as long as the tasks run.
    :param upkeep_s: duration of an upkeep; stated by the platform.
    """

    emptying_ahead: int = 1
    upkeep_s: float = DEFAULT_UPKEEP_S


@attrs.frozen
class DueMachine:
    """A machine whose upkeep is pending.

    :param idle: whether nothing runs on the machine.
    :param off: whether the machine is in a spare pool.
    :param up: whether the platform reports the machine as up; no other machine is
        selected.
    :param missed: whether taking it down reduces its pool by one machine. This is
        false for a machine that is being emptied, is draining or is silent.
    :param emptying: whether the machine is already being emptied.
    :param load: the load of the machine; lightly loaded machines are emptied first.
    :param closed: its hall may not be used, so that no pool lacks it.
    """

    machine_id: str
    pool: str
    idle: bool
    off: bool
    up: bool = True
    missed: bool = True
    emptying: bool = False
    load: float = 0.0
    closed: bool = False


@attrs.frozen
class WaveView:
    """The state of one wave: pending machines, and how many more may go down now.

    :param releasable_by_pool: how many machines each pool can currently spare.
    """

    due: tuple[DueMachine, ...]
    free_slots: int
    releasable_by_pool: t.Mapping[str, int] = attrs.field(factory=dict)


@attrs.frozen
class UpkeepPlan:
    """The machines whose upkeep begins now, and the machines to empty."""

    begin: tuple[str, ...]
    empty: tuple[str, ...]


def plan_upkeep(wave: WaveView, settings: UpkeepSettings) -> UpkeepPlan:
    """Return the next actions of a wave.

    Machines of halls that may not be used come first. Idle machines begin their upkeep,
    those in spare pools first. Busy machines are emptied, first those whose emptying
    has begun, then those with the least load. Each pool releases only the machines that
    it can spare.
    """
    releasable_by_pool = dict(wave.releasable_by_pool)
    ready = [m for m in wave.due if m.up and m.idle]
    ready.sort(key=lambda m: (not m.closed, not m.off, m.machine_id))
    begin = _select(ready, wave.free_slots, releasable_by_pool)
    busy = [m for m in wave.due if m.up and not m.idle]
    busy.sort(key=lambda m: (not m.closed, not m.emptying, m.load))
    left = wave.free_slots - len(begin) + settings.emptying_ahead
    return UpkeepPlan(begin, _select(busy, left, releasable_by_pool))


def _select(
    machines: t.Iterable[DueMachine], limit: int, releasable_by_pool: dict[str, int]
) -> tuple[str, ...]:
    """Return the first ``limit`` machines that their pools can spare.

    :param releasable_by_pool: decremented for each selected machine.
    """
    selected: list[str] = []
    for machine in machines:
        if len(selected) >= limit:
            break
        if machine.missed:
            if releasable_by_pool.get(machine.pool, 0) <= 0:
                continue
            releasable_by_pool[machine.pool] -= 1
        selected.append(machine.machine_id)
    return tuple(selected)


def may_stop_long_running(
    others_away: int, may_miss: int | None, default_may_miss: int = 1
) -> bool:
    """Whether one more long-running task of a step may be stopped now.

    :param others_away: how many other tasks of the step are not working.
    :param may_miss: a stop is allowed only while fewer than this are not working; None
        means ``default_may_miss``.
    """
    limit = default_may_miss if may_miss is None else may_miss
    return others_away < limit


def is_after_earlier_stops(
    listed_ms: float, fenced_ms: int, stop_effect_ms: int
) -> bool:
    """Whether a run that a list shows was not stopped by an earlier holder.

    A run is listed as before until its stop takes effect. From its first answer to this
    holder on, a runner accepts no order of an earlier one. All times are measured on
    the runner's clock.

    :param listed_ms: when the list was made.
    :param fenced_ms: when the runner first answered this holder; 0 if it has not yet.
    :param stop_effect_ms: the longest time until a stop takes effect.
    """
    return 0 < fenced_ms < listed_ms - stop_effect_ms


def count_unavailable(at_work: t.Iterable[bool]) -> int:
    """Return how many tasks are not working.

    :param at_work: whether each task is working.
    """
    return sum(not working for working in at_work)
