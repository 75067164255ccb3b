"""Tests that no path of a start leads into an evacuated hall."""

import time

import pytest

from streamthread.clocks import boot_s
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.halls import HallState
from streamthread.halls import OpenHalls
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import RunnerState
from streamthread.scheduler.fleet import usable_runners

from .support import StartCell


class Halls(OpenHalls):
    """Closes the named halls, and knows them or not."""

    def __init__(self, *closed: str, known: bool = True) -> None:
        self.closed = set(closed)
        self.known = known

    def are_known(self) -> bool:
        return self.known

    def may_start(self, hall: str) -> bool:
        return hall not in self.closed

    def state(self, hall: str) -> HallState:
        return HallState.OPEN if self.may_start(hall) else HallState.EVACUATED


def _runner(runner_id: str, zone: str) -> RunnerState:
    runner = RunnerState(runner_id, "desk", "x:1", zone, ("a", "r"), 4000, 100, 0)
    runner.ready = True
    return runner


def _engine(halls: Halls, *zones: str) -> Engine:
    engine = Engine(lambda job: None, halls=halls)
    for number, zone in enumerate(zones):
        engine.add_runner(_runner(f"i-{number}", zone))
    return engine


def _add_job(engine: Engine, step: StepRequest) -> Job:
    job = Job(
        "a" * 16, JobTerms("r", "desk"), JobRequest("", (step,)), b"", time.time()
    )
    engine.add(job)
    job.begin(0)
    return job


def _place(engine: Engine) -> list[str]:
    placed = engine.place_all(time.time(), lambda step: None)
    return sorted(attempt.runner_id for attempt in placed)


class TestPlacement:
    @pytest.mark.parametrize(
        "step",
        [
            StepRequest(count=2, cpu=1000, memory_mb=1),
            StepRequest(count=2, cpu=1000, memory_mb=1, gang=True),
            StepRequest(count=2, cpu=1000, memory_mb=1, lasting=True),
            StepRequest(count=2, cpu=1000, memory_mb=1, speculative=True),
        ],
    )
    def test_uses_runners_of_other_halls_only(self, step: StepRequest) -> None:
        engine = _engine(Halls("z"), "z", "y", "z")
        _add_job(engine, step)
        assert _place(engine) == ["i-1", "i-1"]

    def test_starts_nothing_while_all_halls_are_evacuated(self) -> None:
        engine = _engine(Halls("z", "y"), "z", "y")
        _add_job(engine, StepRequest(cpu=1000, memory_mb=1))
        assert _place(engine) == []

    def test_starts_nothing_before_the_halls_are_known(self) -> None:
        """Guards against a new holder that has not read the evacuations."""
        halls = Halls(known=False)
        engine = _engine(halls, "z")
        _add_job(engine, StepRequest(cpu=1000, memory_mb=1))
        assert _place(engine) == []
        halls.known = True
        assert _place(engine) == ["i-0"]

    def test_of_long_waiting_tasks_as_a_last_resort_is_no_exception(self) -> None:
        engine = _engine(Halls("z"), "z")
        job = _add_job(engine, StepRequest(cpu=1000, memory_mb=1, lasting=True))
        (task,) = job.occurrences[0].steps[0].tasks
        task.waiting_since_s = -1e6
        engine.runners["i-0"].emptying = True
        assert _place(engine) == []

    def test_of_a_copy_uses_another_hall_or_waits(self) -> None:
        halls = Halls()
        engine = _engine(halls, "z", "z")
        job = _add_job(engine, StepRequest(cpu=1000, memory_mb=1, speculative=True))
        (first,) = engine.place_all(time.time(), lambda step: None)
        first.phase = Phase.CONFIRMED
        halls.closed.add("z")
        engine.runners[first.runner_id].silent_at_s = 1.0
        engine.request_copies(first.runner_id)
        assert job.occurrences[0].steps[0].has_waiting()
        assert _place(engine) == []
        engine.add_runner(_runner("i-9", "y"))
        assert _place(engine) == ["i-9"]

    def test_of_a_task_on_probation_uses_other_halls_only(self) -> None:
        engine = _engine(Halls("z"), "z", "y")
        job = _add_job(engine, StepRequest(cpu=1000, memory_mb=1))
        (task,) = job.occurrences[0].steps[0].tasks
        task.crashes, task.on_probation = 1, True
        assert _place(engine) == ["i-1"]

    def test_the_next_incarnation_of_a_runner_is_in_the_same_hall(self) -> None:
        engine = _engine(Halls("z"), "z")
        before = engine.runners["i-0"]
        before.born_ms = 1
        after = before.next_incarnation(2)
        engine.runner_restarted(before, after)
        after.ready = True
        assert usable_runners(engine.runners.values(), "desk") == []


class TestPlannedStart:
    async def test_is_withdrawn_when_the_hall_is_evacuated(self) -> None:
        """Guards against a start that was planned before the evacuation was read."""
        cell = StartCell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        cell.close_hall()
        await cell.send(attempt)
        assert cell.steps == []
        assert not cell.task.attempts
        assert cell.task.needs_attempt
        assert not cell.runner.used_cpu

    async def test_is_withdrawn_if_that_happens_while_it_is_prepared(self) -> None:
        cell = StartCell(lost_runners=1, answers=[True])
        cell.on_step["commit"] = cell.close_hall
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        await cell.send(attempt)
        assert cell.steps == ["probe", "commit"]
        assert not cell.task.attempts

    async def test_is_withdrawn_although_its_runner_is_silent(self) -> None:
        cell = StartCell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        cell.close_hall()
        cell.links["i-1"].silent = True
        await cell.send(attempt)
        assert not cell.task.attempts

    async def test_waits_while_it_is_not_known_whether_its_hall_is_evacuated(
        self,
    ) -> None:
        """Guards against starts on a view of the halls that is too old."""
        cell = StartCell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        cell.halls.known = False
        cell.reopen_after(polls=3)
        await cell.send(attempt)
        assert cell.polls == 3
        assert cell.steps == ["start"]

    async def test_is_valid_for_as_long_as_what_is_known_of_the_halls(self) -> None:
        """Guards against a start that is carried out after an evacuation, since this
        process was suspended between the look at the halls and the order."""
        cell = StartCell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        cell.halls.start_by_s = boot_s() - 4.0
        await cell.send(attempt)
        assert cell.start_limits_s[0] <= -4.0

    async def test_of_a_gang_takes_the_whole_gang_along(self) -> None:
        """Guards against a gang that waits forever for the member withdrawn."""
        halls = Halls()
        engine = _engine(halls, "z", "y")
        step = StepRequest(count=2, cpu=3000, memory_mb=1, gang=True)
        job = _add_job(engine, step)
        attempts = engine.place_all(time.time(), lambda step: None)
        by_runner = {attempt.runner_id: attempt for attempt in attempts}
        by_runner["i-1"].phase = Phase.SENT
        halls.closed.add("z")
        engine.leave_hall(by_runner["i-0"], surely_unsent=True)
        assert by_runner["i-1"].stop_reason == "hall-evacuated"
        tasks = job.occurrences[0].steps[0].tasks
        assert [len(task.attempts) for task in tasks].count(0) == 1


class TestSentStart:
    async def test_is_stopped_once_a_list_does_not_show_it(self) -> None:
        """Guards against a start that is sent again into an evacuated hall."""
        cell = StartCell(replies=[OutcomeUnknownError("lost", remedy="")])
        cell.on_step["start"] = cell.close_hall
        cell.hear_after(polls=2)
        attempt = await cell.start()
        assert cell.steps.count("start") == 1
        assert attempt.stop_reason == "hall-evacuated"
        assert cell.task.attempts == [attempt]

    async def test_that_reached_nobody_is_withdrawn(self) -> None:
        cell = StartCell(replies=[StoreUnavailableError("refused", remedy="")])
        cell.on_step["start"] = cell.close_hall
        await cell.start()
        assert cell.steps.count("start") == 1
        assert not cell.task.attempts

    async def test_that_a_list_shows_continues(self) -> None:
        """Guards against stopping runs that began before the evacuation."""
        cell = StartCell(replies=[OutcomeUnknownError("lost", remedy="")])
        cell.on_step["start"] = cell.close_hall
        attempts: list[Attempt] = cell.task.attempts
        cell.on_poll[2] = lambda: cell.engine.confirm(attempts[0], 200)
        attempt = await cell.start()
        assert cell.steps.count("start") == 1
        assert attempt.phase is Phase.CONFIRMED and not attempt.stop_reason

    async def test_of_an_earlier_holder_waits_for_the_first_list(self) -> None:
        """Guards against a next holder that sends a recorded start again, and against
        one that stops a run which has been working for long."""
        cell = StartCell()
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        attempt.phase, attempt.read_back = Phase.SENT, True
        cell.close_hall()
        cell.hear_after(polls=2)
        await cell.send(attempt)
        assert cell.polls == 2
        assert cell.steps == []
        assert attempt.stop_reason == "hall-evacuated"
