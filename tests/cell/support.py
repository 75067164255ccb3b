"""Runs a cell's daemons in the test's event loop, against the stand-in platform."""

import asyncio
import contextlib
import json
import time
import typing as t

import aiohttp

from streamthread.clocks import boot_s
from streamthread.gateway import CellDaemon
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.node import decode_node
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import TaskState
from streamthread.standins.cell import AdviceStandin
from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import RunnerStandin
from streamthread.standins.cell.world import BACK_S

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
MIN_PAUSE_S = 300.0
"""A task that crashes its runners is held back for at least this long."""


async def until(
    condition: t.Callable[[], t.Any], what: str, within_s: float = TIMEOUT_S
) -> t.Any:
    """Wait until a condition holds and return what it returned."""
    deadline_at_s = time.monotonic() + within_s
    while not (result := condition()):
        assert time.monotonic() < deadline_at_s, f"not within {within_s} s: {what}"
        await asyncio.sleep(POLL_INTERVAL_S)
    return result


def job(run_s: float = 0.1, count: int = 1, **step: t.Any) -> bytes:
    """Return a job of one step."""
    spec = {"run_s": run_s, "cpu": step.get("cpu", 100), "fail": step.pop("fail", 0)}
    steps = [{"count": count, "cpu": 100, "memMb": 10, "estimateMs": 100, **step}]
    return json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()


class Caller:
    """Calls the daemons as the users' clients do."""

    def __init__(
        self, daemons: t.Sequence[CellDaemon], pool: str, key: str = ""
    ) -> None:
        self._daemons = daemons
        self._headers = {
            "Host": f"{pool}.example",
            "Content-Type": "application/json",
            "Streamthread-Deadline-Ms": "3000",
        }
        if key:
            self._headers["Streamthread-Credential"] = key
        self._session = aiohttp.ClientSession()

    async def close(self) -> None:
        await self._session.close()

    async def call(
        self, method: str, job_id: str = "", body: bytes = b"", at: int = 0
    ) -> tuple[int, dict[str, t.Any], dict[str, str]]:
        url = f"http://{self._daemons[at].frontend.callers_address}/jobs/{job_id}"
        async with self._session.request(
            method, url, data=body, headers=self._headers
        ) as response:
            text = await response.read()
            answer = json.loads(text) if text else {}
            return response.status, answer, dict(response.headers)

    async def submit(self, job_id: str, body: bytes, at: int = 0) -> int:
        status, _, _ = await self.call("POST", job_id, body, at)
        return status

    async def state(self, job_id: str, at: int = 0) -> str:
        status, answer, _ = await self.call("GET", job_id, at=at)
        return str(answer.get("state", status))

    async def until_state(self, job_id: str, state: str, at: int = 0) -> None:
        deadline_at_s = time.monotonic() + TIMEOUT_S
        while (current := await self.state(job_id, at)) != state:
            assert time.monotonic() < deadline_at_s, (
                f"{job_id} is {current}, not {state}"
            )
            await asyncio.sleep(POLL_INTERVAL_S)


class Cell:
    """Daemons and their platform."""

    def __init__(self, world: CellWorld, daemons: list[CellDaemon]) -> None:
        self.world = world
        self.daemons = daemons
        self._callers: list[Caller] = []

    def caller(self, pool: str = "desk", key: str = "") -> Caller:
        caller = Caller(self.daemons, pool, key)
        self._callers.append(caller)
        return caller

    def holder(self) -> CellDaemon | None:
        for daemon in self.daemons:
            if daemon.holder is not None and daemon.holder.active:
                return daemon
        return None

    async def until_ready(self) -> CellDaemon:
        """Wait until a holder reaches all runners."""

        def ready() -> CellDaemon | None:
            daemon = self.holder()
            if daemon is None or daemon.holder is None:
                return None
            runners = daemon.holder.engine.runners.values()
            alive = [r for r in self.world.runners if r.alive]
            reached = sum(runner.ready for runner in runners) >= len(alive)
            known = all(d.is_ready() and d.lease.owner for d in self.daemons)
            return daemon if reached and known else None

        return t.cast(CellDaemon, await until(ready, "a holder that reaches all"))

    async def write_accounts(self, version: int, *accounts: dict[str, t.Any]) -> None:
        """Write a manifest with client accounts; return once all daemons have it."""
        self.world.accounts = list(accounts)
        await self.world.write_manifest(version)

        def in_force() -> bool:
            manifests = [daemon.documents.manifest for daemon in self.daemons]
            return all(m is not None and m.version >= version for m in manifests)

        await until(in_force, f"version {version} in force everywhere")

    async def until_crashes(self, count: int) -> None:
        """Wait until tasks have crashed this many runners."""
        await until(lambda: len(self.world.crashes) >= count, f"{count} crashes")

    async def crash_busy_runner(self) -> None:
        """Crash a runner that has a running task; return once it has restarted."""
        await self.restart(lambda runner: bool(runner.running()))

    async def restart(
        self, choose: t.Callable[[RunnerStandin], bool], back_s: float = BACK_S
    ) -> RunnerStandin:
        """Crash a runner; return its next incarnation once that is up."""
        world = self.world
        machine = next(
            machine
            for machine in world.cloud.machines.values()
            if machine.runner is not None and choose(machine.runner)
        )
        assert machine.runner is not None
        machine.runner.kill()
        world.cloud.crash(machine, back_s, world.keeps_ids)
        await until(lambda: machine.state == "up", "the runner has restarted")
        assert machine.runner is not None
        return machine.runner

    async def add_daemon(self) -> CellDaemon:
        """Start one more daemon."""
        number = len(self.daemons)
        settings = self.world.node_settings(f"daemon-{number}")
        daemon = CellDaemon(decode_node(settings))
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    @staticmethod
    def make_job(job_id: str) -> Job:
        """Return a job for the pool "desk", as the holder has it in memory."""
        body = job()
        request = JobRequest("", (StepRequest(cpu=100, memory_mb=10),))
        accepted = Job(
            job_id, JobTerms("route-desk", "desk"), request, body, time.time()
        )
        accepted.begin(0)
        return accepted

    async def close_callers(self) -> None:
        for caller in self._callers:
            await caller.close()


@contextlib.asynccontextmanager
async def running_cell(
    pools: t.Mapping[str, int],
    daemon_count: int = 1,
    cpu: int = 16000,
    keeps_ids: bool = False,
    halls: t.Sequence[str] = ("here",),
    evacuate_ms: int | None = None,
    advice: AdviceStandin | None = None,
) -> t.AsyncIterator[Cell]:
    """Run the stand-in platform and daemons until the block ends."""
    world = CellWorld(pools, cpu, keeps_ids, halls=halls, advice=advice)
    world.evacuate_ms = evacuate_ms
    await world.open()
    daemons = [
        CellDaemon(decode_node(world.node_settings(f"daemon-{number}")))
        for number in range(daemon_count)
    ]
    cell = Cell(world, daemons)
    try:
        for daemon in daemons:
            await daemon.start()
        yield cell
    finally:
        await cell.close_callers()
        for daemon in daemons:
            if not daemon.should_stop:
                await daemon.stop()
        await world.close()


async def until_held_back(cell: Cell, job_id: str, at: int = 0) -> None:
    """Wait until a job's task is held back for long, and the job has not failed."""

    def held_back() -> bool:
        daemon = cell.holder()
        if daemon is None or daemon.holder is None:
            return False
        job = daemon.holder.engine.jobs.get(job_id)
        return job is not None and any(
            task.state is TaskState.QUARANTINED
            and task.quarantined_until_s - boot_s() > MIN_PAUSE_S
            for occurrence in job.occurrences.values()
            for task in occurrence.tasks
        )

    await until(held_back, f"{job_id} is held back")
    assert await cell.caller().state(job_id, at=at) == "running"
