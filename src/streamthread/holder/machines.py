"""The machines as the cloud lists them, and what was ordered for each."""

import enum
import typing as t

import attrs
import logbook

from ..capacity import MachineView
from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..platform.cloud import CloudClient
from ..platform.cloud import Machine
from ..platform.cloud import MachineState
from ..platform.cloud import UnreadableMachine
from ..scheduler import Engine
from ..scheduler import RunnerState
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .context import DutySettings
from .context import ManifestSource

__all__ = ["DutyKind", "MachineTable", "PendingDuty"]

log = logbook.Logger("streamthread.duties")

DUTY_STATES = (MachineState.MOVING, MachineState.UPKEEP)
"""Whatever ran on a machine died as it came into one of these."""


class DutyKind(enum.Enum):
    """What was ordered for a machine."""

    MOVE = "move"
    UPKEEP = "upkeep"


@attrs.define
class PendingDuty:
    """A duty that was ordered and whose end the list has not shown yet.

    :param target: the pool that the machine is in afterwards.
    :param runner_before: the runner that lived there when it was ordered.
    :param sent_at_s: on the boot clock.
    :param begun: the list has shown the machine under it.
    :param wave: number of the wave that an upkeep belongs to.
    """

    kind: DutyKind
    target: str
    runner_before: str
    sent_at_s: float
    begun: bool = False
    wave: int = 0


class MachineTable:
    """All machines of the fleet, at most one pending duty for each.

    :param on_life_over: called with a runner whose machine was taken from it, since
        when on the boot clock that is known, and why.
    :param notes: is told of rows that can't be read.
    :param machines: as the cloud listed them last, by machine id.
    :param pending: duties whose end the list has not shown yet, by machine id.
    """

    def __init__(
        self,
        engine: Engine,
        documents: ManifestSource,
        cloud: CloudClient,
        settings: DutySettings,
        on_life_over: t.Callable[[str, float, str], None],
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._notes = notes or UnreadableNotes()
        self._on_runner_exit = on_life_over
        self._engine = engine
        self._documents = documents
        self._cloud = cloud
        self._settings = settings
        self._listed_at_s = 0.0
        self._idle_since_s: dict[str, float] = {}
        self._up_since_s: dict[str, float] = {}
        # By machine id: processor and memory, the most that was ever listed.
        self._full_capacity: dict[str, tuple[int, int]] = {}
        self.machines: dict[str, Machine] = {}
        self.pending: dict[str, PendingDuty] = {}

    def runner_of(self, machine: Machine) -> RunnerState | None:
        """Return the runner that lives on a machine, where it is listed."""
        return self._engine.runners.get(machine.runner_id)

    def is_spare(self, pool: str) -> bool:
        """Whether machines of a pool are switched off."""
        manifest = self._documents.manifest
        known = manifest.pools.get(pool) if manifest is not None else None
        return known is not None and known.is_spare

    def is_down(self, machine_id: str) -> bool:
        """Whether a machine is in upkeep, or its upkeep was ordered."""
        pending = self.pending.get(machine_id)
        if pending is not None and pending.kind is DutyKind.UPKEEP:
            return True
        machine = self.machines.get(machine_id)
        return machine is not None and machine.state is MachineState.UPKEEP

    # The list of machines.

    async def refresh(self) -> bool:
        """Read the list when it is due; return whether it may be relied on."""
        now_s = boot_s()
        if now_s - self._listed_at_s < self._settings.list_s:
            return bool(self.machines)
        try:
            listed = await self._cloud.machines()
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning("machines-unreadable", extra={"error": str(error)})
            self._listed_at_s = now_s
            return False
        self._listed_at_s = now_s
        unknown = self._unreadable(listed.unreadable)
        self.machines = {machine.machine_id: machine for machine in listed.machines}
        self.machines.update(unknown)
        for machine in listed.machines:
            self._notes.clear(Source.MACHINE, machine.machine_id)
            self._reconcile(machine, now_s)
        return True

    def _unreadable(self, rows: t.Iterable[UnreadableMachine]) -> dict[str, Machine]:
        """Return the known machines whose rows can't be read.

        One that is under a duty stays so: else another would go down beside it. Any
        other one counts as down, so that nothing is ordered for it.
        """
        retained: dict[str, Machine] = {}
        for row in rows:
            self._notes.note(Source.MACHINE, row.error)
            before = self.machines.get(row.machine_id)
            if before is None:
                continue
            if before.state not in DUTY_STATES:
                before = attrs.evolve(before, state=MachineState.DOWN)
            retained[row.machine_id] = before
        return retained

    def _reconcile(self, machine: Machine, asked_at_s: float) -> None:
        """Compare a machine with what was ordered for it."""
        runner = self.runner_of(machine)
        if runner is not None:
            runner.machine_id = machine.machine_id
        if machine.state is not MachineState.UP:
            self._up_since_s.pop(machine.machine_id, None)
        else:
            self._up_since_s.setdefault(machine.machine_id, asked_at_s)
        pending = self.pending.get(machine.machine_id)
        if pending is None or asked_at_s < pending.sent_at_s:
            return
        pending.begun = pending.begun or machine.state in DUTY_STATES
        changed = machine.runner_id != pending.runner_before
        if changed or machine.state in DUTY_STATES:
            self._on_runner_exit(
                pending.runner_before, asked_at_s, f"machine in {pending.kind.value}"
            )
        if machine.state is not MachineState.UP:
            return
        # A runner that starts again under its id shows no change of the id.
        done = changed or pending.begun
        if done or asked_at_s - pending.sent_at_s > self._settings.settle_s:
            self._end_pending(machine, pending, done)

    def _end_pending(self, machine: Machine, pending: PendingDuty, done: bool) -> None:
        del self.pending[machine.machine_id]
        if machine.runner_id == pending.runner_before:
            self._unreserve(machine)
        log.info(
            "duty-ended",
            extra={
                "machine": machine.machine_id,
                "kind": pending.kind.value,
                "pool": machine.pool,
                "done": done,
            },
        )

    # What is ordered.

    def reserve(self, machine: Machine, kind: DutyKind, target: str) -> PendingDuty:
        """Note an order before it is sent, so that nothing is placed there."""
        runner = self.runner_of(machine)
        if runner is not None:
            runner.reserved = True
        pending = PendingDuty(kind, target, machine.runner_id, boot_s())
        self.pending[machine.machine_id] = pending
        return pending

    def may_send(self, machine: Machine, pending: PendingDuty) -> bool:
        """Whether a noted order still stands and its machine is still idle."""
        if self.pending.get(machine.machine_id) is not pending:
            return False
        runner = self.runner_of(machine)
        return runner is None or runner.idle

    def discard(self, machine: Machine, pending: PendingDuty, why: str) -> None:
        """Forget an order that was surely not carried out."""
        log.info(
            "duty-refused",
            extra={
                "machine": machine.machine_id,
                "kind": pending.kind.value,
                "why": why,
            },
        )
        if self.pending.get(machine.machine_id) is pending:
            del self.pending[machine.machine_id]
        self._unreserve(machine)

    def _unreserve(self, machine: Machine) -> None:
        runner = self.runner_of(machine)
        if runner is not None:
            runner.reserved = False

    # What the decisions see.

    def view(self, machine: Machine, due: bool) -> MachineView:
        """Return a machine as the decisions see it.

        :param due: it still has to go into upkeep.
        """
        now_s = boot_s()
        pending = self.pending.get(machine.machine_id)
        runner = self.runner_of(machine)
        up = machine.state is MachineState.UP and pending is None
        usable = up and runner is not None and runner.usable()
        idle = usable and runner is not None and runner.idle
        off = self.is_spare(machine.pool)
        if up and not off and (runner is None or not runner.heard):
            arriving = self._is_arriving(machine, runner, now_s)
        else:
            moving = machine.state is MachineState.MOVING
            arriving = not usable and (pending is not None or moving)
        cpu, memory_mb = self._capacity_of(machine)
        return MachineView(
            machine_id=machine.machine_id,
            pool=_pool_after(machine, pending),
            rack=machine.rack,
            cpu=cpu,
            memory_mb=memory_mb,
            free_to_move=up and (off or idle),
            usable=usable,
            arriving=arriving,
            idle_for_s=self._idle_for_s(machine.machine_id, idle, now_s),
            due=due,
            lost_share=_lost_share(cpu, runner) if up and not off else 0.0,
        )

    def _capacity_of(self, machine: Machine) -> tuple[int, int]:
        """Return a machine's processor and memory without what it lacks for a while.

        A pool's size is reckoned by its smallest machine: one whose room has shrunk to
        a tenth would have ten times the machines ordered.
        """
        cpu, memory_mb = self._full_capacity.get(machine.machine_id, (0, 0))
        full = (max(cpu, machine.cpu), max(memory_mb, machine.memory_mb))
        self._full_capacity[machine.machine_id] = full
        return full

    def _is_arriving(
        self, machine: Machine, runner: RunnerState | None, now_s: float
    ) -> bool:
        """Whether a machine that is up will most likely be of use soon."""
        settings = self._settings
        limit_s = settings.arrive_s if runner is None else settings.learn_s
        return now_s - self._up_since_s.get(machine.machine_id, now_s) < limit_s

    def _idle_for_s(self, machine_id: str, idle: bool, now_s: float) -> float:
        if not idle:
            self._idle_since_s[machine_id] = now_s
            return 0.0
        return now_s - self._idle_since_s.setdefault(machine_id, now_s)


def _lost_share(full_cpu: int, runner: RunnerState | None) -> float:
    """Return the share of a machine's processor that its runner lacks now."""
    if runner is None or not full_cpu:
        return 0.0
    return max(0.0, 1 - runner.cpu / full_cpu)


def _pool_after(machine: Machine, pending: PendingDuty | None) -> str:
    """Return the pool that a machine is in once its pending duty has ended."""
    if pending is not None and pending.kind is DutyKind.MOVE:
        return pending.target
    return machine.pool
