"""A duty of a machine whose runner restarts under the same id."""

import typing as t

import attrs

from streamthread.clocks import boot_s
from streamthread.holder.context import DutySettings
from streamthread.holder.machines import DutyKind
from streamthread.holder.machines import MachineTable
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineList
from streamthread.platform.cloud import MachineState
from streamthread.scheduler import Engine
from streamthread.scheduler import RunnerState

MACHINE = Machine(
    "m-1", "desk", MachineState.UP, "z", ("a", "r"), 16_000, 100, 0, "i-1"
)


class _Documents:
    manifest = None
    waves: t.ClassVar[dict[int, t.Any]] = {}


class _Cloud:
    def __init__(self) -> None:
        self.listed = MACHINE

    async def machines(self) -> MachineList:
        return MachineList((self.listed,))


class _Cell:
    """A machine under a duty, in the states that the list shows one after the other."""

    def __init__(self) -> None:
        self.engine = Engine(lambda job: None)
        self.runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 16_000, 100, 0)
        self.engine.add_runner(self.runner)
        self.cloud = _Cloud()
        self.over: list[tuple[str, float]] = []
        self.table = MachineTable(
            self.engine,
            t.cast(t.Any, _Documents()),
            t.cast(t.Any, self.cloud),
            DutySettings(list_s=0.0),
            lambda runner_id, since_s, why: self.over.append((runner_id, since_s)),
        )

    async def show(self, state: MachineState, runner_id: str = "i-1") -> None:
        self.cloud.listed = attrs.evolve(MACHINE, state=state, runner_id=runner_id)
        await self.table.refresh()


class TestDutyOfARestartedRunner:
    async def test_ends_with_the_next_incarnation_under_the_same_id(self) -> None:
        """It does not stay pending as long as one that the cloud may not have begun."""
        cell = _Cell()
        cell.table.reserve(MACHINE, DutyKind.UPKEEP, "desk")
        await cell.show(MachineState.UPKEEP)
        assert cell.table.pending
        await cell.show(MachineState.UP)
        assert not cell.table.pending
        assert not cell.runner.reserved

    async def test_is_pending_until_a_list_has_shown_it(self) -> None:
        cell = _Cell()
        cell.table.reserve(MACHINE, DutyKind.UPKEEP, "desk")
        await cell.show(MachineState.UP)
        assert cell.table.pending
        assert cell.runner.reserved

    async def test_ends_the_incarnation_that_the_list_request_found(
        self,
    ) -> None:
        cell = _Cell()
        cell.table.reserve(MACHINE, DutyKind.MOVE, "audit")
        before_s = boot_s()
        await cell.show(MachineState.MOVING)
        ((runner_id, since_s),) = cell.over
        assert runner_id == "i-1"
        assert before_s <= since_s <= boot_s()


class TestMachineWithAnotherRunner:
    # Guards against runs that wait for their leases on a runner whose machine has long
    # come back with another one, under another address.
    async def test_ends_the_runner_that_it_had(self) -> None:
        cell = _Cell()
        await cell.show(MachineState.UP)
        before_s = boot_s()
        await cell.show(MachineState.UP, "i-2")
        ((runner_id, since_s),) = cell.over
        assert runner_id == "i-1"
        assert before_s <= since_s <= boot_s()
        assert list(cell.table.machines) == ["m-1"]

    async def test_ends_it_after_the_machine_was_listed_without_any(self) -> None:
        cell = _Cell()
        await cell.show(MachineState.UP)
        await cell.show(MachineState.DOWN, "")
        assert cell.over == []
        await cell.show(MachineState.UP, "i-2")
        assert [runner_id for runner_id, _ in cell.over] == ["i-1"]

    # Guards against an outdated list that ends the runner that is there.
    async def test_is_not_believed_to_have_its_former_one_again(self) -> None:
        cell = _Cell()
        for runner_id in ("i-1", "i-2", "i-1", "i-2"):
            await cell.show(MachineState.UP, runner_id)
        assert [runner_id for runner_id, _ in cell.over] == ["i-1"]

    async def test_ends_nothing_while_it_has_the_same(self) -> None:
        cell = _Cell()
        await cell.show(MachineState.UP)
        await cell.show(MachineState.UP)
        assert cell.over == []
