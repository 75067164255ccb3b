"""Idle instances and moves of three policies over a calendar of bursts."""

import datetime
import random
import typing as t

import attrs

from streamthread.fleet.lending import lend_spares
from streamthread.fleet.lending import Loan
from streamthread.fleet.lending import PoolUse
from streamthread.fleet.sizing import Burst
from streamthread.fleet.sizing import plan_sizes
from streamthread.fleet.sizing import PoolOutlook
from streamthread.fleet.sizing import Weights

from .cases import BEGIN
from .cases import Case
from .cases import DAYS
from .cases import GROUP
from .cases import Item

__all__ = ["account", "buffer_and_moves", "shared_spares"]

STEP = datetime.timedelta(hours=1)
QUIET_SIGMA = 0.02
"""How much the need outside of bursts varies from step to step, as a part."""

LEAST_BURST_FACTOR = 0.2
"""No burst turns out smaller than this part of what was declared."""


@attrs.define
class Account:
    """What a policy spent over the time."""

    buffer_instance_hours: float = 0.0
    moves: int = 0
    short_instance_hours: float = 0.0

    def add(
        self,
        need: t.Mapping[str, int],
        members: t.Mapping[str, int],
        unlent: int,
        hours: float,
    ) -> None:
        """Add a time during which pools had these members.

        :param unlent: the spares that no pool has.
        """
        short = sum(max(0, need[name] - members[name]) for name in members)
        idle = sum(max(0, members[name] - need[name]) for name in members)
        self.short_instance_hours += short * hours
        self.buffer_instance_hours += (idle + unlent) * hours


class Demand:
    """What pools really need: the declared bursts, off by their error."""

    def __init__(self, case: Case) -> None:
        self._generator = random.Random(case.seed + 1000)
        self._factors: dict[tuple[str, Burst], float] = {}

    def of(self, outlook: PoolOutlook, now: datetime.datetime) -> int:
        """Return the instances that a pool needs now."""
        need = outlook.quiet * (1 + self._generator.gauss(0, QUIET_SIGMA))
        for burst in outlook.bursts:
            if burst.start <= now < burst.end:
                key = (outlook.name, burst)
                error = self._generator.gauss(0, outlook.size_error)
                drawn = max(LEAST_BURST_FACTOR, 1 + error)
                factor = self._factors.setdefault(key, drawn)
                need += burst.instances * factor
        return round(need)


Policy = t.Callable[[list[PoolOutlook], datetime.datetime, dict[str, int]], "Held"]


@attrs.frozen
class Held:
    """What a policy holds: sizes of pools, and spares that all may use."""

    pools: dict[str, int]
    spares: int = 0
    weights: Weights = attrs.field(factory=lambda: Weights(1, 0))


def shared_spares(weights: Weights) -> Policy:
    """Return the policy of this project."""

    def policy(
        outlooks: list[PoolOutlook], now: datetime.datetime, need: dict[str, int]
    ) -> Held:
        sizes = plan_sizes(outlooks, now, weights)
        return Held(sizes.pools, sizes.spares[GROUP], weights)

    return policy


def reserve_per_pool(weights: Weights) -> Policy:
    """Return the baseline: each pool keeps its own reserve, at equal protection."""

    def policy(
        outlooks: list[PoolOutlook], now: datetime.datetime, need: dict[str, int]
    ) -> Held:
        pools = {}
        for outlook in outlooks:
            sizes = plan_sizes([outlook], now, weights)
            pools[outlook.name] = sizes.pools[outlook.name] + sizes.spares[GROUP]
        return Held(pools)

    return policy


def memoryless(
    outlooks: list[PoolOutlook], now: datetime.datetime, need: dict[str, int]
) -> Held:
    """Move at once to what each pool needs, with spares as ours."""
    spares = plan_sizes(outlooks, now, Weights()).spares[GROUP]
    return Held(dict(need), spares)


def account(case: Case, policy: Policy) -> Account:
    """Play the calendar once."""
    outlooks = case.outlooks()
    demand = Demand(case)
    spent = Account()
    members = {outlook.name: outlook.quiet for outlook in outlooks}
    loans: dict[str, Loan] = {}
    hours = STEP.total_seconds() / 3600
    for step in range(int(datetime.timedelta(days=DAYS) / STEP)):
        now = BEGIN + step * STEP
        need = {outlook.name: demand.of(outlook, now) for outlook in outlooks}
        held = policy(outlooks, now, need)
        uses = [PoolUse(name, held.pools[name], need[name]) for name in members]
        loans = lend_spares(uses, held.spares, loans, hours, held.weights)
        lent = {name: loan.count for name, loan in loans.items()}
        after = {name: held.pools[name] + lent[name] for name in members}
        spent.moves += sum(max(0, after[name] - members[name]) for name in members)
        members = after
        unlent = held.spares - sum(lent.values())
        spent.add(need, members, unlent, hours)
    return spent


def buffer_and_moves(case: Case) -> t.Iterator[Item]:
    """Compare with a reserve per pool and with moves without memory."""
    ours = account(case, shared_spares(case.weights))
    reserve = account(case, reserve_per_pool(case.weights))
    greedy = account(case, memoryless)
    yield Item(
        case.name,
        "buffer_instance_hours",
        ours.buffer_instance_hours,
        reserve.buffer_instance_hours,
    )
    yield Item(
        case.name,
        "short_instance_hours",
        ours.short_instance_hours,
        reserve.short_instance_hours,
    )
    yield Item(case.name, "moves", ours.moves, greedy.moves)
