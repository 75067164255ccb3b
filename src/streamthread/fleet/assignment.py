"""Which pool an instance belongs in, when several would take it."""

import typing as t

import attrs

__all__ = ["PoolNeed", "best_pool", "should_leave_for"]


@attrs.frozen
class PoolNeed:
    """What a pool wants.

    :param target: how many instances it wants; 0 takes all that match.
    :param present: how many it has.
    """

    name: str
    priority: int
    target: int
    present: int

    @property
    def has_room(self) -> bool:
        """Whether it takes one more."""
        return self.target == 0 or self.present < self.target


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

    An instance that still matches its pool stays, unless a pool of higher
    priority is below its target: staying costs nothing, a move does.

    :param current: its present pool, or None if it does not match it any more.
    """
    others = [need for need in matching if current is None or need.name != current.name]
    if current is not None:
        others = [
            need
            for need in others
            if need.priority > current.priority and need.target and need.has_room
        ]
    return best_pool(others)
