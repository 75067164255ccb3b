"""An older list does not have a refused stop sent to a run that its job wants."""

from streamthread.platform.runners import HoldReply

from .test_stops import _engine_with_runs


class TestOlderList:
    def test_does_not_repeat_a_stop_that_may_not_be_wanted_any_more(self) -> None:
        """A list from before the run began comes after the refusal of its stop.

        A list that has the run lets it go on: the step may miss no other by now.
        """
        engine, job = _engine_with_runs()
        first, _ = job.attempts()
        engine.confirm(first, 5_000)
        engine.stop(first, "upkeep")
        engine.take_stops()
        assert first.stop is not None
        first.stop.under_way = False
        engine.on_hold(engine.runners["i-1"], HoldReply(4_990, (), ()))
        assert engine.take_stops() == []
