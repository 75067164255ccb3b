"""The progress of a wave, as it is persisted for the next holder."""

import json

import attrs
import msgspec

from ..decoding import Amount
from ..decoding import Count
from ..decoding import Decoder

__all__ = ["WaveProgress"]


@attrs.define
class WaveProgress:
    """The progress of one wave.

    :param first_seen_s: the wall time at which a holder first saw the wave.
    :param begun: machines whose upkeep the platform has accepted.
    :param told: the last status that was written for the operator.
    """

    number: int
    first_seen_s: float
    begun: set[str] = attrs.field(factory=set)
    told: str = ""

    def encode(self) -> bytes:
        """Encode the row's value."""
        return json.dumps(
            [self.number, self.first_seen_s, sorted(self.begun), self.told]
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> "WaveProgress":
        """Decode a row's value.

        :raises UnreadableError: the value does not describe a wave.
        """
        row = _ROWS.decode(value, "wave")
        return cls(row.number, row.first_seen_s, set(row.begun), row.told)


class _Row(msgspec.Struct, array_like=True):
    number: Count
    first_seen_s: Amount
    begun: list[str]
    told: str = ""


_ROWS = Decoder[_Row](_Row)
