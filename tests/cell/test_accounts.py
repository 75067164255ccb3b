"""Client accounts over real connections: which calls are allowed, and the limits."""

import asyncio
import contextlib
import typing as t

import aiohttp
import pytest
from prometheus_client import generate_latest

from streamthread.gateway import CellDaemon
from streamthread.gateway.account_report import describe_accounts
from streamthread.gateway.logs import JsonLineHandler
from streamthread.gateway.metrics import make_registry
from streamthread.platform.node import decode_node

from .support import Caller
from .support import Cell
from .support import job
from .support import running_cell
from .support import until

ANN_KEY = "ann-key-4e1f9a"
ANN_OTHER_KEY = "ann-other-77b02c"
BOB_KEY = "bob-key-c93d55"
UNKNOWN_KEY = "strange-key-0a6e18"
KEYS = (ANN_KEY, ANN_OTHER_KEY, BOB_KEY, UNKNOWN_KEY)

JOB_ID = "a" * 16
OTHER_ID = "b" * 16

MAX_RUNNING = 2
"""How many tasks of ann run at once under her cpu limit."""

MAX_LINES_PER_S = 10**6
"""Lines per second: a limit under which no line is dropped."""

IN_FORCE_WITHIN_S = 3.0
"""A change of the configuration is in force at each daemon within this time."""


def account(name: str, *keys: str, cpu: int = 0) -> dict[str, t.Any]:
    maximum = {"cpu": cpu, "memMb": 0, "gpu": 0}
    return {"name": name, "apiKeys": list(keys), "weight": 5, "maximum": maximum}


ANN = account("ann", ANN_KEY, ANN_OTHER_KEY)
BOB = account("bob", BOB_KEY)


@contextlib.asynccontextmanager
async def cell_with(
    *accounts: dict[str, t.Any], daemon_count: int = 2
) -> t.AsyncIterator[Cell]:
    async with running_cell({"desk": 2}, daemon_count) as cell:
        await cell.until_ready()
        await cell.write_accounts(2, *accounts)
        yield cell


async def _statuses(caller: Caller, job_id: str, at: int) -> list[int]:
    """Return the status of the answer to each kind of call."""
    answers = [
        await caller.call("POST", job_id, job(), at),
        await caller.call("GET", job_id, at=at),
        await caller.call("DELETE", job_id, at=at),
        await caller.call("GET", at=at),
    ]
    return [status for status, _, _ in answers]


class TestStranger:
    @pytest.mark.parametrize("key", ["", UNKNOWN_KEY])
    async def test_is_refused_every_call_without_effect(self, key: str) -> None:
        async with cell_with(ANN) as cell:
            stranger = cell.caller(key=key)
            for at in (0, 1):
                assert await _statuses(stranger, JOB_ID, at) == [401] * 4
            holder = await cell.until_ready()
            assert holder.holder is not None
            assert not holder.holder.engine.jobs
            assert not cell.world.started

    async def test_is_told_which_header_carries_the_key(self) -> None:
        async with cell_with(ANN) as cell:
            _, answer, headers = await cell.caller().call("GET", JOB_ID)
            assert not answer
            assert "Streamthread-Credential" in headers["WWW-Authenticate"]

    async def test_a_large_body_is_refused_without_reading_it(self) -> None:
        async with cell_with(ANN) as cell:
            stranger = cell.caller(key=UNKNOWN_KEY)
            assert await stranger.submit(JOB_ID, b"x" * 3_000_000) == 401


class TestKeys:
    async def test_all_keys_of_an_account_are_equivalent(self) -> None:
        async with cell_with(ANN, BOB) as cell:
            ann, other_key = cell.caller(key=ANN_KEY), cell.caller(key=ANN_OTHER_KEY)
            assert await ann.submit(JOB_ID, job()) == 200
            assert await other_key.submit(JOB_ID, job(), at=1) == 200
            await other_key.until_state(JOB_ID, "completed")
            assert len(cell.world.started) == 1

    async def test_a_removed_key_is_refused_but_its_jobs_run_on(
        self,
    ) -> None:
        async with cell_with(ANN, BOB) as cell:
            ann, other_key = cell.caller(key=ANN_KEY), cell.caller(key=ANN_OTHER_KEY)
            assert await ann.submit(JOB_ID, job(run_s=0.5)) == 200
            await cell.write_accounts(3, account("ann", ANN_OTHER_KEY), BOB)
            for at in (0, 1):
                assert await _statuses(ann, OTHER_ID, at) == [401] * 4
            await other_key.until_state(JOB_ID, "completed")

    async def test_a_new_key_and_a_new_account_are_served_at_once(self) -> None:
        async with cell_with(ANN) as cell:
            await cell.write_accounts(3, ANN, BOB)
            for at, job_id in enumerate((JOB_ID, OTHER_ID)):
                assert await cell.caller(key=BOB_KEY).submit(job_id, job(), at) == 200

    async def test_a_daemon_with_an_old_configuration_serves_no_removed_key(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with cell_with(ANN) as cell:
            holder = await cell.until_ready()
            behind = next(d for d in cell.daemons if d is not holder)
            with monkeypatch.context() as patch:
                patch.setattr(behind.documents, "_apply_row", lambda row: None)
                cell.world.accounts = [account("ann", ANN_OTHER_KEY)]
                await cell.world.write_manifest(3)
                manifest = holder.documents
                await until(
                    lambda: manifest.manifest and manifest.manifest.version == 3,
                    "version 3 at the holder",
                    IN_FORCE_WITHIN_S,
                )
                ann = cell.caller(key=ANN_KEY)
                at = cell.daemons.index(behind)
                assert await ann.submit(JOB_ID, job(), at=at) == 401


class TestJobsOfOthers:
    async def test_are_neither_shown_nor_cancelled(self) -> None:
        async with cell_with(ANN, BOB) as cell:
            ann, bob = cell.caller(key=ANN_KEY), cell.caller(key=BOB_KEY)
            assert await ann.submit(JOB_ID, job(run_s=0.4)) == 200
            for at in (0, 1):
                assert await bob.state(JOB_ID, at) == "410"
                assert (await bob.call("DELETE", JOB_ID, at=at))[0] == 410
                assert await bob.submit(JOB_ID, job(), at) == 404
            await ann.until_state(JOB_ID, "completed")


class TestLimit:
    async def _until_done(self, cell: Cell, caller: Caller, at: int) -> int:
        """Wait for the job's end; return the maximum of tasks that ran at once."""
        max_running = 0
        while await caller.state(JOB_ID, at) != "completed":
            max_running = max(max_running, len(list(cell.world.running())))
            await asyncio.sleep(0.01)
        return max_running

    async def test_bounds_how_many_tasks_run_at_once(self) -> None:
        async with cell_with(account("ann", ANN_KEY, cpu=100 * MAX_RUNNING)) as cell:
            ann = cell.caller(key=ANN_KEY)
            assert await ann.submit(JOB_ID, job(run_s=0.2, count=6)) == 200
            assert await self._until_done(cell, ann, 0) == MAX_RUNNING

    async def test_bounds_them_while_the_holder_is_replaced(self) -> None:
        limited = account("ann", ANN_KEY, cpu=100 * MAX_RUNNING)
        async with cell_with(limited, daemon_count=3) as cell:
            first = await cell.until_ready()
            at = next(n for n, d in enumerate(cell.daemons) if d is not first)
            ann = cell.caller(key=ANN_KEY)
            body = job(run_s=0.4, count=8)
            assert await ann.submit(JOB_ID, body, at) == 200
            await until(lambda: cell.world.started, "the first start")
            await first.stop()
            assert await self._until_done(cell, ann, at) == MAX_RUNNING

    async def test_a_job_that_can_never_run_is_refused_at_once(self) -> None:
        async with cell_with(account("ann", ANN_KEY, cpu=99)) as cell:
            ann = cell.caller(key=ANN_KEY)
            status, _, headers = await ann.call("POST", JOB_ID, job())
            assert status == 429
            assert headers["Retry-After"]

    async def test_explain_names_what_a_task_waits_for(self) -> None:
        async with cell_with(account("ann", ANN_KEY, cpu=100)) as cell:
            ann = cell.caller(key=ANN_KEY)
            assert await ann.submit(JOB_ID, job(run_s=1.0, count=2)) == 200
            await until(lambda: cell.world.started, "the first start")
            text = await _read(cell.daemons[0], f"/explain/job/{JOB_ID}")
            assert '"account": "ann"' in text
            assert "waits for the limit of account ann" in text


async def _read(daemon: CellDaemon, path: str) -> str:
    url = f"http://{daemon.operators.address}{path}"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return await response.text()


class TestKeysStaySecret:
    async def test_in_all_outputs_of_a_whole_run(self) -> None:
        """Logs, the operators' port, answers, and rows that this system writes."""
        lines: list[bytes] = []
        outputs: list[str] = []

        def write(data: bytes) -> int:
            lines.append(data)
            return len(data)

        with JsonLineHandler(
            "test", "DEBUG", MAX_LINES_PER_S, write
        ).applicationbound():
            async with cell_with(ANN, BOB, account("eve", BOB_KEY)) as cell:
                for key in KEYS:
                    caller = cell.caller(key=key)
                    for at in (0, 1):
                        await _statuses(caller, key[-1] * 16, at)
                await cell.write_accounts(3, account("ann", ANN_KEY, ANN_OTHER_KEY))
                holder = await cell.until_ready()
                await holder.stop()
                remaining = next(
                    n for n, d in enumerate(cell.daemons) if d is not holder
                )
                ann = cell.caller(key=ANN_KEY)
                outputs.append(str(await ann.call("GET", JOB_ID, at=remaining)))
                late = CellDaemon(decode_node(cell.world.node_settings("late")))
                await late.start()
                for path in ("/metrics", "/status", "/runners", "/accounts"):
                    outputs.append(await _read(late, path))
                await late.stop()
                rows = cell.world.store.rows.items()
                outputs += [str(row) for (table, _, _), row in rows if table != "op"]
                outputs += [repr(d.documents.manifest) for d in cell.daemons]
        assert len(lines) > 10
        for key in KEYS:
            secret = key.rsplit("-", 1)[1]
            assert not [line for line in lines if secret.encode() in line]
            assert not [text for text in outputs if secret in text]


class TestFlood:
    """What callers see while an account sends more than its pool can do in time."""

    async def test_excess_is_refused_and_never_runs(self) -> None:
        small = account("ann", ANN_KEY) | {"weight": 1}
        async with cell_with(small, BOB) as cell:
            caller = cell.caller(key=ANN_KEY)
            body = job(run_s=0.5, count=16, cpu=2000, estimateMs=500)
            ids = [f"{number:016x}" for number in range(24)]
            answers = await asyncio.gather(
                *(caller.call("POST", i, body, n % 2) for n, i in enumerate(ids))
            )
            statuses = [status for status, _, _ in answers]
            refused = [
                i for i, status in zip(ids, statuses, strict=True) if status > 200
            ]
            assert set(statuses) == {200, 429}
            assert len(refused) >= len(ids) / 2
            for status, _, headers in answers:
                assert status == 200 or int(headers["Retry-After"]) >= 1
            assert await cell.caller(key=BOB_KEY).submit(OTHER_ID, job()) == 200
            for job_id in sorted({*ids} - {*refused}):
                await caller.until_state(job_id, "completed")
            for job_id in refused:
                assert await caller.state(job_id) == "410"
            ran = {run.task.split(".")[0] for run in cell.world.started}
            assert ran.isdisjoint(refused)
            assert await caller.submit(refused[0], body) == 200
            holder = cell.holder()
            assert holder is not None and holder.holder is not None
            (row, _) = describe_accounts(holder.holder)
            assert row["refused_overload"] == len(refused)
            assert row["jobs_excess"] > 0 < row["served"]
            metrics = generate_latest(make_registry(holder)).decode()
            assert "streamthread_start_forecast_error_seconds_bucket" in metrics
            assert 'streamthread_account_jobs_total{account="ann"' in metrics

    async def test_nothing_is_refused_where_no_account_has_a_weight(self) -> None:
        """Guards deployments whose accounts have no weights."""
        accounts = [account("ann", ANN_KEY) | {"weight": 0}, BOB | {"weight": 0}]
        async with cell_with(*accounts) as cell:
            caller = cell.caller(key=ANN_KEY)
            body = job(run_s=0.1, count=16, cpu=2000, estimateMs=500)
            ids = [f"{number:016x}" for number in range(24)]
            statuses = await asyncio.gather(*(caller.submit(i, body) for i in ids))
            assert {*statuses} == {200}
