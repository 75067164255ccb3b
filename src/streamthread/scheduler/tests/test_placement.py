"""Tests placement under any mix of runners and tasks."""

import collections
import time

from hypothesis import given
from hypothesis import strategies as st

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Engine
from streamthread.scheduler import EngineSettings
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerIncarnation
from streamthread.scheduler import RunnerState
from streamthread.scheduler.placement import place_step


def _job(step: StepRequest) -> Job:
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("", (step,)), b"{}", time.time()
    )
    job.begin(0)
    return job


def _runner(number: int, cpu: int, memory_mb: int, labels: tuple[str, ...]):  # type: ignore[no-untyped-def]
    runner = RunnerState(
        f"i-{number}", "desk", "x:1", "z", labels, cpu, memory_mb, gpu=0
    )
    runner.ready = True
    return runner


steps = st.builds(
    StepRequest,
    count=st.integers(1, 12),
    cpu=st.integers(0, 4000),
    memory_mb=st.integers(0, 4000),
    gang=st.booleans(),
    requires=st.sampled_from(["", "a", "b"]),
    most_per_runner=st.integers(0, 3),
    fills=st.booleans(),
)
runner_lists = st.lists(
    st.tuples(
        st.integers(0, 8000),
        st.integers(0, 8000),
        st.sampled_from([("a", "r1"), ("b", "r2")]),
    ),
    max_size=6,
)


class TestPlacement:
    @given(steps, runner_lists)
    def test_respects_capacity_labels_limits_and_gangs(
        self, step: StepRequest, shapes: list[tuple[int, int, tuple[str, ...]]]
    ) -> None:
        runners = [_runner(n, *shape) for n, shape in enumerate(shapes)]
        run = _job(step).occurrences[0].steps[0]
        placed = place_step(run, runners, time.time())
        counts = collections.Counter(p.runner.runner_id for p in placed)
        for runner in runners:
            count = counts[runner.runner_id]
            cpu = 0 if step.fills else step.cpu
            assert count * cpu <= runner.cpu or not count
            assert count * step.memory_mb <= runner.memory_mb or not count
            if step.most_per_runner:
                assert count <= step.most_per_runner
            if count and step.requires:
                assert step.requires in runner.labels
        assert len({id(p.task) for p in placed}) == len(placed)
        if step.gang:
            assert len(placed) in (0, step.count)

    @given(st.integers(1, 10), st.integers(1, 10))
    def test_places_every_task_that_fits(self, count: int, capacity: int) -> None:
        step = StepRequest(count=count, cpu=1000)
        run = _job(step).occurrences[0].steps[0]
        placed = place_step(run, [_runner(1, capacity * 1000, 10, ("a",))], time.time())
        assert len(placed) == min(count, capacity)

    def test_prefers_the_rack_of_the_data(self) -> None:
        step = StepRequest(count=1, cpu=1, near_rack="r2")
        run = _job(step).occurrences[0].steps[0]
        runners = [_runner(1, 10, 10, ("a", "r1")), _runner(2, 99, 10, ("a", "r2"))]
        (placement,) = place_step(run, runners, time.time())
        assert placement.runner.rack == "r2"


def _in_hall(number: int, hall: str, cpu: int = 1000) -> RunnerState:
    runner: RunnerState = _runner(number, cpu, 1000, ("a",))
    runner.zone = hall
    return runner


class TestSpreadOverHalls:
    """Guards against long-running steps that are lost with one hall."""

    RUNNERS = (("h1", 300), ("h1", 400), ("h2", 900), ("h3", 1000))

    def _placed_halls(
        self, count: int, hall_counts: dict[str, int] | None
    ) -> collections.Counter[str]:
        step = StepRequest(count=count, cpu=10, lasting=True)
        run = _job(step).occurrences[0].steps[0]
        runners = [_in_hall(n, *shape) for n, shape in enumerate(self.RUNNERS)]
        placed = place_step(run, runners, time.time(), hall_counts=hall_counts)
        return collections.Counter(p.runner.zone for p in placed)

    def test_gives_each_hall_as_many_tasks(self) -> None:
        assert self._placed_halls(6, {}) == {"h1": 2, "h2": 2, "h3": 2}

    def test_counts_the_tasks_that_run_already(self) -> None:
        assert self._placed_halls(2, {"h1": 1, "h3": 1}) == {"h2": 1, "h1": 1}

    def test_uses_the_fullest_runner_where_halls_make_no_difference(self) -> None:
        assert self._placed_halls(6, None) == {"h1": 6}

    def test_takes_what_is_there_without_a_choice(self) -> None:
        step = StepRequest(count=3, cpu=10, lasting=True)
        run = _job(step).occurrences[0].steps[0]
        placed = place_step(
            run, [_in_hall(1, "h1")], time.time(), hall_counts={"h1": 5}
        )
        assert len(placed) == 3

    def test_by_the_engine_is_for_long_running_steps_of_several_tasks(self) -> None:
        for spreads in (True, False):
            engine = Engine(
                lambda job: None, EngineSettings(spreads_over_halls=spreads)
            )
            for number, shape in enumerate(self.RUNNERS):
                engine.add_runner(_in_hall(number, *shape))
            steps = (
                StepRequest(count=3, cpu=10, lasting=True),
                StepRequest(count=3, cpu=10),
            )
            job = Job(
                "a" * 16,
                JobTerms("r", "desk"),
                JobRequest("", steps),
                b"{}",
                time.time(),
            )
            job.begin(0)
            engine.add(job)
            halls: dict[int, set[str]] = collections.defaultdict(set)
            for attempt in engine.place_all(time.time(), lambda step: None):
                runner = engine.runners[attempt.runner_id]
                halls[attempt.task.step.number].add(runner.zone)
            assert len(halls[0]) == (3 if spreads else 1)
            assert len(halls[1]) == 1


class TestFailingRunners:
    def test_failed_task_waits_for_another_runner(self) -> None:
        step = StepRequest(count=1, cpu=10)
        run = _job(step).occurrences[0].steps[0]
        run.tasks[0].avoid.add(RunnerIncarnation("i-1"))
        failing, full = _runner(1, 100, 10, ("a",)), _runner(2, 0, 10, ("a",))
        assert place_step(run, [failing, full], time.time()) == []
        run.tasks[0].waiting_since_s -= 60.0
        (placement,) = place_step(run, [failing, full], time.time())
        assert placement.runner is failing

    def test_failed_task_returns_if_there_is_no_other_runner(self) -> None:
        step = StepRequest(count=1, cpu=10)
        run = _job(step).occurrences[0].steps[0]
        run.tasks[0].avoid.add(RunnerIncarnation("i-1"))
        (placement,) = place_step(run, [_runner(1, 100, 10, ("a",))], time.time())
        assert placement.runner.runner_id == "i-1"

    def test_penalized_runner_gets_no_task_while_most_are_healthy(self) -> None:
        step = StepRequest(count=2, cpu=10)
        run = _job(step).occurrences[0].steps[0]
        failing, healthy = _runner(1, 100, 10, ("a",)), _runner(2, 10, 10, ("a",))
        failing.penalty_until_s = time.time() + 60
        placed = place_step(run, [failing, healthy], time.time())
        assert [p.runner for p in placed] == [healthy]
        healthy.penalty_until_s = time.time() + 60
        assert len(place_step(run, [failing, healthy], time.time())) == 2
