"""The sizes that the burst calendar asks for now, as the configuration has it."""

import datetime
import typing as t

from ..configuration import ActiveConfiguration
from ..configuration import BurstSpec
from ..configuration import ItemKind
from ..configuration import PoolSpec
from .sizing import Burst
from .sizing import plan_sizes
from .sizing import PoolOutlook
from .sizing import Sizes
from .sizing import Weights

__all__ = ["Planner", "utc_now"]

PLANNED_EVERY = datetime.timedelta(seconds=10)


def utc_now() -> datetime.datetime:
    """Return the wall time."""
    return datetime.datetime.now(datetime.UTC)


class Planner:
    """Plans the sizes of the pools that belong to groups, now and then.

    Pools without a group have the target that their item states.
    """

    def __init__(
        self,
        active: ActiveConfiguration,
        weights: Weights,
        now: t.Callable[[], datetime.datetime] = utc_now,
    ) -> None:
        self._active = active
        self._weights = weights
        self._now = now
        self._sizes: Sizes | None = None
        self._planned_at: datetime.datetime | None = None

    def forget(self) -> None:
        """Plan anew with the next question: the configuration changed."""
        self._planned_at = None

    def sizes_changed(self) -> bool:
        """Plan if it is time; return whether any size is another."""
        before = self._sizes
        return self._plan() != before

    def now(self) -> datetime.datetime:
        """Return the wall time that plans go by."""
        return self._now()

    def in_burst(self, name: str) -> bool:
        """Whether the calendar has a burst of a pool now."""
        now = self._now()
        return any(
            burst.start <= now < burst.end
            for spec in self._active.specs(ItemKind.BURST, BurstSpec).values()
            if spec.pool == name and (burst := _burst(spec))
        )

    def target(self, name: str, spec: PoolSpec) -> int | None:
        """Return how many instances a pool wants; None takes all that match."""
        if not spec.group:
            return spec.target or None
        sizes = self._plan()
        if spec.spare:
            return sizes.spares.get(spec.group, 0)
        return sizes.pools.get(name, spec.target)

    def _plan(self) -> Sizes:
        now = self._now()
        due = self._planned_at is None or now - self._planned_at >= PLANNED_EVERY
        if due or self._sizes is None:
            self._sizes = plan_sizes(self._outlooks(), now, self._weights)
            self._planned_at = now
        return self._sizes

    def _outlooks(self) -> list[PoolOutlook]:
        pools = self._active.specs(ItemKind.POOL, PoolSpec)
        bursts: dict[str, list[Burst]] = {}
        for burst in self._active.specs(ItemKind.BURST, BurstSpec).values():
            bursts.setdefault(burst.pool, []).append(_burst(burst))
        return [
            PoolOutlook(
                name,
                spec.group,
                spec.target,
                tuple(bursts.get(name, ())),
                spec.size_error,
            )
            for name, spec in pools.items()
            if spec.group and not spec.spare
        ]


def _burst(spec: BurstSpec) -> Burst:
    start = datetime.datetime.fromisoformat(spec.start)
    end = datetime.datetime.fromisoformat(spec.end)
    return Burst(start, end, spec.instances)
