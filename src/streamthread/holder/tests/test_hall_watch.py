"""What is logged of halls that may not be used."""

import logbook
import pytest

from streamthread.halls import Evacuations
from streamthread.halls import HallRegistry
from streamthread.holder.hall_watch import HallWatch
from streamthread.platform.store import StoredRow
from streamthread.platform.table_feed import Update
from streamthread.scheduler import Engine
from streamthread.scheduler import RunnerState

GONE = None


ANY_AGE_S = 1e9
"""A bound on starts that no view of the evacuations is too old for."""


class _Cell:
    """One runner in the hall "z", and what the operator wrote."""

    def __init__(self) -> None:
        self.evacuations = Evacuations()
        self.write(whole=True)
        halls = HallRegistry(self.evacuations, ANY_AGE_S)
        self.engine = Engine(lambda job: None, halls=halls)
        self.runner = RunnerState("i-1", "desk", "x:1", "z", (), 9, 9, 0)
        self.engine.add_runner(self.runner)
        self.watch = HallWatch(self.engine, halls).watch

    def write(self, *values: bytes | None, whole: bool = False) -> None:
        for version, value in enumerate(values, 1):
            row = StoredRow("op", "", "evacuate/z", value, version)
            self.evacuations.apply(Update((row,), whole=False), 0.0)
        if whole:
            self.evacuations.apply(Update((), whole=True), 0.0)


@pytest.fixture
def cell() -> _Cell:
    return _Cell()


def _events(cell: _Cell) -> list[str]:
    with logbook.TestHandler(bubble=False) as handler:
        cell.watch()
    return [str(record.msg) for record in handler.records]


class TestHallWatch:
    def test_tells_once_that_an_evacuated_hall_is_empty(self, cell: _Cell) -> None:
        cell.runner.stray_runs = 1
        cell.write(b"{}")
        assert _events(cell) == []
        cell.runner.stray_runs = 0
        assert _events(cell) == ["hall-empty"]
        assert _events(cell) == []

    def test_tells_it_again_after_the_next_evacuation(self, cell: _Cell) -> None:
        cell.write(b"{}")
        assert _events(cell) == ["hall-empty"]
        cell.write(GONE)
        assert _events(cell) == []
        cell.write(b"{}")
        assert _events(cell) == ["hall-empty"]

    def test_tells_that_starts_wait_and_that_they_continue(self, cell: _Cell) -> None:
        cell.evacuations.is_read = False
        assert _events(cell) == ["starts-wait-for-halls"]
        assert _events(cell) == []
        cell.evacuations.is_read = True
        assert _events(cell) == ["halls-known-again"]
