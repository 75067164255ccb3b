"""Tests that an outdated list does not repeat a refused stop of a needed run."""

from streamthread.platform.runners import HoldReply

from .test_stops import _engine_with_runs


class TestOlderList:
    def test_does_not_repeat_a_stop_that_may_be_obsolete(self) -> None:
        """A list from before the run began arrives after the refusal of its stop.

        A list that contains the run lets it continue, because by now the step may not
        be able to spare another run.
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
