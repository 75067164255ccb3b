"""How much room open work needs, beside a bound that knows what comes.

The patterns: a steady stream of jobs, each of which has three times the time that it
needs (the deployments' jobs have 1.6 times their chain and 0.6 s); a heavy tail of
sizes; all jobs at once, as at the beginning of a turn. The bound is the least constant
room in which work that is done in the order of its ends is done in time.
"""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from streamthread.capacity.demand import room_for_work
from streamthread.capacity.demand import Work

CPU_S = 12_000.0
"""Work of a short job: 8 tasks of 0.64 s on 1.5 cores, in 1.6 steps."""

IN_TIME_S = 3.0
"""What such a job may take."""

JOBS_PER_S = 50
"""In a turn of the heaviest queue."""


def is_enough(room: float, works: list[Work]) -> bool:
    """Whether work that is done in the order of its ends is done in time."""
    done_at_s = 0.0
    for work in sorted(works, key=lambda work: work.over_s):
        done_at_s += work.cpu_s / room
        if done_at_s > work.over_s * (1 + 1e-9):
            return False
    return True


def test_a_steady_stream_needs_its_rate_and_not_twice_that() -> None:
    """Jobs of the last three seconds, each with the share of its work still open."""
    works = []
    for number in range(int(JOBS_PER_S * IN_TIME_S)):
        left_s = IN_TIME_S - number / JOBS_PER_S
        works.append(Work(left_s, CPU_S * left_s / IN_TIME_S, 0.0))
    needed = room_for_work(works).cpu
    assert needed <= JOBS_PER_S * CPU_S
    assert sum(work.cpu_s / work.over_s for work in works) >= 1.9 * needed


def test_a_turn_that_begins_needs_all_of_its_work_in_its_time() -> None:
    works = [Work(IN_TIME_S, CPU_S, 0.0) for _ in range(JOBS_PER_S)]
    assert room_for_work(works).cpu == pytest.approx(JOBS_PER_S * CPU_S / IN_TIME_S)


def test_one_late_job_among_many_counts_for_itself() -> None:
    works = [Work(IN_TIME_S, CPU_S, 0.0) for _ in range(5)]
    assert room_for_work([*works, Work(0.3, CPU_S, 0.0)]).cpu == pytest.approx(
        CPU_S / 0.3
    )


def test_nothing_needs_nothing() -> None:
    assert room_for_work([]).cpu == 0.0


def test_a_heavy_tail_is_done_in_time_and_with_no_less() -> None:
    choices = random.Random(7)
    works = [
        Work(choices.uniform(0.3, 9.0), CPU_S * choices.paretovariate(1.2), 0.0)
        for _ in range(200)
    ]
    needed = room_for_work(works).cpu
    assert is_enough(needed, works)
    assert not is_enough(0.99 * needed, works)


@given(
    st.lists(
        st.builds(Work, st.floats(0.3, 20), st.floats(1, 1e6), st.floats(0, 1e6)),
        min_size=1,
        max_size=30,
    )
)
def test_it_is_the_least_that_is_enough(works: list[Work]) -> None:
    needed = room_for_work(works)
    assert is_enough(needed.cpu, works)
    assert not is_enough(0.99 * needed.cpu, works)
    assert needed.cpu <= sum(work.cpu_s / work.over_s for work in works) * (1 + 1e-9)
    assert math.isfinite(needed.memory_mb)
