"""When a new holder may order the first duty."""

import math

from streamthread.holder.duties import ORDER_FLIGHT_S
from streamthread.holder.duties import quiet_time_s


class TestQuietTime:
    def test_outlasts_the_last_order_of_an_earlier_holder(self) -> None:
        assert quiet_time_s(exclusive_from_s=12.0, now_s=11.0) == 1.0 + ORDER_FLIGHT_S

    def test_is_over_once_that_order_has_arrived(self) -> None:
        assert quiet_time_s(exclusive_from_s=10.0, now_s=11.0) == 0.0

    def test_is_none_where_nobody_held_the_cell(self) -> None:
        assert quiet_time_s(exclusive_from_s=-math.inf, now_s=11.0) == 0.0
