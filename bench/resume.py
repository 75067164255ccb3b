"""How long nothing starts after the holder's process is killed.

``python -m bench.resume`` runs three daemons as processes against the stand-in
platform, hands in short jobs all the time, kills the holder again and again, and
prints one JSON line: milliseconds from the kill to the next start.
"""

import asyncio
import json
import pathlib
import signal
import tempfile
import time

import aiohttp
from tools.soak import Daemon

from streamthread.standins.cell import CellWorld

KILLS = 12
DAEMONS = 3
JOB_GAP_S = 0.02
SETTLE_S = 2.0
BODY = json.dumps(
    {
        "spec": json.dumps({"run_s": 0.05}),
        "steps": [{"count": 1, "cpu": 100, "memMb": 1}],
    }
)


async def _hand_in(world: CellWorld, daemons: list[Daemon]) -> None:
    """Hand in a job each ``JOB_GAP_S`` at any daemon that lives."""
    number = 0
    timeout = aiohttp.ClientTimeout(total=2)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        pending: set[asyncio.Task[None]] = set()

        async def one(job_id: str, callers: str) -> None:
            url = f"http://{callers}/jobs/{job_id}"
            try:
                async with session.post(
                    url, data=BODY, headers={"Host": "desk.example"}
                ) as response:
                    await response.read()
            except (aiohttp.ClientError, TimeoutError):
                return

        while True:
            number += 1
            alive = [d for d in daemons if d.alive and d.callers]
            if alive:
                callers = alive[number % len(alive)].callers
                task = asyncio.ensure_future(one(f"{number:016x}", callers))
                pending.add(task)
                task.add_done_callback(pending.discard)
            await asyncio.sleep(JOB_GAP_S)


async def _holder(daemons: list[Daemon]) -> Daemon:
    async with aiohttp.ClientSession() as session:
        while True:
            for daemon in daemons:
                if not daemon.alive or not daemon.operators:
                    continue
                async with session.get(f"http://{daemon.operators}/status") as got:
                    if (await got.json())["holding"]:
                        return daemon
            await asyncio.sleep(0.05)


async def _kill_once(world: CellWorld, daemons: list[Daemon]) -> float:
    holder = await _holder(daemons)
    holder.signal(signal.SIGKILL)
    killed_at_s = time.monotonic()
    await holder.ended()
    # A start that was on its way when the holder died does not count.
    await asyncio.sleep(0.02)
    seen = len(world.started)
    while len(world.started) == seen:
        await asyncio.sleep(0.002)
    took_s = world.started[seen].at_s - killed_at_s
    await holder.start()
    await asyncio.sleep(SETTLE_S)
    return took_s


async def _measure(folder: pathlib.Path) -> list[float]:
    world = CellWorld({"desk": 4})
    daemons = [Daemon(f"daemon-{n}", world, folder) for n in range(DAEMONS)]
    await world.open()
    for daemon in daemons:
        await daemon.prepare()
    await asyncio.gather(*(daemon.start() for daemon in daemons))
    await asyncio.sleep(SETTLE_S)
    traffic = asyncio.ensure_future(_hand_in(world, daemons))
    try:
        return [await _kill_once(world, daemons) for _ in range(KILLS)]
    finally:
        traffic.cancel()
        for daemon in daemons:
            await daemon.close()
        await world.close()


def main() -> None:
    """Measure and print."""
    with tempfile.TemporaryDirectory() as scratch:
        took = sorted(asyncio.run(_measure(pathlib.Path(scratch))))
    line = {
        "bench": "resume",
        "kills": len(took),
        "p50_ms": round(took[len(took) // 2] * 1000),
        "most_ms": round(took[-1] * 1000),
    }
    print(json.dumps(line))


if __name__ == "__main__":
    main()
