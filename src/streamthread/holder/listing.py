"""Follows the list of runners that the platform maintains in the store."""

import asyncio
from abc import ABC
from abc import abstractmethod

import logbook

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..platform.documents import decode_runner_entry
from ..platform.documents import RunnerEntry
from ..platform.documents import RUNNERS_TABLE
from ..platform.manifest import Manifest
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from ..runners import RunnerLink
from ..unreadable import Source
from ..unreadable import UnreadableNotes
from .context import ManifestSource

__all__ = ["RunnerListHandler", "RunnerListing"]

log = logbook.Logger("streamthread.holder")

FEED_WAIT_S = 0.5
"""One call of the runners' feed waits this long for a change. With 30 runners there is
a change every 50 ms, so a longer silence indicates a dead connection."""

RETURN_GRACE_S = 2.0
"""Entries that expired during a store outage are written again within this time after
the outage ends if their runners are alive. A runner whose entry is still missing
then is gone (specified in the users' pages)."""


class RunnerListHandler(ABC):
    """Opens links to the runners that are listed."""

    @abstractmethod
    def add_runner(self, entry: RunnerEntry) -> None:
        """Open a link to a runner that is listed and has none yet."""

    @abstractmethod
    def restart_runner(self, link: RunnerLink, entry: RunnerEntry) -> None:
        """Replace a runner's link, given the entry of the runner's next incarnation."""


class RunnerListing:
    """Keeps each link's ``listed`` and its runner's ``draining`` as the list has them.

    An entry that can't be decoded, or whose pool is in no configuration, makes no
    runner available, and no runner is called for it. If the runner already has a link,
    it receives nothing new until its next valid entry, and its current runs continue.

    :param links: links to runners, by runner id.
    :param documents: the configuration that names the pools.
    :param pause_s: pause between two reads of the list.
    :param handler: receives each listed runner without a link, and each next
        incarnation.
    :param notes: collects reports of entries that can't be decoded.
    """

    def __init__(
        self,
        store: RowStore,
        links: dict[str, RunnerLink],
        documents: ManifestSource,
        pause_s: float,
        handler: RunnerListHandler,
        notes: UnreadableNotes,
    ) -> None:
        self._feed = TableFeed(store, RUNNERS_TABLE, "", FEED_WAIT_S)
        self._links = links
        self._documents = documents
        self._pause_s = pause_s
        self._handler = handler
        self._notes = notes
        # Entries of pools that are in no configuration yet, by runner id.
        self._unnamed: dict[str, RunnerEntry] = {}
        self._manifest: Manifest | None = None
        # The last read failed, so entries may have expired during an outage.
        self._store_failed = False
        # Runs while runners may still renew entries that expired in an outage.
        self._grace_timer: asyncio.TimerHandle | None = None
        # Runners without an entry that count as listed until the grace period ends.
        self._missing: set[str] = set()
        self._began_at_s = boot_s()

    @property
    def age_s(self) -> float:
        """How old the list is, or how long it has been missing."""
        return boot_s() - max(self._feed.known_at_s, self._began_at_s)

    async def run(self) -> None:
        """Follow the list until cancelled."""
        try:
            while True:
                await self._read()
                await asyncio.sleep(self._pause_s)
        except asyncio.CancelledError:
            if self._grace_timer is not None:
                self._grace_timer.cancel()
            raise

    async def _read(self) -> None:
        try:
            update = await self._feed.next()
        except (StoreUnavailableError, OutcomeUnknownError) as error:
            log.warning("runners-unreadable", extra={"error": str(error)})
            self._store_failed = True
            return
        if self._store_failed:
            self._begin_grace()
        self._accept_named()
        if update.whole:
            self._unlist_missing({row.key for row in update.rows})
        for row in update.rows:
            self._on_row(row)

    def _accept_named(self) -> None:
        """Handle the deferred entries whose pools are in a newer configuration."""
        manifest = self._documents.manifest
        if manifest is self._manifest:
            return
        self._manifest = manifest
        waiting, self._unnamed = self._unnamed, {}
        for entry in waiting.values():
            self._on_entry(entry)

    def _is_named(self, pool: str) -> bool:
        """Whether the configuration names a pool; True while there is none."""
        manifest = self._documents.manifest
        return manifest is None or pool in manifest.pools

    def _begin_grace(self) -> None:
        """Start the grace period in which runners may renew their missing entries."""
        self._store_failed = False
        if self._grace_timer is not None:
            self._grace_timer.cancel()
        loop = asyncio.get_running_loop()
        self._grace_timer = loop.call_later(RETURN_GRACE_S, self._end_grace)

    def _end_grace(self) -> None:
        self._grace_timer = None
        missing, self._missing = self._missing, set()
        for runner_id in missing:
            self._unlist(runner_id)

    def _unlist_missing(self, listed: set[str]) -> None:
        for runner_id in list(self._links):
            if runner_id not in listed:
                self._unlist(runner_id)
        for runner_id in [key for key in self._unnamed if key not in listed]:
            del self._unnamed[runner_id]

    def _on_row(self, row: StoredRow) -> None:
        self._unnamed.pop(row.key, None)
        if row.value is None:
            self._notes.clear(Source.RUNNER_ENTRY, row.key)
            self._unlist(row.key)
            return
        self._missing.discard(row.key)
        try:
            entry = decode_runner_entry(row.key, row.value)
        except UnreadableError as error:
            self._notes.note(Source.RUNNER_ENTRY, error)
            self._suspend(row.key, "its entry can't be decoded")
            return
        self._notes.clear(Source.RUNNER_ENTRY, row.key)
        self._on_entry(entry)

    def _on_entry(self, entry: RunnerEntry) -> None:
        if not self._is_named(entry.service):
            self._unnamed[entry.runner_id] = entry
            self._suspend(entry.runner_id, "its pool is not in the configuration")
            return
        link = self._links.get(entry.runner_id)
        if link is None:
            self._handler.add_runner(entry)
            return
        if link.runner.is_next_incarnation(entry.born_ms):
            self._handler.restart_runner(link, entry)
            return
        if entry.born_ms in link.runner.earlier_born_ms:
            # This entry is outdated: the next incarnation has already answered a call.
            return
        if not link.listed:
            log.info("runner-listed-again", extra={"runner": entry.runner_id})
        link.listed = True
        if link.runner.update(entry):
            # The new capacity counts at once: a runner that does not check its own
            # capacity would accept starts beyond it.
            log.info(
                "runner-resized",
                extra={
                    "runner": entry.runner_id,
                    "cpu": entry.cpu,
                    "memory_mb": entry.memory_mb,
                    "gpu": entry.gpu,
                },
            )
        if entry.draining and not link.runner.draining:
            log.info("runner-draining", extra={"runner": entry.runner_id})
            link.runner.draining = True
        elif not entry.draining:
            link.runner.draining = False

    def _suspend(self, runner_id: str, why: str) -> None:
        """Place nothing more on a runner; its current runs continue."""
        link = self._links.get(runner_id)
        if link is None or not link.listed:
            return
        log.warning("runner-suspended", extra={"runner": runner_id, "why": why})
        link.listed = False
        link.runner.ready = False

    def _unlist(self, runner_id: str) -> None:
        """Place nothing more on a runner that has no entry.

        During the grace period, a runner that still answers counts as listed.
        """
        link = self._links.get(runner_id)
        if link is None or not link.listed:
            return
        if self._grace_timer is not None and not link.silent:
            self._missing.add(runner_id)
        else:
            log.info("runner-unlisted", extra={"runner": runner_id})
            link.listed = False
            link.runner.ready = False
