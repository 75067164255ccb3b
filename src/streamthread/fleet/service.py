"""Carries out decisions about the pools whose shards are held here."""

import asyncio
import time
import typing as t

import attrs
from mode import Service

from ..configuration import ConfigurationService
from ..configuration import ItemKind
from ..configuration import LabelRule
from ..configuration import PoolSpec
from ..configuration import split_key
from ..configuration import WaveSpec
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..leases import LeaseService
from ..maintenance import decide_pool
from ..maintenance import InstanceFacts
from ..maintenance import measure_budget
from ..maintenance import PoolSnapshot
from ..maintenance import Step
from ..maintenance import StepKind
from ..maintenance import WaveFacts
from ..peers.rumors import RumorBook
from ..platform import ABSENT
from ..platform import CommitOutcome
from ..platform import Fence
from ..platform import InstanceStatus
from ..platform import MAX_ROWS_PER_TRANSACTION
from ..platform import Platform
from ..platform import Row
from ..platform import Transaction
from ..platform import Write
from ..timeline import Recorder
from .agenda import Agenda
from .assignment import best_pool
from .assignment import PoolNeed
from .assignment import should_leave_for
from .catalog import Catalog
from .catalog import LabelSetter
from .drains import DrainReport
from .drains import DrainTracker
from .held import HeldPools
from .planner import Planner
from .pools import instance_key
from .pools import Member
from .pools import MemberState
from .pools import pool_key
from .pools import PoolRow
from .selectors import Selector
from .sizing import Weights
from .views import PoolViews

__all__ = ["FleetService", "FleetSettings"]

AREA = "fleet"
POOL_PREFIX = "pool/"
SELECTING = frozenset({ItemKind.POOL, ItemKind.WAVE, ItemKind.HOLD})
JOINS_PER_STEP = MAX_ROWS_PER_TRANSACTION - 1


@attrs.frozen
class FleetSettings:
    """Times of the fleet slice.

    :param stale_s: a membership list older than this counts as not heard.
    :param drain_limit_s: a silent daemon's requests have ended after this.
    :param reboot_limit_s: a reboot that takes longer counts as failed.
    :param sweep_s: a pool is looked at so often even if nothing changed.
    :param buffer_weight: the price of an idle instance for an hour.
    :param move_weight: the price of a move; the same two in all entries.
    """

    tick_s: float = 0.5
    membership_poll_s: float = 1.0
    stale_s: float = 10.0
    drain_limit_s: float = 45.0
    reboot_limit_s: float = 600.0
    sweep_s: float = 30.0
    buffer_weight: float = 1.0
    move_weight: float = 4.0


@attrs.frozen
class _LoadedPool:
    row: PoolRow
    version: int
    fence: Fence


class FleetService(Service):
    """Watches membership; joins, drains, reboots, returns and moves instances.

    :param reports: what each daemon reports of a draining instance.
    :param busy: whether jobs still run on an instance.
    """

    def __init__(
        self,
        platform: Platform,
        leases: LeaseService,
        configuration: ConfigurationService,
        recorder: Recorder,
        rumors: RumorBook,
        settings: FleetSettings,
        reports: t.Callable[[str, str], DrainReport | None],
        spread_soon: t.Callable[[], None],
        clock_s: t.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self.catalog = Catalog()
        self.views = PoolViews(rumors)
        self.held = HeldPools(leases, configuration, self.views)
        self.busy: t.Callable[[str], bool] = lambda instance_id: False
        self.moves = 0
        self._platform = platform
        self._leases = leases
        self._configuration = configuration
        self._recorder = recorder
        self._settings = settings
        self._reports = reports
        self._spread_soon = spread_soon
        self._clock_s = clock_s
        self._drains = DrainTracker(settings.drain_limit_s, clock_s)
        self._loaded: dict[str, _LoadedPool] = {}
        self._membership_cursor = 0
        self._membership_at_s: float | None = None
        self._rebooting_since_s: dict[str, float] = {}
        self._agenda = Agenda(settings.sweep_s, clock_s)
        weights = Weights(settings.buffer_weight, settings.move_weight)
        self._planner = Planner(configuration.book, weights)
        self.views.listen(self._agenda.add)
        configuration.listen(self._on_configuration)

    # Configuration and membership.

    def _on_configuration(self, keys: t.Collection[str] | None) -> None:
        book = self._configuration.book
        for key in sorted(book.items if keys is None else keys):
            kind, name = split_key(key)
            if kind is ItemKind.LABELS:
                self.catalog.set_labels(name, _setter(book.spec(key, LabelRule)))
                self._agenda.add_all()
            elif kind is ItemKind.BURST:
                self._planner.forget()
                self._agenda.add_all()
            elif kind in SELECTING:
                self._planner.forget()
                self._note_touched(key)
                self.catalog.watch(key, _selector(book.spec(key, object)))
                self._note_touched(key)

    def _note_touched(self, key: str) -> None:
        """Look again at the pools that a changed item is about."""
        kind, name = split_key(key)
        if kind is ItemKind.POOL:
            self._agenda.add(name)
        for instance_id in self.catalog.matching(key):
            self._note_instance(instance_id)

    def _note_instance(self, instance_id: str) -> None:
        self._agenda.add(self.views.pool_of(instance_id))
        for key in self.catalog.matched_by(instance_id):
            if key.startswith(POOL_PREFIX):
                self._agenda.add(key.removeprefix(POOL_PREFIX))

    @Service.task
    async def _watch_membership(self) -> None:
        await self._read_all_views()
        while not self.should_stop:
            try:
                await self.poll_membership()
            except StoreUnavailableError as error:
                self.log.warning("membership not read: %s", error)
            await self.sleep(self._settings.membership_poll_s)

    async def _read_all_views(self) -> None:
        """Read the pools once; afterwards their holders tell of changes."""
        try:
            rows = await self._platform.tables.scan_all("pool/")
        except StoreUnavailableError as error:
            self.log.warning("pools not read, peers will tell: %s", error)
            return
        for row in rows:
            pool = row.key.removeprefix("pool/")
            self.views.publish(pool, PoolRow.from_json(row.value), row.version)

    async def poll_membership(self) -> None:
        """Read what changed in the membership list."""
        changes = await self._platform.membership.changes(self._membership_cursor)
        self._membership_cursor = changes.cursor
        self._membership_at_s = self._clock_s()
        for instance in changes.instances:
            if self.catalog.put(instance):
                self._note_instance(instance.instance_id)

    def membership_is_fresh(self) -> bool:
        """Whether the membership list was read lately."""
        if self._membership_at_s is None:
            return False
        return self._clock_s() - self._membership_at_s < self._settings.stale_s

    # The loop over the pools held here.

    @Service.task
    async def _decide_all(self) -> None:
        while not self.should_stop:
            await self.tick()
            await self.sleep(self._settings.tick_s)

    async def tick(self) -> None:
        """Decide about the pools held here that may need it."""
        held = self._held_pools()
        if self._planner.sizes_changed():
            self._agenda.add_all()
        for name in self._agenda.due(held):
            try:
                await self._decide(name)
            except (NotHolderError, StoreUnavailableError) as error:
                self.log.info("pool %s not decided: %s", name, error)
                self._agenda.add(name)
                if isinstance(error, StoreUnavailableError):
                    return

    def _held_pools(self) -> frozenset[str]:
        """Return the pools held here; forget the others, look at new ones."""
        held = self.held.names()
        if held != self._loaded.keys():
            for name in self._loaded.keys() - held:
                del self._loaded[name]
            for name in held - self._loaded.keys():
                self._agenda.add(name)
        return held

    async def _decide(self, name: str) -> None:
        """Decide about one pool; a grant is decided on a list read just now."""
        fence = self._leases.fence(pool_key(name))
        loaded = self._loaded.get(name)
        if loaded is None or loaded.fence != fence or self._is_behind(name, loaded):
            loaded = await self._load(name, fence)
        if loaded.row.generation > self._configuration.book.generation:
            self._agenda.add(name)
            await self._configuration.poll_once()
            return
        steps = decide_pool(self.snapshot(name, loaded.row))
        if any(step.kind == StepKind.DRAIN for step in steps):
            await self.poll_membership()
            steps = decide_pool(self.snapshot(name, loaded.row))
        if steps:
            await self._carry_out(name, steps)
        await self._request_reboots(name)
        loaded = self._loaded.get(name)
        if steps or loaded is None or loaded.row.granted():
            self._agenda.add(name)

    def _is_behind(self, name: str, loaded: _LoadedPool) -> bool:
        """Whether another holder has moved an instance into the pool."""
        view = self.views.view(name)
        return view is not None and view.version > loaded.version

    async def _load(self, name: str, fence: Fence) -> _LoadedPool:
        key = pool_key(name)
        rows = await self._platform.tables.get([key])
        row = rows.get(key)
        pool = PoolRow.from_json(row.value) if row else PoolRow()
        version = row.version if row else ABSENT
        self._keep(name, _LoadedPool(pool, version, fence))
        return self._loaded[name]

    def _keep(self, name: str, loaded: _LoadedPool) -> None:
        self._loaded[name] = loaded
        for instance_id, member in loaded.row.members.items():
            if member.state is MemberState.DRAINING:
                self._drains.note(instance_id, loaded.version)
            else:
                self._drains.forget(instance_id)
            if member.state is MemberState.REBOOTING:
                self._rebooting_since_s.setdefault(instance_id, self._clock_s())
            else:
                self._rebooting_since_s.pop(instance_id, None)
        if loaded.version != ABSENT:
            self.views.publish(name, loaded.row, loaded.version)
            self._spread_soon()

    def buffers(self) -> dict[str, int]:
        """Return the available instances above the budget of each pool held here."""
        live = {name for name in self.catalog.instances if self._is_live(name)}
        fresh = self.membership_is_fresh()
        spare: dict[str, int] = {}
        for name, loaded in self._loaded.items():
            spec = self._configuration.book.spec(pool_key(name), PoolSpec)
            least = spec.min_available if spec else 0
            spare[name] = measure_budget(loaded.row, live, fresh, least).grants_left
        return spare

    # Snapshots.

    def snapshot(self, name: str, row: PoolRow) -> PoolSnapshot:
        """Return what a decision about a pool depends on."""
        book = self._configuration.book
        spec = book.spec(pool_key(name), PoolSpec)
        candidates = self._candidates(name) if spec else []
        facts = {
            instance_id: self._facts(name, instance_id)
            for instance_id in [*row.members, *candidates]
            if instance_id in self.catalog.instances
        }
        waves = {
            f"wave/{wave}": WaveFacts(wave_spec.paused, wave_spec.max_failed_fraction)
            for wave, wave_spec in book.specs(ItemKind.WAVE, WaveSpec).items()
        }
        return PoolSnapshot(
            name=name,
            row=row,
            min_available=spec.min_available if spec else 0,
            target=self._planner.target(name, spec) if spec else None,
            facts=facts,
            waves=waves,
            candidates=tuple(candidates),
            fresh=self.membership_is_fresh(),
        )

    def _need(self, name: str) -> PoolNeed:
        spec = self._configuration.book.spec(pool_key(name), PoolSpec)
        assert spec is not None
        view = self.views.view(name)
        present = len(view.states) if view else 0
        return PoolNeed(name, spec.priority, self._planner.target(name, spec), present)

    def _room(self, name: str) -> int:
        """Return how many more a pool takes."""
        if not name:
            return 0
        need = self._need(name)
        return JOINS_PER_STEP if need.target is None else need.target - need.present

    def _candidates(self, name: str) -> list[str]:
        free = [
            instance_id
            for instance_id in self.catalog.matching(pool_key(name))
            if not self.views.pool_of(instance_id)
            and self._is_live(instance_id)
            and best_pool(self._matching(instance_id)) == name
        ]
        return sorted(free)[:JOINS_PER_STEP]

    def _matching(self, instance_id: str) -> t.Iterator[PoolNeed]:
        for key in self.catalog.matched_by(instance_id):
            if key.startswith(POOL_PREFIX):
                yield self._need(key.removeprefix(POOL_PREFIX))

    def _is_live(self, instance_id: str) -> bool:
        instance = self.catalog.instances.get(instance_id)
        return instance is not None and instance.status is InstanceStatus.LIVE

    def _facts(self, pool: str, instance_id: str) -> InstanceFacts:
        instance = self.catalog.instances[instance_id]
        matches = instance_id in self.catalog.matching(pool_key(pool))
        current = self._need(pool) if matches else None
        since_s = self._rebooting_since_s.get(instance_id)
        limit_s = self._settings.reboot_limit_s
        better = should_leave_for(current, self._matching(instance_id))
        return InstanceFacts(
            live=instance.status is InstanceStatus.LIVE,
            boot=instance.boot,
            hall=instance.hall,
            rack=instance.rack,
            idle=self._is_idle(instance_id),
            wanted_by=tuple(self._wanted_by(instance_id)),
            better_pool=better,
            better_pool_room=self._room(better),
            matches_pool=matches,
            overdue=since_s is not None and self._clock_s() - since_s > limit_s,
        )

    def _wanted_by(self, instance_id: str) -> list[str]:
        """Return the holds, then the waves, that select an instance."""
        keys = self.catalog.matched_by(instance_id)
        return sorted(key for key in keys if not key.startswith(POOL_PREFIX))

    def _is_idle(self, instance_id: str) -> bool:
        if self.busy(instance_id):
            return False
        daemons = [peer.daemon_id for peer in self._leases.peers()]
        daemons.append(self._leases.record.daemon_id)
        return self._drains.is_idle(instance_id, daemons, self._reports)

    # Commits.

    async def _carry_out(self, name: str, steps: list[Step]) -> None:
        moves = [step for step in steps if step.member is None]
        stays = [step for step in steps if step.member is not None]
        if stays:
            await self._commit_members(name, stays[:JOINS_PER_STEP])
        for step in moves:
            if name in self._loaded:
                await self._commit_leave(name, step)

    def _stamped(self, row: PoolRow) -> PoolRow:
        """Return a row that says which generation decided."""
        return attrs.evolve(row, generation=self._configuration.book.generation)

    async def _commit_members(self, name: str, steps: list[Step]) -> None:
        loaded = self._loaded[name]
        joins = [step.instance_id for step in steps if step.kind == StepKind.JOIN]
        rows = await self._instance_rows(joins)
        writes: list[Write] = []
        row = self._stamped(loaded.row)
        done: list[Step] = []
        for step in steps:
            if step.kind == StepKind.JOIN:
                known = rows.get(instance_key(step.instance_id))
                if known is not None and known.value["pool"]:
                    continue
                writes.append(_assign(step.instance_id, name, known))
            row = row.with_member(step.instance_id, step.member)
            done.append(step)
        if done:
            writes.insert(0, Write(pool_key(name), row.to_json(), loaded.version))
            await self._commit(name, loaded, row, tuple(writes), done)

    async def _instance_rows(self, instance_ids: list[str]) -> dict[str, Row]:
        if not instance_ids:
            return {}
        keys = [instance_key(instance_id) for instance_id in instance_ids]
        return await self._platform.tables.get(keys)

    async def _commit_leave(self, name: str, step: Step) -> None:
        """Move an instance: one transaction over its row and both pools' rows."""
        loaded = self._loaded[name]
        key, target_key = instance_key(step.instance_id), pool_key(step.move_to)
        rows = await self._platform.tables.get([key, target_key])
        row = self._stamped(loaded.row.with_member(step.instance_id, None))
        writes = [
            Write(pool_key(name), row.to_json(), loaded.version),
            _assign(step.instance_id, step.move_to, rows.get(key)),
        ]
        target = PoolRow()
        target_version = ABSENT
        if step.move_to:
            if target_key in rows:
                target = PoolRow.from_json(rows[target_key].value)
                target_version = rows[target_key].version
            member = Member(boot=loaded.row.members[step.instance_id].boot)
            target = self._stamped(target.with_member(step.instance_id, member))
            writes.append(Write(target_key, target.to_json(), target_version))
        committed = await self._commit(name, loaded, row, tuple(writes), [step])
        if committed and step.move_to:
            self.moves += 1
            self.views.publish(step.move_to, target, target_version + 1)
            self._loaded.pop(step.move_to, None)

    async def _commit(
        self,
        name: str,
        loaded: _LoadedPool,
        row: PoolRow,
        writes: tuple[Write, ...],
        steps: list[Step],
    ) -> bool:
        transaction = Transaction(writes, (loaded.fence,))
        result = await self._leases.committer.commit(transaction)
        if result.outcome is not CommitOutcome.COMMITTED:
            self._loaded.pop(name, None)
            keys = ", ".join(result.conflicting_keys)
            self._recorder.record(
                AREA, f"commit-{result.outcome.value}", pool_key(name), keys
            )
            return False
        self._keep(name, _LoadedPool(row, loaded.version + 1, loaded.fence))
        for step in steps:
            self._record(name, step, loaded.fence)
        return True

    def _record(self, name: str, step: Step, fence: Fence) -> None:
        target = f", to {step.move_to}" if step.move_to else ""
        self._recorder.record(
            AREA,
            step.kind,
            f"instance/{step.instance_id}",
            f"{pool_key(name)}: {step.cause}{target}",
            generation=self._configuration.book.generation,
            epoch=fence.version,
        )

    # Reboots.

    async def _request_reboots(self, name: str) -> None:
        """Ask for the reboots that the row says are under way; idempotent."""
        loaded = self._loaded.get(name)
        if loaded is None:
            return
        waiting = [
            self._reboot(instance_id, member)
            for instance_id, member in loaded.row.members.items()
            if member.state is MemberState.REBOOTING
            and self._is_live(instance_id)
            and self.catalog.instances[instance_id].boot == member.boot
        ]
        await asyncio.gather(*waiting)

    async def _reboot(self, instance_id: str, member: Member) -> None:
        try:
            await self._platform.workers.reboot(instance_id, member.boot)
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            self.log.info("reboot asked again later: %s", error)
        except StreamthreadError as error:
            self._recorder.record(
                AREA, "reboot-refused", f"instance/{instance_id}", str(error)
            )


def _setter(rule: LabelRule | None) -> LabelSetter | None:
    if rule is None:
        return None
    return LabelSetter(Selector.parse(rule.selector), rule.set)


def _selector(spec: t.Any) -> Selector | None:
    return None if spec is None else Selector.parse(spec.selector)


def _assign(instance_id: str, pool: str, known: Row | None) -> Write:
    version = known.version if known else ABSENT
    return Write(instance_key(instance_id), {"pool": pool}, version)
