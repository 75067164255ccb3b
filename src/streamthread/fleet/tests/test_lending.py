"""Shared spares: never lent twice, given back late, taken back when needed."""

import hypothesis
import hypothesis.strategies as st

from streamthread.fleet.lending import lend_spares
from streamthread.fleet.lending import Loan
from streamthread.fleet.lending import PoolUse
from streamthread.fleet.sizing import Weights

uses = st.lists(
    st.builds(
        PoolUse,
        name=st.sampled_from("abcd"),
        planned=st.integers(0, 9),
        needed=st.integers(0, 12),
    ),
    unique_by=lambda use: use.name,
    min_size=1,
)
histories = st.lists(uses, min_size=1, max_size=8)


class TestLendSpares:
    @hypothesis.given(histories, st.integers(0, 6), st.floats(0, 50))
    def test_never_lends_more_than_there_are(
        self, history: list[list[PoolUse]], spares: int, move_weight: float
    ) -> None:
        loans: dict[str, Loan] = {}
        for step in history:
            names = {use.name for use in step}
            known = {name: loan for name, loan in loans.items() if name in names}
            loans = lend_spares(step, spares, known, 1.0, Weights(1.0, move_weight))
            lent = sum(loan.count for loan in loans.values())
            assert lent <= spares
            lacking = sum(use.lacks > loans[use.name].count for use in step)
            idle = sum(loans[use.name].count > use.lacks for use in step)
            assert not (lacking and (idle or lent < spares))

    def test_unneeded_loan_is_kept_as_long_as_that_costs_less(self) -> None:
        quiet = [PoolUse("a", 5, 5)]
        weights = Weights(buffer_weight=1.0, move_weight=2.0)
        loans = {"a": Loan(2)}
        counts = []
        for _ in range(6):
            loans = lend_spares(quiet, 4, loans, 1.0, weights)
            counts.append(loans["a"].count)
        assert counts == [2, 2, 2, 2, 0, 0]
