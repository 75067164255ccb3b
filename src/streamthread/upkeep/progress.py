"""The progress of a wave, as it is persisted for the next holder."""

import json
import typing as t

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder

__all__ = ["WaveProgress"]

MACHINES_PER_ROW = 300
"""Number of machines in one row: with ids of 200 bytes they take 61 KB."""


def _ordered(machine_ids: t.Iterable[str]) -> dict[str, None]:
    return dict.fromkeys(machine_ids)


@attrs.define
class WaveProgress:
    """The progress of one wave.

    Its first row has the first machines, and each further row has some more of them, so
    that no row grows with the wave.

    :param first_seen_s: the wall time at which a holder first saw the wave.
    :param begun: machines whose upkeep the platform has accepted, in the order in which
        they were recorded.
    :param told: the last status that was written for the operator.
    """

    number: int
    first_seen_s: float
    begun: dict[str, None] = attrs.field(factory=dict, converter=_ordered)
    told: str = ""

    @property
    def last_row(self) -> int:
        """The number of the row with the machine that was recorded last."""
        return max(0, len(self.begun) - 1) // MACHINES_PER_ROW

    def key(self, row: int) -> str:
        """Return the key of one of the rows, which are counted from 0."""
        return f"{self.number}.{row}" if row else str(self.number)

    def encode(self, row: int = 0) -> bytes:
        """Encode the value of one of the rows."""
        first = row * MACHINES_PER_ROW
        machine_ids = list(self.begun)[first : first + MACHINES_PER_ROW]
        if row:
            return json.dumps(machine_ids).encode()
        return json.dumps(
            [self.number, self.first_seen_s, machine_ids, self.told]
        ).encode()

    @classmethod
    def decode(cls, value: bytes, more: t.Iterable[bytes] = ()) -> "WaveProgress":
        """Decode the rows of a wave.

        An earlier version has all machines in the first row.

        :param more: the further rows, in order.
        :raises UnreadableError: the first row does not describe a wave, or a further
            one is no list of machines.
        """
        row = _ROWS.decode(value, "wave")
        begun = list(row.begun)
        for machine_ids in more:
            begun += _MACHINES.decode(machine_ids, "wave")
        return cls(row.number, row.first_seen_s, begun, row.told)

    @staticmethod
    def parse_key(key: str) -> tuple[str, int]:
        """Return the key of a wave's first row, and the number of the row with a key.

        :raises UnreadableError: it is no key of such a row.
        """
        first, _, row = key.partition(".")
        if not row:
            return first, 0
        if not (row.isascii() and row.isdigit()):
            raise _ROWS.refuse_at("$", "its key names no row of a wave", key)
        return first, int(row)


class _Row(msgspec.Struct, array_like=True):
    number: Count
    first_seen_s: Amount
    begun: list[str]
    told: str = ""


_ROWS = Decoder[_Row](_Row)
_MACHINES = Decoder[list[str]](list[str])
