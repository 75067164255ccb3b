"""Tests the pause before a runner that reported ended runs is called again."""

from streamthread.runners import EndBatching
from streamthread.runners import LinkSettings
from streamthread.scheduler import Attempt
from streamthread.scheduler import RunnerState


def _batching(busy: int) -> EndBatching:
    runners = []
    for number in range(busy):
        runner = RunnerState(f"i-{number}", "desk", "x:1", "z", ("a", "r"), 1, 1, 0)
        runner.attempts["task", 1] = Attempt.__new__(Attempt)
        runners.append(runner)
    return EndBatching(lambda: runners)


class TestPause:
    def test_is_zero_while_few_runners_are_busy(self) -> None:
        assert _batching(10).pause_s() == 0.0

    def test_grows_with_the_number_of_busy_runners(self) -> None:
        assert 0.1 < _batching(85).pause_s() < _batching(150).pause_s()

    def test_stays_below_the_validity_of_a_start(self) -> None:
        settings = LinkSettings()
        left_s = settings.start_within_s - settings.wait_s - settings.answer_s
        assert _batching(18_000).pause_s() < left_s
