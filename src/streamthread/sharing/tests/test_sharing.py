"""Tests the pace of filling tasks on a model of their effect on serving tasks."""

import time

from hypothesis import given
from hypothesis import strategies as st

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Attempt
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.sharing import next_pace
from streamthread.sharing import plan_paces
from streamthread.sharing import SharingSettings

SETTINGS = SharingSettings()
TARGET_MS = 100.0
STEP_S = 0.85
"""Maximum interval between lists: the wait of a hold call and its transmission."""

HARM_S = 4.0


def _tail_ms(alone_ms: float, effect_ms: float, pace: int) -> float:
    return alone_ms + effect_ms * pace / 100


class TestControl:
    @given(st.floats(5, 85), st.floats(0, 1000))
    def test_ends_overload_in_time(self, alone_ms: float, effect_ms: float) -> None:
        pace = 100
        over_s = 0.0
        for _ in range(40):
            tail_ms = _tail_ms(alone_ms, effect_ms, pace)
            over_s = over_s + STEP_S if tail_ms > TARGET_MS else 0.0
            assert over_s < HARM_S
            pace = next_pace(pace, tail_ms, TARGET_MS, SETTINGS)

    def test_returns_to_full_pace_if_no_task_is_slowed(self) -> None:
        pace = 0
        for _ in range(12):
            pace = next_pace(pace, 10.0, TARGET_MS, SETTINGS)
        assert pace == 100

    def test_stops_at_once_far_over_the_target(self) -> None:
        assert next_pace(100, 400.0, TARGET_MS, SETTINGS) == 0


def _attempt(step: StepRequest, usage: float | None) -> Attempt:
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("", (step,)), b"", time.time()
    )
    task = job.begin(0).steps[0].tasks[0]
    attempt = Attempt(task, 1, "i-1", Phase.CONFIRMED)
    attempt.usage = usage
    return attempt


class TestPlan:
    def test_slows_only_filling_tasks(self) -> None:
        runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9, 9, 0)
        serving = _attempt(StepRequest(target_ms=TARGET_MS, lasting=True), 120.0)
        filling = _attempt(StepRequest(fills=True), 300.0)
        filling.pace_percent = 100
        runner.attempts = {("s", 1): serving, ("f", 1): filling}
        (order,) = plan_paces(runner, SETTINGS)
        assert order.attempt is filling
        assert order.percent == 40

    def test_resets_a_pace_that_an_earlier_holder_may_have_set(self) -> None:
        runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 9, 9, 0)
        filling = _attempt(StepRequest(fills=True), None)
        filling.pace_percent = None
        runner.attempts = {("f", 1): filling}
        (order,) = plan_paces(runner, SETTINGS)
        assert order.percent == 100
