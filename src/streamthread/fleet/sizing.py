"""How many instances each pool should have now, and how many spares are shared.

A pure function of the configuration and the time, so every daemon finds the same
sizes without asking anybody. Spares are pooled: pools of one group share them,
since their errors seldom fall together, instead of a reserve for each pool.

Giving back what a burst leaves over costs a move now and one later; keeping it
costs idle instance hours until it is needed again. The two weights price these.
"""

import datetime
import math
import typing as t

import attrs

__all__ = ["Burst", "PoolOutlook", "Sizes", "Weights", "plan_sizes"]

PROTECTION = 2.0
"""Standard deviations of the declared sizes' error that are held as spares."""

MOVES_PER_RETURN = 2
"""An instance that is given back is moved out, and in again later."""


@attrs.frozen
class Burst:
    """A time in which a pool needs more.

    :param instances: how many more, as declared.
    """

    start: datetime.datetime
    end: datetime.datetime
    instances: int


@attrs.frozen
class Weights:
    """What the users weigh.

    :param buffer_weight: the price of one idle instance for an hour.
    :param move_weight: the price of one move.
    """

    buffer_weight: float = 1.0
    move_weight: float = 1.0

    def worth_keeping_h(self) -> float:
        """Return for how many idle hours keeping costs less than giving back."""
        if not self.buffer_weight:
            return math.inf
        return MOVES_PER_RETURN * self.move_weight / self.buffer_weight


@attrs.frozen
class PoolOutlook:
    """What is known of one pool.

    :param group: pools of one group can lend each other instances.
    :param quiet: what it needs outside of bursts.
    :param size_error: the relative error of its declared sizes.
    :param quiet_error: the relative error of what it needs outside of bursts.
    """

    name: str
    group: str
    quiet: int
    bursts: tuple[Burst, ...] = ()
    size_error: float = 0.25
    quiet_error: float = 0.05


@attrs.frozen
class Sizes:
    """The plan: a size for each pool, and the spares of each group."""

    pools: dict[str, int]
    spares: dict[str, int]


def plan_sizes(
    outlooks: t.Sequence[PoolOutlook],
    now: datetime.datetime,
    weights: Weights,
    lead: datetime.timedelta = datetime.timedelta(minutes=10),
) -> Sizes:
    """Return the sizes that hold at a time.

    :param lead: how long before a burst its instances should be there.
    """
    pools = {
        outlook.name: outlook.quiet + _extra(outlook, now, weights, lead)
        for outlook in outlooks
    }
    groups: dict[str, list[PoolOutlook]] = {}
    for outlook in outlooks:
        groups.setdefault(outlook.group, []).append(outlook)
    spares = {group: _spares(members, now, lead) for group, members in groups.items()}
    return Sizes(pools, spares)


def _extra(
    outlook: PoolOutlook,
    now: datetime.datetime,
    weights: Weights,
    lead: datetime.timedelta,
) -> int:
    """What bursts add now: the present one, or what is worth keeping for the next."""
    present = _declared(outlook, now, lead)
    keep = datetime.timedelta(hours=min(weights.worth_keeping_h(), 24.0 * 365))
    past = [burst for burst in outlook.bursts if burst.end <= now]
    if not past:
        return present
    left_over = max(past, key=lambda burst: burst.end)
    upcoming = [burst for burst in outlook.bursts if burst.start > now]
    if not upcoming:
        return present
    following = min(upcoming, key=lambda burst: burst.start)
    if following.start - left_over.end > keep:
        return present
    return max(present, min(left_over.instances, following.instances))


def _declared(
    outlook: PoolOutlook, now: datetime.datetime, lead: datetime.timedelta
) -> int:
    return sum(
        burst.instances
        for burst in outlook.bursts
        if burst.start - lead <= now < burst.end
    )


def _spares(
    members: t.Iterable[PoolOutlook],
    now: datetime.datetime,
    lead: datetime.timedelta,
) -> int:
    """Spares for the group: errors of different pools add up in squares."""
    variance = 0.0
    for outlook in members:
        variance += (outlook.size_error * _declared(outlook, now, lead)) ** 2
        variance += (outlook.quiet_error * outlook.quiet) ** 2
    return math.ceil(PROTECTION * math.sqrt(variance))
