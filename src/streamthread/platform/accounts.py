"""Decodes the client accounts of a configuration: API keys, shares and limits."""

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
    "ReportMistake",
    "build_key_table",
    "convert_account",
    "digest_key",
]

KeyDigest = bytes
"""The digest of an API key, used wherever a key is stored, compared or passed on."""

ReportMistake = t.Callable[[str, str, str], None]
"""Callback for a mistake: takes the account's name, the field and the message."""

DIGEST_BYTES = 16
"""Length of a key digest, large enough that no two keys with the same digest can be
found by trial."""

KeyTable = dict[KeyDigest, str]
"""Maps the digest of a key to the name of its account."""


def digest_key(key: str) -> KeyDigest:
    """Return the digest of a key. The key itself is not stored."""
    return hashlib.blake2b(
        key.encode(errors="backslashreplace"), digest_size=DIGEST_BYTES
    ).digest()


@attrs.frozen
class Limit:
    """Limits of what an account may run at once on all runners together; 0: no limit.

    :param cpu: thousandths of a core.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def allows(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        """Whether these total amounts may run at once."""
        return (
            (not self.cpu or cpu <= self.cpu)
            and (not self.memory_mb or memory_mb <= self.memory_mb)
            and (not self.gpu or gpu <= self.gpu)
        )


@attrs.frozen
class Account:
    """A client account, as configured by the operator.

    :param share: its share of the resources when they are all in use, and the promised
        number of jobs per second; on the wire ``weight``.
    :param digests: the digests of its keys.
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
    """An account in its wire format."""

    name: str
    api_keys: list[str] = []
    weight: Amount = 0.0
    maximum: _LimitRow | None = None


def convert_account(row: AccountRow) -> Account:
    """Return the account that a row describes."""
    limits = row.maximum or _LimitRow()
    return Account(
        name=row.name,
        share=row.weight,
        limit=Limit(limits.cpu, limits.mem_mb, limits.gpu),
        digests=tuple(digest_key(key) for key in row.api_keys if key),
    )


def build_key_table(
    accounts: t.Iterable[Account],
    before: KeyTable,
    report: ReportMistake,
) -> KeyTable:
    """Return the account of each key.

    A key that is listed under several accounts keeps the account that it had before if
    that account still lists it, and is rejected otherwise. So a key never gives access
    that it did not give before, and a mistake in one account does not lock out the
    clients of another.

    :param before: the table of the previous configuration.
    :param report: called for each further account that lists such a key.
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
            report(
                name, "$.apiKeys", f"lists a key that account {names[0]!r} lists, too"
            )
    return table
