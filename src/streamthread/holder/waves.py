"""Runs the upkeep waves: finds due machines, empties them and takes them down."""

import asyncio
import collections
import functools
import time
import typing as t

import logbook

from ..capacity import MachineView
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..platform.cloud import MachineState
from ..platform.documents import encode_wave_status
from ..platform.documents import STATUS_TABLE
from ..platform.documents import Wave
from ..platform.documents import WAVE_PREFIX
from ..platform.store import ABSENT
from ..platform.store import Condition
from ..platform.store import StoredRow
from ..unreadable import Source
from ..upkeep import DueMachine
from ..upkeep import paced_slots
from ..upkeep import plan_upkeep
from ..upkeep import presses
from ..upkeep import UpkeepPlan
from ..upkeep import UpkeepSettings
from ..upkeep import WaveProgress
from ..upkeep import WaveView
from .long_running import LongRunningTasks
from .machines import MachineTable
from .owner import DutyOwner

__all__ = ["WavePlanner", "WaveRegistry"]

log = logbook.Logger("streamthread.duties")

TABLE_WAVES = "cell-waves"
"""The rows of each wave, whose keys begin with its number: its progress, for the next
holder."""

MIN_POOL_MACHINES = 1
"""An urgent wave leaves each pool this many machines, so that its jobs progress."""


class WaveRegistry:
    """Persists the waves' progress for the next holder and reports it to the operator.

    :param retry_s: pause before a failed write of a wave's state is retried.
    """

    def __init__(self, owner: DutyOwner, retry_s: float) -> None:
        self._owner = owner
        self._retry_s = retry_s
        self._waves: dict[int, WaveProgress] = {}
        # States that are being written, by wave number.
        self._writing: dict[int, str] = {}

    async def restore(self) -> None:
        """Read the progress that the previous holder recorded."""
        page = await self._owner.read_cell_table(TABLE_WAVES)
        rows: dict[str, dict[int, bytes]] = {}
        for row in page.rows:
            if row.value is None:
                continue
            try:
                first, number = WaveProgress.parse_key(row.key)
            except UnreadableError as error:
                self._owner.context.notes.note(Source.CELL_ROW, error)
                continue
            rows.setdefault(first, {})[number] = row.value
        for values in rows.values():
            self._restore([values[number] for number in sorted(values)])

    def _restore(self, values: list[bytes]) -> None:
        """Restore a wave's progress; if it can't be decoded, the wave starts over.

        Upkeeps that had begun are then ordered again, and the cloud answers that they
        are done.
        """
        try:
            progress = WaveProgress.decode(values[0], values[1:])
        except UnreadableError as error:
            self._owner.context.notes.note(Source.CELL_ROW, error)
            return
        self._waves.setdefault(progress.number, progress)
        if progress.last_row >= len(values):
            # An earlier version kept all machines in the first row.
            for row in range(progress.last_row, -1, -1):
                self._record(progress, row)

    def progress_of(self, number: int) -> WaveProgress:
        """Return a wave's progress; a new wave starts now."""
        progress = self._waves.get(number)
        if progress is None:
            progress = WaveProgress(number, time.time())
            self._waves[number] = progress
            self._record(progress)
        return progress

    def has_begun(self, number: int, machine_id: str) -> bool:
        """Whether a machine needs no further upkeep for a wave."""
        progress = self._waves.get(number)
        return progress is not None and machine_id in progress.begun

    def mark_begun(self, number: int, machine_id: str) -> None:
        """Record that a machine needs no further upkeep for a wave."""
        progress = self._waves.get(number)
        if progress is not None and machine_id not in progress.begun:
            progress.begun[machine_id] = None
            self._record(progress, progress.last_row)

    def report(self, progress: WaveProgress, completed: bool) -> None:
        """Write the wave's state for the operator if it has changed."""
        state = "completed" if completed else "running"
        if self._writing.get(progress.number, progress.told) == state:
            return
        self._writing[progress.number] = state
        log.info("wave-state", extra={"wave": progress.number, "state": state})
        self._owner.spawn(self._write_and_record(progress, state, completed))

    async def _write_and_record(
        self, progress: WaveProgress, state: str, completed: bool
    ) -> None:
        """Write a state, then record it; the next holder relies on this order."""
        await self._write_status(progress.number, completed)
        if self._writing.get(progress.number) == state:
            del self._writing[progress.number]
            progress.told = state
            self._record(progress)

    async def _write_status(self, number: int, completed: bool) -> None:
        key = f"{WAVE_PREFIX}{number}"
        row = StoredRow(STATUS_TABLE, "", key, encode_wave_status(completed))
        # A delayed write of "running" must not overwrite "completed".
        absent = Condition(STATUS_TABLE, "", key, ABSENT)
        conditions = [] if completed else [absent]
        while True:
            await self._owner.until_trusted()
            try:
                await self._owner.context.store.transact(conditions, [row])
                return
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.warning("wave-state-unwritten", extra={"error": str(error)})
                await asyncio.sleep(self._retry_s)

    def _record(self, progress: WaveProgress, row: int = 0) -> None:
        encode = functools.partial(progress.encode, row)
        self._owner.log.mark(TABLE_WAVES, progress.key(row), encode)


class WavePlanner:
    """Decides for each wave which machines go down now and which are emptied next.

    :param duties_until_s: the time on the boot clock until which duties that an earlier
        holder ordered may be carried out.
    """

    def __init__(
        self,
        owner: DutyOwner,
        registry: WaveRegistry,
        table: MachineTable,
        settings: UpkeepSettings,
        duties_until_s: float,
    ) -> None:
        self._engine = owner.engine
        self._documents = owner.context.documents
        self._registry = registry
        self._table = table
        self._settings = settings
        self._long_running = LongRunningTasks(owner.engine, owner.kick, duties_until_s)
        self._emptying: set[str] = set()
        self._due: set[str] = set()

    @property
    def delayed_stops(self) -> int:
        """How many stops of long-running tasks waited for earlier orders."""
        return self._long_running.delayed

    # Due machines.

    def is_due(self, machine_id: str) -> bool:
        """Whether a machine was due for a wave's upkeep when the round began."""
        return machine_id in self._due

    def has_unordered_upkeep(self, pool: str) -> bool:
        """Whether a machine that the pool uses is due and has no pending duty."""
        return any(
            self.is_due(machine.machine_id)
            and machine.pool == pool
            and machine.machine_id not in self._table.pending
            and not self._table.is_closed(machine)
            for machine in self._table.machines.values()
        )

    # A round of decisions.

    def begin_round(self) -> None:
        """Reset which machines are being emptied, and find those that are due."""
        self._emptying.clear()
        self._due = {
            machine_id
            for wave in self._documents.waves.values()
            for machine_id in wave.machine_ids
            if not self._registry.has_begun(wave.number, machine_id)
        }

    def plan(
        self, wave: Wave, views: dict[str, MachineView], targets: dict[str, int]
    ) -> UpkeepPlan | None:
        """Return a wave's next steps, or None once no machine needs further upkeep."""
        progress = self._registry.progress_of(wave.number)
        remaining_ids = [m for m in wave.machine_ids if m not in progress.begun]
        down = sum(self._table.is_down(m) for m in wave.machine_ids)
        self._registry.report(progress, completed=not remaining_ids and not down)
        if not remaining_ids:
            return None
        remaining_s = progress.first_seen_s + wave.duration_s - time.time()
        left, most = len(remaining_ids), wave.most_at_once
        upkeep_s = self._settings.upkeep_s
        urgent = presses(left, most, remaining_s, upkeep_s)
        due = tuple(self._due_machine(views[m]) for m in remaining_ids if m in views)
        return plan_upkeep(
            WaveView(
                due,
                paced_slots(left, most, remaining_s, upkeep_s) - down,
                self._releasable(views.values(), targets, urgent),
            ),
            self._settings,
        )

    def _releasable(
        self,
        views: t.Collection[MachineView],
        targets: dict[str, int],
        urgent: bool,
    ) -> dict[str, int]:
        """Return how many machines each pool can do without for now.

        An urgent wave may take all but the last machine of a pool, and also
        switched-off machines that other pools need.
        """
        present = collections.Counter(v.pool for v in views if v.usable)
        releasable = {
            name: present[name] - (MIN_POOL_MACHINES if urgent else target)
            for name, target in targets.items()
        }
        off = collections.Counter(
            v.pool
            for v in views
            if v.free_to_move and not v.closed and self._table.is_spare(v.pool)
        )
        missing = 0 if urgent else _count_missing(views, targets)
        return releasable | {name: count - missing for name, count in off.items()}

    def empty(self, machine_ids: t.Iterable[str]) -> None:
        """Place nothing new on machines, and move their long-running tasks away."""
        for machine_id in machine_ids:
            runner = self._table.runner_of(self._table.machines[machine_id])
            if runner is None:
                continue
            self._emptying.add(runner.runner_id)
            if not runner.emptying:
                log.info(
                    "machine-emptied-for-upkeep",
                    extra={"machine": machine_id, "load": runner.used_cpu},
                )
            runner.emptying = True
            self._long_running.move_away(runner)

    def pause(self) -> None:
        """Make all machines available again, as no upkeep can be ordered for now."""
        self._emptying.clear()
        self.end_round()

    def end_round(self) -> None:
        """Make the machines that need not be emptied any more available again."""
        ordered = {duty.runner_before for duty in self._table.pending.values()}
        for runner in self._engine.runners.values():
            runner.emptying = runner.runner_id in self._emptying
            runner.reserved = runner.runner_id in ordered

    def _due_machine(self, view: MachineView) -> DueMachine:
        machine_id = view.machine_id
        machine = self._table.machines[machine_id]
        runner = self._table.runner_of(machine)
        off = self._table.is_spare(machine.pool)
        idle = off or (runner is not None and runner.ready and runner.idle)
        return DueMachine(
            machine_id=machine_id,
            pool=machine.pool,
            idle=idle,
            off=off,
            up=machine.state is MachineState.UP
            and machine_id not in self._table.pending
            and (off or runner is not None),
            missed=not view.closed and (off or view.usable),
            emptying=runner is not None and runner.emptying,
            load=float(runner.used_cpu) if runner is not None else 0.0,
            closed=view.closed,
        )


def _count_missing(views: t.Iterable[MachineView], targets: dict[str, int]) -> int:
    """Return how many machines all pools lack, not counting those that are arriving."""
    present = collections.Counter(v.pool for v in views if v.usable or v.arriving)
    return sum(max(0, target - present[name]) for name, target in targets.items())
