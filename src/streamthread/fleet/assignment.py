"""Which pool an instance belongs in, when several would take it."""

import typing as t

import attrs

__all__ = ["PoolNeed", "best_pool", "should_leave_for"]


@attrs.frozen
class PoolNeed:
    """What a pool wants.

    :param target: how many instances it wants; None takes all that match.
    :param present: how many it has.
    """

    name: str
    priority: int
    target: int | None
    present: int

    @property
    def has_room(self) -> bool:
        """Whether it takes one more."""
        return self.target is None or self.present < self.target

    @property
    def has_surplus(self) -> bool:
        """Whether it has more than it wants."""
        return self.target is not None and self.present > self.target


def best_pool(matching: t.Iterable[PoolNeed]) -> str:
    """Return the pool that takes a free instance, or ``""``.

    Of those with room, the highest priority wins; then the one that is
    furthest below its target; then the first by name.
    """

    def order(need: PoolNeed) -> tuple[int, float, str]:
        filled = need.present / need.target if need.target else 1.0
        return -need.priority, filled, need.name

    roomy = [need for need in matching if need.has_room]
    return min(roomy, key=order).name if roomy else ""


def should_leave_for(current: PoolNeed | None, matching: t.Iterable[PoolNeed]) -> str:
    """Return the pool that an instance should move to, or ``""`` to stay.

    An instance that still matches its pool stays, since staying costs nothing
    and a move does, unless a pool of higher priority is below its target, or
    its own pool has more than its target and another has room.

    :param current: its present pool, or None if it does not match it any more.
    """
    if current is None:
        return best_pool(matching)
    others = [
        need
        for need in matching
        if need.name != current.name and need.target is not None
    ]
    if not current.has_surplus:
        others = [need for need in others if need.priority > current.priority]
    return best_pool(others)
