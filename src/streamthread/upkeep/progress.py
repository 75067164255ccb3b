"""How far a wave has come, as it is kept for the next holder."""

import json

import attrs

__all__ = ["WaveProgress"]


@attrs.define
class WaveProgress:
    """One wave's progress.

    :param first_seen_s: wall time at which a holder first knew of the wave.
    :param begun: machines whose upkeep the platform has accepted.
    :param told: what was last written for the operator.
    """

    number: int
    first_seen_s: float
    begun: set[str] = attrs.field(factory=set)
    told: str = ""

    def encode(self) -> bytes:
        """Return the row's value."""
        return json.dumps(
            [self.number, self.first_seen_s, sorted(self.begun), self.told]
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> "WaveProgress":
        """Return what a row's value says."""
        number, first_seen_s, begun, told = json.loads(value)
        return cls(number, first_seen_s, set(begun), told)
