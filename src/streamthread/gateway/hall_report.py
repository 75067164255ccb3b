"""Reports on halls for operators."""

import collections
import datetime
import typing as t

from ..halls import HallRegistry
from ..holder import Holder

__all__ = ["count_runs", "describe_halls", "list_halls"]

Json = dict[str, t.Any]


def count_runs(holder: Holder) -> collections.Counter[str]:
    """Return the number of runs in each hall, including the unknown ones."""
    runs: collections.Counter[str] = collections.Counter()
    for runner in holder.engine.runners.values():
        runs[runner.zone] += len(runner.attempts) + runner.stray_runs
    return runs


def list_halls(holder: Holder, halls: HallRegistry) -> list[str]:
    """Return the halls of all runners and machines, and those that were evacuated."""
    named = {runner.zone for runner in holder.engine.runners.values()}
    if holder.duties is not None:
        named |= {machine.zone for machine in holder.duties.machines}
    return sorted({*named, *halls.evacuations.known_halls()} - {""})


def describe_halls(holder: Holder, halls: HallRegistry) -> list[Json]:
    """Return a row per hall: its state, since when, and what is there."""
    runs = count_runs(holder)
    machines: collections.Counter[str] = collections.Counter()
    if holder.duties is not None:
        machines.update(machine.zone for machine in holder.duties.machines)
    in_force = halls.evacuations.in_force
    return [
        {
            "hall": hall,
            "state": halls.state(hall).value,
            "since": _format(in_force[hall].since_s) if hall in in_force else "",
            "version": in_force[hall].version if hall in in_force else 0,
            "runs": runs[hall],
            "machines": machines[hall],
        }
        for hall in list_halls(holder, halls)
    ]


def _format(wall_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_s, datetime.UTC)
    return moment.isoformat(timespec="milliseconds")
