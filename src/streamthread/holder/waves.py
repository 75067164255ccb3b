"""Works on the waves of upkeep: what is due, what goes down, what is emptied."""

import asyncio
import collections
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
"""One row a wave, under its number: its progress, for the next holder."""

MIN_POOL_MACHINES = 1
"""A pool keeps so many machines while a wave presses, so that its jobs go on."""


class WaveRegistry:
    """Keeps the waves' progress for the next holder, and tells the operator.

    :param retry_s: pause before a state that was not written is tried again.
    """

    def __init__(self, owner: DutyOwner, retry_s: float) -> None:
        self._owner = owner
        self._retry_s = retry_s
        self._waves: dict[int, WaveProgress] = {}
        # The states that are being written, by wave.
        self._writing: dict[int, str] = {}

    async def restore(self) -> None:
        """Read what the holder before has recorded."""
        page = await self._owner.read_cell_table(TABLE_WAVES)
        for row in page.rows:
            if row.value is not None:
                self._restore(row.value)

    def _restore(self, value: bytes) -> None:
        """Take a wave's progress; one that can't be read begins anew.

        An upkeep that was begun before is then ordered again, which the machines' owner
        answers as done.
        """
        try:
            progress = WaveProgress.decode(value)
        except UnreadableError as error:
            self._owner.context.notes.note(Source.CELL_ROW, error)
            return
        self._waves.setdefault(progress.number, progress)

    def progress_of(self, number: int) -> WaveProgress:
        """Return a wave's progress; a wave that is new begins now."""
        progress = self._waves.get(number)
        if progress is None:
            progress = WaveProgress(number, time.time())
            self._waves[number] = progress
            self._record(progress)
        return progress

    def has_begun(self, number: int, machine_id: str) -> bool:
        """Whether the platform has accepted a machine's upkeep for a wave."""
        progress = self._waves.get(number)
        return progress is not None and machine_id in progress.begun

    def mark_begun(self, number: int, machine_id: str) -> None:
        """Record that a machine needs no more upkeep for a wave."""
        progress = self._waves.get(number)
        if progress is not None:
            progress.begun.add(machine_id)
            self._record(progress)

    def report(self, progress: WaveProgress, completed: bool) -> None:
        """Write the wave's state for the operator when it has changed."""
        state = "completed" if completed else "running"
        if self._writing.get(progress.number, progress.told) == state:
            return
        self._writing[progress.number] = state
        log.info("wave-state", extra={"wave": progress.number, "state": state})
        self._owner.spawn(self._write_and_record(progress, state, completed))

    async def _write_and_record(
        self, progress: WaveProgress, state: str, completed: bool
    ) -> None:
        """Write a state, and only then record it: the next holder relies on that."""
        await self._write_status(progress.number, completed)
        if self._writing.get(progress.number) == state:
            del self._writing[progress.number]
            progress.told = state
            self._record(progress)

    async def _write_status(self, number: int, completed: bool) -> None:
        key = f"{WAVE_PREFIX}{number}"
        row = StoredRow(STATUS_TABLE, "", key, encode_wave_status(completed))
        # A late "running" must not replace "completed".
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

    def _record(self, progress: WaveProgress) -> None:
        self._owner.log.mark(TABLE_WAVES, str(progress.number), progress.encode)


class WavePlanner:
    """Decides for each wave what goes down, and empties what is to follow."""

    def __init__(
        self,
        owner: DutyOwner,
        registry: WaveRegistry,
        table: MachineTable,
        settings: UpkeepSettings,
    ) -> None:
        self._engine = owner.engine
        self._documents = owner.context.documents
        self._registry = registry
        self._table = table
        self._settings = settings
        self._long_running = LongRunningTasks(owner.engine, owner.kick)
        self._emptying: set[str] = set()
        self._due: set[str] = set()

    # What is due.

    def is_due(self, machine_id: str) -> bool:
        """Whether some wave had to take a machine into upkeep as the round began."""
        return machine_id in self._due

    def has_unordered_upkeep(self, pool: str) -> bool:
        """Whether one of a pool's machines is due and nothing is ordered for it."""
        return any(
            self.is_due(machine.machine_id)
            and machine.pool == pool
            and machine.machine_id not in self._table.pending
            for machine in self._table.machines.values()
        )

    # One round of decisions.

    def begin_round(self) -> None:
        """Forget which machines the last round emptied; see which are due."""
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
        """Return what to do for a wave now, or None when no machine is left."""
        progress = self._registry.progress_of(wave.number)
        remaining = [m for m in wave.machine_ids if m not in progress.begun]
        down = sum(self._table.is_down(m) for m in wave.machine_ids)
        self._registry.report(progress, completed=not remaining and not down)
        if not remaining:
            return None
        remaining_s = progress.first_seen_s + wave.duration_s - time.time()
        urgent = presses(len(remaining), wave.most_at_once, remaining_s)
        due = tuple(self._due_machine(views[m]) for m in remaining if m in views)
        return plan_upkeep(
            WaveView(
                due,
                paced_slots(len(remaining), wave.most_at_once, remaining_s) - down,
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

        A wave that presses takes all but the last one of a pool, and machines that
        are off although pools wait for them.
        """
        present = collections.Counter(v.pool for v in views if v.usable)
        releasable = {
            name: present[name] - (MIN_POOL_MACHINES if urgent else target)
            for name, target in targets.items()
        }
        off = collections.Counter(
            v.pool for v in views if v.free_to_move and self._table.is_spare(v.pool)
        )
        missing = 0 if urgent else _count_missing(views, targets)
        return releasable | {name: count - missing for name, count in off.items()}

    def empty(self, machine_ids: t.Iterable[str]) -> None:
        """Place nothing new on machines, and move their lasting tasks away."""
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

    def end_round(self) -> None:
        """Let machines work again that need not be emptied any more."""
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
            missed=off or view.usable,
            emptying=runner is not None and runner.emptying,
            load=float(runner.used_cpu) if runner is not None else 0.0,
        )


def _count_missing(views: t.Iterable[MachineView], targets: dict[str, int]) -> int:
    """Return how many machines all pools lack, beside those on their way."""
    present = collections.Counter(v.pool for v in views if v.usable or v.arriving)
    return sum(max(0, target - present[name]) for name, target in targets.items())
