"""How long a decision takes: tasks placed among many jobs and runners.

``python -m bench.scheduler`` prints one JSON line a measurement: microseconds a
placed task, for 50 to 5,000 queued jobs and 8 to 800 runners. The queued jobs
want more room than there is; in each round one task ends and one is placed.
"""

import json
import time

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState

JOBS = (50, 500, 5000)
RUNNERS = (8, 80, 800)
TASK_CPU = 4000
RUNNER_CPU = 16000
ROUNDS = 20


def _engine(jobs: int, runners: int) -> Engine:
    engine = Engine(lambda job: None)
    for number in range(runners):
        runner = RunnerState(
            f"i-{number}", "desk", "x:1", "z", ("a", "r"), RUNNER_CPU, 1 << 20, 0
        )
        runner.ready = True
        engine.add_runner(runner)
    step = StepRequest(count=4, cpu=TASK_CPU, memory_mb=1, estimate_ms=500)
    # Every runner is full with one job's tasks before the queue is measured.
    for number in range(jobs + runners):
        job = Job(
            f"{number:016x}", JobTerms("r", "desk"), JobRequest("", (step,)), b"", 0.0
        )
        engine.add(job)
    engine.begin_due(time.time())
    return engine


def _round(engine: Engine, number: int) -> float:
    """End one task, place what fits, and return how long that took."""
    runner = next(r for r in engine.runners.values() if r.attempts)
    attempt = next(iter(runner.attempts.values()))
    ended = EndedRun(number, attempt.task.name, attempt.run, EndKind.DONE, "")
    began_at_s = time.perf_counter()
    engine.on_hold(runner, HoldReply(0, (), (ended,)))
    placed = engine.place_all(time.time(), lambda step: None)
    took_s = time.perf_counter() - began_at_s
    assert len(placed) == 1
    return took_s


def main() -> None:
    """Measure and print."""
    for jobs in JOBS:
        for runners in RUNNERS:
            engine = _engine(jobs, runners)
            engine.place_all(time.time(), lambda step: None)
            rounds = sorted(_round(engine, n) for n in range(1, ROUNDS + 1))
            median_us = rounds[ROUNDS // 2] * 1e6
            print(
                json.dumps(
                    {
                        "bench": "scheduler",
                        "jobs": jobs,
                        "runners": runners,
                        "us_per_task": round(median_us),
                    }
                )
            )


if __name__ == "__main__":
    main()
