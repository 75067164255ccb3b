"""Assigns the upstreams' slots to the daemons, without communication.

All daemons know the same upstreams and the same live daemons, so each computes the
same round-robin assignment in a fixed order. While their views differ for a moment,
two daemons may use the same slot; the upstream then refuses the second request.
"""

import collections
import functools
import hashlib
import typing as t

__all__ = ["BorrowingBackoff", "own_slots"]

MIN_PAUSE_S = 0.01
"""Pause after the first refusal in a borrowed slot."""

MAX_PAUSE_S = 0.4
"""Upper bound of the pause, which doubles with each refusal."""


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=4096)
def own_slots(
    upstreams: tuple[str, ...], slots: int, entries: tuple[str, ...], entry: str
) -> t.Mapping[str, int]:
    """Return how many slots of each upstream belong to one daemon.

    The slots of all upstreams are assigned round-robin, so that the daemons' totals
    differ by at most one and a daemon's slots are spread over the upstreams.

    :param upstreams: the sorted ids of the upstreams.
    :param slots: the number of slots of each upstream.
    :param entries: the sorted ids of the live daemons.
    :param entry: the id of the daemon whose slots are returned.
    """
    if entry not in entries:
        return {}
    order = sorted(entries, key=_hash)
    first_number = int.from_bytes(_hash(" ".join(upstreams)), "big")
    own_position = order.index(entry)
    shares: collections.Counter[str] = collections.Counter()
    slot_number = first_number
    for _ in range(slots):
        for upstream in upstreams:
            shares[upstream] += slot_number % len(order) == own_position
            slot_number += 1
    return dict(shares)


class BorrowingBackoff:
    """Exponential backoff for the use of slots that belong to other daemons.

    While other daemons leave slots unused, a request in such a slot is accepted and
    the next may follow at once. Each refusal doubles the pause, so that busy
    upstreams get fewer such requests.
    """

    def __init__(self) -> None:
        self._pause_s = 0.0
        self._next_s = 0.0

    def may_try(self, now_s: float) -> bool:
        """Whether the pause after the last refusal is over."""
        return now_s >= self._next_s

    def note_refused(self, now_s: float) -> None:
        """Double the pause, up to ``MAX_PAUSE_S``, and start it."""
        doubled_s = max(MIN_PAUSE_S, 2 * self._pause_s)
        self._pause_s = min(MAX_PAUSE_S, doubled_s)
        self._next_s = now_s + self._pause_s

    def note_accepted(self) -> None:
        """Reset the pause, so that the next try may follow at once."""
        self._pause_s = 0.0
        self._next_s = 0.0
