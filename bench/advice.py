"""How fast jobs start that only some runners may run, by the cost of asking for advice.

``python -m bench.advice`` plays a daemon as a process against the stand-in platform,
for pools of 30, 100 and 300 runners and policies that take 5, 20 and 82 ms for each
runner: calm traffic, a burst of 2.5 times the rate, and some time after it. It prints
one JSON line for each: starts per second, and seconds from the acceptance of a job to
its first start.
"""

import argparse
import asyncio
import functools
import json
import pathlib
import statistics
import tempfile
import time
import typing as t
import zlib

import aiohttp
import attrs
from tools.soak_daemon import Daemon

from streamthread.standins.cell import AdviceStandin
from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import PolicyFigures

RUNNERS = (30, 100, 300)
EACH_MS = (5.0, 20.0, 82.0)
DECIDE_MS = 50.0
CALM_S = 12.0
BURST_S = 6.0
AFTER_S = 6.0
JOBS_PER_S = 1.0
BURST_FACTOR = 2.5
TASKS = 8
TASK_CPU = 4000
RUN_S = 1.0
READY_S = 30.0
POLL_S = 0.05
"""How often the stand-ins of 300 runners, in one process, look for ended runs."""

BODY = json.dumps(
    {
        "spec": json.dumps({"run_s": RUN_S, "cpu": TASK_CPU}),
        "steps": [{"count": TASKS, "cpu": TASK_CPU, "memMb": 10, "estimateMs": 1000}],
    }
)


@attrs.define
class _Phase:
    """Part of a play.

    :param accepted_at_s: when each of its jobs was accepted, by job id.
    """

    name: str
    duration_s: float
    jobs_per_s: float
    began_at_s: float = 0.0
    accepted_at_s: dict[str, float] = attrs.field(factory=dict)


async def _submit(
    session: aiohttp.ClientSession, daemon: Daemon, phase: _Phase, job_id: str
) -> None:
    url = f"http://{daemon.callers}/jobs/{job_id}"
    headers = {"Host": "desk.example"}
    async with session.post(url, data=BODY, headers=headers) as response:
        if response.status == 200:
            phase.accepted_at_s[job_id] = time.monotonic()


async def _play(session: aiohttp.ClientSession, daemon: Daemon) -> list[_Phase]:
    phases = [
        _Phase("calm", CALM_S, JOBS_PER_S),
        _Phase("burst", BURST_S, JOBS_PER_S * BURST_FACTOR),
    ]
    number = 0
    for phase in phases:
        phase.began_at_s = time.monotonic()
        while time.monotonic() < phase.began_at_s + phase.duration_s:
            number += 1
            await _submit(session, daemon, phase, f"{number:016x}")
            await asyncio.sleep(1.0 / phase.jobs_per_s)
    await asyncio.sleep(AFTER_S)
    return phases


def _report(world: CellWorld, phase: _Phase) -> dict[str, t.Any]:
    first_at_s: dict[str, float] = {}
    for run in world.started:
        first_at_s.setdefault(run.task.partition(".")[0], run.at_s)
    waits_s = [
        first_at_s[job_id] - at_s
        for job_id, at_s in phase.accepted_at_s.items()
        if job_id in first_at_s
    ]
    end_at_s = phase.began_at_s + phase.duration_s
    starts = sum(phase.began_at_s <= run.at_s < end_at_s for run in world.started)
    return {
        "jobs": len(phase.accepted_at_s),
        "not_started": len(phase.accepted_at_s) - len(waits_s),
        "starts_per_s": round(starts / phase.duration_s, 1),
        "first_start_s": round(statistics.median(waits_s), 2) if waits_s else None,
        "first_start_max_s": round(max(waits_s), 2) if waits_s else None,
    }


async def _until_ready(world: CellWorld) -> None:
    """Wait until all runners have been called by the holder."""
    give_up_at_s = time.monotonic() + READY_S
    while not all(runner.highest_token for runner in world.runners):
        assert time.monotonic() < give_up_at_s, "the holder has not reached all runners"
        await asyncio.sleep(0.1)


def _permits(step: str, runner_id: str, one_in: int) -> bool:
    """Whether a policy that permits one runner in some permits this one."""
    return zlib.crc32(f"{step} {runner_id}".encode()) % one_in == 0


async def measure(
    runners: int, each_ms: float, one_in: int, code: str
) -> dict[str, t.Any]:
    """Play one pool with one policy."""
    advice = AdviceStandin(
        functools.partial(_permits, one_in=one_in), PolicyFigures(DECIDE_MS, each_ms)
    )
    world = CellWorld({"desk": runners}, advice=advice)
    await world.open()
    for runner in world.runners:
        runner.poll_s = POLL_S
    with tempfile.TemporaryDirectory() as folder:
        daemon = Daemon("daemon", world, pathlib.Path(folder), code)
        await daemon.prepare()
        await daemon.start()
        try:
            async with aiohttp.ClientSession() as session:
                await _until_ready(world)
                phases = await _play(session, daemon)
        finally:
            await daemon.close()
            await world.close()
    found: dict[str, t.Any] = {
        "runners": runners,
        "each_ms": each_ms,
        "one_in": one_in,
    }
    for phase in phases:
        found[phase.name] = _report(world, phase)
    tickets_refused = advice.tickets_refused
    return found | {"ids_asked": advice.ids_asked, "tickets_refused": tickets_refused}


def main() -> None:
    """Measure each pool with each policy, and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon-path", default="", help="other code of the daemon")
    parser.add_argument("--runners", type=int, nargs="+", default=RUNNERS)
    parser.add_argument("--one-in", type=int, default=1, help="runners permitted")
    arguments = parser.parse_args()
    for runners in arguments.runners:
        for each_ms in EACH_MS:
            found = asyncio.run(
                measure(runners, each_ms, arguments.one_in, arguments.daemon_path)
            )
            print(json.dumps(found), flush=True)


if __name__ == "__main__":
    main()
