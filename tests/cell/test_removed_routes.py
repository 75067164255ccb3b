"""Routes are removed, or come back changed, while their accepted jobs still wait."""

import json
import typing as t

import pytest

from streamthread.standins.cell import AdviceStandin
from streamthread.standins.cell import PolicyFigures

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


def _two_steps() -> bytes:
    body = json.loads(job(run_s=1.0, count=2))
    (step,) = body["steps"]
    return json.dumps(body | {"steps": [step, step | {"after": [0]}]}).encode()


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


class TestJobWithAdvice:
    # Guards against starts without tickets for the rest of a job whose route was
    # removed; the next holder knows the policy from the job's row alone.
    @pytest.mark.parametrize("takes_over", [False, True])
    async def test_runs_to_its_end(self, takes_over: bool) -> None:
        advice = AdviceStandin(figures=PolicyFigures(decide_ms=20, each_ms=2))
        async with running_cell({"desk": 4}, 2, advice=advice) as cell:
            holder = await cell.until_ready()
            good = cell.world.runners[0].runner_id
            advice.may_run = lambda step, runner_id: runner_id == good
            assert await cell.caller().submit(JOB_ID, _two_steps()) == 200
            await until(lambda: cell.world.started, "the first step starts")
            await _change_routes(cell, name="other")
            if takes_over:
                await holder.stop()
                cell.daemons.remove(holder)
            await cell.caller().until_state(JOB_ID, "completed")
            assert {run.runner_id for run in cell.world.started} == {good}
