"""Case 7: in a burst, calls for advice outlast the daemon's time limit for good."""

import asyncio
import pathlib
import sys
import time
import typing as t

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_2.advice import AdviceService  # noqa: E402
from platform_2.cell import Cell  # noqa: E402
from platform_2.cell import exit_status  # noqa: E402
from platform_2.cell import Record  # noqa: E402
from platform_2.cell import Verdict  # noqa: E402

SERVICE = "nylo40d"
SPARE = "gono99e"
MACHINES = 44
IN_POOL = 14
DECIDE_MS = 50
EACH_MS = 82
VALID_MS = 20_000
WORK_MS = 2000
PER_S = 0.6
BURST = 2.5
QUIET_S = 16.0
BURST_S = 6.0


def manifest() -> dict[str, t.Any]:
    """Return a manifest with a queue that has advice, and a spare pool."""
    policy = {"decide_ms": DECIDE_MS, "each_ms": EACH_MS, "valid_ms": VALID_MS}
    return {
        "version": 3,
        "routes": [
            {
                "name": "q1",
                "host": "pule25.example",
                "pathPrefix": "/puxa400/",
                "service": SERVICE,
                "priority": 0,
                "maxAttempts": 3,
                "stretch": 1.6,
                "targetLatencyMs": 6000,
                "timeoutMs": 3000,
                "advice": policy,
            }
        ],
        "services": [
            {"name": SERVICE, "rejectsOverload": True},
            {"name": SPARE, "rejectsOverload": True, "spare": True},
        ],
    }


async def play(record: Record, scratch: pathlib.Path, trouble: bool) -> Verdict:
    """Send jobs evenly, then more of them for a while, and see whether they run."""
    advice = AdviceService(
        lambda step, runner_id: True, DECIDE_MS / 1000, EACH_MS / 1000, VALID_MS / 1000
    )
    cell = Cell(scratch, record, lambda task: WORK_MS, advice.holds)
    try:
        await advice.port.open()
        cell.advice = advice.port.address
        await cell.open(manifest())
        for number in range(MACHINES):
            pool = SERVICE if number < IN_POOL else SPARE
            await cell.add_machine(f"m{number:02d}", pool, f"r{number // 4}")
        await cell.start_daemons(3)
        await asyncio.sleep(1.0)
        step = {"count": 32, "cpu": 4000, "memMb": 500, "estimateMs": WORK_MS}
        body = {"spec": "advised", "steps": [step]}
        jobs: list[str] = []
        began_s = time.monotonic()
        while time.monotonic() - began_s < QUIET_S + BURST_S:
            job_id = f"5c0e7a21d94b{len(jobs) + 1:03x}a"
            await cell.submit(f"/puxa400/{job_id}", body)
            jobs.append(job_id)
            burst = trouble and time.monotonic() - began_s > QUIET_S
            await asyncio.sleep(1.0 / (PER_S * (BURST if burst else 1.0)))
        end_s = time.monotonic()
        for _ in range(25):
            await asyncio.sleep(1.0)
            states = [await cell.state(f"/puxa400/{job_id}") for job_id in jobs]
            pool = sum(m.pool == SERVICE for m in cell.cloud.machines.values())
            record.note(f"{states.count('completed')} of {len(jobs)} done, pool {pool}")
            if states.count("completed") == len(jobs):
                break
        for call in advice.calls:
            record.note(f"advice {call.step}: {len(call.asked)} asked", call.at_s)
        cell.write_runs()
        left = len(jobs) - states.count("completed")
        late = sum(start.at_s > end_s + 8 for start in cell.started)
        text = f"{left} of {len(jobs)} jobs open {time.monotonic() - end_s:.0f} s later"
        return Verdict(left > 0 and not late, f"{text}, {late} starts in the last part")
    finally:
        await cell.close()
        await advice.port.close()


if __name__ == "__main__":
    raise SystemExit(exit_status(FOLDER, play))
