"""Which machines move between pools: a pure decision over one view."""

import collections
import math
import typing as t

import attrs

from .demand import Demand

__all__ = [
    "CapacitySettings",
    "MachineView",
    "Move",
    "PoolView",
    "plan_moves",
    "target_size",
]


NEGLIGIBLE = 0.1
"""Of a machine: so little more does not bring one."""


@attrs.frozen
class CapacitySettings:
    """The weights between machines held back and moves.

    :param least_machines: a pool keeps at least so many, so that one loss does
        not stop it.
    :param headroom_machines: kept free beside the demand, for the first jobs of
        a burst: a move takes longer than their objective allows. Of 0.6, 1.2, 2
        and 3, two were worth most on the quiet days of both sites.
    :param demand_margin: how much more than the present demand is provided for.
    :param idle_s: a machine above the need leaves after being idle for so long;
        a move out and back costs as much as some 5 s in a pool, and leaving
        earlier was worth more on both sites than 1.5 s.
    :param shrink_s: the need is the highest of so many past seconds.
    :param most_moves: at once, so that one wrong view does not empty a pool.
    :param cold_s: all machines stay out of the spare pool until the first job comes,
        for so long at most.
    :param cold_leave_s: then they leave one after the other over this time. Those on
        their way are away for 1.5 s, and that is when the first burst is seen.
    :param burst_machines: arrivals that need fewer machines are no burst.
    """

    least_machines: int = 2
    headroom_machines: float = 2.0
    demand_margin: float = 1.15
    idle_s: float = 0.8
    shrink_s: float = 1.5
    most_moves: int = 12
    cold_s: float = 30.0
    cold_leave_s: float = 3.0
    burst_machines: float = 1.0


@attrs.frozen
class MachineView:
    """One machine as the decision sees it.

    :param free_to_move: up, idle, and nothing was ordered for it.
    :param idle_for_s: since when nothing has run there.
    :param due: it still has to go into upkeep.
    :param lost_share: of its processor room, what its runner says that it lacks now.
    """

    machine_id: str
    pool: str
    rack: str
    cpu: int
    memory_mb: int
    free_to_move: bool
    usable: bool = True
    arriving: bool = False
    idle_for_s: float = 0.0
    due: bool = False
    lost_share: float = 0.0


@attrs.frozen
class PoolView:
    """One pool and how many machines it should have.

    :param keep: it gives none to the spare pool below this, though to other pools.
    """

    name: str
    is_spare: bool
    target: int = 0
    keep: int = 0


@attrs.frozen
class Move:
    """One machine into one pool."""

    machine_id: str
    source: str
    target: str


def target_size(
    demand: Demand, cpu: int, memory_mb: int, settings: CapacitySettings
) -> int:
    """Return how many machines of a size a demand needs."""
    by_cpu = demand.cpu * settings.demand_margin / cpu if cpu else 0.0
    by_memory = (
        demand.memory_mb * settings.demand_margin / memory_mb if memory_mb else 0
    )
    needed = max(by_cpu, by_memory) + settings.headroom_machines - NEGLIGIBLE
    return max(settings.least_machines, demand.machines, math.ceil(needed))


def plan_moves(
    pools: t.Sequence[PoolView],
    machines: t.Sequence[MachineView],
    settings: CapacitySettings,
) -> list[Move]:
    """Return the moves that bring each pool to its size, cheapest first.

    Only idle machines move. A pool that lacks machines gets them from the spare
    pool, then straight from pools that have idle ones too many. What is idle for
    a while and needed nowhere goes to the spare pool.
    """
    spares = [pool.name for pool in pools if pool.is_spare]
    lacking = {
        pool.name: pool.target - _present(pool.name, machines)
        for pool in pools
        if not pool.is_spare
    }
    available = _from_spares(spares, machines)
    available += _from_surplus(lacking, machines, settings)
    moves = _moves_to_lacking(lacking, available)
    if spares:
        idle = [m for m in available if m.idle_for_s >= settings.idle_s]
        moves += _moves_to_spare(pools, machines, idle, moves, spares[0])
    return moves[: settings.most_moves]


def _moves_to_spare(
    pools: t.Iterable[PoolView],
    machines: t.Sequence[MachineView],
    idle: t.Iterable[MachineView],
    moves: t.Iterable[Move],
    spare: str,
) -> list[Move]:
    """Return moves of idle machines that pools do not keep.

    :param moves: what was decided before.
    """
    left = collections.Counter(move.source for move in moves)
    may_leave = {
        pool.name: _present(pool.name, machines) - pool.keep - left[pool.name]
        for pool in pools
        if not pool.is_spare
    }
    found: list[Move] = []
    for machine in idle:
        if may_leave.get(machine.pool, 0) > 0:
            may_leave[machine.pool] -= 1
            found.append(Move(machine.machine_id, machine.pool, spare))
    return found


def _present(pool: str, machines: t.Iterable[MachineView]) -> int:
    return sum(
        machine.pool == pool and (machine.usable or machine.arriving)
        for machine in machines
    )


def _from_spares(
    spares: t.Collection[str], machines: t.Iterable[MachineView]
) -> list[MachineView]:
    found = [m for m in machines if m.pool in spares and m.free_to_move]
    return sorted(found, key=lambda machine: (machine.due, machine.machine_id))


def _from_surplus(
    lacking: dict[str, int],
    machines: t.Sequence[MachineView],
    settings: CapacitySettings,
) -> list[MachineView]:
    """Return the idle machines that pools with too many can give."""
    found: list[MachineView] = []
    for pool, missing in lacking.items():
        idle = [m for m in machines if m.pool == pool and m.free_to_move and m.usable]
        idle.sort(key=lambda machine: (not machine.due, -machine.idle_for_s))
        found += idle[: max(0, -missing)]
    return found


def _moves_to_lacking(
    lacking: dict[str, int], available: list[MachineView]
) -> list[Move]:
    """Take machines off those available, for the pool that lacks most first."""
    moves: list[Move] = []
    for pool in sorted(lacking, key=lambda name: -lacking[name]):
        for _ in range(max(0, lacking[pool])):
            machine = _take(available, pool)
            if machine is None:
                break
            moves.append(Move(machine.machine_id, machine.pool, pool))
    return moves


def _take(available: list[MachineView], pool: str) -> MachineView | None:
    for number, machine in enumerate(available):
        if machine.pool != pool:
            return available.pop(number)
    return None
