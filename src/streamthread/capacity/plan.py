"""Decides which machines move between pools, as a pure function of one view."""

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
    "count_present",
    "plan_moves",
    "target_size",
]


NEGLIGIBLE_MACHINES = 0.1
"""A need for no more than this share of one further machine adds no machine."""


@attrs.frozen
class CapacitySettings:
    """Settings that balance the cost of idle machines against the cost of moves.

    :param least_machines: minimum size of a pool, so that the loss of one machine does
        not stop it.
    :param headroom_machines: machines provided in addition to the demand, for the
        first jobs of a burst: a move takes longer than their objective allows. Of 0.6,
        1.2, 2 and 3, the value 2 gave the best results on quiet days at both sites.
    :param demand_margin: factor by which the present demand is multiplied.
    :param idle_s: an unneeded machine leaves its pool after it has been idle for this
        time. A move out and back costs as much as some 5 s in a pool; even so, a short
        time gave better results at both sites than 1.5 s.
    :param shrink_s: the size of a pool is the highest need within this past time.
    :param most_moves: maximum number of moves in one plan, so that one wrong view does
        not empty a pool.
    :param cold_s: after a start, all machines stay out of the spare pool until the
        first job arrives, but at most for this time.
    :param cold_leave_s: after the first job, the unneeded machines leave gradually over
        this time. A moving machine is missing for 1.5 s, and the first burst is
        detected just then, so not all of them may leave at once.
    :param burst_machines: arrivals that need fewer machines than this are not a burst.
    :param move_s: how long a machine takes from one pool to another; stated by the
        platform.
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
    move_s: float = 1.5


@attrs.frozen
class MachineView:
    """The properties of one machine that decide about its moves.

    :param free_to_move: it is up, it is idle or in a spare pool, and no order for it is
        pending.
    :param usable: it is up, no order for it is pending, and its runner may get new
        tasks.
    :param arriving: it is on its way into the pool.
    :param idle_for_s: how long nothing has run on it.
    :param due: it still has to go into upkeep.
    :param lost_share: the share of its CPU that its runner reports as missing at
        present.
    :param closed: its hall may not be used, so it is neither usable nor arriving, and
        moves to the spare pool only.
    :param handing_over: it gets no new tasks, since another pool needs it once it is
        idle. It is not usable then.
    :param used_cpu: what its tasks use.
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
    closed: bool = False
    handing_over: bool = False
    used_cpu: int = 0


@attrs.frozen
class PoolView:
    """One pool and the number of machines that it should have.

    :param target: the size for the work within the accounts' weights.
    :param keep: the pool gives no machines to the spare pool below this size, but it
        does give them to other pools.
    :param with_excess: the size for all work, if that is more than the target. Only
        what no pool needs is used for it.
    """

    name: str
    is_spare: bool
    target: int = 0
    keep: int = 0
    with_excess: int = 0


@attrs.frozen
class Move:
    """A move of one machine into another pool."""

    machine_id: str
    source: str
    target: str


def target_size(
    demand: Demand, cpu: int, memory_mb: int, settings: CapacitySettings
) -> int:
    """Return how many machines of the given size a demand needs."""
    by_cpu = demand.cpu * settings.demand_margin / cpu if cpu else 0.0
    by_memory = (
        demand.memory_mb * settings.demand_margin / memory_mb if memory_mb else 0
    )
    needed = max(by_cpu, by_memory) + settings.headroom_machines - NEGLIGIBLE_MACHINES
    return max(settings.least_machines, demand.machines, math.ceil(needed))


def plan_moves(
    pools: t.Sequence[PoolView],
    machines: t.Sequence[MachineView],
    settings: CapacitySettings,
) -> list[Move]:
    """Return the moves that bring each pool to its target size, cheapest first.

    Only idle machines move. A pool that lacks machines gets them from the spare pool,
    then directly from pools that have idle machines above their target. Machines that
    have been idle for ``idle_s`` and that no pool needs go to the spare pool. Machines
    of halls that may not be used go there as soon as they are idle. What is left after
    the targets is given to pools with excess.
    """
    spares = [pool.name for pool in pools if pool.is_spare]
    shortages = {
        pool.name: pool.target - count_present(pool.name, machines)
        for pool in pools
        if not pool.is_spare
    }
    available = _from_spares(spares, machines)
    available += _from_surplus(shortages, machines, settings)
    moves = _moves_to_shortages(shortages, available)
    moves += _moves_for_excess(pools, machines, available, moves)
    if spares:
        moves += _moves_from_closed_halls(spares, machines)
        idle = [m for m in available if m.idle_for_s >= settings.idle_s]
        moves += _moves_to_spare(pools, machines, idle, moves, spares[0])
    return moves[: settings.most_moves]


def _moves_from_closed_halls(
    spares: t.Sequence[str], machines: t.Iterable[MachineView]
) -> list[Move]:
    return [
        Move(machine.machine_id, machine.pool, spares[0])
        for machine in machines
        if machine.closed and machine.free_to_move and machine.pool not in spares
    ]


def _moves_for_excess(
    pools: t.Iterable[PoolView],
    machines: t.Sequence[MachineView],
    available: list[MachineView],
    moves: t.Iterable[Move],
) -> list[Move]:
    """Return moves of machines that no pool needs to pools with excess.

    A pool keeps what its own excess needs. The machines are removed from ``available``.

    :param available: machines of spare pools, and idle ones that pools do not need.
    :param moves: the moves that are already planned.
    """
    wanting = [pool for pool in pools if pool.with_excess > pool.target]
    if not wanting:
        return []
    incoming = collections.Counter(move.target for move in moves)
    leaving = collections.Counter(move.source for move in moves)
    shortages: dict[str, int] = {}
    for pool in wanting:
        present = count_present(pool.name, machines)
        present += incoming[pool.name] - leaving[pool.name]
        shortages[pool.name] = pool.with_excess - present
    kept = {name: -missing for name, missing in shortages.items()}
    free: list[MachineView] = []
    for machine in list(available):
        if machine.pool in kept:
            if kept[machine.pool] <= 0:
                continue
            kept[machine.pool] -= 1
        free.append(machine)
        available.remove(machine)
    found = _moves_to_shortages(shortages, free)
    available += free
    return found


def _moves_to_spare(
    pools: t.Iterable[PoolView],
    machines: t.Sequence[MachineView],
    idle: t.Iterable[MachineView],
    moves: t.Iterable[Move],
    spare: str,
) -> list[Move]:
    """Return moves to the spare pool of idle machines that pools do not keep.

    :param moves: the moves that are already planned.
    """
    leaving = collections.Counter(move.source for move in moves)
    may_leave = {
        pool.name: count_present(pool.name, machines)
        - max(pool.keep, pool.with_excess)
        - leaving[pool.name]
        for pool in pools
        if not pool.is_spare
    }
    found: list[Move] = []
    for machine in idle:
        if may_leave.get(machine.pool, 0) > 0:
            may_leave[machine.pool] -= 1
            found.append(Move(machine.machine_id, machine.pool, spare))
    return found


def count_present(pool: str, machines: t.Iterable[MachineView]) -> int:
    """Return how many machines of a pool are usable or on their way into it."""
    return sum(
        machine.pool == pool and (machine.usable or machine.arriving)
        for machine in machines
    )


def _from_spares(
    spares: t.Collection[str], machines: t.Iterable[MachineView]
) -> list[MachineView]:
    found = [
        m for m in machines if m.pool in spares and m.free_to_move and not m.closed
    ]
    return sorted(found, key=lambda machine: (machine.due, machine.machine_id))


def _from_surplus(
    shortages: dict[str, int],
    machines: t.Sequence[MachineView],
    settings: CapacitySettings,
) -> list[MachineView]:
    """Return the idle machines of pools that are above their target.

    Those that are handed over are above it in any case, and come first.
    """
    found: list[MachineView] = []
    for pool, missing in shortages.items():
        found += [
            m for m in machines if m.pool == pool and m.free_to_move and m.handing_over
        ]
        idle = [m for m in machines if m.pool == pool and m.free_to_move and m.usable]
        idle.sort(key=lambda machine: (not machine.due, -machine.idle_for_s))
        found += idle[: max(0, -missing)]
    return found


def _moves_to_shortages(
    shortages: dict[str, int], available: list[MachineView]
) -> list[Move]:
    """Return moves for the available machines, to the largest shortage first.

    The machines are removed from ``available``.
    """
    moves: list[Move] = []
    for pool in sorted(shortages, key=lambda name: -shortages[name]):
        for _ in range(max(0, shortages[pool])):
            machine = _pop_from_other_pool(available, pool)
            if machine is None:
                break
            moves.append(Move(machine.machine_id, machine.pool, pool))
    return moves


def _pop_from_other_pool(available: list[MachineView], pool: str) -> MachineView | None:
    for number, machine in enumerate(available):
        if machine.pool != pool:
            return available.pop(number)
    return None
