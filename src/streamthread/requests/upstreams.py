"""Tracks the health of each upstream, and chooses the upstream for a request."""

import random
import typing as t

import attrs

from ..clocks import boot_s

__all__ = ["Choice", "Upstream", "UpstreamHealth", "choose"]

FAILURES_BEFORE_EJECTION = 5
"""Number of failures without a success between them that eject an upstream."""

EJECTION_BASE_S = 2.0
"""Duration of the first ejection, which doubles with each further one."""

MAX_EJECTION_S = 60.0
"""Upper bound of this duration."""

MAX_EJECTED_FRACTION = 0.5
"""If more than this fraction of a service's upstreams is ejected, all are used."""

FULL_PAUSE_S = 0.02
"""Mean pause after an upstream refused a request because it had no free slot."""


@attrs.frozen
class Upstream:
    """An upstream that may be chosen.

    :param boot: boot number of the instance; a leaving mark is valid for one boot.
    :param limit: maximum number of requests in flight there from this daemon.
    :param own: how many of its slots belong to this daemon.
    """

    instance_id: str
    address: str
    hall: str
    boot: int
    limit: int
    own: int


@attrs.frozen
class Choice:
    """An upstream, and whether the slot there belongs to another daemon."""

    upstream: Upstream
    borrowed: bool


@attrs.define
class UpstreamHealth:
    """Requests in flight, refusals and failures of one upstream, as seen here.

    :param left_boot: the latest boot of the instance that announced its leaving.
    """

    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    full_until_s: float = 0.0
    left_boot: int = 0

    def note_success(self) -> None:
        """Reset the failure count and the ejection backoff."""
        self.failures = 0
        self.ejections = 0

    def note_failure(self, now_s: float) -> bool:
        """Count a failure; return whether it ejects the upstream."""
        self.failures += 1
        if self.failures < FAILURES_BEFORE_EJECTION:
            return False
        self.failures = FAILURES_BEFORE_EJECTION - 1
        pause_s = min(MAX_EJECTION_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until_s = now_s + pause_s
        return True

    def note_full(self, now_s: float) -> None:
        """Pause after a refusal: requests of other daemons occupy the slots."""
        self.full_until_s = now_s + FULL_PAUSE_S * random.uniform(0.5, 1.5)

    def is_ejected(self, now_s: float) -> bool:
        """Whether it is ejected; after the ejection one failure ejects it again."""
        return now_s < self.ejected_until_s


def choose(
    upstreams: t.Sequence[Upstream],
    health: t.Mapping[str, UpstreamHealth],
    hall: str,
    tried: t.Container[str] = (),
    may_borrow: bool = True,
    now_s: float | None = None,
) -> Choice | None:
    """Return the upstream for a request, or None if none can be used.

    Upstreams with a free slot that belongs to this daemon come first. Among several,
    the least loaded one is chosen; of equally loaded ones, one in the same hall, or
    else a random one. Ejected upstreams are left out, unless more than
    ``MAX_EJECTED_FRACTION`` of all are ejected.

    :param tried: ids of upstreams to leave out.
    :param may_borrow: whether slots of other daemons may be used.
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
