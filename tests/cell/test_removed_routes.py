"""Routes are removed, or come back changed, while their accepted jobs still wait."""

import typing as t

import pytest

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

JOB_ID = "a" * 16


async def _leave_in_inbox(cell: Cell) -> None:
    """Accept a job while no daemon holds the cell; the holder stays stopped."""
    holder = await cell.until_ready()
    for daemon in cell.daemons:
        daemon.lease.stopping = True
    await holder.stop()
    cell.daemons.remove(holder)
    assert await cell.caller().submit(JOB_ID, job()) == 200


async def _change_routes(cell: Cell, **route: t.Any) -> None:
    """Write a manifest with other routes; return once the daemons have it."""
    await cell.world.write_manifest(2, **route)

    def in_force() -> bool:
        manifests = [daemon.documents.manifest for daemon in cell.daemons]
        return all(m is not None and m.version == 2 for m in manifests)

    await until(in_force, "version 2 is in force")


def _runners_of(cell: Cell, pool: str) -> set[str]:
    machines = cell.world.cloud.machines.values()
    runners = [m.runner for m in machines if m.pool == pool]
    return {runner.runner_id for runner in runners if runner is not None}


class TestJobInTheInbox:
    # Guards against an accepted job that never runs since its route was removed before
    # the next holder read the inbox.
    @pytest.mark.parametrize(
        "route", [{"name": "other"}, {"service": "audit"}, {"host": "other.example"}]
    )
    async def test_runs_although_its_route_changes(self, route: t.Any) -> None:
        async with running_cell({"desk": 2, "audit": 1}, daemon_count=2) as cell:
            await _leave_in_inbox(cell)
            await _change_routes(cell, **route)
            for daemon in cell.daemons:
                daemon.lease.stopping = False
            started = await until(lambda: cell.world.started, "the job starts")
            assert started[0].runner_id in _runners_of(cell, "desk")
