"""Case 6: a cancel that carries a JSON body is acknowledged and then forgotten."""

import asyncio
import pathlib
import signal
import sys
import time
import typing as t

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_2.cell import Cell  # noqa: E402
from platform_2.cell import exit_status  # noqa: E402
from platform_2.cell import Record  # noqa: E402
from platform_2.cell import Verdict  # noqa: E402

JOB = "5c0e7a21d94b36f8"
PATH = f"/puxa400/{JOB}"
SERVICE = "dele69a"
WORK_MS = 60_000
FROZEN_S = 4.0
CANCEL_S = 3.0
STOP_S = 0.4
CALM_S = 8.0


def manifest() -> dict[str, t.Any]:
    """Return a manifest with one queue."""
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
                "targetLatencyMs": 600,
                "timeoutMs": 3000,
            }
        ],
        "services": [{"name": SERVICE, "rejectsOverload": True}],
    }


async def play(record: Record, scratch: pathlib.Path, trouble: bool) -> Verdict:
    """Freeze the holder, cancel a job elsewhere, and look whether it ends."""
    cell = Cell(scratch, record, lambda task: WORK_MS)
    try:
        await cell.open(manifest())
        for number in range(8):
            await cell.add_machine(f"m{number}", SERVICE, f"r{number // 4}")
        await cell.start_daemons(3)
        holder = await cell.holder()
        other = next(daemon for daemon in cell.daemons if daemon is not holder)
        step = {"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": WORK_MS}
        await cell.submit(PATH, {"spec": "long", "steps": [step]})
        while len(cell.started) < 2:
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)
        if trouble:
            record.note(f"{holder.name}, which holds the cell, freezes")
            holder.send(signal.SIGSTOP)
        frozen_at_s = time.monotonic()
        status = 0
        while not 200 <= status < 300 and time.monotonic() < frozen_at_s + 15:
            status, _ = await cell.ask("DELETE", PATH, {}, other)
        if not 200 <= status < 300:
            raise RuntimeError(f"the cancel was answered with {status}")
        cancelled_at_s = time.monotonic()
        if trouble:
            await asyncio.sleep(max(0.0, frozen_at_s + FROZEN_S - time.monotonic()))
            holder.send(signal.SIGCONT)
            record.note(f"{holder.name} wakes")
        due_at_s = cancelled_at_s + CANCEL_S + STOP_S + CALM_S
        await asyncio.sleep(max(0.0, due_at_s - time.monotonic()))
        after_s = time.monotonic() - cancelled_at_s
        running = [task for runner in cell.runners for task in runner.tasks()]
        state = await cell.state(PATH)
        cell.write_runs()
        if running:
            why = f"{after_s:.1f} s after the cancel's {status}, {running} still run"
            return Verdict(True, f"{why}, and the job is shown as {state}")
        return Verdict(False, f"nothing runs; the job is shown as {state}")
    finally:
        await cell.close()


if __name__ == "__main__":
    raise SystemExit(exit_status(FOLDER, play))
