"""A machine's size is its full capacity while its current capacity is reduced."""

import typing as t

import attrs
import pytest

from streamthread.holder.context import DutySettings
from streamthread.holder.machines import MachineTable
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineState
from streamthread.scheduler import Engine
from streamthread.scheduler import RunnerState


class _Documents:
    manifest = None
    waves: t.ClassVar[dict[int, t.Any]] = {}


MACHINE = Machine(
    "m-1", "desk", MachineState.UP, "z", ("a", "r"), 16_000, 100, 0, "i-1"
)


@pytest.fixture
def runner() -> RunnerState:
    return RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 16_000, 100, 0)


@pytest.fixture
def table(runner: RunnerState) -> MachineTable:
    engine = Engine(lambda job: None)
    engine.add_runner(runner)
    cloud = t.cast(t.Any, None)
    documents = t.cast(t.Any, _Documents())
    return MachineTable(engine, documents, cloud, DutySettings(), lambda *_: None)


class TestMachineCapacity:
    def test_that_its_runner_lacks_is_reported_separately(
        self, table: MachineTable, runner: RunnerState
    ) -> None:
        runner.cpu = 4_000
        view = table.view(MACHINE, due=False)
        assert (view.cpu, view.lost_share) == (16_000, 0.75)

    def test_that_is_listed_as_reduced_keeps_its_full_size(
        self, table: MachineTable, runner: RunnerState
    ) -> None:
        table.view(MACHINE, due=False)
        runner.cpu = 1_600
        view = table.view(attrs.evolve(MACHINE, cpu=1_600), due=False)
        assert (view.cpu, view.lost_share) == (16_000, 0.9)

    def test_without_a_known_runner_is_used_as_listed(
        self, table: MachineTable
    ) -> None:
        view = table.view(attrs.evolve(MACHINE, runner_id="i-9"), due=False)
        assert (view.cpu, view.lost_share) == (16_000, 0.0)
