"""Case 8: a job never starts where its policy allows none of the first 30 runners."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform_2.advice import AdviceService  # noqa: E402
from platform_2.cell import Cell  # noqa: E402
from platform_2.cell import exit_status  # noqa: E402
from platform_2.cell import Record  # noqa: E402
from platform_2.cell import Verdict  # noqa: E402

JOB = "5c0e7a21d94b36f8"
PATH = f"/puxa400/{JOB}"
SERVICE = "nylo40d"
RACK_MACHINES = 4
RACKS = 11
CRASHED_RACK = "r00"
GOOD_RACKS = ("r00", "r10")
WORK_MS = 1000
CALM_S = 20.0


async def play(record: Record, scratch: pathlib.Path, trouble: bool) -> Verdict:
    """Lose a rack for good, hand a job in, and look whether it ever starts."""
    racks: dict[str, str] = {}
    advice = AdviceService(
        lambda step, runner_id: racks.get(runner_id) in GOOD_RACKS,
        decide_s=0.02,
        each_s=0.002,
        valid_s=10.0,
    )
    cell = Cell(scratch, record, lambda task: WORK_MS, advice.holds)
    try:
        await advice.port.open()
        cell.advice = advice.port.address
        await cell.open(
            {
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
                        "advice": {"decide_ms": 20, "each_ms": 2, "valid_ms": 10000},
                    }
                ],
                "services": [{"name": SERVICE, "rejectsOverload": True}],
            }
        )
        for number in range(RACKS * RACK_MACHINES):
            rack = f"r{number // RACK_MACHINES:02d}"
            runner = await cell.add_machine(f"m{number:02d}", SERVICE, rack)
            racks[runner.runner_id] = rack
        await cell.start_daemons(3)
        await asyncio.sleep(2.0)
        if trouble:
            for machine_id, rack in cell.racks.items():
                if rack == CRASHED_RACK:
                    await cell.crash(machine_id)
            # Everything that the disruption excuses is over by then.
            await asyncio.sleep(8.0)
        step = {"count": 4, "cpu": 2000, "memMb": 1024, "estimateMs": WORK_MS}
        await cell.submit(PATH, {"spec": "advised", "steps": [step]})
        until_s = time.monotonic() + CALM_S
        state = ""
        while state != "completed" and time.monotonic() < until_s:
            await asyncio.sleep(0.5)
            state = await cell.state(PATH)
        for call in advice.calls:
            text = f"advice {call.step}: {len(call.asked)} asked, good {call.good}"
            record.note(text, call.at_s)
        cell.write_runs()
        good = [r for r in cell.runners if r.alive and r.rack in GOOD_RACKS]
        if not cell.started:
            why = (
                f"nothing of the job ran for {CALM_S:.0f} s, though {len(good)} "
                "runners that its policy allows stand idle"
            )
            return Verdict(True, why)
        return Verdict(False, f"the job is {state}, {len(cell.started)} starts")
    finally:
        await cell.close()
        await advice.port.close()


if __name__ == "__main__":
    raise SystemExit(exit_status(FOLDER, play))
