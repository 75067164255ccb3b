"""The pause after a scheduling pass follows from the processor time that the pass took.

The failure: the pause was computed from elapsed time. A holder whose process or machine
was stopped for 4 s in the middle of a pass placed nothing for 16 s afterwards, although
runners were free.
"""

import asyncio
import typing as t

import attrs
import pytest

from streamthread.holder import queue
from streamthread.holder.queue import QueueLoop
from streamthread.holder.queue import QueueOwner
from streamthread.scheduler import StepRun

MAX_PAUSE_S = 0.3
"""Half of the callers' shortest latency objective, which is 0.6 s."""


@attrs.define
class Clocks:
    """The boot clock and the processor time of the process."""

    elapsed_s: float = 1000.0
    cpu_s: float = 10.0

    def boot_s(self) -> float:
        """Return what the boot clock shows."""
        return self.elapsed_s

    def processor_s(self) -> float:
        """Return the processor time that has been used."""
        return self.cpu_s


@attrs.define
class PassEngine:
    """An engine whose passes take some time and place nothing."""

    clocks: Clocks
    pass_elapsed_s: float = 0.0
    pass_cpu_s: float = 0.0
    passes: int = 0

    def begin_due(self, now_s: float) -> None:
        """Begin no occurrence."""

    def place_all(self, now_s: float, tickets_for: t.Any) -> list[t.Any]:
        """Count the pass, and let its time go by."""
        self.passes += 1
        self.clocks.elapsed_s += self.pass_elapsed_s
        self.clocks.cpu_s += self.pass_cpu_s
        return []

    def take_stops(self) -> list[t.Any]:
        """Return no stop."""
        return []


class Owner(QueueOwner):
    """A holder that may always place."""

    def __init__(self, engine: t.Any) -> None:
        self.engine = engine

    @property
    def may_place(self) -> bool:
        """Whether new tasks may be sent to runners now."""
        return True

    async def until_trusted(self) -> None:
        """Return at once."""

    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        """Run nothing."""
        call.close()

    def tickets_for(self, step: StepRun) -> t.Collection[str] | None:
        """Return that all runners may run it."""
        return None


@pytest.fixture(name="clocks")
def make_clocks(monkeypatch: pytest.MonkeyPatch) -> Clocks:
    """Return clocks that the queue reads."""
    clocks = Clocks()
    monkeypatch.setattr(queue, "boot_s", clocks.boot_s)
    monkeypatch.setattr(queue, "processor_s", clocks.processor_s, raising=False)
    return clocks


class TestPauseAfterPass:
    def test_of_a_suspended_process_is_bounded(self, clocks: Clocks) -> None:
        engine = PassEngine(clocks, pass_elapsed_s=4.0, pass_cpu_s=0.002)
        loop = QueueLoop(Owner(engine))
        loop.run_pass_soon()
        clocks.elapsed_s += MAX_PAUSE_S
        loop.run_pass_soon()
        assert engine.passes == 2

    def test_follows_from_processor_time_alone(self, clocks: Clocks) -> None:
        """A suspension must not count, however short it is."""
        engine = PassEngine(clocks, pass_elapsed_s=0.06, pass_cpu_s=0.002)
        loop = QueueLoop(Owner(engine))
        loop.run_pass_soon()
        clocks.elapsed_s += 0.009
        loop.run_pass_soon()
        assert engine.passes == 2

    def test_of_a_long_queue_is_bounded(self, clocks: Clocks) -> None:
        """A pass may take long on a slow machine; callers do not wait longer for it."""
        engine = PassEngine(clocks, pass_elapsed_s=4.0, pass_cpu_s=4.0)
        loop = QueueLoop(Owner(engine))
        loop.run_pass_soon()
        clocks.elapsed_s += MAX_PAUSE_S
        loop.run_pass_soon()
        assert engine.passes == 2

    def test_leaves_four_fifths_of_the_processor(self, clocks: Clocks) -> None:
        engine = PassEngine(clocks, pass_elapsed_s=0.05, pass_cpu_s=0.05)
        loop = QueueLoop(Owner(engine))
        loop.run_pass_soon()
        clocks.elapsed_s += 0.19
        loop.run_pass_soon()
        assert engine.passes == 1
        clocks.elapsed_s += 0.011
        loop.run_pass_soon()
        assert engine.passes == 2

    def test_interval_is_measured(self, clocks: Clocks) -> None:
        """Operators could not see a holder that places nothing for seconds."""
        loop = QueueLoop(Owner(PassEngine(clocks)))
        loop.run_pass_soon()
        clocks.elapsed_s += 4.0
        loop.run_pass_soon()
        (family,) = loop.pass_interval_s.collect()
        values = {
            sample.name: sample.value
            for sample in family.samples
            if not sample.name.endswith(("_bucket", "_created"))
        }
        assert values == {
            "streamthread_pass_interval_seconds_count": 1.0,
            "streamthread_pass_interval_seconds_sum": pytest.approx(4.0),
        }

    async def test_lets_the_loop_run_the_next_pass(self, clocks: Clocks) -> None:
        """The loop itself must go on after a suspension, without any event."""
        engine = PassEngine(clocks, pass_elapsed_s=4.0, pass_cpu_s=0.002)
        loop = QueueLoop(Owner(engine))
        task = asyncio.ensure_future(loop.run())
        try:
            async with asyncio.timeout(MAX_PAUSE_S + queue.MAX_PASS_INTERVAL_S):
                while engine.passes < 2:
                    loop.kick()
                    await asyncio.sleep(0.005)
        finally:
            task.cancel()
