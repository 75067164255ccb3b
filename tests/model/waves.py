"""A simulation in which a wave empties the machines of long-running tasks."""

import asyncio
import time
import typing as t

import attrs

from streamthread.platform.cloud import CloudClient
from streamthread.platform.cloud import DutyReply
from streamthread.platform.cloud import Machine
from streamthread.platform.cloud import MachineList
from streamthread.platform.cloud import MachineState
from streamthread.platform.documents import Wave

from .clock import BEGAN_AT_S
from .documents import Documents
from .documents import POOL
from .runners import address_of
from .runners import FULL_CPU
from .schedule import Schedule
from .simulation import Simulation

__all__ = ["MACHINES", "WavePlan", "WaveSimulation"]

MACHINES = 5
"""One for each task of the largest step, and some that the pool can do without."""

STOP_DURATION_S = 0.9
"""Duration of a stop: the longest that any deployment states."""

UPKEEP_S = 2.0

CALL_S = 0.005
"""Duration of a call of the cloud service."""


@attrs.frozen
class WavePlan:
    """A wave over all machines.

    :param most_at_once: how many machines may be in upkeep at the same time.
    :param order_s: how long a duty takes to reach the cloud service.
    """

    after_s: float
    duration_s: float
    most_at_once: int
    order_s: float = CALL_S


class FakeCloud(CloudClient):
    """Lists the machines and carries out upkeeps; no machine moves."""

    def __init__(self, simulation: "WaveSimulation", order_s: float) -> None:
        self._simulation = simulation
        self._order_s = order_s

    async def machines(self) -> MachineList:
        listed = tuple(self._simulation.machine(n) for n in range(MACHINES))
        await asyncio.sleep(CALL_S)
        return MachineList(listed)

    async def upkeep(
        self, machine_id, wave, holder, fencing_token, permit=None
    ) -> DutyReply:
        if permit is not None and not permit.may_leave():
            return DutyReply.BUSY
        # The order is carried out even if the holder that sent it is gone.
        order = asyncio.ensure_future(self._carry_out(machine_id))
        return await asyncio.shield(order)

    async def _carry_out(self, machine_id: str) -> DutyReply:
        await asyncio.sleep(self._order_s)
        return self._simulation.begin_upkeep(int(machine_id.rpartition("-")[2]))


class WaveSimulation(Simulation):
    """Carries out one wave, and checks that it ends in time where that is asked.

    :param must_end: whether the wave must end within its duration.
    :param earlier_orders_s: for how long a new holder presumes that an earlier one
        sends orders; None if that depends on the event by which the holder changes.
    """

    _runner_count = MACHINES

    def __init__(
        self,
        schedule: Schedule,
        plan: WavePlan,
        must_end: bool = False,
        earlier_orders_s: float | None = None,
    ) -> None:
        super().__init__(schedule)
        self._plan = plan
        self._must_end = must_end
        self._earlier_orders_s = earlier_orders_s
        self._cloud = FakeCloud(self, plan.order_s)
        self._documents: list[Documents] = []
        self._in_upkeep: set[int] = set()
        self._done: set[int] = set()

    async def execute(self) -> None:
        """Run the schedule and the wave."""
        loop = asyncio.get_running_loop()
        loop.call_later(self._plan.after_s, self._write_wave)
        if self._must_end:
            loop.call_later(self._plan.after_s + self._plan.duration_s, self._check_end)
        await super().execute()

    @property
    def _waves(self) -> dict[int, Wave]:
        if time.monotonic() < BEGAN_AT_S + self._plan.after_s:
            return {}
        machine_ids = tuple(f"machine-{n}" for n in range(MACHINES))
        plan = self._plan
        return {1: Wave(1, machine_ids, plan.duration_s, plan.most_at_once)}

    def _write_wave(self) -> None:
        self.record("the wave begins")
        for documents in self._documents:
            documents.waves.update(t.cast(dict[int, object], self._waves))

    def _check_end(self) -> None:
        left = set(range(MACHINES)) - self._done
        if left or self._in_upkeep:
            self._add_violation(f"the wave has not ended: {sorted(left)} are left")

    def _read_configuration(self) -> Documents:
        documents = super()._read_configuration()
        documents.waves.update(t.cast(dict[int, object], self._waves))
        self._documents.append(documents)
        return documents

    async def _acquire_cell(self, earlier_orders_s: float) -> None:
        if self._earlier_orders_s is not None:
            earlier_orders_s = self._earlier_orders_s
        await super()._acquire_cell(earlier_orders_s)

    def _boot(self, number: int) -> None:
        super()._boot(number)
        incarnation = self._runners.incarnations[address_of(number)]
        incarnation.stop_duration_s = STOP_DURATION_S

    # Machines.

    def machine(self, number: int) -> Machine:
        """Return a machine as the cloud service lists it now."""
        incarnation = self._runners.incarnations.get(address_of(number))
        state = MachineState.UP if incarnation is not None else MachineState.DOWN
        if number in self._in_upkeep:
            state = MachineState.UPKEEP
        return Machine(
            machine_id=f"machine-{number}",
            pool=POOL,
            state=state,
            zone=self._hall_of(number),
            labels=(),
            cpu=FULL_CPU,
            memory_mb=100,
            gpu=0,
            runner_id=incarnation.runner_id if incarnation is not None else "",
        )

    def begin_upkeep(self, number: int) -> DutyReply:
        """Take a machine down, which ends all runs there."""
        incarnation = self._runners.incarnations.get(address_of(number))
        if number in self._done or number in self._in_upkeep:
            return DutyReply.DONE
        if incarnation is None:
            return DutyReply.BUSY
        self.record(f"upkeep of machine-{number}")
        for task, run in incarnation.running:
            self._runners.availability.note_ended(task, run)
        self._in_upkeep.add(number)
        self._reboots.append(asyncio.ensure_future(self._take_down(number)))
        return DutyReply.DONE

    async def _take_down(self, number: int) -> None:
        await self._reboot(number, UPKEEP_S)
        self._in_upkeep.discard(number)
        self._done.add(number)
