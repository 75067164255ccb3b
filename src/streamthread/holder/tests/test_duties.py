"""When a new holder may order the first duty."""

import pytest

from streamthread.cell import Suspicion
from streamthread.holder.duties import quiet_time_s

LEASE_S = 3.0
TRUST_S = 1.3


class TestQuietTime:
    @pytest.mark.parametrize("why", [Suspicion.SILENT, Suspicion.DOUBTFUL])
    def test_is_the_whole_lease_where_the_holder_may_be_well(
        self, why: Suspicion
    ) -> None:
        assert quiet_time_s(why, LEASE_S, TRUST_S) == LEASE_S

    @pytest.mark.parametrize("why", [Suspicion.PROCESS_GONE, Suspicion.RELEASED])
    def test_outlasts_the_trust_of_a_holder_that_is_gone(self, why: Suspicion) -> None:
        assert TRUST_S < quiet_time_s(why, LEASE_S, TRUST_S) < LEASE_S

    @pytest.mark.parametrize("why", [Suspicion.PROCESS_GONE, Suspicion.RELEASED])
    def test_is_never_longer_than_the_lease(self, why: Suspicion) -> None:
        assert quiet_time_s(why, 0.5, TRUST_S) == 0.5

    @pytest.mark.parametrize("why", [Suspicion.VACANT, Suspicion.OWN_EARLIER_LIFE])
    def test_is_none_where_nobody_held_the_cell(self, why: Suspicion) -> None:
        assert quiet_time_s(why, LEASE_S, TRUST_S) == 0.0
