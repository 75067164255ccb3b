"""The resources that open work needs, compared to an exact bound.

The patterns are a steady stream of jobs that each have three times the time that they
need (the deployments' jobs have 1.6 times their chain plus 0.6 s), a heavy tail of job
sizes, and all jobs at once, as at the start of load on a pool. The bound is the
smallest constant amount of CPU with which work that is done in the order of its
deadlines is done in time.
"""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.capacity.demand import job_demand
from streamthread.capacity.demand import pool_demand
from streamthread.capacity.demand import required_resources
from streamthread.capacity.demand import Work
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler.learning import RunTimes

CPU_S = 12_000.0
"""Work of a short job: 8 tasks of 0.64 s on 1.5 cores, in 1.6 steps on average."""

IN_TIME_S = 3.0
"""Time that such a job may take."""

JOBS_PER_S = 50
"""Arrival rate while the busiest queue is under load."""


def is_enough(available_cpu: float, works: list[Work]) -> bool:
    """Whether work that is done in the order of its deadlines is done in time."""
    done_at_s = 0.0
    for work in sorted(works, key=lambda work: work.spread_s):
        done_at_s += work.cpu_s / available_cpu
        if done_at_s > work.spread_s * (1 + 1e-9):
            return False
    return True


def test_a_steady_stream_needs_its_rate_but_not_twice_that() -> None:
    """Jobs of the last three seconds, each with the share of its work that is open."""
    works = []
    for number in range(int(JOBS_PER_S * IN_TIME_S)):
        left_s = IN_TIME_S - number / JOBS_PER_S
        works.append(Work(left_s, CPU_S * left_s / IN_TIME_S, 0.0))
    needed = required_resources(works).cpu
    assert needed <= JOBS_PER_S * CPU_S
    assert sum(work.cpu_s / work.spread_s for work in works) >= 1.9 * needed


def test_simultaneous_jobs_need_all_of_their_work_in_their_time() -> None:
    works = [Work(IN_TIME_S, CPU_S, 0.0) for _ in range(JOBS_PER_S)]
    assert required_resources(works).cpu == pytest.approx(
        JOBS_PER_S * CPU_S / IN_TIME_S
    )


def test_one_late_job_among_many_determines_the_resources() -> None:
    works = [Work(IN_TIME_S, CPU_S, 0.0) for _ in range(5)]
    assert required_resources([*works, Work(0.3, CPU_S, 0.0)]).cpu == pytest.approx(
        CPU_S / 0.3
    )


def test_no_work_needs_no_resources() -> None:
    assert required_resources([]).cpu == 0.0


def test_a_heavy_tail_is_done_in_time_but_not_with_less() -> None:
    rng = random.Random(7)
    works = [
        Work(rng.uniform(0.3, 9.0), CPU_S * rng.paretovariate(1.2), 0.0)
        for _ in range(200)
    ]
    needed = required_resources(works).cpu
    assert is_enough(needed, works)
    assert not is_enough(0.99 * needed, works)


@given(
    st.lists(
        st.builds(Work, st.floats(0.3, 20), st.floats(1, 1e6), st.floats(0, 1e6)),
        min_size=1,
        max_size=30,
    )
)
def test_it_is_the_smallest_sufficient_amount(works: list[Work]) -> None:
    needed = required_resources(works)
    assert is_enough(needed.cpu, works)
    assert not is_enough(0.99 * needed.cpu, works)
    assert needed.cpu <= sum(work.cpu_s / work.spread_s for work in works) * (1 + 1e-9)
    assert math.isfinite(needed.memory_mb)


class TestLimitOfAnAccount:
    """Guards against pools that grow for work that waits for its account's limit.

    The pattern: one account floods within its weight. Of 122 machines that its pool
    got, less than a third were used, and the next pool lacked them.
    """

    @staticmethod
    def _job(account: str, number: int) -> Job:
        steps = (StepRequest(count=8, cpu=1_000, memory_mb=100, estimate_ms=1_000),)
        job = Job(
            f"{account}-{number}",
            JobTerms("r", "desk", stretch=1.6, target_s=0.6, account=account),
            JobRequest("", steps),
            b"",
            0.0,
        )
        job.begin(0)
        return job

    def _demand(self, limits: dict[str, float], **counts: int) -> float:
        jobs = [
            self._job(name, n) for name, count in counts.items() for n in range(count)
        ]
        demands = [job_demand(job, RunTimes(), 0.0) for job in jobs]
        return pool_demand(demands, limits.get).cpu

    def test_bounds_what_its_work_needs(self) -> None:
        alone = self._demand({}, bob=3)
        assert self._demand({"ann": 5_000.0}, ann=50, bob=3) == alone + 5_000.0

    def test_changes_nothing_where_it_does_not_bind(self) -> None:
        limits = {"ann": 1e6, "bob": 1e6}
        assert self._demand(limits, ann=5, bob=3) == self._demand({}, ann=5, bob=3)
