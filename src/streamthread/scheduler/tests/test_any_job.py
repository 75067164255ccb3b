"""Tests that every job that is accepted can be placed, stored and read back.

Guards against a job of one caller that ends what serves all callers: its values reach
the scheduling pass, the commits and the replay of each next holder.
"""

import json
import time
import typing as t

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from streamthread.capacity.demand import job_work
from streamthread.errors import BadInputError
from streamthread.platform.callers import MAX_SPEC_BYTES
from streamthread.platform.manifest import Route
from streamthread.scheduler import decode_row
from streamthread.scheduler import divide_body
from streamthread.scheduler import encode_chunk
from streamthread.scheduler import encode_definition
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState

ROUTE = Route("r", "desk.example", "/jobs/", "desk", max_attempts=3)
ROW_BYTES = 65_536
LARGEST = 2**53

SIZES = st.sampled_from([0, 1, 100, 5000, LARGEST, LARGEST + 1, -1])
TIMES_MS = st.sampled_from([0, 0.5, 1, 1e3, 1.7e12, float(LARGEST), 1e300, -1.0])
TEXTS = st.one_of(st.text(max_size=8), st.just("x" * MAX_SPEC_BYTES), st.none())

STEPS = st.fixed_dictionaries(
    {},
    optional={
        "count": st.sampled_from([0, 1, 2, 70, 100_001]),
        "cpu": SIZES,
        "memMb": SIZES,
        "gpu": st.sampled_from([0, 1]),
        "estimateMs": TIMES_MS,
        "after": st.lists(st.integers(min_value=-1, max_value=3), max_size=3),
        "gang": st.booleans(),
        "speculative": st.booleans(),
        "longRunning": st.booleans(),
        "fills": st.booleans(),
        "antiAffinity": SIZES,
        "may_miss": SIZES,
        "target_ms": TIMES_MS,
        "requires": TEXTS,
        "image": TEXTS,
    },
)
JOBS = st.fixed_dictionaries(
    {"steps": st.lists(STEPS, max_size=4)},
    optional={
        "spec": TEXTS,
        "times": st.sampled_from([0, 1, 3, 2000, LARGEST]),
        "startAtMs": TIMES_MS,
        "intervalMs": TIMES_MS,
        "unknown": st.text(max_size=8),
    },
)


def _rows_fit(job: Job) -> None:
    body = divide_body(job, ROW_BYTES)
    chunks = {
        chunk: encode_chunk(job.occurrences[chunk.occurrence], chunk, ROW_BYTES)
        for chunk in job.changed_chunks
    }
    rows = [encode_definition(job), encode_progress(job, ROW_BYTES)]
    assert max(map(len, [*rows, *body, *chunks.values()])) <= ROW_BYTES
    after = decode_row(job.job_id, rows[0], body)
    restore_progress(after, rows[1], chunks)
    assert after.state is job.state
    assert {a.task.name for a in after.attempts()} == {
        a.task.name for a in job.attempts()
    }


class TestAnyJob:
    @settings(max_examples=200)
    @given(JOBS)
    def test_is_refused_or_can_be_served(self, body: dict[str, t.Any]) -> None:
        faults: list[BaseException] = []
        engine = Engine(lambda job: None)
        engine.on_fault = lambda name, error: faults.append(error)
        runner = RunnerState("i-1", "desk", "x:1", "z", ("a", "r"), 16000, 32000, 1)
        runner.ready = True
        engine.add_runner(runner)
        try:
            job = new_job("a" * 16, JobTerms.of_route(ROUTE), json.dumps(body).encode())
        except BadInputError:
            return
        engine.add(job)
        job_work(job, engine.times)
        for _ in range(2):
            engine.begin_due(time.time())
            engine.place_all(time.time(), lambda step: None)
        assert faults == []
        _rows_fit(job)
        engine.cancel(job)
        _rows_fit(job)
