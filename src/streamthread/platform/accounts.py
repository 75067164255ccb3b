"""Decodes the client accounts of a configuration: keys, shares and limits."""

import hashlib
import typing as t

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count

__all__ = [
    "Account",
    "AccountRow",
    "KeyDigest",
    "KeyTable",
    "Limit",
    "NoteMistake",
    "build_key_table",
    "convert_account",
    "digest_key",
]

KeyDigest = bytes
"""What stands for a key wherever one is kept, compared or passed on."""

NoteMistake = t.Callable[[str, str, str], None]
"""Takes an account's name, a field of it and what is wrong there."""

DIGEST_BYTES = 16
"""Of a key: two keys of one digest are not to be found by trying."""

KeyTable = dict[KeyDigest, str]
"""The name of the account that a key opens, by the key's digest."""


def digest_key(key: str) -> KeyDigest:
    """Return what stands for a key; the key itself is kept nowhere."""
    return hashlib.blake2b(
        key.encode(errors="backslashreplace"), digest_size=DIGEST_BYTES
    ).digest()


@attrs.frozen
class Limit:
    """What an account may have running at once, over all runners; 0: no limit.

    :param cpu: thousandths of a core.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def allows(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        """Whether so much may run at once."""
        return (
            (not self.cpu or cpu <= self.cpu)
            and (not self.memory_mb or memory_mb <= self.memory_mb)
            and (not self.gpu or gpu <= self.gpu)
        )


@attrs.frozen
class Account:
    """A client account, as the operator wrote it.

    :param share: its part of the room when all is full, and the jobs a second that it
        is promised; on the wire ``weight``.
    :param digests: of the keys that open it.
    """

    name: str
    share: float = 0.0
    limit: Limit = Limit()
    digests: tuple[KeyDigest, ...] = attrs.field(default=(), repr=False)


class _LimitRow(msgspec.Struct, rename="camel"):
    cpu: Count = 0
    mem_mb: Count = 0
    gpu: Count = 0


class AccountRow(msgspec.Struct, rename="camel"):
    """An account as it stands on the wire."""

    name: str
    api_keys: list[str] = []
    weight: Amount = 0.0
    maximum: _LimitRow | None = None


def convert_account(row: AccountRow) -> Account:
    """Return the account that a row describes."""
    most = row.maximum or _LimitRow()
    return Account(
        name=row.name,
        share=row.weight,
        limit=Limit(most.cpu, most.mem_mb, most.gpu),
        digests=tuple(digest_key(key) for key in row.api_keys if key),
    )


def build_key_table(
    accounts: t.Iterable[Account],
    before: KeyTable,
    note: NoteMistake,
) -> KeyTable:
    """Return which account each key opens.

    A key that stands under two accounts goes on opening the one that it opened before,
    where that one still lists it, and opens nothing otherwise: so nobody comes to what
    was out of reach, and a slip in one account shuts no other one out.

    :param before: of the configuration before.
    :param note: is told of each such account.
    """
    owners: dict[KeyDigest, list[str]] = {}
    for account in accounts:
        for digest in dict.fromkeys(account.digests):
            owners.setdefault(digest, []).append(account.name)
    table: KeyTable = {}
    for digest, names in owners.items():
        if len(names) == 1:
            table[digest] = names[0]
            continue
        if before.get(digest) in names:
            table[digest] = before[digest]
        for name in names[1:]:
            note(name, "$.apiKeys", f"holds a key of the account {names[0]!r}, too")
    return table
