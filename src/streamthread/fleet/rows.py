"""The rows of the pools held here: loaded, kept in memory, committed in steps."""

import typing as t

import attrs

from ..configuration import ConfigurationService
from ..leases import LeaseService
from ..maintenance import Step
from ..maintenance import StepKind
from ..providers import ABSENT
from ..providers import Fence
from ..providers import MAX_ROWS_PER_TRANSACTION
from ..providers import Row
from ..providers import Tables
from ..providers import Transaction
from ..providers import Write
from ..timeline import Recorder
from .pools import instance_key
from .pools import Member
from .pools import pool_key
from .pools import PoolRow
from .views import PoolViews

__all__ = ["JOINS_PER_STEP", "LoadedPool", "PoolRows"]

AREA = "fleet"
JOINS_PER_STEP = MAX_ROWS_PER_TRANSACTION - 1


@attrs.frozen
class LoadedPool:
    """A pool's row as read or committed under one epoch."""

    row: PoolRow
    version: int
    fence: Fence


class PoolRows:
    """Loads pools' rows at take-over, and commits steps of their members.

    A commit carries the epoch, the rows' versions and the generation. One that
    is refused or unknown makes the row be read again before anything else.

    :param on_change: called with each row that was read or committed.
    """

    def __init__(
        self,
        tables: Tables,
        leases: LeaseService,
        configuration: ConfigurationService,
        recorder: Recorder,
        views: PoolViews,
        on_change: t.Callable[[LoadedPool], None],
    ) -> None:
        self.moves = 0
        self._tables = tables
        self._leases = leases
        self._configuration = configuration
        self._recorder = recorder
        self._views = views
        self._on_change = on_change
        self._loaded: dict[str, LoadedPool] = {}

    def names(self) -> t.KeysView[str]:
        """Return the pools that are loaded."""
        return self._loaded.keys()

    def get(self, name: str) -> LoadedPool | None:
        """Return a loaded pool."""
        return self._loaded.get(name)

    def forget(self, name: str) -> None:
        """Read a pool anew before it is decided about again."""
        self._loaded.pop(name, None)

    async def current(self, name: str) -> LoadedPool:
        """Return a pool's row, reading it where what is loaded may be old.

        :raises NotHolderError: the pool's shard is not held here.
        :raises StoreUnavailableError: the row could not be read.
        """
        fence = self._leases.fence(pool_key(name))
        loaded = self._loaded.get(name)
        if loaded is None or loaded.fence != fence or self._is_behind(name, loaded):
            loaded = await self._load(name, fence)
        return loaded

    def _is_behind(self, name: str, loaded: LoadedPool) -> bool:
        """Whether another holder has moved an instance into the pool."""
        view = self._views.view(name)
        return view is not None and view.version > loaded.version

    async def _load(self, name: str, fence: Fence) -> LoadedPool:
        row = await self._read(pool_key(name))
        pool = PoolRow.from_json(row.value) if row else PoolRow()
        loaded = LoadedPool(pool, row.version if row else ABSENT, fence)
        self._keep(name, loaded)
        return loaded

    async def _read(self, key: str) -> Row | None:
        return (await self._tables.get([key])).get(key)

    def _keep(self, name: str, loaded: LoadedPool) -> None:
        self._loaded[name] = loaded
        if loaded.version != ABSENT:
            self._views.publish(name, loaded.row, loaded.version)
        self._on_change(loaded)

    # Commits.

    async def carry_out(self, name: str, steps: t.Sequence[Step]) -> None:
        """Commit steps: those that stay together, each that leaves by itself."""
        stays = [step for step in steps if step.member is not None]
        if stays:
            await self._commit_members(name, stays[:JOINS_PER_STEP])
        for step in steps:
            loaded = self._loaded.get(name)
            if step.member is None and loaded is not None:
                await self._commit_leave(name, loaded, step)

    def _stamped(self, row: PoolRow) -> PoolRow:
        """Return a row that says which generation decided."""
        return attrs.evolve(row, generation=self._configuration.active.generation)

    async def _commit_members(self, name: str, steps: t.Sequence[Step]) -> None:
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
            await self._commit(name, loaded, row, writes, done)

    async def _instance_rows(self, instance_ids: list[str]) -> dict[str, Row]:
        if not instance_ids:
            return {}
        keys = [instance_key(instance_id) for instance_id in instance_ids]
        return await self._tables.get(keys)

    async def _commit_leave(self, name: str, loaded: LoadedPool, step: Step) -> None:
        """Move an instance: one transaction over its row and both pools' rows."""
        known = await self._read(instance_key(step.instance_id))
        row = self._stamped(loaded.row.with_member(step.instance_id, None))
        writes = [
            Write(pool_key(name), row.to_json(), loaded.version),
            _assign(step.instance_id, step.move_to, known),
        ]
        if not step.move_to:
            await self._commit(name, loaded, row, writes, [step])
            return
        left = loaded.row.members[step.instance_id]
        target_row = await self._read(pool_key(step.move_to))
        version = target_row.version if target_row else ABSENT
        target = PoolRow.from_json(target_row.value) if target_row else PoolRow()
        member = Member(boot=left.boot, done=left.done)
        target = self._stamped(target.with_member(step.instance_id, member))
        writes.append(Write(pool_key(step.move_to), target.to_json(), version))
        if await self._commit(name, loaded, row, writes, [step]):
            self.moves += 1
            self._views.publish(step.move_to, target, version + 1)

    async def _commit(
        self,
        name: str,
        loaded: LoadedPool,
        row: PoolRow,
        writes: t.Sequence[Write],
        steps: t.Sequence[Step],
    ) -> bool:
        transaction = Transaction(tuple(writes), (loaded.fence,))
        result = await self._leases.committer.commit(transaction)
        if not result.committed:
            self.forget(name)
            keys = ", ".join(result.conflicting_keys)
            kind = f"commit-{result.outcome.value}"
            self._recorder.record(AREA, kind, pool_key(name), keys)
            return False
        self._keep(name, LoadedPool(row, loaded.version + 1, loaded.fence))
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
            generation=self._configuration.active.generation,
            epoch=fence.version,
        )


def _assign(instance_id: str, pool: str, known: Row | None) -> Write:
    version = known.version if known else ABSENT
    return Write(instance_key(instance_id), {"pool": pool}, version)
