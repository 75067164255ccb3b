"""Tests when all runs of a silent runner are certain to have expired."""

from hypothesis import given
from hypothesis import strategies as st

from streamthread.runners.clock import RunnerClock


class TestExpiry:
    @given(
        rate=st.floats(0.98, 1.0),
        offset_ms=st.integers(0, 10**7),
        sent_after_s=st.floats(0, 5),
        hold_s=st.floats(0.1, 10),
        asked_after_s=st.floats(0, 60),
    )
    def test_is_never_reported_before_the_runner_has_killed_all_runs(
        self,
        rate: float,
        offset_ms: int,
        sent_after_s: float,
        hold_s: float,
        asked_after_s: float,
    ) -> None:
        clock = RunnerClock()
        clock.sync(offset_ms, 100.0)
        deadline_ms = clock.deadline_ms(100.0 + sent_after_s, hold_s)
        now_s = 100.0 + sent_after_s + asked_after_s
        true_clock_ms = offset_ms + (now_s - 100.0) * 1000 * rate
        if clock.all_expired(now_s):
            assert true_clock_ms >= deadline_ms - 1

    def test_is_unknown_for_a_runner_that_never_answered(self) -> None:
        assert not RunnerClock().all_expired(1e9)

    def test_uses_the_latest_of_all_deadlines(self) -> None:
        clock = RunnerClock()
        clock.sync(0, 0.0)
        clock.deadline_ms(0.0, 9.0)
        clock.deadline_ms(1.0, 1.0)
        assert not clock.all_expired(5.0)
        assert clock.all_expired(9.3)
