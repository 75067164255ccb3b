"""The deployments that are measured, and what is measured of them."""

import datetime
import json
import random
import typing as t

import attrs

from streamthread.fleet.sizing import Burst
from streamthread.fleet.sizing import PoolOutlook
from streamthread.fleet.sizing import Weights

__all__ = ["BEGIN", "CASES", "DAYS", "GROUP", "Case", "Item"]

BEGIN = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
DAYS = 120
GROUP = "g"
"""All pools of a case are in one group, so that they share its spares."""

SIZE_ERROR = 0.25
"""How far a burst's real size may be off what was declared: one sigma, as a part."""


@attrs.frozen
class Case:
    """A deployment.

    :param quiet: what a pool needs outside of bursts.
    :param min_available: the budget of a pool.
    """

    name: str
    pools: int
    quiet: int
    min_available: int
    halls: int
    racks_of: int
    weights: Weights
    seed: int

    def outlooks(self) -> list[PoolOutlook]:
        """Return the pools with their bursts: a common season and some own."""
        generator = random.Random(self.seed)
        return [
            PoolOutlook(
                f"p{number}",
                GROUP,
                self.quiet,
                tuple(self._bursts(generator)),
                SIZE_ERROR,
            )
            for number in range(self.pools)
        ]

    def _bursts(self, generator: random.Random) -> t.Iterator[Burst]:
        season = BEGIN + datetime.timedelta(days=40)
        most = max(2, self.quiet // 2)
        yield Burst(season, season + datetime.timedelta(days=6), most)
        day = 5.0
        while day < DAYS - 10:
            day += generator.uniform(6, 25)
            length = generator.uniform(0.5, 3)
            start = BEGIN + datetime.timedelta(days=day)
            end = start + datetime.timedelta(days=length)
            yield Burst(start, end, generator.randint(2, most))
            day += length


CASES = (
    Case("teranga", 5, 8, 6, 4, 4, Weights(1, 4), 11),
    Case("fraser-delta", 5, 8, 6, 4, 4, Weights(1, 24), 12),
    Case("large", 20, 50, 45, 8, 16, Weights(1, 4), 13),
)


@attrs.frozen
class Item:
    """One measured value beside its baseline."""

    case: str
    measure: str
    value: float
    baseline: float | None = None

    def line(self) -> str:
        """Return the JSON line."""
        ratio = round(self.value / self.baseline, 3) if self.baseline else None
        return json.dumps(
            {
                "bench": "fleet",
                "case": self.case,
                "measure": self.measure,
                "value": round(self.value, 4),
                "baseline": None if self.baseline is None else round(self.baseline, 4),
                "ratio": ratio,
            }
        )
