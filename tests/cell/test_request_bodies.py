"""What a request asks for is independent of the body that it carries."""

import typing as t

import pytest

from .support import Caller
from .support import Cell
from .support import job
from .support import running_cell
from .support import until

JOB_ID = "a" * 16
BODIES = (
    b"{}",
    b"null",
    b"[]",
    b"\xff\xfe{",
    b"[" * 100_000,
    job(run_s=60, longRunning=True),
)


def _is_running(cell: Cell) -> bool:
    return any(runner.running() for runner in cell.world.runners)


async def _run_job(cell: Cell, caller: Caller, at: int) -> None:
    body = job(run_s=60, longRunning=True)
    assert await caller.submit(JOB_ID, body, at) == 200
    await until(lambda: _is_running(cell), "the job runs")


class TestBodyOfACancel:
    # Guards against a cancel that is acknowledged and then forgotten.
    @pytest.mark.parametrize("body", BODIES, ids=range(len(BODIES)))
    async def test_without_a_holder_does_not_turn_it_into_a_job(
        self, body: bytes
    ) -> None:
        async with running_cell({"desk": 1}, daemon_count=2) as cell:
            old = await cell.until_ready()
            at = 1 - cell.daemons.index(old)
            caller = cell.caller()
            await _run_job(cell, caller, at)
            cell.daemons[at].lease.stopping = True
            await old.stop()
            status, _, _ = await caller.call("DELETE", JOB_ID, body, at)
            assert status == 200
            cell.daemons[at].lease.stopping = False
            await until(lambda: not _is_running(cell), "no run is left")
            assert await caller.state(JOB_ID, at) == "cancelled"


class TestBodyOfAnyCall:
    # Guards against an answer that depends on a body that the call does not need.
    @pytest.mark.parametrize("method", ["GET", "DELETE"])
    async def test_is_ignored(self, method: str) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            await _run_job(cell, caller, 0)
            for body in (*BODIES, b"x" * 2_000_000):
                status, answer, _ = await caller.call(method, JOB_ID, body)
                assert status == 200
                expected: t.Any = "running" if method == "GET" else "cancelled"
                assert answer == {"state": expected}

    # Guards against an invalid submission that is accepted, or answered with a 500.
    @pytest.mark.parametrize("body", [b"", *BODIES[:-1]])
    async def test_is_refused_if_it_is_no_job(self, body: bytes) -> None:
        async with running_cell({"desk": 1}) as cell:
            await cell.until_ready()
            caller = cell.caller()
            assert await caller.submit(JOB_ID, body) == 400
            assert await caller.state(JOB_ID) == "410"
