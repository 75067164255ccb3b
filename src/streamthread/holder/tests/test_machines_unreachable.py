"""The service with the machines' interface can't be reached for some time.

Tasks are placed on the machines that there are. Decisions about machines wait, and
those after the outage are made from what was seen during it.
"""

import asyncio
import contextlib
import math
import types
import typing as t

import attrs
import pytest

from streamthread.capacity import CapacitySettings
from streamthread.errors import NoAnswerError
from streamthread.errors import StoreUnavailableError
from streamthread.holder.context import DutySettings
from streamthread.holder.duties import DutyLoop
from streamthread.platform.cloud import DutyReply
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineList
from streamthread.platform.cloud import MachineState
from streamthread.platform.documents import Wave
from streamthread.platform.manifest import Pool
from streamthread.platform.store import Page
from streamthread.scheduler import Engine
from streamthread.scheduler import RunnerState
from streamthread.unreadable import UnreadableNotes

COUNT = 6
SOON_S = 5.0

CAPACITY = CapacitySettings(idle_s=0.0, shrink_s=0.0, cold_s=0.0, cold_leave_s=0.001)
DUTIES = DutySettings(list_s=0.05, tick_s=0.01, capacity=CAPACITY)


class _Cloud:
    """A cloud service whose list can fail at once or stay without an answer."""

    def __init__(self) -> None:
        self.refuses = False
        self.silent = False
        self.lists = 0
        self.moves: list[str] = []
        self.upkeeps: list[str] = []

    async def machines(self) -> MachineList:
        self.lists += 1
        if self.refuses:
            raise StoreUnavailableError("refused", remedy="-")
        if self.silent:
            while self.silent:
                await asyncio.sleep(0.01)
            raise NoAnswerError("no answer", remedy="-")
        return MachineList(tuple(_machine(n) for n in range(COUNT)))

    async def move(self, machine_id: str, *_: t.Any) -> DutyReply:
        self.moves.append(machine_id)
        return DutyReply.DONE

    async def upkeep(self, machine_id: str, *_: t.Any) -> DutyReply:
        self.upkeeps.append(machine_id)
        return DutyReply.DONE


def _machine(number: int) -> Machine:
    return Machine(
        f"m-{number}", "desk", MachineState.UP, "z", ("a",), 1000, 100, 0, f"i-{number}"
    )


class _Cell:
    """A holder's duties with one pool of idle runners, and how many it needs."""

    def __init__(self, settings: DutySettings) -> None:
        self.cloud = _Cloud()
        self.engine = Engine(lambda job: None)
        for n in range(COUNT):
            runner = RunnerState(f"i-{n}", "desk", "x:1", "z", ("a",), 1000, 100, 0)
            runner.ready = runner.heard = True
            self.engine.add_runner(runner)
        pools = {"desk": Pool("desk"), "off": Pool("off", is_spare=True)}
        self.waves: dict[int, Wave] = {}
        self.context = types.SimpleNamespace(
            daemon_id="daemon",
            documents=types.SimpleNamespace(
                manifest=types.SimpleNamespace(pools=pools), waves=self.waves
            ),
            notes=UnreadableNotes(),
        )
        self.taken = types.SimpleNamespace(exclusive_from_s=-math.inf)
        self.token = 1
        self.links: dict[str, t.Any] = {}
        self.log = types.SimpleNamespace(mark=lambda *_: None)
        self.trusted = True
        self.releasing = False
        self.needed = COUNT
        self.decisions: list[int] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.duties = DutyLoop(t.cast(t.Any, self), t.cast(t.Any, self.cloud), settings)
        self.duties._sizes._wanted = (  # type: ignore[method-assign]
            lambda *_: self.needed
        )
        self._decide = self.duties._decide
        self.duties._decide = self._counted  # type: ignore[method-assign]

    def _counted(self) -> None:
        before = self.duties.moves
        self._decide()
        self.decisions.append(self.duties.moves - before)

    def policy_coverage(self) -> dict[str, t.Any]:
        return {}

    async def until_trusted(self) -> None:
        return

    async def while_trusted(self, call: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return await call

    async def read_cell_table(self, table: str) -> Page:
        return Page((), 1)

    def spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        self.tasks.append(asyncio.ensure_future(call))

    def kick(self) -> None:
        """No queue runs here."""

    async def lists(self, count: int) -> None:
        """Wait until the list was requested this many more times."""
        wanted = self.cloud.lists + count
        await until(lambda: self.cloud.lists >= wanted)

    async def passes(self, for_s: float) -> None:
        """Wait for some time of the event loop."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        await until(lambda: loop.time() >= end_s)


async def until(condition: t.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(SOON_S):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def _running(
    settings: DutySettings = DUTIES, reachable: bool = True
) -> t.AsyncIterator[_Cell]:
    cell = _Cell(settings)
    cell.cloud.refuses = not reachable
    cell.spawn(cell.duties.run())
    try:
        if reachable:
            await until(lambda: bool(cell.decisions))
        yield cell
    finally:
        for task in cell.tasks:
            task.cancel()
        await asyncio.gather(*cell.tasks, return_exceptions=True)


def _with(**capacity: t.Any) -> DutySettings:
    return attrs.evolve(DUTIES, capacity=attrs.evolve(CAPACITY, **capacity))


class TestDecisionsAboutMachines:
    # Guards against orders by an outdated list between two failed reads of it. Each one
    # takes a runner out of placement until the list is back.
    async def test_wait_while_the_list_is_refused(self) -> None:
        async with _running() as cell:
            cell.cloud.refuses = True
            await cell.lists(2)
            cell.needed = 2
            await cell.lists(4)
            assert cell.cloud.moves == []
            assert not any(r.reserved for r in cell.engine.runners.values())
            cell.cloud.refuses = False
            await until(lambda: bool(cell.cloud.moves))

    async def test_wait_while_the_list_is_not_answered(self) -> None:
        async with _running() as cell:
            cell.cloud.silent = True
            await cell.lists(1)
            cell.needed = 2
            await cell.passes(0.2)
            assert cell.cloud.moves == []

    async def test_come_in_limited_numbers_after_the_outage(self) -> None:
        async with _running(_with(most_moves=2)) as cell:
            cell.cloud.refuses = True
            await cell.lists(2)
            cell.needed = 2
            await cell.lists(2)
            cell.decisions.clear()
            cell.cloud.refuses = False
            await until(lambda: len(cell.cloud.moves) == COUNT - 2)
            assert max(cell.decisions) == 2

    # Guards against machines that leave their pool when the list is back and return at
    # once, since what was needed during the outage is not known.
    @pytest.mark.parametrize("fault", ["refuses", "silent"])
    async def test_remember_what_was_needed_during_the_outage(self, fault: str) -> None:
        async with _running(_with(shrink_s=0.4)) as cell:
            setattr(cell.cloud, fault, True)
            await cell.lists(1)
            await cell.passes(0.6)
            cell.needed = 2
            cell.decisions.clear()
            setattr(cell.cloud, fault, False)
            await until(lambda: bool(cell.decisions))
            assert cell.cloud.moves == []
            await until(lambda: len(cell.cloud.moves) == COUNT - 2)

    # Guards against machines that get no tasks for a move that can't be decided now.
    @pytest.mark.parametrize("fault", ["refuses", "silent"])
    async def test_hand_over_no_machine_during_the_outage(self, fault: str) -> None:
        async with _running() as cell:
            setattr(cell.cloud, fault, True)
            await cell.lists(1)
            machine_id, machine = next(iter(cell.duties._table.machines.items()))
            runner = cell.duties._table.runner_of(machine)
            assert runner is not None
            cell.duties._handovers.update({machine_id})
            assert runner.handing_over
            await until(lambda: not runner.handing_over)

    # Guards against machines that count as idle since before the outage although they
    # were at work during it.
    async def test_know_which_machines_were_at_work_during_the_outage(self) -> None:
        async with _running(_with(idle_s=0.4)) as cell:
            await cell.passes(0.5)
            cell.cloud.refuses = True
            await cell.lists(2)
            runners = list(cell.engine.runners.values())
            for runner in runners:
                runner.attempts["task", 1] = t.cast(t.Any, None)
            await cell.lists(3)
            for runner in runners:
                runner.attempts.clear()
            cell.needed = 2
            cell.decisions.clear()
            cell.cloud.refuses = False
            await until(lambda: bool(cell.decisions))
            assert cell.cloud.moves == []


class TestHolderThatBeginsDuringTheOutage:
    # Guards against decisions without any machine, and against a number of orders at
    # once when the first list comes.
    async def test_orders_in_limited_numbers_once_it_has_a_list(self) -> None:
        async with _running(_with(most_moves=2), reachable=False) as cell:
            cell.needed = 2
            await cell.lists(4)
            assert cell.decisions == []
            cell.cloud.refuses = False
            await until(lambda: len(cell.cloud.moves) == COUNT - 2)
            assert max(cell.decisions) == 2
            assert not cell.tasks[0].done()


class TestMachinesThatAreEmptied:
    # Guards against runners that get no tasks for the whole outage, since their upkeep
    # was about to be ordered when it began.
    async def test_get_tasks_while_no_upkeep_can_be_ordered(self) -> None:
        async with _running() as cell:
            runner = cell.engine.runners["i-0"]
            runner.attempts["task", 1] = t.cast(t.Any, types.SimpleNamespace())
            cell.duties._waves._long_running = t.cast(
                t.Any, types.SimpleNamespace(move_away=lambda runner: None)
            )
            cell.needed = 2
            cell.waves[1] = Wave(1, ("m-0",), 1.0, 1)
            await until(lambda: runner.emptying)
            cell.cloud.refuses = True
            await until(lambda: not runner.emptying)
            await cell.lists(2)
            assert not runner.emptying
            cell.cloud.refuses = False
            await until(lambda: runner.emptying)
