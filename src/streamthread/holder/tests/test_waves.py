"""When a wave goes on although pools need their machines."""

from streamthread.holder.waves import presses


class TestPressing:
    def test_leaves_pools_alone_while_there_is_time(self) -> None:
        assert not presses(left=60, most_at_once=30, rest_s=20.0)

    def test_begins_while_all_rounds_still_fit(self) -> None:
        assert presses(left=60, most_at_once=30, rest_s=14.0)
        assert presses(left=1, most_at_once=30, rest_s=9.0)

    def test_is_certain_once_the_time_is_over(self) -> None:
        assert presses(left=1, most_at_once=1, rest_s=-1.0)
