"""Tests how a link handles an order that got no answer."""

import typing as t

from streamthread.clocks import boot_s
from streamthread.runners import LinkSettings
from streamthread.runners import RunnerLink
from streamthread.scheduler import RunnerState


def _link() -> RunnerLink:
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
    runner.ready = True
    unused = t.cast(t.Any, None)
    return RunnerLink(runner, unused, unused, LinkSettings(), boot_s())


class TestUnansweredOrder:
    def test_stops_placement_on_a_runner_that_answers_nothing(self) -> None:
        link = _link()
        link.heard_at_s = 10.0
        link.on_order_unanswered(sent_at_s=10.5)
        assert not link.runner.ready

    def test_is_ignored_if_the_runner_has_answered_since(self) -> None:
        link = _link()
        link.heard_at_s = 11.0
        link.on_order_unanswered(sent_at_s=10.5)
        assert link.runner.ready


class TestStartDeadline:
    """Guards against starts that are carried out after an evacuation."""

    def test_is_limited_by_the_settings_and_by_the_sender(self) -> None:
        link = _link()
        link.clock.sync(10_000, boot_s())
        for limits, expected_ms in (((), 12_500), ((60.0,), 12_500), ((1.0,), 11_000)):
            assert abs(link.start_deadline_ms(*limits) - expected_ms) < 200

    def test_is_past_if_the_limit_of_the_sender_is(self) -> None:
        link = _link()
        link.clock.sync(10_000, boot_s())
        assert link.start_deadline_ms(-1.0) < 9_500
