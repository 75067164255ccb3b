"""Sizes of pools with work that is late already: `a backlog meets a turn`."""

import time

import pytest

from streamthread.capacity import CapacitySettings
from streamthread.capacity import MachineView
from streamthread.holder.sizes import PoolSizes
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.manifest import Pool
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms

CPU = 16_000
JOBS = 40
LATE_S = 10.0
VIEWS = [
    MachineView(f"m-{number}", "desk", "r", CPU, 64_000, free_to_move=False)
    for number in range(20)
]


def _sizes(weights: dict[str, float], age_s: float, **step: object) -> PoolSizes:
    """Return the sizes of a pool whose jobs arrived some time ago."""
    engine = Engine(lambda job: None, weights=lambda: weights)
    request = StepRequest(count=8, cpu=2_000, memory_mb=1, estimate_ms=1_000, **step)
    for number in range(JOBS):
        job = Job(
            f"{number:016x}",
            JobTerms("r", "desk", stretch=1.6, target_s=0.6, account="ann"),
            JobRequest("", (request,)),
            b"",
            time.time() - age_s,
        )
        engine.add(job)
    engine.begin_due(time.time())
    # What all of them send is within the weight.
    assert not any(job.excess for job in engine.open_jobs())
    return PoolSizes(engine, CapacitySettings())


def _target(sizes: PoolSizes) -> int:
    return sizes.targets([Pool("desk")], VIEWS)["desk"]


def test_late_work_is_no_need_where_accounts_have_weights() -> None:
    """Guards the next pool's turn from a backlog that can't be in time any more."""
    sizes = _sizes({"ann": 1_000.0}, LATE_S)
    assert _target(sizes) <= CapacitySettings().least_machines
    assert sizes.with_excess["desk"] >= JOBS * 8 * 2_000 / CPU / 2


def test_work_that_can_be_in_time_is_a_need() -> None:
    sizes = _sizes({"ann": 1_000.0}, 0.0)
    assert _target(sizes) >= JOBS * 8 * 2_000 / CPU / 2
    assert "desk" not in sizes.with_excess


def test_long_running_tasks_are_a_need_however_late_they_are() -> None:
    """Guards against long-running tasks whose pool gives their machines away."""
    sizes = _sizes({"ann": 1_000.0}, LATE_S, lasting=True)
    assert _target(sizes) >= JOBS * 8 * 2_000 / CPU
    assert "desk" not in sizes.with_excess


@pytest.mark.parametrize("weights", [{}, {"ann": 0.0}])
def test_without_weights_late_work_is_a_need(weights: dict[str, float]) -> None:
    """Guards deployments whose configuration gives no account a weight."""
    sizes = _sizes(weights, LATE_S)
    assert _target(sizes) >= JOBS * 8 * 2_000 / CPU / 2
    assert not sizes.with_excess
