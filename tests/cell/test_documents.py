"""The operator's configuration comes into force even if it is large or a link slow."""

import asyncio
import base64

import pytest

from streamthread.gateway import CellDaemon
from streamthread.holder.inbox import InboxEntry
from streamthread.holder.inbox import RequestKind
from streamthread.platform.node import decode_node

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

MANY_ROUTES = 1500
"""Some 300 KB in the store's answer."""

SLOW_LINK_BYTES_PER_S = 150_000.0
"""At this rate, `MANY_ROUTES` routes take two seconds, which is longer than any call
may wait for an answer."""

IN_FORCE_WITHIN_S = 8.0

BEHIND_S = 0.5
"""A holder with an older configuration gives no answer for this time. A holder with the
same configuration answers within 0.1 s."""


def _version(daemon: CellDaemon) -> int:
    manifest = daemon.documents.manifest
    return manifest.version if manifest is not None else 0


class TestLargeConfiguration:
    async def test_comes_into_force_over_a_slow_link(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            cell.world.store.faults.answer_bytes_per_s = SLOW_LINK_BYTES_PER_S
            await cell.world.write_manifest(2, more_routes=MANY_ROUTES)
            await until(
                lambda: _version(daemon) == 2, "version 2 in force", IN_FORCE_WITHIN_S
            )

    async def test_is_read_by_a_daemon_that_starts(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            await cell.world.write_manifest(2, more_routes=MANY_ROUTES)
            cell.world.store.faults.answer_bytes_per_s = SLOW_LINK_BYTES_PER_S
            new_daemon = CellDaemon(decode_node(cell.world.node_settings("late")))
            await new_daemon.start()
            try:
                await until(
                    lambda: _version(new_daemon) == 2,
                    "version 2 in force",
                    IN_FORCE_WITHIN_S,
                )
            finally:
                await new_daemon.stop()


async def _until_follower_has(cell: Cell, holder: CellDaemon, version: int) -> int:
    """Wait until a daemon other than the holder has a version; return its index."""
    follower = next(d for d in cell.daemons if d is not holder)
    await until(lambda: _version(follower) == version, "a follower with the version")
    return cell.daemons.index(follower)


class TestHolderThatIsBehind:
    async def test_accepts_a_job_once_it_has_the_queue(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            holder = await cell.until_ready()
            caller = cell.caller()
            with monkeypatch.context() as patch:
                patch.setattr(holder.documents, "_apply_row", lambda row: None)
                await cell.world.write_manifest(2, name="another-queue")
                at = await _until_follower_has(cell, holder, 2)
                submitted = asyncio.ensure_future(caller.submit("a" * 16, job(), at=at))
                await asyncio.wait((submitted,), timeout=BEHIND_S)
                assert not submitted.done(), "answered under an older configuration"
            await cell.world.write_manifest(3, name="another-queue")
            assert await submitted == 200
            await caller.until_state("a" * 16, "completed", at=at)

    async def test_accepts_a_job_of_an_unchanged_queue(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            holder = await cell.until_ready()
            monkeypatch.setattr(holder.documents, "_apply_row", lambda row: None)
            await cell.world.write_manifest(2, more_routes=1)
            at = await _until_follower_has(cell, holder, 2)
            caller = cell.caller()
            assert await caller.submit("c" * 16, job(), at=at) == 200
            assert _version(holder) == 1

    async def test_accepts_no_job_from_the_inbox_before_it_has_the_queue(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            holder = await cell.until_ready()
            # As if version 2 sent the queue to another pool.
            entry = InboxEntry(
                RequestKind.SUBMIT, "b" * 16, "route-desk", job().decode(), 2, "audit"
            )
            value = base64.b64encode(entry.encode()).decode()
            await cell.world.store.put("cell-inbox", "key", value, part="main")
            assert holder.holder is not None
            inbox = holder.holder.inbox
            await until(lambda: inbox.waiting, "the job waits")
            await cell.world.write_manifest(2)
            await cell.caller().until_state("b" * 16, "completed")
