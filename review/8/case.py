"""Case 8: the members of a gang that starts again bring different checkpoints."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_2.cell import Cell  # noqa: E402
from platform_2.cell import exit_status  # noqa: E402
from platform_2.cell import Record  # noqa: E402
from platform_2.cell import Verdict  # noqa: E402

JOB = "5c0e7a21d94b36f8"
PATH = f"/puxa400/{JOB}"
MEMBERS = 4
WORK_MS = 6000
CRASH_AFTER_S = 2.2
SAVED_FOR_S = 0.06


async def play(record: Record, scratch: pathlib.Path, trouble: bool) -> Verdict:
    """Crash the runner of one member while the gang works, and compare the starts."""
    cell = Cell(scratch, record, lambda task: WORK_MS)
    cell.gangs.sizes[f"{JOB}.0.0"] = MEMBERS
    try:
        await cell.open(
            {
                "version": 3,
                "routes": [
                    {
                        "name": "q1",
                        "host": "pule25.example",
                        "pathPrefix": "/puxa400/",
                        "service": "dele69a",
                        "priority": 0,
                        "maxAttempts": 3,
                        "stretch": 1.6,
                        "targetLatencyMs": 600,
                        "timeoutMs": 3000,
                    }
                ],
                "services": [{"name": "dele69a", "rejectsOverload": True}],
            }
        )
        for number in range(8):
            await cell.add_machine(f"m{number}", "dele69a", f"r{number // 4}")
        await cell.start_daemons(3)
        step = {
            "count": MEMBERS,
            "cpu": 2000,
            "memMb": 1024,
            "estimateMs": WORK_MS,
            "gang": True,
            "checkpointing": True,
            "antiAffinity": 1,
        }
        await cell.submit(PATH, {"spec": "gang", "steps": [step]})
        while len(cell.started) < MEMBERS:
            await asyncio.sleep(0.02)
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble:
            member = cell.started[1]
            victim = next(r for r in cell.runners if r.runner_id == member.runner_id)
            # It is so for more than half of the time: it saves twice a second, and is
            # asked for its lists less often.
            since_s = time.monotonic()
            while time.monotonic() - since_s < SAVED_FOR_S:
                await asyncio.sleep(0.01)
                if not victim.has_saved_since_listing():
                    since_s = time.monotonic()
            await cell.crash(victim.machine_id)
        until_s = time.monotonic() + 40
        while await cell.state(PATH) != "completed" and time.monotonic() < until_s:
            await asyncio.sleep(0.5)
        cell.write_runs()
        return judge(cell)
    finally:
        await cell.close()


def judge(cell: Cell) -> Verdict:
    """Compare the checkpoints that the members of each run brought."""
    texts: dict[int, dict[str, str]] = {}
    for start in cell.started:
        texts.setdefault(start.number, {})[start.task] = start.checkpoint
    for number, by_member in sorted(texts.items()):
        if len(set(by_member.values())) > 1:
            return Verdict(True, f"run {number} of the gang brings {by_member}")
    return Verdict(False, f"{len(texts)} runs, each with one checkpoint")


if __name__ == "__main__":
    raise SystemExit(exit_status(FOLDER, play))
