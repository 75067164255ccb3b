"""The operator's configuration comes into force, whatever its size and the link."""

from streamthread.gateway import CellDaemon
from streamthread.platform.node import decode_node

from .support import running_cell
from .support import until

MANY_ROUTES = 1500
"""Some 300 KB as the store sends them."""

SMALL_LINK_BYTES_PER_S = 150_000.0
"""Two seconds for so many routes: longer than any call may wait for an answer."""

IN_FORCE_WITHIN_S = 8.0


def _version(daemon: CellDaemon) -> int:
    manifest = daemon.documents.manifest
    return manifest.version if manifest is not None else 0


class TestLargeConfiguration:
    async def test_comes_into_force_over_a_small_link(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            cell.world.store.faults.answer_bytes_per_s = SMALL_LINK_BYTES_PER_S
            await cell.world.write_manifest(2, more_routes=MANY_ROUTES)
            await until(
                lambda: _version(daemon) == 2, "version 2 in force", IN_FORCE_WITHIN_S
            )

    async def test_is_read_by_a_daemon_that_starts(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            await cell.world.write_manifest(2, more_routes=MANY_ROUTES)
            cell.world.store.faults.answer_bytes_per_s = SMALL_LINK_BYTES_PER_S
            late = CellDaemon(decode_node(cell.world.node_settings("late")))
            await late.start()
            try:
                await until(
                    lambda: _version(late) == 2, "version 2 in force", IN_FORCE_WITHIN_S
                )
            finally:
                await late.stop()
