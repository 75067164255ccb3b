"""Machines that a holder empties for a pool with a shortage."""

import typing as t

import pytest

from streamthread.holder.context import DutySettings
from streamthread.holder.handovers import Handovers
from streamthread.holder.machines import MachineTable
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineState
from streamthread.platform.manifest import Pool
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState

MACHINE = Machine(
    "m-1", "desk", MachineState.UP, "z", ("a", "r"), 16_000, 100, 0, "i-1"
)


class _Manifest:
    pools: t.ClassVar = {"desk": Pool("desk"), "spare": Pool("spare", is_spare=True)}


class _Documents:
    manifest = _Manifest()
    waves: t.ClassVar[dict[int, t.Any]] = {}


class _Cell:
    """One runner with one task, and what hands its machine over."""

    def __init__(self, lasting: bool = False) -> None:
        self.engine = Engine(lambda job: None)
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 16_000, 100, 0)
        self.runner.ready = self.runner.heard = True
        self.engine.add_runner(self.runner)
        step = StepRequest(count=1, cpu=1_000, memory_mb=1, lasting=lasting)
        job = Job("00", JobTerms("r", "desk"), JobRequest("", (step,)), b"", 0.0)
        self.engine.add(job)
        self.engine.begin_due(1.0)
        self.attempts = self.engine.place_all(1.0, lambda step: None)
        self.table = MachineTable(
            self.engine,
            t.cast(t.Any, _Documents()),
            t.cast(t.Any, None),
            DutySettings(),
            lambda *_: None,
        )
        self.table.machines["m-1"] = MACHINE
        self.kicks = 0
        self.handovers = Handovers(self.table, self._kick)

    def _kick(self) -> None:
        self.kicks += 1


@pytest.mark.parametrize("lasting", [False, True])
def test_a_machine_with_a_long_running_task_does_not_become_idle(lasting: bool) -> None:
    """Guards against a machine that is emptied for ever."""
    cell = _Cell(lasting)
    assert len(cell.attempts) == 1
    assert cell.handovers.may_empty("m-1") is not lasting


def test_a_marked_machine_gets_no_tasks_and_moves_once_it_is_idle() -> None:
    cell = _Cell()
    cell.handovers.update({"m-1"})
    view = cell.table.view(MACHINE, due=False)
    assert view.handing_over and not view.usable and not view.free_to_move
    cell.runner.attempts.clear()
    assert cell.table.view(MACHINE, due=False).free_to_move
    assert (cell.handovers.count, cell.kicks) == (1, 0)


def test_a_machine_is_used_again_once_it_is_not_needed_elsewhere() -> None:
    """Guards against a mark that outlives the shortage."""
    cell = _Cell()
    cell.handovers.update({"m-1"})
    cell.handovers.update(set())
    view = cell.table.view(MACHINE, due=False)
    assert view.usable and not view.handing_over
    assert cell.kicks == 1


def test_another_runner_of_a_marked_machine_is_marked_too() -> None:
    """Guards against new tasks on a machine whose runner started again."""
    cell = _Cell()
    cell.handovers.update({"m-1"})
    cell.runner.handing_over = False
    cell.handovers.update({"m-1"})
    assert cell.runner.handing_over
    assert cell.handovers.count == 1


def test_a_machine_that_is_emptied_for_upkeep_is_not_handed_over() -> None:
    """Guards against a move of a machine that a wave is about to take down."""
    cell = _Cell()
    cell.handovers.update({"m-1"})
    cell.runner.emptying = True
    view = cell.table.view(MACHINE, due=True)
    assert not view.handing_over and not view.usable
