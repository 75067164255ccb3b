"""Foreign rows in the store neither stop a daemon nor remove a runner."""

import base64
import json

import pytest

from streamthread.holder import service
from streamthread.standins.cell import ODD_PARTS
from streamthread.standins.cell.foreign import ENTRY
from streamthread.standins.cell.foreign import FOREIGN_ENTRIES

from .support import Cell
from .support import job
from .support import running_cell
from .support import until

POOLS = {"desk": 2}
PART = "main"
JOB_ID = "00000000000000aa"
OTHER_ID = "00000000000000bb"


def _assert_no_failures(cell: Cell) -> None:
    """Assert that no daemon crashed and that none of its loops failed."""
    for daemon in cell.daemons:
        assert not daemon.crashed
        assert daemon.failures.counts == {}


async def _write_foreign_entries(cell: Cell) -> None:
    for number, value in enumerate(FOREIGN_ENTRIES):
        # Sorted before the genuine entries, and after them.
        for prefix in ("a", "z"):
            key = f"{prefix}-foreign-{number}"
            await cell.world.write_bytes("servers", key, value)


class TestEntries:
    async def test_do_not_disturb_the_daemons_and_their_runners(self) -> None:
        async with running_cell(POOLS, daemon_count=2) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _write_foreign_entries(cell)
            assert await caller.submit(JOB_ID, job(count=4)) == 200
            await caller.until_state(JOB_ID, "completed")
            holder = cell.holder()
            assert holder is not None and holder.holder is not None
            genuine = {runner.runner_id for runner in cell.world.runners}
            assert set(holder.holder.engine.runners) == genuine
            assert holder.notes.counts["runner-entry"] > 0
            _assert_no_failures(cell)

    async def test_do_not_disturb_a_new_holder(self) -> None:
        async with running_cell(POOLS, daemon_count=2) as cell:
            first = await cell.until_ready()
            await _write_foreign_entries(cell)
            await first.stop()
            await until(lambda: cell.holder() not in (None, first), "a next holder")
            at = 1 - cell.daemons.index(first)
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job(count=4), at=at) == 200
            await caller.until_state(JOB_ID, "completed", at=at)
            _assert_no_failures(cell)

    async def test_that_replace_a_runners_entry_end_no_run(self) -> None:
        async with running_cell({"desk": 1}) as cell:
            holder = await cell.until_ready()
            caller = cell.caller()
            (runner,) = cell.world.runners
            assert await caller.submit(JOB_ID, job(run_s=1.0)) == 200
            await until(runner.running, "a run")
            await cell.world.write_bytes("servers", runner.runner_id, b"{}")
            assert holder.holder is not None
            (state,) = holder.holder.engine.runners.values()
            await until(lambda: not state.ready, "the runner gets no new runs")
            assert await caller.submit(OTHER_ID, job()) == 200
            await caller.until_state(JOB_ID, "completed")
            assert await caller.state(OTHER_ID) == "pending"
            assert [run.task for run in cell.world.started] == [f"{JOB_ID}.0.0.0"]
            await cell.world.write_entry(runner)
            await caller.until_state(OTHER_ID, "completed")
            _assert_no_failures(cell)


class TestDocuments:
    @pytest.mark.parametrize(
        "value", [b"", b"\xff", b"[]", b"{}", b'{"version":"9"}', b"[" * 5_000]
    )
    async def test_that_are_unreadable_do_not_change_the_configuration(
        self, value: bytes
    ) -> None:
        async with running_cell(POOLS, daemon_count=2) as cell:
            await cell.until_ready()
            await cell.world.write_bytes("op", "config", value)
            await cell.world.write_bytes("op", "wave/1", value)
            counts = [daemon.notes.counts for daemon in cell.daemons]
            await until(
                lambda: all(c["configuration"] and c["wave"] for c in counts), "notes"
            )
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job()) == 200
            await caller.until_state(JOB_ID, "completed")
            await cell.world.write_manifest(9)
            for daemon in cell.daemons:
                documents = daemon.documents
                await until(
                    lambda documents=documents: documents.manifest.version == 9, "v9"
                )
            _assert_no_failures(cell)


class TestOwnRows:
    async def test_of_an_accepted_job_are_not_overwritten(self) -> None:
        unreadable = json.dumps({"route": 7, "from": "a newer version"}).encode()
        async with running_cell(POOLS, daemon_count=2) as cell:
            first = await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job(run_s=60.0)) == 200
            await until(lambda: cell.world.started, "a run")
            await cell.world.write_bytes("cell-jobs", JOB_ID, unreadable, PART)
            row_before = cell.world.store.rows["cell-jobs", PART, JOB_ID]
            await first.stop()
            await until(lambda: cell.holder() not in (None, first), "a next holder")
            at = 1 - cell.daemons.index(first)
            # No answer says that the job is unknown or that it was not accepted.
            for method, body in (("GET", b""), ("POST", job()), ("DELETE", b"")):
                status, _, _ = await caller.call(method, JOB_ID, body, at=at)
                assert status == 504
            assert await caller.submit(OTHER_ID, job(), at=at) == 200
            await caller.until_state(OTHER_ID, "completed", at=at)
            assert cell.world.store.rows["cell-jobs", PART, JOB_ID] == row_before
            running = [task for r in cell.world.runners for task in r.running()]
            assert running == [f"{JOB_ID}.0.0.0"]
            assert cell.daemons[at].notes.counts["cell-row"] > 0
            _assert_no_failures(cell)

    async def test_of_the_inbox_and_of_members_stop_nothing(self) -> None:
        async with running_cell(POOLS, daemon_count=2) as cell:
            for table in ("cell-inbox", "cell-members", "cell-waves"):
                await cell.world.write_bytes(table, "odd.row", b"\xff{", PART)
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job()) == 200
            await caller.until_state(JOB_ID, "completed")
            assert ("cell-inbox", PART, "odd.row") in cell.world.store.rows
            _assert_no_failures(cell)


class TestOddParts:
    """Something that no parser takes stands in each list that the daemons follow."""

    @pytest.mark.parametrize("odd", ODD_PARTS.values(), ids=ODD_PARTS)
    async def test_of_lists_leave_the_others_in_use(self, odd: str) -> None:
        pools = {"desk": 2, "audit": 1, "spare": 1}
        async with running_cell(pools, daemon_count=2) as cell:
            world = cell.world
            world.cloud.odd_part = odd
            world.store.faults.odd_parts = {"servers": odd, "op": odd}
            first = await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job(count=4)) == 200
            await caller.until_state(JOB_ID, "completed")
            await world.write_manifest(2, more_routes=1)
            await world.write_wave(1, list(world.cloud.machines), 2)
            await until(lambda: world.wave_state(1) == "completed", "the wave is over")
            await first.stop()
            await until(lambda: cell.holder() not in (None, first), "a next holder")
            at = 1 - cell.daemons.index(first)
            assert await caller.submit(OTHER_ID, job(count=4), at=at) == 200
            await caller.until_state(OTHER_ID, "completed", at=at)
            manifest = cell.daemons[at].documents.manifest
            assert manifest is not None and manifest.version == 2
            assert cell.daemons[at].notes.counts["answer"] > 0
            _assert_no_failures(cell)

    # Guards against a configuration that is not in force because of one odd route.
    @pytest.mark.parametrize("odd", ODD_PARTS.values(), ids=ODD_PARTS)
    async def test_of_the_configuration_leave_the_rest_in_force(self, odd: str) -> None:
        async with running_cell(POOLS, daemon_count=2) as cell:
            await cell.until_ready()
            row = cell.world.store.rows["op", "", "config"][0]
            manifest = json.loads(base64.b64decode(row)) | {"version": 5}
            text = json.dumps(manifest).replace('"routes": [', f'"routes": [{odd}, ')
            await cell.world.write_bytes("op", "config", text.encode())
            versions = [daemon.documents for daemon in cell.daemons]
            await until(
                lambda: all(d.manifest and d.manifest.version == 5 for d in versions),
                "the configuration is in force",
            )
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job()) == 200
            await caller.until_state(JOB_ID, "completed")
            _assert_no_failures(cell)

    # Guards against a runner whose runs are lost because of one odd row in its lists.
    @pytest.mark.parametrize("field", ["running", "finished"])
    @pytest.mark.parametrize("odd", ["nested", "not-a-number", "array"])
    async def test_of_a_runners_lists_end_no_run(self, field: str, odd: str) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            (runner,) = cell.world.runners
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job(run_s=5.0, count=2)) == 200
            await until(lambda: len(cell.world.started) == 2, "the tasks start")
            runner.faults.odd_part, runner.faults.odd_lists = ODD_PARTS[odd], (field,)
            assert await caller.submit(OTHER_ID, job(run_s=0.2, count=2)) == 200
            await caller.until_state(OTHER_ID, "completed")
            await caller.until_state(JOB_ID, "completed")
            assert len(cell.world.started) == 4
            assert {how for _, _, how, _ in cell.world.ended} == {"done"}
            runner.faults.odd_part = ""
            await until(lambda: not runner._ends, "the ends are confirmed")
            _assert_no_failures(cell)

    # Guards against a request of a later version that is lost or stops the others.
    async def test_of_the_inbox_outlast_each_holder(self) -> None:
        value = json.dumps(["e" * 16, "route-desk", "", 0, "", "", 0.0, "later"])
        async with running_cell(POOLS, daemon_count=2) as cell:
            await cell.world.write_bytes("cell-inbox", "odd.row", value.encode(), PART)
            first = await cell.until_ready()
            await first.stop()
            await until(lambda: cell.holder() not in (None, first), "a next holder")
            at = 1 - cell.daemons.index(first)
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job(), at=at) == 200
            await caller.until_state(JOB_ID, "completed", at=at)
            assert ("cell-inbox", PART, "odd.row") in cell.world.store.rows
            assert cell.daemons[at].notes.counts["cell-row"] > 0
            _assert_no_failures(cell)


class TestUnforeseenFailures:
    async def test_of_one_loop_do_not_stop_the_others(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with running_cell(POOLS) as cell:
            daemon = await cell.until_ready()
            holder = daemon.holder
            assert holder is not None

            def fail(row: object) -> None:
                raise ZeroDivisionError("unexpected")

            monkeypatch.setattr(holder.listing, "_on_row", fail)
            entry = json.dumps(ENTRY).encode()
            await cell.world.write_bytes("servers", "i-new", entry)
            await until(lambda: daemon.failures.counts.get("listing"), "a failure")
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job()) == 200
            await caller.until_state(JOB_ID, "completed")
            assert daemon.holder is holder
            assert not daemon.crashed

    async def test_that_repeat_release_the_cell(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(service, "MAX_FAILURES", 2)
        async with running_cell(POOLS, daemon_count=2) as cell:
            first = await cell.until_ready()
            assert first.holder is not None

            async def fail() -> None:
                raise ZeroDivisionError("unexpected")

            monkeypatch.setattr(first.holder.inbox, "read", fail)
            await until(lambda: cell.holder() not in (None, first), "a next holder")
            at = 1 - cell.daemons.index(first)
            caller = cell.caller()
            assert await caller.submit(JOB_ID, job(), at=at) == 200
            await caller.until_state(JOB_ID, "completed", at=at)
            assert not first.crashed
