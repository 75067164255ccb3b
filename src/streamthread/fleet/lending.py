"""Which pools have the shared spares now.

A pool that needs more than its planned size borrows from its group's spares. It
gives back what it has not needed for as long as keeping costs less than moving,
or at once when another pool lacks one and none is left.
"""

import typing as t

import attrs

from .sizing import Weights

__all__ = ["Loan", "PoolUse", "lend_spares"]

LONGEST_UNNEEDED_H = 48.0


@attrs.frozen
class PoolUse:
    """What a pool needs beside what it was planned to have."""

    name: str
    planned: int
    needed: int

    @property
    def lacks(self) -> int:
        """How many it needs beyond its plan."""
        return max(0, self.needed - self.planned)


@attrs.frozen
class Loan:
    """What a pool has borrowed.

    :param unneeded_h: for how long it has not needed all of it.
    """

    count: int = 0
    unneeded_h: float = 0.0


def lend_spares(
    uses: t.Sequence[PoolUse],
    spares: int,
    before: t.Mapping[str, Loan],
    passed_h: float,
    weights: Weights,
) -> dict[str, Loan]:
    """Return the loans that follow from those before.

    :param spares: how many the group has in all, lent or not.
    :param passed_h: hours since the loans before.
    """
    keep_h = min(weights.worth_keeping_h(), LONGEST_UNNEEDED_H)
    loans = {
        use.name: _keep(use, before.get(use.name, Loan()), passed_h, keep_h)
        for use in uses
    }
    _grant(uses, loans, spares)
    return loans


def _keep(use: PoolUse, loan: Loan, passed_h: float, keep_h: float) -> Loan:
    """Keep what is needed, and for a while what is not."""
    if loan.count <= use.lacks:
        return Loan(loan.count)
    unneeded_h = loan.unneeded_h + passed_h
    if unneeded_h > keep_h:
        return Loan(use.lacks)
    return Loan(loan.count, unneeded_h)


def _grant(uses: t.Sequence[PoolUse], loans: dict[str, Loan], spares: int) -> None:
    """Lend to those that lack most; take back unneeded ones if none is left."""
    for use in sorted(uses, key=lambda use: (-use.lacks, use.name)):
        while loans[use.name].count < use.lacks:
            lent = sum(loan.count for loan in loans.values())
            if lent >= spares and not _take_back(uses, loans):
                return
            loans[use.name] = Loan(loans[use.name].count + 1)


def _take_back(uses: t.Sequence[PoolUse], loans: dict[str, Loan]) -> bool:
    """Take one from the pool that has not needed its loan for longest."""
    idle = [use for use in uses if loans[use.name].count > use.lacks]
    if not idle:
        return False
    longest = max(idle, key=lambda use: loans[use.name].unneeded_h)
    loan = loans[longest.name]
    loans[longest.name] = attrs.evolve(loan, count=loan.count - 1)
    return True
