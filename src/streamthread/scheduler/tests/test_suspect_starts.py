"""Tests the steps before and after the start of a task that has lost a runner."""

import asyncio
import time

from streamthread.clocks import boot_s
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import IncarnationEndedError
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase

from .support import StartCell


class TestStart:
    async def test_of_a_suspect_lies_between_two_answers_of_its_runner(self) -> None:
        """Guards against counting the exit of a runner that was silent before."""
        cell = StartCell(lost_runners=1, answers=[True, True])
        attempt = await cell.start()
        assert cell.steps == ["probe", "commit", "start", "probe"]
        assert attempt.cleared

    async def test_of_a_suspect_is_recorded_before_it_is_sent(self) -> None:
        """Guards against a crash that no holder would count."""
        cell = StartCell(lost_runners=1, answers=[True, False])
        attempt = await cell.start()
        assert not attempt.cleared

    async def test_of_a_suspect_is_not_sent_to_a_runner_that_does_not_answer(
        self,
    ) -> None:
        cell = StartCell(lost_runners=1, answers=[False])
        attempt = await cell.start()
        assert cell.steps == ["probe", "unanswered"]
        assert attempt not in cell.task.attempts
        assert cell.task.needs_attempt
        assert not cell.runner.usable()
        assert not cell.runner.used_cpu

    async def test_of_a_suspect_is_prepared_in_its_turn(self) -> None:
        """Guards against hundreds of calls to one runner at once."""
        cell = StartCell(lost_runners=1, answers=[True, True])
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        slots = cell.links["i-1"].start_slots
        await slots.acquire()
        sending = asyncio.ensure_future(cell.send(attempt))
        for _ in range(20):
            await asyncio.sleep(0)
        assert cell.steps == [] and attempt.cleared
        slots.release()
        await sending
        assert cell.steps == ["probe", "commit", "start", "probe"]

    async def test_of_any_other_task_takes_no_further_call(self) -> None:
        cell = StartCell(lost_runners=0)
        await cell.start()
        assert cell.steps == ["start"]


class _RestartingCell(StartCell):
    """The runner restarts under its id while the check after the start is answered."""

    async def _probe(self) -> bool:
        answer = await super()._probe()
        if "start" in self.steps:
            self.links["i-1"].over = True
            after = self.runner.next_incarnation(2)
            after.on_clock(10_000)
            self.engine.runners["i-1"] = after
        return answer


class TestRestartDuringTheCheckAfterAStart:
    async def test_clears_no_task(self) -> None:
        """Guards against clearing a task by the next incarnation's clock."""
        cell = _RestartingCell(lost_runners=2, answers=[True, True])
        await cell.start()
        assert cell.steps.count("probe") == 2
        assert cell.task.lost_runners == 2


class TestStartThatAnEarlierHolderRecorded:
    """Guards against crashes that count only against what started beside the task."""

    async def test_counts_from_when_it_is_sent(self) -> None:
        cell = StartCell(lost_runners=1, answers=[True, True])
        attempt = cell.read_back()
        await cell.send(attempt)
        assert attempt.sent_at_s
        assert cell.runner.probation_until_s > attempt.sent_at_s

    async def test_does_not_count_if_another_incarnation_answers(self) -> None:
        cell = StartCell(
            lost_runners=1, answers=[True], replies=[IncarnationEndedError("gone")]
        )
        attempt = cell.read_back()
        await cell.send(attempt)
        assert not attempt.sent_at_s

    def test_has_no_other_task_of_its_job_started_beside_it(self) -> None:
        """Guards against a sound task that is held back with the one beside it."""
        cell = StartCell()
        cell.engine.cancel(cell.task.step.occurrence.job)
        cell.runner.known_since_s = boot_s() - 60.0
        request = JobRequest("", (StepRequest(count=2, cpu=1, memory_mb=1),))
        job = Job("b" * 16, JobTerms("r", "desk"), request, b"", time.time())
        for task in job.begin(0).steps[0].tasks:
            task.crashes, task.on_probation, task.needs_stable_runner = 2, True, True
        cell.engine.add(job)
        cell.engine.place_all(time.time(), lambda step: None)
        (recorded,) = job.attempts()
        # The next holder knows no more than this until the runner lists the run.
        recorded.phase, recorded.read_back = Phase.SENT, True
        cell.runner.probation_until_s = 0.0
        cell.engine.place_all(time.time(), lambda step: None)
        assert list(job.attempts()) == [recorded]
        cell.engine.confirm(recorded, 100)
        cell.engine.place_all(time.time(), lambda step: None)
        assert len(list(job.attempts())) == 2
