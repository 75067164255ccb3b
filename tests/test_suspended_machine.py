"""A machine is suspended for seconds: its monotonic clock stands still meanwhile.

Found by reading: a holder measured the age of its last commit by the monotonic clock,
so that after a suspension it relied on a cell which another daemon had taken. Proved by
these tests, which failed before: it was trusted 5 s late, and so was an entry's lease.
"""

import pathlib
import re
import time
import typing as t

import pytest

import streamthread
from streamthread.cell import CommitLog
from streamthread.cell import LeaseTimes
from streamthread.holder.lease_validity import LeaseValidity
from streamthread.leases import LeaseRecord
from streamthread.leases import LeaseService
from streamthread.leases import LeaseSettings
from streamthread.runners.clock import RunnerClock

SUSPENDED_S = 5.0
SOURCES = pathlib.Path(streamthread.__file__).parent
STEADY_CLOCKS = re.compile(r"\b(?:time\.monotonic|perf_counter|CLOCK_MONOTONIC)\b")


class _Machine:
    """The clocks of a machine that can be suspended."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.suspended_s = 0.0
        self._read = time.clock_gettime
        patch.setattr(time, "clock_gettime", self._clock_gettime)

    def _clock_gettime(self, clock: int) -> float:
        read_s = self._read(clock)
        if clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME):
            return read_s + self.suspended_s
        return read_s


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> _Machine:
    return _Machine(monkeypatch)


class TestHolder:
    async def test_doubts_itself_when_it_wakes(self, machine: _Machine) -> None:
        nothing = t.cast(t.Any, None)
        began_at_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        log = CommitLog(nothing, "main", 1, 17, began_at_s, 0.4)
        trust = LeaseValidity(log, LeaseTimes(), most_hold_s=6.0)
        assert trust.trusted
        machine.suspended_s = SUSPENDED_S
        assert not trust.trusted
        assert trust.may_extend_s(3.0) == 0.0
        assert not trust.may_accept()


class TestEntry:
    def test_does_not_rely_on_its_lease_when_it_wakes(self, machine: _Machine) -> None:
        nothing = t.cast(t.Any, None)
        record = LeaseRecord("a", "1", 1, "x:1", "x:2", "hall")
        leases = LeaseService(nothing, nothing, record, LeaseSettings())
        leases._trusted_until_s = time.clock_gettime(time.CLOCK_BOOTTIME) + 2.0
        assert leases.is_trusted()
        machine.suspended_s = SUSPENDED_S
        assert not leases.is_trusted()


class TestRunnersClock:
    def test_goes_on_while_ours_is_suspended(self, machine: _Machine) -> None:
        """A start that is sent with the old reckoning would be refused as late."""
        clock = RunnerClock()
        clock.sync(1_000, time.clock_gettime(time.CLOCK_BOOTTIME))
        machine.suspended_s = SUSPENDED_S
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        assert clock.now_ms(now_s) >= 1_000 + SUSPENDED_S * 1000


class TestSources:
    def test_measure_durations_by_one_clock(self) -> None:
        """The stand-ins, which play other machines, have clocks of their own."""
        found = [
            str(path.relative_to(SOURCES))
            for path in SOURCES.rglob("*.py")
            if "standins" not in path.parts and path.name != "clocks.py"
            if STEADY_CLOCKS.search(path.read_text())
        ]
        assert found == []
