"""The holder fails, and the next holder continues its work."""

import asyncio
import base64
import json

from streamthread.gateway import CellDaemon
from streamthread.platform.node import decode_node
from streamthread.platform.store import StoredRow

from .support import Cell
from .support import job
from .support import running_cell
from .support import until


def _others(cell: Cell, daemon: CellDaemon) -> list[int]:
    return [i for i, other in enumerate(cell.daemons) if other is not daemon]


def _new_holder(cell: Cell, old: CellDaemon) -> CellDaemon | None:
    current = cell.holder()
    return current if current is not None and current is not old else None


class TestAcquisition:
    async def test_after_a_planned_stop_no_task_is_lost_or_run_twice(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=3) as cell:
            old = await cell.until_ready()
            at = _others(cell, old)[0]
            caller = cell.caller()
            for n in range(6):
                await caller.submit(f"{n}" * 16, job(run_s=0.6), at=at)
            stopping = asyncio.ensure_future(old.planned_stop())
            new = await until(lambda: _new_holder(cell, old), "a new holder")
            for n in range(6):
                await caller.until_state(f"{n}" * 16, "completed", at=at)
            assert len(cell.world.started) == 6
            assert new.lease.owner is not None and new.lease.owner.token == 2
            await stopping

    async def test_after_a_crash_the_runs_continue(self) -> None:
        async with running_cell({"desk": 2}, daemon_count=3) as cell:
            old = await cell.until_ready()
            at = _others(cell, old)[0]
            caller = cell.caller()
            await caller.submit("a" * 16, job(run_s=1.0, count=4), at=at)
            await until(lambda: len(cell.world.started) == 4, "all tasks start")
            await old.stop()
            await until(lambda: _new_holder(cell, old), "a new holder")
            await caller.until_state("a" * 16, "completed", at=at)
            assert len(cell.world.started) == 4

    async def test_job_submitted_without_a_holder_is_persisted(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            at = _others(cell, old)[0]
            cell.daemons[at].lease.stopping = True
            caller = cell.caller()
            await old.stop()
            assert await caller.submit("b" * 16, job(), at=at) == 200
            cell.daemons[at].lease.stopping = False
            await caller.until_state("b" * 16, "completed", at=at)
            assert len(cell.world.started) == 1

    async def test_paused_holder_orders_nothing_after_its_replacement(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            assert old.holder is not None
            store = cell.world.store
            runner = cell.world.runners[0]
            # A successor leaves a higher token at the runner.
            runner.highest_token = 99
            await until(lambda: old.holder is None, "the fenced holder stops")
            assert all(s.runner_id != runner.runner_id for s in cell.world.started)
            assert store.writes > 0


class TestStoreOutage:
    async def test_runs_survive_it(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await caller.submit("c" * 16, job(run_s=2.5))
            await until(lambda: len(cell.world.started) == 1, "the task starts")
            holder = cell.daemons[0].holder
            assert holder is not None
            cell.world.store.faults.refuse = 503
            await until(lambda: holder.log.tried_for_s() > 2.0, "an outage of 2 s")
            cell.world.store.faults.refuse = 0
            await caller.until_state("c" * 16, "completed")
            assert [how for _, _, how, _ in cell.world.ended] == ["done"]

    async def test_no_unrecorded_task_starts(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            cell.world.store.faults.refuse = 503
            status = await caller.submit("d" * 16, job())
            assert status == 504
            assert cell.world.started == []
            cell.world.store.faults.refuse = 0
            await caller.until_state("d" * 16, "completed")


class TestLostHistory:
    async def test_a_new_manifest_is_read_in_full(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            store = cell.world.store
            store.faults.forget_before = store.version + 5
            await cell.world.write_manifest(7)
            documents = cell.daemons[0].documents
            await until(
                lambda: (
                    documents.manifest is not None and documents.manifest.version == 7
                ),
                "the new manifest",
            )


class TestHolderRefusedByTheStore:
    async def test_is_replaced_though_its_heartbeats_arrive(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=3) as cell:
            old = await cell.until_ready()
            at = cell.daemons.index(old)
            caller = cell.caller()
            await caller.submit("a" * 16, job(run_s=2.0), at=at)
            await until(lambda: len(cell.world.started) == 1, "the task starts")
            old.store._url = "http://127.0.0.1:1"
            await until(lambda: _new_holder(cell, old), "a new holder")
            await caller.submit("b" * 16, job(), at=at)
            await caller.until_state("b" * 16, "completed", at=at)
            await caller.until_state("a" * 16, "completed", at=at)
            assert len(cell.world.started) == 2


def _cancel_before_job(job_id: str, route: str) -> list[StoredRow]:
    """Return the rows of a job and of its later cancel, the cancel sorted first."""
    submit = json.dumps([job_id, route, job().decode()]).encode()
    cancel = json.dumps([job_id, route, ""]).encode()
    return [
        StoredRow("cell-inbox", "main", "a", cancel, version=6),
        StoredRow("cell-inbox", "main", "z", submit, version=5),
    ]


class TestInbox:
    async def test_is_read_before_a_new_holder_answers_callers(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=0) as cell:
            entry = ["a" * 16, "route-desk", job().decode()]
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            await cell.world.store.put("cell-inbox", "left", value, part="main")
            cell.world.store.faults.delay_s = 0.1
            daemon = CellDaemon(decode_node(cell.world.node_settings("late")))
            cell.daemons.append(daemon)
            await daemon.start()
            holder = await until(cell.holder, "a holder")
            assert holder.holder.intake.knows_job("a" * 16)

    async def test_an_invalid_job_row_does_not_stop_the_holder(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            store = cell.world.store
            bad = ["a" * 16, "route-desk", "no job", 0, "", "", 0.0, "submit"]
            value = base64.b64encode(json.dumps(bad).encode()).decode()
            await store.put("cell-inbox", "bad", value, part="main")
            await until(lambda: not store.keys("cell-inbox"), "the row is dropped")
            assert cell.holder() is daemon
            caller = cell.caller()
            await caller.submit("b" * 16, job())
            await caller.until_state("b" * 16, "completed")

    async def test_an_invalid_row_without_a_kind_does_not_stop_the_holder(self) -> None:
        """An earlier version wrote it for a cancel, which is kept for its job."""
        async with running_cell({"desk": 1}) as cell:
            daemon = await cell.until_ready()
            store = cell.world.store
            bad = json.dumps(["a" * 16, "route-desk", "no job"]).encode()
            value = base64.b64encode(bad).decode()
            await store.put("cell-inbox", "bad", value, part="main")
            caller = cell.caller()
            await caller.submit("a" * 16, job(run_s=60.0))
            await caller.until_state("a" * 16, "cancelled")
            await until(lambda: not store.keys("cell-inbox"), "the row is dropped")
            assert cell.holder() is daemon
            await caller.submit("b" * 16, job())
            await caller.until_state("b" * 16, "completed")

    async def test_a_row_of_an_unknown_route_is_accepted_later(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            store = cell.world.store
            entry = ["c" * 16, "route-new", job().decode()]
            value = base64.b64encode(json.dumps(entry).encode()).decode()
            await store.put("cell-inbox", "early", value, part="main")
            holder = cell.daemons[0].holder
            assert holder is not None
            await until(lambda: holder.inbox.waiting, "the row waits")
            await cell.world.write_manifest(9, name="route-new")
            await cell.caller().until_state("c" * 16, "completed")

    async def test_a_cancel_that_is_read_before_its_job_is_effective(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            holder = cell.daemons[0].holder
            assert holder is not None
            holder.inbox.take(_cancel_before_job("d" * 16, "route-desk"))
            assert holder.engine.jobs["d" * 16].cancelled
            assert cell.world.started == []

    async def test_a_cancel_is_effective_on_a_job_that_waits_for_its_route(
        self,
    ) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            holder = cell.daemons[0].holder
            assert holder is not None
            holder.inbox.take(_cancel_before_job("e" * 16, "route-new"))
            await cell.world.write_manifest(9, name="route-new")
            await cell.caller().until_state("e" * 16, "cancelled")
            assert cell.world.started == []


class TestUnreleasedCell:
    async def test_is_acquired_from_a_stopping_holder_that_could_not_release_it(
        self,
    ) -> None:
        async with running_cell({"desk": 1}, daemon_count=3) as cell:
            old = await cell.until_ready()
            at = _others(cell, old)[0]
            caller = cell.caller()
            await caller.submit("a" * 16, job(run_s=3.0), at=at)
            await until(lambda: len(cell.world.started) == 1, "the task starts")
            old.store._url = "http://127.0.0.1:1"
            stopping = asyncio.ensure_future(old.planned_stop())
            await until(lambda: _new_holder(cell, old), "a new holder", within_s=2.5)
            await caller.until_state("a" * 16, "completed", at=at)
            assert [how for _, _, how, _ in cell.world.ended] == ["done"]
            await stopping


class TestCancelledJobs:
    async def test_do_not_start_under_the_next_holder(self) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            caller = cell.caller()
            at = _others(cell, old)[0]
            (runner,) = cell.world.runners
            runner.faults.silent = True
            assert await caller.submit("a" * 16, job(run_s=0.1), at=at) == 200
            assert old.holder is not None
            holder_job = old.holder.engine.jobs["a" * 16]
            await until(holder_job.has_attempts, "the start is recorded")
            assert (await caller.call("DELETE", "a" * 16, at=at))[0] == 200
            await old.stop()
            new = await until(lambda: _new_holder(cell, old), "a new holder")
            runner.faults.silent = False
            await _wait_until_no_run_is_left(new, "a" * 16)
            assert cell.world.started == []

    async def test_their_runs_are_stopped_by_the_next_holder(
        self,
    ) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            caller = cell.caller()
            at = _others(cell, old)[0]
            (runner,) = cell.world.runners
            body = job(run_s=60, longRunning=True)
            await caller.submit("a" * 16, body, at=at)
            await until(lambda: cell.world.started, "the task runs")
            runner.faults.silent = True
            # Only a stop can end the run now, however long the acquisition takes.
            runner.hold_for(60.0)
            assert (await caller.call("DELETE", "a" * 16, at=at))[0] == 200
            await old.stop()
            new = await until(lambda: _new_holder(cell, old), "a new holder")
            runner.faults.silent = False
            await _wait_until_no_run_is_left(new, "a" * 16)
            await until(lambda: cell.world.ended, "the run ends")
            assert [how for _, _, how, _ in cell.world.ended] == ["stopped"]


async def _wait_until_no_run_is_left(daemon: CellDaemon, job_id: str) -> None:
    """Wait until a holder knows of no run of a job."""

    def gone() -> bool:
        holder = daemon.holder
        if holder is None or not holder.active or job_id not in holder.engine.jobs:
            return False
        return not holder.engine.jobs[job_id].has_attempts()

    await until(gone, "no run of the job is left", within_s=6.0)
