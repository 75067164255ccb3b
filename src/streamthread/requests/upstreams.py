"""What this daemon knows of each upstream, and which one takes a request."""

import random
import typing as t

import attrs

from ..clocks import boot_s

__all__ = ["Choice", "Upstream", "UpstreamHealth", "choose"]

FAILURES_BEFORE_EJECTION = 5
EJECTION_BASE_S = 2.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_FRACTION = 0.5
FULL_PAUSE_S = 0.02


@attrs.frozen
class Upstream:
    """One upstream as it can be chosen.

    :param boot: which run of it; a leaving mark holds for one boot.
    :param limit: the most requests that this entry may have there at once.
    :param own: how many of its slots belong to this entry.
    """

    instance_id: str
    address: str
    hall: str
    boot: int
    limit: int
    own: int


@attrs.frozen
class Choice:
    """An upstream, and whether the slot there belongs to another entry."""

    upstream: Upstream
    borrowed: bool


@attrs.define
class UpstreamHealth:
    """In-flight requests, refusals and failures of one upstream, seen here."""

    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    full_until_s: float = 0.0
    left_boot: int = 0

    def note_success(self) -> None:
        """Trust it again."""
        self.failures = 0
        self.ejections = 0

    def note_failure(self, now_s: float) -> bool:
        """Count a failure; return whether it is ejected by it."""
        self.failures += 1
        if self.failures < FAILURES_BEFORE_EJECTION:
            return False
        self.failures = FAILURES_BEFORE_EJECTION - 1
        pause_s = min(MAX_EJECTION_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + pause_s
        return True

    def note_full(self, now_s: float) -> None:
        """It refused for want of a slot: others use it too."""
        self.full_until_s = now_s + FULL_PAUSE_S * random.uniform(0.5, 1.5)

    def is_ejected(self, now_s: float) -> bool:
        """Whether it is left out; afterwards one failure ejects it again."""
        return now_s < self.ejected_until_s


def choose(
    upstreams: t.Sequence[Upstream],
    health: t.Mapping[str, UpstreamHealth],
    hall: str,
    tried: t.Container[str] = (),
    may_borrow: bool = True,
    now_s: float | None = None,
) -> Choice | None:
    """Return the upstream for a request, or None while all are full.

    Own slots come first: the least loaded upstream wins, of equals one in the
    same hall, else one at random. Ejected ones are left out, unless too many
    would be.
    """
    now_s = boot_s() if now_s is None else now_s
    usable = [
        upstream
        for upstream in _not_ejected(upstreams, health, now_s)
        if upstream.instance_id not in tried
        and health[upstream.instance_id].in_flight < upstream.limit
        and health[upstream.instance_id].full_until_s <= now_s
    ]

    def load(upstream: Upstream) -> int:
        return health[upstream.instance_id].in_flight

    def order(upstream: Upstream) -> tuple[int, bool, float]:
        return load(upstream), upstream.hall != hall, random.random()

    own = [upstream for upstream in usable if load(upstream) < upstream.own]
    if own:
        return Choice(min(own, key=order), borrowed=False)
    if usable and may_borrow:
        return Choice(min(usable, key=order), borrowed=True)
    return None


def _not_ejected(
    upstreams: t.Sequence[Upstream],
    health: t.Mapping[str, UpstreamHealth],
    now_s: float,
) -> list[Upstream]:
    remaining = [
        upstream
        for upstream in upstreams
        if not health[upstream.instance_id].is_ejected(now_s)
    ]
    if len(remaining) >= len(upstreams) * (1 - MAX_EJECTED_FRACTION):
        return remaining
    return list(upstreams)
