"""Case 6: tickets of runners that were not there when the advice was asked for."""

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
MACHINES = 8
GOOD_RACK = "r0"
WORK_MS = 1000
VALID_MS = 30_000
DOWN_S = 4.5
CALM_S = 16.0


async def play(record: Record, scratch: pathlib.Path, trouble: bool) -> Verdict:
    """Crash the allowed runners for a while, and hand a job in meanwhile."""
    cell_box: list[Cell] = []

    def may_run(step: str, runner_id: str) -> bool:
        runners = {r.runner_id: r.rack for r in cell_box[0].runners}
        return runners.get(runner_id) == GOOD_RACK

    advice = AdviceService(
        may_run, decide_s=0.02, each_s=0.002, valid_s=VALID_MS / 1000
    )
    cell = Cell(scratch, record, lambda task: WORK_MS, advice.holds)
    cell_box.append(cell)
    try:
        await advice.port.open()
        cell.advice = advice.port.address
        policy = {"decide_ms": 20, "each_ms": 2, "valid_ms": VALID_MS}
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
                        "advice": policy,
                    }
                ],
                "services": [{"name": SERVICE, "rejectsOverload": True}],
            }
        )
        for number in range(MACHINES):
            rack = "r0" if number == 0 else f"r{1 + number // 4}"
            await cell.add_machine(f"m{number}", SERVICE, rack)
        await cell.start_daemons(3)
        await asyncio.sleep(2.0)
        if trouble:
            await cell.crash_for("m0", DOWN_S)
            await asyncio.sleep(1.0)
        step = {"count": 4, "cpu": 2000, "memMb": 1024, "estimateMs": WORK_MS}
        await cell.submit(PATH, {"spec": "advised", "steps": [step]})
        await asyncio.sleep(DOWN_S + 1.0)
        back_s = time.monotonic()
        until_s = back_s + CALM_S
        while not cell.started and time.monotonic() < until_s:
            await asyncio.sleep(0.5)
            await cell.state(PATH)
        for call in advice.calls:
            text = f"advice {call.step}: {len(call.asked)} asked, good {call.good}"
            record.note(text, call.at_s)
        cell.write_runs()
        if not cell.started:
            why = (
                f"nothing ran for {CALM_S:.0f} s beside an idle runner that may run it"
            )
            return Verdict(True, why)
        return Verdict(
            False, f"first start {cell.started[0].at_s - back_s:.1f} s later"
        )
    finally:
        await cell.close()
        await advice.port.close()


if __name__ == "__main__":
    raise SystemExit(exit_status(FOLDER, play))
