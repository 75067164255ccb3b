"""Follows what the operator writes: the manifest, the waves and the evacuations."""

import asyncio
import typing as t

import logbook
from mode import Service

from ..clocks import boot_s
from ..errors import OutcomeUnknownError
from ..errors import StoreUnavailableError
from ..errors import UnreadableError
from ..halls import Evacuations
from ..loops import Failures
from ..loops import LoopKeeper
from ..platform.documents import decode_wave
from ..platform.documents import OPERATOR_TABLE
from ..platform.documents import Wave
from ..platform.documents import WAVE_PREFIX
from ..platform.manifest import CONFIG_KEY
from ..platform.manifest import decode_manifest
from ..platform.manifest import Manifest
from ..platform.manifest import Route
from ..platform.store import RowStore
from ..platform.store import StoredRow
from ..platform.table_feed import TableFeed
from ..unreadable import Source
from ..unreadable import UnreadableNotes

__all__ = ["FEED_WAIT_S", "Documents"]

log = logbook.Logger("streamthread.documents")

FEED_WAIT_S = 1.0
"""Half of the time within which a change must be in force: if one feed call misses
the change, the next one still reads it in time."""

RETRY_S = 0.1
"""Pause before a retry after the store did not answer."""


class Documents(Service):
    """The operator's newest documents, as this daemon has read them.

    They are read in full once, and again only if the store has lost the history: 1.1
    MB of configuration occupy the slowest links for 1.75 s, and callers wait meanwhile.

    Unreadable input changes nothing: the configuration, one of its routes, or a wave
    stays as it was last read.

    :param notes: records unreadable input.
    :param failures: counts unexpected failures.
    :param feed_wait_s: how long one call waits for a change.
    :param confirmed_at_s: when the store last answered, on the boot clock.
    :param evacuations: the halls that the operator has evacuated.
    """

    def __init__(
        self,
        store: RowStore,
        notes: UnreadableNotes | None = None,
        failures: Failures | None = None,
        feed_wait_s: float = FEED_WAIT_S,
    ) -> None:
        super().__init__()
        self._notes = notes or UnreadableNotes()
        self._supervisor = LoopKeeper(failures or Failures())
        self._feed = TableFeed(store, OPERATOR_TABLE, "", feed_wait_s)
        self.manifest: Manifest | None = None
        self.waves: dict[int, Wave] = {}
        self.confirmed_at_s = 0.0
        self.evacuations = Evacuations(self._notes)
        self._routes: dict[str, list[Route]] = {}

    @Service.task
    async def _run(self) -> None:
        await self.wait(self._supervisor.keep("documents", self._watch))

    async def _watch(self) -> None:
        failing = False
        while True:
            try:
                await self._watch_once()
                if failing:
                    log.info("operator-documents-readable")
                failing = False
            except (StoreUnavailableError, OutcomeUnknownError) as error:
                if not failing:
                    log.warning(
                        "operator-documents-unreadable", extra={"error": str(error)}
                    )
                failing = True
                await asyncio.sleep(RETRY_S)

    async def _watch_once(self) -> None:
        update = await self._feed.next()
        self.confirmed_at_s = boot_s()
        self.evacuations.apply(update, self._feed.as_of_s)
        for row in update.rows:
            self._apply_row(row)

    def _apply_row(self, row: StoredRow) -> None:
        if row.value is None:
            return
        if row.key == CONFIG_KEY:
            self._apply_manifest(row.value)
        elif row.key.startswith(WAVE_PREFIX):
            self._apply_wave(row.key, row.value)

    def _apply_manifest(self, value: bytes) -> None:
        try:
            reading = decode_manifest(value, self.manifest)
        except UnreadableError as error:
            self._notes.note(Source.CONFIGURATION, error)
            return
        manifest = reading.manifest
        if self.manifest is not None and manifest.version <= self.manifest.version:
            return
        self._notes.clear_all(Source.CONFIGURATION)
        for decode_error in reading.unreadable:
            self._notes.note(Source.CONFIGURATION, decode_error)
        self.manifest = manifest
        self._routes = _by_host(manifest.routes)
        log.info(
            "manifest-adopted",
            extra={
                "version": manifest.version,
                "routes": len(manifest.routes),
                "bytes": len(value),
                "unreadable": len(reading.unreadable),
            },
        )

    def _apply_wave(self, key: str, value: bytes) -> None:
        try:
            wave = decode_wave(key, value)
        except UnreadableError as error:
            self._notes.note(Source.WAVE, error)
            return
        self._notes.clear(Source.WAVE, key)
        if wave.number not in self.waves:
            log.info(
                "wave-known",
                extra={
                    "wave": wave.number,
                    "machines": len(wave.machine_ids),
                    "duration_s": wave.duration_s,
                    "most_at_once": wave.most_at_once,
                },
            )
        self.waves[wave.number] = wave

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path under its host."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _by_host(routes: t.Iterable[Route]) -> dict[str, list[Route]]:
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    for host_routes in hosts.values():
        host_routes.sort(key=lambda route: -len(route.path_prefix))
    return hosts
