"""Moves and upkeep: reads the machines, decides, and orders one duty a machine."""

import asyncio
import collections
import enum
import time
import typing as t

import attrs
import logbook

from ..capacity import ArrivalRate
from ..capacity import CapacitySettings
from ..capacity import MachineView
from ..capacity import Move
from ..capacity import plan_moves
from ..capacity import pool_demand
from ..capacity import PoolView
from ..capacity import target_size
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..platform.cloud import CloudClient
from ..platform.cloud import DutyReply
from ..platform.cloud import Machine
from ..platform.cloud import MachineState
from ..platform.documents import encode_wave_status
from ..platform.documents import Pool
from ..platform.documents import Wave
from ..platform.store import ABSENT
from ..platform.store import Condition
from ..platform.store import StoredRow
from ..scheduler import Attempt
from ..scheduler import Job
from ..scheduler import Phase
from ..scheduler import RunnerState
from ..scheduler import StepRun
from ..upkeep import DueMachine
from ..upkeep import plan_upkeep
from ..upkeep import UpkeepPlan
from ..upkeep import UpkeepSettings
from ..upkeep import WaveProgress
from ..upkeep import WaveView
from ..upkeep.plan import count_away
from ..upkeep.plan import may_stop_lasting

if t.TYPE_CHECKING:
    from .service import Holder

__all__ = ["DutyLoop", "DutySettings"]

log = logbook.Logger("streamthread.duties")

RELAX_AFTER = 0.4
"""Once so much of a wave's time is used, a pool may go below its size for it."""

LEAST_LEFT = 2
"""A pool that has so many machines may give one to a wave that presses."""

SIZES_LOG_S = 1.0
TABLE_WAVES = "cell-waves"
STATUS_TABLE = "status"


@attrs.frozen
class DutySettings:
    """How machines are watched and ordered.

    :param list_s: the list of machines is read this often.
    :param tick_s: decisions are made this often.
    :param settle_s: an unanswered duty is taken as not done only when the list
        shows no trace of it after so long.
    :param lease_s: a new holder orders nothing sooner, since the cloud does not
        refuse an earlier holder's late orders.
    :param learn_s: no machine moves sooner after a take-over: until then it is
        not known what runs where.
    :param arrive_s: a machine that is up may take so long until its runner is
        listed.
    """

    list_s: float = 0.5
    tick_s: float = 0.1
    settle_s: float = 4.0
    lease_s: float = 3.0
    arrive_s: float = 3.0
    learn_s: float = 3.0
    capacity: CapacitySettings = attrs.field(factory=CapacitySettings)
    upkeep: UpkeepSettings = attrs.field(factory=UpkeepSettings)


class DutyKind(enum.Enum):
    """What was ordered for a machine."""

    MOVE = "move"
    UPKEEP = "upkeep"


@attrs.define
class _Pending:
    """A duty that was ordered and whose end the list has not shown yet."""

    kind: DutyKind
    target: str
    runner_before: str
    sent_at_s: float
    wave: int = 0
    accepted: bool = False


class DutyLoop:
    """The fleet's duties of one holder."""

    def __init__(
        self, holder: "Holder", cloud: CloudClient, settings: DutySettings
    ) -> None:
        self._holder = holder
        self._cloud = cloud
        self._settings = settings
        self._machines: dict[str, Machine] = {}
        self._listed_at_s = 0.0
        self._pending: dict[str, _Pending] = {}
        self._idle_since_s: dict[str, float] = {}
        self._up_since_s: dict[str, float] = {}
        self._targets: dict[str, collections.deque[tuple[float, int]]] = {}
        self._arrivals: dict[str, ArrivalRate] = {}
        self._waves: dict[int, WaveProgress] = {}
        self._emptying: set[str] = set()
        self._demands: dict[str, tuple[int, int, int]] = {}
        self._began_at_s = time.monotonic()
        self._logged_at_s = 0.0
        self.moves = 0
        self.upkeeps = 0

    async def run(self) -> None:
        """Do the duties until the cell is lost."""
        await self._restore()
        if self._holder.token > 1:
            await asyncio.sleep(self._settings.lease_s)
        while True:
            await self._holder.until_trusted()
            if await self._refresh():
                self._decide()
            await asyncio.sleep(self._settings.tick_s)

    async def _restore(self) -> None:
        page = await self._holder.read_own(TABLE_WAVES)
        for row in page.rows:
            if row.value is not None:
                progress = WaveProgress.decode(row.value)
                self._waves[progress.number] = progress

    def note_job(self, service: str, work: float) -> None:
        """Count a job's work among a pool's arrivals."""
        rate = self._arrivals.setdefault(service, ArrivalRate())
        rate.add(work, time.monotonic())

    # The list of machines.

    async def _refresh(self) -> bool:
        """Read the list when it is due; return whether it may be relied on."""
        now_s = time.monotonic()
        if now_s - self._listed_at_s < self._settings.list_s:
            return bool(self._machines)
        try:
            machines = await self._cloud.machines()
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning("machines-unreadable", extra={"error": str(error)})
            self._listed_at_s = now_s
            return False
        self._listed_at_s = now_s
        self._machines = {machine.machine_id: machine for machine in machines}
        for machine in machines:
            self._settle(machine, now_s)
        return True

    def _settle(self, machine: Machine, asked_at_s: float) -> None:
        """Compare a machine with what was ordered for it."""
        runner = self._holder.engine.runners.get(machine.runner_id)
        if runner is not None:
            runner.machine_id = machine.machine_id
        if machine.state is not MachineState.UP:
            self._up_since_s.pop(machine.machine_id, None)
        else:
            self._up_since_s.setdefault(machine.machine_id, asked_at_s)
        pending = self._pending.get(machine.machine_id)
        if pending is None or asked_at_s < pending.sent_at_s:
            return
        if machine.state is not MachineState.UP:
            pending.accepted = True
            return
        changed = machine.runner_id != pending.runner_before
        waited = asked_at_s - pending.sent_at_s > self._settings.settle_s
        if changed or waited:
            self._end_pending(machine, pending, changed)

    def _end_pending(self, machine: Machine, pending: _Pending, changed: bool) -> None:
        del self._pending[machine.machine_id]
        if not changed:
            runner = self._holder.engine.runners.get(machine.runner_id)
            if runner is not None:
                runner.reserved = False
        log.info(
            "duty-ended",
            extra={
                "machine": machine.machine_id,
                "kind": pending.kind.value,
                "pool": machine.pool,
                "changed": changed,
            },
        )

    # Decisions.

    def _decide(self) -> None:
        manifest = self._holder.context.documents.manifest
        if manifest is None or self._holder.releasing:
            return
        if not self._holder.trusted or self._holder.log.in_trouble():
            return
        self._emptying.clear()
        views = {m.machine_id: self._view(m) for m in self._machines.values()}
        targets = self._pool_targets(manifest.pools.values(), views)
        for wave in self._holder.context.documents.waves.values():
            self._work_on_wave(wave, views, targets)
        self._release_unneeded()
        self._log_sizes(targets, views)
        if time.monotonic() - self._began_at_s < self._settings.learn_s:
            return
        pools = [
            PoolView(pool.name, pool.is_spare, self._wanted(pool.name, targets))
            for pool in manifest.pools.values()
        ]
        current = [self._view(m) for m in self._machines.values()]
        for move in plan_moves(pools, current, self._settings.capacity):
            self._begin_move(move)

    def _log_sizes(
        self, targets: dict[str, int], views: dict[str, MachineView]
    ) -> None:
        """Say once a second how many machines each pool has and should have."""
        now_s = time.monotonic()
        if now_s - self._logged_at_s < SIZES_LOG_S:
            return
        self._logged_at_s = now_s
        sizes = {
            pool: [
                target,
                sum(v.pool == pool and v.usable for v in views.values()),
                sum(v.pool == pool and v.arriving for v in views.values()),
                *self._demands.get(pool, ()),
            ]
            for pool, target in targets.items()
        }
        log.info("pool-sizes", extra={"sizes": sizes})

    def _view(self, machine: Machine) -> MachineView:
        now_s = time.monotonic()
        pending = self._pending.get(machine.machine_id)
        runner = self._holder.engine.runners.get(machine.runner_id)
        pool = machine.pool
        if pending is not None and pending.kind is DutyKind.MOVE:
            pool = pending.target
        up = machine.state is MachineState.UP and pending is None
        usable = up and runner is not None and runner.usable()
        off = self._is_spare(machine.pool)
        idle = usable and runner is not None and runner.idle
        if not idle:
            self._idle_since_s.pop(machine.machine_id, None)
        since_s = self._idle_since_s.setdefault(machine.machine_id, now_s)
        arriving = not usable and (
            pending is not None or machine.state is MachineState.MOVING
        )
        if up and runner is None and not off:
            up_for_s = now_s - self._up_since_s.get(machine.machine_id, now_s)
            arriving = up_for_s < self._settings.arrive_s
        return MachineView(
            machine_id=machine.machine_id,
            pool=pool,
            rack=machine.labels[1] if len(machine.labels) > 1 else "",
            cpu=machine.cpu,
            memory_mb=machine.memory_mb,
            free_to_move=up and (off or idle),
            usable=usable,
            arriving=arriving,
            idle_for_s=now_s - since_s if idle else 0.0,
            due=self._is_due(machine.machine_id),
        )

    def _is_spare(self, pool: str) -> bool:
        manifest = self._holder.context.documents.manifest
        known = manifest.pools.get(pool) if manifest is not None else None
        return known is not None and known.is_spare

    # Sizes.

    def _pool_targets(
        self, pools: t.Iterable[Pool], views: dict[str, MachineView]
    ) -> dict[str, int]:
        now_s = time.monotonic()
        jobs: dict[str, list[Job]] = collections.defaultdict(list)
        for job in self._holder.engine.open_jobs():
            if not job.over:
                jobs[job.service].append(job)
        return {
            pool.name: self._target(pool.name, jobs[pool.name], views, now_s)
            for pool in pools
            if not pool.is_spare
        }

    def _target(
        self,
        pool: str,
        jobs: t.Iterable[Job],
        views: dict[str, MachineView],
        now_s: float,
    ) -> int:
        sizes = [view for view in views.values() if view.pool == pool]
        sizes = sizes or list(views.values())
        demand = pool_demand(jobs, self._holder.engine.times, time.time())
        rate = self._arrivals.get(pool)
        lasting_cpu = _lasting_cpu(jobs)
        arriving = rate.value(now_s) if rate is not None else 0.0
        demand = attrs.evolve(demand, cpu=max(demand.cpu, arriving + lasting_cpu))
        wanted = target_size(
            demand,
            min(view.cpu for view in sizes),
            min(view.memory_mb for view in sizes),
            self._settings.capacity,
        )
        self._demands[pool] = (round(demand.cpu), round(arriving), wanted)
        history = self._targets.setdefault(pool, collections.deque())
        history.append((now_s, wanted))
        while history and history[0][0] < now_s - self._settings.capacity.shrink_s:
            history.popleft()
        return max(size for _, size in history)

    def _wanted(self, pool: str, targets: dict[str, int]) -> int:
        """One machine more while one of the pool's is to be swapped for upkeep."""
        target = targets.get(pool, 0)
        swapping = any(
            self._is_due(machine.machine_id)
            and machine.pool == pool
            and machine.machine_id not in self._pending
            for machine in self._machines.values()
        )
        return target + 1 if swapping else target

    # Waves.

    def _is_due(self, machine_id: str) -> bool:
        for wave in self._holder.context.documents.waves.values():
            progress = self._waves.get(wave.number)
            begun = progress.begun if progress is not None else set()
            if machine_id in wave.machine_ids and machine_id not in begun:
                return True
        return False

    def _work_on_wave(
        self, wave: Wave, views: dict[str, MachineView], targets: dict[str, int]
    ) -> None:
        progress = self._waves.get(wave.number)
        if progress is None:
            progress = WaveProgress(wave.number, time.time())
            self._waves[wave.number] = progress
            self._record(progress)
        left = [m for m in wave.machine_ids if m not in progress.begun]
        self._tell(wave, progress, left)
        if not left:
            return
        down = sum(self._is_down(machine_id) for machine_id in wave.machine_ids)
        used = (time.time() - progress.first_seen_s) / max(1.0, wave.duration_s)
        relaxed = used > RELAX_AFTER or not self._can_replace(views, targets)
        due = [
            self._due_machine(m, views, targets, relaxed) for m in left if m in views
        ]
        plan = plan_upkeep(
            WaveView(wave.number, tuple(due), wave.most_at_once - down),
            self._settings.upkeep,
        )
        self._carry_out(wave, plan)

    def _can_replace(
        self, views: dict[str, MachineView], targets: dict[str, int]
    ) -> bool:
        """Whether some pool has a machine that another one could get."""
        if any(self._is_spare(view.pool) for view in views.values()):
            return True
        usable = collections.Counter(v.pool for v in views.values() if v.usable)
        return any(usable[pool] > target for pool, target in targets.items())

    def _is_down(self, machine_id: str) -> bool:
        pending = self._pending.get(machine_id)
        if pending is not None and pending.kind is DutyKind.UPKEEP:
            return True
        machine = self._machines.get(machine_id)
        return machine is not None and machine.state is MachineState.UPKEEP

    def _due_machine(
        self,
        machine_id: str,
        views: dict[str, MachineView],
        targets: dict[str, int],
        relaxed: bool,
    ) -> DueMachine:
        machine = self._machines[machine_id]
        view = views[machine_id]
        runner = self._holder.engine.runners.get(machine.runner_id)
        off = self._is_spare(machine.pool)
        idle = off or (runner is not None and runner.ready and runner.idle)
        usable = sum(v.usable and v.pool == machine.pool for v in views.values())
        target = targets.get(machine.pool, 0)
        enough = usable > target or (relaxed and usable >= LEAST_LEFT)
        may_empty = enough or not view.usable
        return DueMachine(
            machine_id=machine_id,
            pool=machine.pool,
            idle=idle,
            off=off,
            up=machine.state is MachineState.UP
            and machine_id not in self._pending
            and (off or runner is not None),
            may_empty=may_empty,
            reserved=runner is not None and runner.emptying,
            load=float(runner.used_cpu) if runner is not None else 0.0,
        )

    def _carry_out(self, wave: Wave, plan: UpkeepPlan) -> None:
        for machine_id in plan.begin:
            self._begin_upkeep(wave, machine_id)
        for machine_id in plan.empty:
            machine = self._machines[machine_id]
            runner = self._holder.engine.runners.get(machine.runner_id)
            if runner is None:
                continue
            self._emptying.add(machine.runner_id)
            if not runner.emptying:
                log.info(
                    "machine-emptied-for-upkeep",
                    extra={"machine": machine_id, "load": runner.used_cpu},
                )
            runner.emptying = True
            self._move_lasting_away(runner)

    def _release_unneeded(self) -> None:
        """Let machines work again that need not be emptied any more."""
        ordered = {p.runner_before for p in self._pending.values()}
        for runner in self._holder.engine.runners.values():
            runner.emptying = runner.runner_id in self._emptying
            runner.reserved = runner.runner_id in ordered

    def _move_lasting_away(self, runner: RunnerState) -> None:
        """Stop lasting tasks there, as far as their steps can miss one more."""
        for attempt in list(runner.attempts.values()):
            step = attempt.task.step
            if not step.request.lasting or attempt.phase is not Phase.CONFIRMED:
                continue
            away = self._others_away(step, attempt)
            if may_stop_lasting(away, step.request.may_miss):
                log.info(
                    "lasting-task-moved",
                    extra={"task": attempt.task.name, "runner": runner.runner_id},
                )
                self._holder.engine.stop(attempt, "upkeep")
                self._holder.kick()

    def _others_away(self, step: StepRun, attempt: Attempt) -> int:
        """Return how many other tasks of a step are not surely at work."""
        others = (task for task in step.tasks if task is not attempt.task)
        return count_away(
            any(self._is_at_work(a) for a in task.attempts) for task in others
        )

    def _is_at_work(self, attempt: Attempt) -> bool:
        """What a runner said last counts only while it still answers."""
        runner = self._holder.engine.runners.get(attempt.runner_id)
        if runner is None or not runner.ready:
            return False
        return attempt.phase is Phase.CONFIRMED and attempt.percent >= AT_WORK_PERCENT

    def _tell(self, wave: Wave, progress: WaveProgress, left: list[str]) -> None:
        """Write the wave's state for the operator when it has changed."""
        down = any(self._is_down(machine_id) for machine_id in wave.machine_ids)
        state = "running" if left or down else "completed"
        if progress.told == state:
            return
        progress.told = state
        log.info("wave-state", extra={"wave": wave.number, "state": state})
        self._record(progress)
        self._holder.spawn(self._write_status(wave.number, state))

    async def _write_status(self, number: int, state: str) -> None:
        key = f"wave/{number}"
        completed = state == "completed"
        row = StoredRow(STATUS_TABLE, "", key, encode_wave_status(completed))
        # A late "running" must not replace "completed".
        absent = Condition(STATUS_TABLE, "", key, ABSENT)
        conditions = [] if completed else [absent]
        while True:
            await self._holder.until_trusted()
            try:
                await self._holder.context.store.transact(conditions, [row])
                return
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                log.warning("wave-state-unwritten", extra={"error": str(error)})
                await asyncio.sleep(self._settings.tick_s)

    def _record(self, progress: WaveProgress) -> None:
        self._holder.log.mark(TABLE_WAVES, str(progress.number), progress.encode)

    # Orders.

    def _begin_move(self, move: Move) -> None:
        machine = self._machines[move.machine_id]
        pending = self._reserve(machine, DutyKind.MOVE, move.target)
        self.moves += 1
        log.info(
            "machine-moves",
            extra={
                "machine": move.machine_id,
                "from": move.source,
                "to": move.target,
                "token": self._holder.token,
            },
        )
        self._holder.spawn(
            self._order(
                machine,
                pending,
                lambda: self._cloud.move(
                    move.machine_id,
                    move.target,
                    self._holder.context.daemon_id,
                    self._holder.token,
                ),
            )
        )

    def _begin_upkeep(self, wave: Wave, machine_id: str) -> None:
        machine = self._machines[machine_id]
        pending = self._reserve(machine, DutyKind.UPKEEP, machine.pool)
        pending.wave = wave.number
        self.upkeeps += 1
        log.info(
            "upkeep-begins",
            extra={
                "machine": machine_id,
                "wave": wave.number,
                "pool": machine.pool,
                "token": self._holder.token,
            },
        )
        self._holder.spawn(
            self._order(
                machine,
                pending,
                lambda: self._cloud.upkeep(
                    machine_id,
                    wave.number,
                    self._holder.context.daemon_id,
                    self._holder.token,
                ),
            )
        )

    def _reserve(self, machine: Machine, kind: DutyKind, target: str) -> _Pending:
        runner = self._holder.engine.runners.get(machine.runner_id)
        if runner is not None:
            runner.reserved = True
        pending = _Pending(kind, target, machine.runner_id, time.monotonic())
        self._pending[machine.machine_id] = pending
        return pending

    async def _order(
        self,
        machine: Machine,
        pending: _Pending,
        call: t.Callable[[], t.Awaitable[DutyReply]],
    ) -> None:
        await self._holder.until_trusted()
        runner = self._holder.engine.runners.get(machine.runner_id)
        if self._pending.get(machine.machine_id) is not pending or (
            runner is not None and not runner.idle
        ):
            self._drop(machine, pending, "no longer free")
            return
        pending.sent_at_s = time.monotonic()
        try:
            reply = await call()
        except OutcomeUnknownError as error:
            log.warning(
                "duty-unanswered",
                extra={"machine": machine.machine_id, "error": str(error)},
            )
            return
        except StreamthreadError as error:
            self._drop(machine, pending, str(error))
            return
        if reply is not DutyReply.DONE:
            self._drop(machine, pending, reply.value)
            if reply is DutyReply.NOT_IN_WAVE:
                self._mark_begun(pending.wave, machine.machine_id)
            return
        pending.accepted = True
        if pending.kind is DutyKind.UPKEEP:
            self._mark_begun(pending.wave, machine.machine_id)
        link = self._holder.links.get(machine.runner_id)
        if link is not None:
            link.over = True
            self._holder.on_life_over(link, f"machine in {pending.kind.value}")

    def _mark_begun(self, number: int, machine_id: str) -> None:
        progress = self._waves.get(number)
        if progress is not None:
            progress.begun.add(machine_id)
            self._record(progress)

    def _drop(self, machine: Machine, pending: _Pending, why: str) -> None:
        log.info(
            "duty-refused",
            extra={
                "machine": machine.machine_id,
                "kind": pending.kind.value,
                "why": why,
            },
        )
        if self._pending.get(machine.machine_id) is pending:
            del self._pending[machine.machine_id]
        runner = self._holder.engine.runners.get(machine.runner_id)
        if runner is not None:
            runner.reserved = False


def _lasting_cpu(jobs: t.Iterable[Job]) -> float:
    return float(
        sum(
            step.cpu * step.count
            for job in jobs
            for step in job.request.steps
            if step.lasting and not step.fills
        )
    )


AT_WORK_PERCENT = 100.0
"""A lasting task is at work when its runner says so much."""
