"""Rendezvous hashing: which daemon should hold which shard."""

import functools
import hashlib
import typing as t

__all__ = ["first_ranked", "shard_of"]


def _weight(name: str, shard: int) -> int:
    digest = hashlib.blake2b(f"{shard}/{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def first_ranked(names: t.Collection[str], shard: int) -> str:
    """Return the name that ranks first for a shard, or ``""`` if there are none."""
    if not names:
        return ""
    return max(names, key=lambda name: (_weight(name, shard), name))


@functools.lru_cache(maxsize=65536)
def shard_of(subject: str, shard_count: int) -> int:
    """Return the shard of a subject such as ``pool/billing``."""
    digest = hashlib.blake2b(subject.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") % shard_count
