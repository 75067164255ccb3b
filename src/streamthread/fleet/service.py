"""Carries out decisions about the pools whose shards are held here."""

import asyncio
import datetime
import typing as t

import attrs
from mode import Service

from ..clocks import boot_s
from ..configuration import ConfigurationService
from ..configuration import ItemKind
from ..configuration import LabelRule
from ..configuration import PoolSpec
from ..configuration import split_key
from ..errors import NotHolderError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..leases import LeaseService
from ..maintenance import decide_pool
from ..maintenance import measure_budget
from ..maintenance import PoolSnapshot
from ..maintenance import StepKind
from ..peers.rumors import RumorStore
from ..providers import Platform
from ..timeline import Recorder
from .catalog import Catalog
from .catalog import LabelSetter
from .drains import DrainReport
from .held import HeldPools
from .planner import Planner
from .planner import utc_now
from .pools import Member
from .pools import MemberState
from .pools import pool_key
from .pools import PoolRow
from .progress import Progress
from .rows import LoadedPool
from .rows import PoolRows
from .selectors import Selector
from .sizing import Weights
from .snapshots import POOL_PREFIX
from .snapshots import SnapshotReader
from .views import PoolViews
from .workqueue import WorkQueue

__all__ = ["FleetService", "FleetSettings"]

AREA = "fleet"
SELECTING = frozenset({ItemKind.POOL, ItemKind.WAVE, ItemKind.HOLD})


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
    sweep_s: float = 300.0
    buffer_weight: float = 1.0
    move_weight: float = 4.0


class FleetService(Service):
    """Watches membership; joins, drains, reboots, returns and moves instances.

    :param reports: what each daemon reports of a draining instance.
    :param spread_soon: tells the peers soon.
    """

    def __init__(
        self,
        platform: Platform,
        leases: LeaseService,
        configuration: ConfigurationService,
        recorder: Recorder,
        rumors: RumorStore,
        settings: FleetSettings,
        reports: t.Callable[[str, str], DrainReport | None],
        spread_soon: t.Callable[[], None],
        clock_s: t.Callable[[], float] = boot_s,
        wall: t.Callable[[], datetime.datetime] = utc_now,
    ) -> None:
        super().__init__()
        self.catalog = Catalog()
        self.views = PoolViews(rumors)
        self.held = HeldPools(leases, configuration, self.views)
        self.progress = Progress(
            leases, reports, settings.drain_limit_s, settings.reboot_limit_s, clock_s
        )
        self._platform = platform
        self._configuration = configuration
        self._recorder = recorder
        self._settings = settings
        self._spread_soon = spread_soon
        self._clock_s = clock_s
        self._rows = PoolRows(
            platform.tables,
            leases,
            configuration,
            recorder,
            self.views,
            self._on_row,
        )
        self._membership_cursor = 0
        self._membership_at_s: float | None = None
        self._work = WorkQueue(settings.sweep_s, clock_s)
        weights = Weights(settings.buffer_weight, settings.move_weight)
        self._planner = Planner(configuration.active, weights, wall)
        self._snapshots = SnapshotReader(
            configuration.active, self.catalog, self.views, self._planner, self.progress
        )
        self.views.listen(self._work.add)
        configuration.listen(self._on_configuration)

    @property
    def moves(self) -> int:
        """How many moves between pools were committed here."""
        return self._rows.moves

    # Configuration and membership.

    def _on_configuration(self, keys: t.Collection[str] | None) -> None:
        active = self._configuration.active
        for key in sorted(active.items if keys is None else keys):
            kind, name = split_key(key)
            if kind is ItemKind.LABELS:
                self.catalog.set_labels(name, _setter(active.spec(key, LabelRule)))
                self._work.add_all()
            elif kind is ItemKind.BURST:
                self._planner.forget()
                self._work.add_all()
            elif kind in SELECTING:
                self._planner.forget()
                self._note_touched(key)
                self.catalog.watch(key, _selector(active.spec(key, object)))
                self._note_touched(key)

    def _note_touched(self, key: str) -> None:
        """Look again at the pools that a changed item is about."""
        kind, name = split_key(key)
        if kind is ItemKind.POOL:
            self._work.add(name)
        for instance_id in self.catalog.matching(key):
            self._note_instance(instance_id)

    def _note_instance(self, instance_id: str) -> None:
        self._work.add(self.views.pool_of(instance_id))
        for key in self.catalog.matched_by(instance_id):
            if key.startswith(POOL_PREFIX):
                self._work.add(key.removeprefix(POOL_PREFIX))

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
            self._work.add_all()
        for name in self._work.due(held):
            try:
                await self._decide(name)
            except (NotHolderError, StoreUnavailableError) as error:
                self.log.info("pool %s not decided: %s", name, error)
                self._work.add(name)
                if isinstance(error, StoreUnavailableError):
                    return

    def _held_pools(self) -> frozenset[str]:
        """Return the pools held here; forget the others, look at new ones."""
        held = self.held.names()
        if held != self._rows.names():
            for name in set(self._rows.names() - held):
                self._rows.forget(name)
            for name in held - self._rows.names():
                self._work.add(name)
        return held

    async def _decide(self, name: str) -> None:
        """Decide about one pool; a grant is decided on a list read just now."""
        loaded = await self._rows.current(name)
        if loaded.row.generation > self._configuration.active.generation:
            self._work.add(name)
            await self._configuration.poll_once()
            return
        steps = decide_pool(self._snapshot(name, loaded))
        if any(step.kind == StepKind.DRAIN for step in steps):
            await self.poll_membership()
            steps = decide_pool(self._snapshot(name, loaded))
        if steps:
            await self._rows.carry_out(name, steps)
        after = self._rows.get(name)
        if after is not None:
            await self._request_reboots(after)
        if steps or after is None or after.row.granted():
            self._work.add(name)

    def _snapshot(self, name: str, loaded: LoadedPool) -> PoolSnapshot:
        fresh = self.membership_is_fresh()
        return self._snapshots.read(name, loaded.row, fresh)

    def _on_row(self, loaded: LoadedPool) -> None:
        self.progress.note(loaded)
        self._spread_soon()

    def buffers(self) -> dict[str, int]:
        """Return the available instances above the budget of each pool held here."""
        fresh = self.membership_is_fresh()
        spare: dict[str, int] = {}
        for name in self._rows.names():
            loaded = self._rows.get(name)
            assert loaded is not None
            spec = self._configuration.active.spec(pool_key(name), PoolSpec)
            least = spec.min_available if spec else 0
            live = self.catalog.live_among(loaded.row.members)
            spare[name] = measure_budget(loaded.row, live, fresh, least).grants_left
        return spare

    # Reboots.

    async def _request_reboots(self, loaded: LoadedPool) -> None:
        """Ask for the reboots that the row says are under way; idempotent."""
        waiting = [
            self._reboot(instance_id, member)
            for instance_id, member in loaded.row.members.items()
            if member.state is MemberState.REBOOTING
            and self.catalog.is_live(instance_id)
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
