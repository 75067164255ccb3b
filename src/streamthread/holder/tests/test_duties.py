"""When a new holder may order its first duty."""

import math

from streamthread.holder.duties import in_flight_wait_s
from streamthread.holder.duties import MAX_ORDER_LATENCY_S


class TestInFlightWait:
    def test_covers_the_last_order_of_an_earlier_holder(self) -> None:
        assert (
            in_flight_wait_s(exclusive_from_s=12.0, now_s=11.0)
            == 1.0 + MAX_ORDER_LATENCY_S
        )

    def test_is_zero_once_that_order_has_arrived(self) -> None:
        assert in_flight_wait_s(exclusive_from_s=10.0, now_s=11.0) == 0.0

    def test_is_zero_if_no_daemon_held_the_cell(self) -> None:
        assert in_flight_wait_s(exclusive_from_s=-math.inf, now_s=11.0) == 0.0
