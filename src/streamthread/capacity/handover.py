"""Decides which busy machines are emptied for a pool that lacks machines."""

import collections
import typing as t

from .plan import MachineView
from .plan import Move
from .plan import PoolView

__all__ = ["plan_handovers"]


def plan_handovers(
    pools: t.Sequence[PoolView],
    machines: t.Sequence[MachineView],
    moves: t.Sequence[Move],
    may_empty: t.Callable[[str], bool] = lambda machine_id: True,
) -> set[str]:
    """Return the busy machines that get no new tasks, so that they can move once idle.

    A pool with more work than it can do in time has no idle machines until its backlog
    is done. What it has above its target, which is for the work that can still be in
    time, is handed to pools that lack machines for theirs. What runs there ends first.
    Machines that are being handed over already are kept, then those with the least load
    are taken.

    :param moves: the moves that are already planned.
    :param may_empty: whether a machine becomes idle by itself, given its id.
    """
    targets = {pool.name: pool.target for pool in pools if not pool.is_spare}
    present = collections.Counter(
        machine.pool
        for machine in machines
        if machine.usable or machine.arriving or machine.handing_over
    )
    for move in moves:
        present[move.target] += 1
        present[move.source] -= 1
    spared = {name: present[name] - target for name, target in targets.items()}
    missing = sum(max(0, -count) for count in spared.values())
    if not missing:
        return set()
    moving = {move.machine_id for move in moves}
    busy = [
        machine
        for machine in machines
        if machine.pool in targets
        and machine.machine_id not in moving
        and not machine.closed
        and (machine.handing_over or (machine.usable and not machine.free_to_move))
    ]
    found: set[str] = set()
    for machine in sorted(busy, key=lambda m: (not m.handing_over, m.used_cpu)):
        if len(found) >= missing:
            break
        if spared[machine.pool] > 0 and may_empty(machine.machine_id):
            spared[machine.pool] -= 1
            found.add(machine.machine_id)
    return found
