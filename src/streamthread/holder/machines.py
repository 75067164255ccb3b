"""The machines as the cloud lists them, and the duty ordered for each."""

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
from .machine_evidence import ListedMachines

__all__ = ["DutyKind", "MachineTable", "PendingDuty"]

log = logbook.Logger("streamthread.duties")

DUTY_STATES = (MachineState.MOVING, MachineState.UPKEEP)
"""Everything that ran on a machine was lost when it entered one of these states."""


class DutyKind(enum.Enum):
    """The kind of a duty that is ordered for a machine."""

    MOVE = "move"
    UPKEEP = "upkeep"


@attrs.define
class PendingDuty:
    """A duty that was ordered and that the list does not show as ended yet.

    :param target: the pool that the machine belongs to afterwards.
    :param runner_before: the id of the runner on the machine when the duty was ordered.
    :param sent_at_s: on the boot clock.
    :param begun: the list has shown the machine in a duty state.
    :param wave: number of the wave that an upkeep belongs to.
    """

    kind: DutyKind
    target: str
    runner_before: str
    sent_at_s: float
    begun: bool = False
    wave: int = 0


class MachineTable:
    """All machines of the fleet, with at most one pending duty for each.

    :param on_runner_exit: called when a duty has ended a runner on a machine, or the
        machine has another one, with the runner's id, the time on the boot clock at
        which the list was requested, and the reason.
    :param notes: collects reports of rows that can't be decoded.
    :param machines: the machines in the cloud's latest list, by machine id. Those whose
        rows can't be decoded are kept as down.
    :param listed: the latest list as it was read, without such rows; None before one.
    :param pending: duties that the list does not show as ended yet, by machine id.
    """

    def __init__(
        self,
        engine: Engine,
        documents: ManifestSource,
        cloud: CloudClient,
        settings: DutySettings,
        on_runner_exit: t.Callable[[str, float, str], None],
        notes: UnreadableNotes | None = None,
    ) -> None:
        self._notes = notes or UnreadableNotes()
        self._on_runner_exit = on_runner_exit
        self._engine = engine
        self._documents = documents
        self._cloud = cloud
        self._settings = settings
        self._listed_at_s = 0.0
        self._known_at_s = boot_s()
        # The last read of the list succeeded.
        self._current = False
        self._idle_since_s: dict[str, float] = {}
        self._up_since_s: dict[str, float] = {}
        # Highest cpu and memory ever listed, by machine id.
        self._full_capacity: dict[str, tuple[int, int]] = {}
        # The ids of the present runner and of the one before, by machine id.
        self._hosted: dict[str, tuple[str, str]] = {}
        self.machines: dict[str, Machine] = {}
        self.listed: ListedMachines | None = None
        self.pending: dict[str, PendingDuty] = {}

    def runner_of(self, machine: Machine) -> RunnerState | None:
        """Return the runner on a machine, or None if it is not listed."""
        return self._engine.runners.get(machine.runner_id)

    def is_spare(self, pool: str) -> bool:
        """Whether a pool is a spare pool, whose machines are switched off."""
        manifest = self._documents.manifest
        known = manifest.pools.get(pool) if manifest is not None else None
        return known is not None and known.is_spare

    def is_closed(self, machine: Machine) -> bool:
        """Whether no run may be started in a machine's hall."""
        return not self._engine.halls.may_start(machine.zone)

    def is_down(self, machine_id: str) -> bool:
        """Whether a machine is in upkeep, or its upkeep was ordered."""
        pending = self.pending.get(machine_id)
        if pending is not None and pending.kind is DutyKind.UPKEEP:
            return True
        machine = self.machines.get(machine_id)
        return machine is not None and machine.state is MachineState.UPKEEP

    # The list of machines.

    @property
    def age_s(self) -> float:
        """How old the list of machines is, or how long it has been missing."""
        return boot_s() - self._known_at_s

    async def refresh(self) -> bool:
        """Read the list when it is due; return whether it can be relied on.

        After a failed read it can't be until a read succeeds: an order by an outdated
        list takes a runner out of placement until the list shows what became of it.
        """
        now_s = boot_s()
        if now_s - self._listed_at_s < self._settings.list_s:
            return self._current and bool(self.machines)
        try:
            listed = await self._cloud.machines()
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning("machines-unreadable", extra={"error": str(error)})
            self._listed_at_s = now_s
            self._current = False
            return False
        self._listed_at_s = self._known_at_s = now_s
        unknown = self._unreadable(listed.unreadable)
        self.machines = {machine.machine_id: machine for machine in listed.machines}
        self.machines.update(unknown)
        for machine in listed.machines:
            self._notes.clear(Source.MACHINE, machine.machine_id)
            self._report_replaced(machine, now_s)
            self._reconcile(machine, now_s)
        self.listed = ListedMachines.of(
            now_s, listed.machines, {row.machine_id for row in listed.unreadable}
        )
        self._current = True
        return bool(self.machines)

    def _unreadable(self, rows: t.Iterable[UnreadableMachine]) -> dict[str, Machine]:
        """Return the known machines whose rows can't be decoded.

        A machine in a duty state keeps that state; otherwise another one would be taken
        down as well. Any other machine counts as down, so that nothing is ordered for
        it.
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

    def _report_replaced(self, machine: Machine, asked_at_s: float) -> None:
        """Report the exit of a machine's runner once the machine has another one.

        A machine that lost power comes back with a new runner, perhaps under another
        address. An outdated list that shows the one before again is ignored.
        """
        present, former = self._hosted.get(machine.machine_id, ("", ""))
        if machine.runner_id in ("", present, former):
            return
        self._hosted[machine.machine_id] = (machine.runner_id, present)
        if present:
            self._on_runner_exit(present, asked_at_s, "its machine has another runner")

    def had_before(self, machine_id: str, runner_id: str) -> bool:
        """Whether a machine was listed with a runner before its present one."""
        return runner_id == self._hosted.get(machine_id, ("", ""))[1]

    def _reconcile(self, machine: Machine, asked_at_s: float) -> None:
        """Compare a listed machine with the duty ordered for it."""
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
        # A runner that restarts under the same id does not show as a changed id.
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

    # Orders.

    def reserve(self, machine: Machine, kind: DutyKind, target: str) -> PendingDuty:
        """Record an order before it is sent, so that no task is placed there."""
        runner = self.runner_of(machine)
        if runner is not None:
            runner.reserved = True
        pending = PendingDuty(kind, target, machine.runner_id, boot_s())
        self.pending[machine.machine_id] = pending
        return pending

    def may_send(self, machine: Machine, pending: PendingDuty) -> bool:
        """Whether a recorded order is still pending and its machine is still idle.

        A machine is not moved into a pool if its hall may not be used any more.
        """
        if self.pending.get(machine.machine_id) is not pending:
            return False
        if pending.kind is DutyKind.MOVE and not self.is_spare(pending.target):
            if self.is_closed(machine):
                return False
        runner = self.runner_of(machine)
        return runner is None or runner.idle

    def discard(self, machine: Machine, pending: PendingDuty, why: str) -> None:
        """Discard an order that was certainly not carried out."""
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

    # Input of the decisions.

    def view(self, machine: Machine, due: bool) -> MachineView:
        """Return a machine as input for the decisions.

        :param due: the machine still has to go into upkeep.
        """
        now_s = boot_s()
        pending = self.pending.get(machine.machine_id)
        runner = self.runner_of(machine)
        up = machine.state is MachineState.UP and pending is None
        closed = self.is_closed(machine)
        usable = up and not closed and runner is not None and runner.usable()
        handing_over = up and runner is not None and _is_handing_over(runner)
        idle = (usable or handing_over) and runner is not None and runner.idle
        if closed:
            idle = up and runner is not None and _is_vacant(runner)
        off = self.is_spare(machine.pool)
        if closed:
            arriving = False
        elif up and not off and (runner is None or not runner.heard):
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
            closed=closed,
            handing_over=handing_over and not closed,
            used_cpu=runner.used_cpu if runner is not None else 0,
        )

    def _capacity_of(self, machine: Machine) -> tuple[int, int]:
        """Return a machine's full cpu and memory, ignoring temporary losses.

        A pool's size is computed from its smallest machine. If one machine's listed
        capacity shrank to a tenth, ten times as many machines would be ordered.
        """
        cpu, memory_mb = self._full_capacity.get(machine.machine_id, (0, 0))
        full = (max(cpu, machine.cpu), max(memory_mb, machine.memory_mb))
        self._full_capacity[machine.machine_id] = full
        return full

    def _is_arriving(
        self, machine: Machine, runner: RunnerState | None, now_s: float
    ) -> bool:
        """Whether a machine that is up will probably be usable soon."""
        settings = self._settings
        limit_s = settings.arrive_s if runner is None else settings.learn_s
        return now_s - self._up_since_s.get(machine.machine_id, now_s) < limit_s

    def _idle_for_s(self, machine_id: str, idle: bool, now_s: float) -> float:
        if not idle:
            self._idle_since_s[machine_id] = now_s
            return 0.0
        return now_s - self._idle_since_s.setdefault(machine_id, now_s)


def _is_handing_over(runner: RunnerState) -> bool:
    """Whether a runner that could be used is kept free for another pool."""
    return (
        runner.handing_over and not runner.emptying and runner.usable_as_last_resort()
    )


def _is_vacant(runner: RunnerState) -> bool:
    """Whether a runner of a hall that may not be used answers and has no runs."""
    return runner.ready and runner.idle and not runner.reserved


def _lost_share(full_cpu: int, runner: RunnerState | None) -> float:
    """Return the share of a machine's cpu that its runner lacks now."""
    if runner is None or not full_cpu:
        return 0.0
    return max(0.0, 1 - runner.cpu / full_cpu)


def _pool_after(machine: Machine, pending: PendingDuty | None) -> str:
    """Return the pool of a machine once its pending duty has ended."""
    if pending is not None and pending.kind is DutyKind.MOVE:
        return pending.target
    return machine.pool
