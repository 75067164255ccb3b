"""What the duties see of machines whose hall may not be used."""

import typing as t

import attrs
import pytest

from streamthread.halls import OpenHalls
from streamthread.holder.context import DutySettings
from streamthread.holder.duties import _of_open_halls
from streamthread.holder.machines import DutyKind
from streamthread.holder.machines import MachineTable
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineState
from streamthread.platform.manifest import Pool
from streamthread.scheduler import Engine
from streamthread.scheduler import RunnerState

MACHINE = Machine(
    "m-1", "desk", MachineState.UP, "z", ("a", "r"), 16_000, 100, 0, "i-1"
)


class _Halls(OpenHalls):
    def __init__(self) -> None:
        self.closed: set[str] = {"z"}

    def may_start(self, hall: str) -> bool:
        return hall not in self.closed


class _Manifest:
    pools: t.ClassVar = {"desk": Pool("desk"), "spare": Pool("spare", is_spare=True)}


class _Documents:
    manifest = _Manifest()
    waves: t.ClassVar[dict[int, t.Any]] = {}


@pytest.fixture
def halls() -> _Halls:
    return _Halls()


@pytest.fixture
def engine(halls: _Halls) -> Engine:
    engine = Engine(lambda job: None, halls=halls)
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 16_000, 100, 0)
    runner.ready = runner.heard = True
    engine.add_runner(runner)
    return engine


@pytest.fixture
def table(engine: Engine) -> MachineTable:
    return MachineTable(
        engine,
        t.cast(t.Any, _Documents()),
        t.cast(t.Any, None),
        DutySettings(),
        lambda *_: None,
    )


class TestMachine:
    def test_is_neither_usable_nor_arriving_and_may_leave_once_it_is_idle(
        self, table: MachineTable, engine: Engine
    ) -> None:
        view = table.view(MACHINE, due=False)
        assert view.closed and view.free_to_move
        assert not view.usable and not view.arriving
        engine.runners["i-1"].stray_runs = 1
        assert not table.view(MACHINE, due=False).free_to_move

    def test_that_does_not_answer_stays(
        self, table: MachineTable, engine: Engine
    ) -> None:
        """Guards against a move that ends runs on a machine that is only silent."""
        engine.runners["i-1"].ready = False
        assert not table.view(MACHINE, due=False).free_to_move

    def test_on_its_way_into_a_pool_is_not_arriving(self, table: MachineTable) -> None:
        moving = attrs.evolve(MACHINE, state=MachineState.MOVING)
        assert not table.view(moving, due=False).arriving
        new = attrs.evolve(MACHINE, runner_id="i-2")
        assert not table.view(new, due=False).arriving

    def test_is_usable_again_when_the_hall_is_taken_back(
        self, table: MachineTable, halls: _Halls
    ) -> None:
        table.view(MACHINE, due=False)
        halls.closed.clear()
        view = table.view(MACHINE, due=False)
        assert view.usable and not view.closed
        assert view.idle_for_s < 1.0


class TestOrder:
    def test_of_a_move_into_a_pool_is_not_sent_once_the_hall_is_closed(
        self, table: MachineTable, halls: _Halls
    ) -> None:
        """Guards against an order that was planned before the evacuation was read."""
        halls.closed.clear()
        spare = attrs.evolve(MACHINE, pool="spare", runner_id="")
        pending = table.reserve(spare, DutyKind.MOVE, "desk")
        assert table.may_send(spare, pending)
        halls.closed.add("z")
        assert not table.may_send(spare, pending)

    def test_of_a_move_to_the_spare_pool_is_sent(self, table: MachineTable) -> None:
        pending = table.reserve(MACHINE, DutyKind.MOVE, "spare")
        assert table.may_send(MACHINE, pending)


class TestSizes:
    def test_are_measured_by_machines_of_open_halls(self, table: MachineTable) -> None:
        closed = table.view(MACHINE, due=False)
        usable = table.view(attrs.evolve(MACHINE, zone="y"), due=False)
        assert _of_open_halls([closed, usable]) == [usable]

    def test_have_a_measure_while_all_halls_are_evacuated(
        self, table: MachineTable
    ) -> None:
        closed = table.view(MACHINE, due=False)
        assert _of_open_halls([closed]) == [closed]
