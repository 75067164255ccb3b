"""Accepts changes of the configuration, and keeps the one in force current."""

import asyncio
import random
import typing as t

import attrs
from mode import Service

from ..clocks import boot_s
from ..errors import ConflictError
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..leases import Committer
from ..providers import CommitOutcome
from ..providers import Platform
from ..timeline import Recorder
from .active import ActiveConfiguration
from .active import Generation
from .active import next_digest
from .active import Snapshot
from .checks import check_changes
from .items import Change
from .store import ConfigurationStore
from .store import Head
from .store import SNAPSHOT_EVERY

__all__ = ["ConfigurationService", "Proposal"]

AREA = "configuration"
ACCEPTED_HERE = "accepted here"

Listener = t.Callable[[t.Collection[str] | None], None]
"""Is given the changed keys, or None when everything may have changed."""


@attrs.frozen
class Proposal:
    """Changes that an operator made from one generation.

    :param read_keys: keys that the operator relied on without changing them.
    """

    base_generation: int
    changes: tuple[Change, ...]
    read_keys: tuple[str, ...] = ()

    def touched(self) -> list[str]:
        """Return every key that must not have changed since the base."""
        return [change.key for change in self.changes] + list(self.read_keys)


class ConfigurationService(Service):
    """The configuration in force here: adopts from the store and from peers.

    :param poll_s: how often the head is read, with jitter.
    """

    def __init__(
        self,
        platform: Platform,
        committer: Committer,
        recorder: Recorder,
        poll_s: float,
    ) -> None:
        super().__init__()
        self.active = ActiveConfiguration()
        self.confirmed_at_s: float | None = None
        self.adopted_at_s = boot_s()
        self.accepted_last = False
        """Whether the generation in force was accepted by this daemon."""
        self._store = ConfigurationStore(platform, committer)
        self._recorder = recorder
        self._poll_s = poll_s
        self._listeners: list[Listener] = []
        self._accepting = asyncio.Lock()
        self._random = random.Random(recorder.daemon_id)

    def listen(self, listener: Listener) -> None:
        """Have a function called after each adoption."""
        self._listeners.append(listener)

    def confirmed_age_s(self) -> float:
        """Return how long ago the store confirmed the generation in force."""
        if self.confirmed_at_s is None:
            return float("inf")
        return boot_s() - self.confirmed_at_s

    # Accepting.

    async def propose(self, proposal: Proposal) -> int:
        """Accept an operator's changes as one generation; return its number.

        :raises ConflictError: somebody changed one of the items first.
        :raises BadConfiguration: the changes have mistakes.
        :raises StoreUnavailableError: nothing was accepted.
        :raises OutcomeUnknownError: the commit could not be settled.
        """
        async with self._accepting:
            while True:
                head = await self._store.head()
                await self._catch_up_to(head)
                self._refuse_conflict(proposal)
                check_changes(proposal.changes, self.active.items)
                step = Generation(
                    head.generation + 1,
                    next_digest(self.active.digest, proposal.changes),
                    proposal.changes,
                )
                result = await self._store.append(head, step)
                if result.outcome is CommitOutcome.COMMITTED:
                    self.adopt_steps([step], ACCEPTED_HERE)
                    await self._snapshot_if_due()
                    return step.number
                if result.outcome is CommitOutcome.UNKNOWN:
                    raise OutcomeUnknownError(
                        "the change may or may not have been accepted",
                        remedy="compare 'get configuration' and apply again if needed",
                    )

    def _refuse_conflict(self, proposal: Proposal) -> None:
        changed = self.active.changed_since(
            proposal.touched(), proposal.base_generation
        )
        if changed:
            raise ConflictError(
                f"changed since generation {proposal.base_generation}: "
                + ", ".join(changed),
                remedy=f"read generation {self.active.generation} and apply again",
                location=changed[0],
            )

    async def _snapshot_if_due(self) -> None:
        if self.active.generation % SNAPSHOT_EVERY:
            return
        try:
            await self._store.write_snapshot(self.active.snapshot())
        except StreamthreadError as error:
            self.log.warning("snapshot not written: %s", error)

    # Adopting.

    def adopt_steps(self, steps: t.Iterable[Generation], cause: str) -> bool:
        """Adopt the steps that follow on; return whether any did."""
        adopted = [step for step in steps if self.active.adopt(step)]
        self._announce_steps(adopted, cause)
        return bool(adopted)

    def adopt_snapshot(self, snapshot: Snapshot, cause: str) -> bool:
        """Adopt a whole configuration if it is higher."""
        if not self.active.adopt_snapshot(snapshot):
            return False
        self._announce(None, cause)
        return True

    def _announce_steps(self, steps: t.Sequence[Generation], cause: str) -> None:
        if steps:
            keys = {change.key for step in steps for change in step.changes}
            self._announce(keys, cause)

    def _announce(self, keys: t.Collection[str] | None, cause: str) -> None:
        self.adopted_at_s = boot_s()
        self.accepted_last = cause == ACCEPTED_HERE
        self._recorder.record(
            AREA,
            "generation-in-force",
            f"configuration/{self.active.generation}",
            cause,
            generation=self.active.generation,
        )
        for listener in self._listeners:
            listener(keys)

    # Polling.

    @Service.task
    async def _poll(self) -> None:
        while not self.should_stop:
            try:
                await self.poll_once()
            except StoreUnavailableError as error:
                self.log.warning("configuration not read: %s", error)
            await self.sleep(self._poll_s * self._random.uniform(0.8, 1.2))

    async def poll_once(self) -> None:
        """Read the head and adopt what is missing.

        :raises StoreUnavailableError: the store could not be read.
        """
        asked_at_s = boot_s()
        head = await self._store.head()
        await self._catch_up_to(head)
        self.confirmed_at_s = asked_at_s

    async def _catch_up_to(self, head: Head) -> None:
        if head.generation <= self.active.generation:
            return
        caught_up = await self._store.catch_up(self.active, head)
        if caught_up.by_snapshot:
            self._announce(None, "read from the store, with a snapshot")
        else:
            self._announce_steps(caught_up.steps, "read from the store")
