"""Which of the upstreams' slots belong to which entry, without asking anybody.

All entries know the same upstreams and the same live entries, so each can deal
the slots out alike: in a fixed order, in turn. While the views differ for a
moment two may claim one slot; the upstream refuses the second.
"""

import collections
import functools
import hashlib
import typing as t

__all__ = ["BorrowingBackoff", "own_slots"]

MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.4


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=4096)
def own_slots(
    upstreams: tuple[str, ...], slots: int, entries: tuple[str, ...], entry: str
) -> t.Mapping[str, int]:
    """Return how many slots of each upstream belong to one entry.

    The slots of all upstreams are dealt out in turn, so that shares differ by
    one at most and an entry's share is spread over the upstreams.

    :param upstreams: their ids, sorted.
    :param entries: the live entries' ids, sorted.
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
    """How soon an entry may try a slot that is not its own.

    While others leave slots unused a try succeeds, and the next may follow at
    once. A refusal doubles the pause, so that busy upstreams are left alone.
    """

    def __init__(self) -> None:
        self._pause_s = 0.0
        self._next_s = 0.0

    def may_try(self, now_s: float) -> bool:
        """Whether the pause is over."""
        return now_s >= self._next_s

    def note_refused(self, now_s: float) -> None:
        """Wait longer before the next try."""
        doubled_s = max(MIN_PAUSE_S, 2 * self._pause_s)
        self._pause_s = min(MAX_PAUSE_S, doubled_s)
        self._next_s = now_s + self._pause_s

    def note_accepted(self) -> None:
        """Try again at once."""
        self._pause_s = 0.0
        self._next_s = 0.0
