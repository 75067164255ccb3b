"""Tests which tasks a runner exit is attributed to.

One task among others crashes each runner that starts it. The schedules also contain
runners that exit on their own, become silent and come back, and changes of the holder.
The faulty task is held back after a bounded number of starts, no other task is, and no
job fails.
"""

import time
import typing as t

import hypothesis
import pytest
from hypothesis import strategies as st

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.runners import LinkSettings
from streamthread.scheduler import Attempt
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState
from streamthread.scheduler import TaskState
from streamthread.scheduler.fleet import STABLE_AFTER_S
from streamthread.scheduler.stability import EXIT_WINDOW_S

BODY = b'{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":1}]}'

MAX_STARTS = 5
"""After the third crashed runner, two more starts are accepted (the users'
documentation)."""


class _Cell:
    """An engine in virtual time, its runners, and one faulty task.

    :param observed_s: how long the holder has observed the runners.
    """

    def __init__(
        self,
        patch: pytest.MonkeyPatch,
        jobs: int,
        runners: int,
        observed_s: float = EXIT_WINDOW_S,
    ) -> None:
        self.now_s = 1000.0
        patch.setattr(time, "clock_gettime", lambda clock: self.now_s)
        self.engine = Engine(lambda job: None, observed_from_s=self.now_s - observed_s)
        self.incarnations = 0
        self.starts = 0
        for number in range(jobs):
            self.add_job(f"{number:016x}")
        self.at_fault = self.engine.jobs[f"{0:016x}"]
        for _ in range(runners):
            self.new_runner()

    def add_job(self, job_id: str) -> Job:
        step = StepRequest(count=1, cpu=1000, memory_mb=1)
        terms = JobTerms("r", "desk", max_attempts=3)
        job = Job(job_id, terms, JobRequest("x", (step,)), BODY, time.time())
        job.begin(0)
        self.engine.add(job)
        return job

    def new_runner(self) -> RunnerState:
        self.incarnations += 1
        name = f"i-{self.incarnations}"
        runner = RunnerState(name, "desk", "x:1", "z", ("a", "r"), 4000, 100, 0)
        runner.ready = True
        # Also tasks that need a stable runner may start there.
        runner.known_since_s = self.now_s - STABLE_AFTER_S
        self.engine.add_runner(runner)
        return runner

    def place(self) -> list[Attempt]:
        placed = self.engine.place_all(time.time(), lambda step: None)
        for attempt in placed:
            attempt.sent_at_s = self.now_s
            self.engine.confirm(attempt, 1)
        return placed

    def is_at_fault(self, attempt: Attempt) -> bool:
        return attempt.task.step.occurrence.job is self.at_fault

    def is_held(self) -> bool:
        """Whether the faulty task is held back; its job must not fail for it."""
        assert not self.at_fault.over
        (task,) = self.at_fault.occurrences[0].steps[0].tasks
        return task.state is TaskState.QUARANTINED

    def end(self, runner: RunnerState, hung: bool = False) -> None:
        """Make a runner silent now and let it exit later; a new runner replaces it."""
        runner.ready = False
        runner.silent_at_s = self.now_s
        runner.hung = hung
        self.engine.request_copies(runner.runner_id)
        self.now_s += 3.0
        self.engine.runner_exited(runner.runner_id, "test")
        self.new_runner()

    def finish(self, runner: RunnerState) -> None:
        """Let the runs on a runner complete."""
        ended = [
            EndedRun(number, a.task.name, a.run, EndKind.DONE, "")
            for number, a in enumerate(runner.attempts.values(), 1)
        ]
        self.engine.on_hold(runner, HoldReply(0, (), tuple(ended)))

    def list_running(self, runner: RunnerState, clock_ms: int = 2) -> None:
        rows = [
            RunningTask(a.task.name, a.run, "", 9) for a in runner.attempts.values()
        ]
        self.engine.on_hold(runner, HoldReply(clock_ms, tuple(rows), ()))

    def crash_faulty_runner(self, placed: t.Sequence[Attempt]) -> None:
        """End the runner that has just been given the faulty task."""
        for attempt in placed:
            if self.is_at_fault(attempt):
                self.starts += 1
                self.now_s += 0.01
                self.end(self.engine.runners[attempt.runner_id])
                return


def _next_holder(
    cell: _Cell,
    patch: pytest.MonkeyPatch,
    runners: int,
    observed_s: float = EXIT_WINDOW_S,
) -> _Cell:
    """Return the next holder's cell with the faulty task's row and new runners."""
    row = encode_progress(cell.at_fault)
    after = _Cell(patch, 1, runners, observed_s)
    after.at_fault.occurrences.clear()
    restore_progress(after.at_fault, row)
    return after


@pytest.fixture
def patch() -> t.Iterator[pytest.MonkeyPatch]:
    with pytest.MonkeyPatch.context() as context:
        yield context


class TestOneTaskAtFault:
    @hypothesis.given(data=st.data())
    def test_is_held_back_and_no_other_task(self, data: st.DataObject) -> None:
        with pytest.MonkeyPatch.context() as patch:
            cell = _Cell(patch, jobs=6, runners=4)
            for turn in range(40):
                cell.crash_faulty_runner(cell.place())
                cell.now_s += data.draw(st.sampled_from([0.05, 0.3, 0.7]))
                if turn % 3 == 0:
                    cell.add_job(f"{turn + 100:016x}")
                runner = data.draw(st.sampled_from(sorted(cell.engine.runners)))
                state = cell.engine.runners[runner]
                cell.list_running(state)
                if not any(map(cell.is_at_fault, state.attempts.values())):
                    cell.finish(state)
            assert cell.is_held()
            assert cell.starts <= MAX_STARTS
            others = [j for j in cell.engine.jobs.values() if j is not cell.at_fault]
            assert not any(job.failed for job in others)
            assert len(cell.engine.quarantine) == 1

    def test_next_holder_continues_the_count(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=3)
        cell.crash_faulty_runner(cell.place())
        next_one = _next_holder(cell, patch, runners=3)
        while not next_one.is_held():
            next_one.now_s += 1.0
            next_one.crash_faulty_runner(next_one.place())
        assert next_one.starts == 2

    def test_is_held_back_if_no_holder_observed_its_start(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Each holder exits too; the next one finds a run on a runner that is gone."""
        cell = _Cell(patch, jobs=1, runners=2)
        for _ in range(MAX_STARTS - 1):
            placed = cell.place()
            assert len(placed) == 1
            cell = _next_holder(cell, patch, runners=2)
            for attempt in list(cell.at_fault.attempts()):
                cell.engine.drop_orphan(attempt)
        assert cell.is_held()

    def test_is_held_back_if_runners_only_become_silent(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        cell = _Cell(patch, jobs=1, runners=3)
        for _ in range(MAX_STARTS - 1):
            (attempt,) = cell.place()
            cell.now_s += 1.2
            cell.end(cell.engine.runners[attempt.runner_id], hung=True)
        assert cell.is_held()


class TestStartsThatTheNextIncarnationAnswers:
    def test_are_not_outlived(self, patch: pytest.MonkeyPatch) -> None:
        """Guards against clearing a task by the clocks of two incarnations.

        An answer to a start does not tell which of them it is from.
        """
        cell = _Cell(patch, jobs=1, runners=1)
        (runner,) = cell.engine.runners.values()
        runner.on_clock(10_000)
        cell.now_s += 1.0
        (attempt,) = cell.place()
        attempt.task.crashes = 2
        cell.now_s += 0.01
        cell.end(runner)
        assert (attempt.task.crashes, attempt.task.later_ends) == (3, 0)


class TestStartsThatAreCarriedOutLate:
    """Guards against further starts of a crashing task whose starts got no answer."""

    def test_confirmed_by_a_later_try(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=2)
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        attempt.sent_at_s, attempt.open_starts = cell.now_s - 3.0, 1
        cell.now_s += 0.01
        cell.end(runner)
        assert attempt.task.crashes == 1

    def test_but_long_ago(self, patch: pytest.MonkeyPatch) -> None:
        """Guards against attributing an exit to a run that was confirmed before."""
        cell = _Cell(patch, jobs=1, runners=2)
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        attempt.open_starts = 1
        cell.now_s += 3.0
        cell.end(runner)
        assert attempt.task.lost_runners == 0

    def test_not_answered_at_all(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=2)
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        runner = cell.engine.runners[attempt.runner_id]
        attempt.phase, attempt.open_starts = Phase.SENT, 1
        attempt.sent_at_s = cell.now_s
        cell.now_s += 3.0
        cell.end(runner)
        assert attempt.task.crashes == 1


class TestSilenceThatIsNoticedLate:
    def test_counts(self, patch: pytest.MonkeyPatch) -> None:
        """Guards against an exit that counts for nothing while calls get no answer."""
        settings = LinkSettings()
        cell = _Cell(patch, jobs=1, runners=1)
        (attempt,) = cell.place()
        cell.now_s += settings.idle_wait_s + settings.answer_s + 0.1
        cell.end(cell.engine.runners[attempt.runner_id], hung=True)
        assert attempt.task.crashes == 1


class TestExitsThatAreNoCrash:
    def _crash_two_more_runners(self, cell: _Cell) -> None:
        for _ in range(2):
            cell.now_s += 1.0
            cell.crash_faulty_runner(cell.place())

    def test_draining_runner(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=4)
        (attempt,) = cell.place()
        cell.engine.runners[attempt.runner_id].draining = True
        cell.end(cell.engine.runners[attempt.runner_id])
        self._crash_two_more_runners(cell)
        assert not cell.is_held()

    def test_ordered_machine_move(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=4)
        (attempt,) = cell.place()
        cell.engine.runners[attempt.runner_id].reserved = True
        cell.end(cell.engine.runners[attempt.runner_id])
        self._crash_two_more_runners(cell)
        assert not cell.is_held()

    def test_runner_that_answers_again(self, patch: pytest.MonkeyPatch) -> None:
        """It was unreachable for longer than its leases last, and has not crashed."""
        cell = _Cell(patch, jobs=1, runners=4)
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        runner.silent_at_s = cell.now_s
        runner.ready = False
        cell.engine.attempts_expired(runner.runner_id, "test")
        assert attempt.task.crashes == 1
        runner.silent_at_s = None
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        assert attempt.task.crashes == 0
        self._crash_two_more_runners(cell)
        assert not cell.is_held()

    @pytest.mark.parametrize("born_ms", [1, 2])
    def test_runner_that_is_listed_late(
        self, patch: pytest.MonkeyPatch, born_ms: int
    ) -> None:
        """Guards against counting as an exit that the list could not be read."""
        cell = _Cell(patch, jobs=1, runners=1)
        (attempt,) = cell.place()
        attempt.born_ms = 1
        del cell.engine.runners[attempt.runner_id]
        cell.engine.drop_orphan(attempt)
        assert attempt.task.crashes == 1
        runner = RunnerState(
            attempt.runner_id, "desk", "x:1", "z", (), 4000, 100, 0, born_ms=born_ms
        )
        cell.engine.add_runner(runner)
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        assert attempt.task.crashes == (born_ms != attempt.born_ms)

    def test_restart_before_the_start_of_a_run_that_is_to_be_stopped(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against counting an exit against a start that began nowhere.

        The runner restarts twice, and the holder is replaced in between.
        """
        cell = _Cell(patch, jobs=1, runners=1)
        (runner,) = cell.engine.runners.values()
        runner.born_ms = 1
        (attempt,) = cell.engine.place_all(time.time(), lambda step: None)
        # All tries were refused.
        attempt.phase = Phase.SENT
        cell.engine.runner_restarted(runner, runner.next_incarnation(2))
        after = _next_holder(cell, patch, runners=0)
        after.engine.add_runner(runner.next_incarnation(3))
        (task,) = after.at_fault.occurrences[0].steps[0].tasks
        assert [a.run for a in task.attempts] == [attempt.run]
        assert task.crashes == 0

    def test_runner_that_is_not_silent(self, patch: pytest.MonkeyPatch) -> None:
        """Guards against counting the lapse of runs that no holder could extend.

        That is no silence of their runner: the store refuses the holder's commits.
        """
        cell = _Cell(patch, jobs=1, runners=1)
        (attempt,) = cell.place()
        cell.engine.runners[attempt.runner_id].heard = True
        cell.engine.attempts_expired(attempt.runner_id, "test")
        assert attempt.task.lost_runners == 0
        assert attempt.task.state is TaskState.WAITING

    def test_run_that_has_worked_for_a_while(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=4)
        for _ in range(8):
            (attempt,) = cell.place()
            runner = cell.engine.runners[attempt.runner_id]
            cell.now_s += 2.5
            cell.list_running(runner)
            cell.end(runner)
        assert not cell.is_held()


class TestRunnersThatOutliveStarts:
    """Runners that exit within half a second of a start but answered after it."""

    def _outlive_starts(self, cell: _Cell, times: int) -> None:
        for _ in range(times):
            (attempt,) = cell.place()
            runner = cell.engine.runners[attempt.runner_id]
            cell.now_s += 0.1
            cell.list_running(runner, clock_ms=101)
            cell.now_s += 0.2
            cell.end(runner)
            cell.now_s += 1.0

    def test_few_exits_hold_no_task_back(self, patch: pytest.MonkeyPatch) -> None:
        """Guards against failing jobs when runners exit on their own in series."""
        cell = _Cell(patch, jobs=1, runners=4)
        self._outlive_starts(cell, times=7)
        assert not cell.is_held()

    def test_task_that_crashes_each_runner_later_is_held_back(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a task that keeps crashing runners 0.3 s after each start."""
        cell = _Cell(patch, jobs=1, runners=4)
        self._outlive_starts(cell, times=8)
        assert cell.is_held()

    def test_unstable_pool_requires_one_more_crash(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against failing a job because of the third of many unrelated exits."""
        cell = _Cell(patch, jobs=1, runners=6)
        for _ in range(3):
            cell.crash_faulty_runner(cell.place())
            cell.now_s += 1.0
            for runner in list(cell.engine.runners.values())[:2]:
                cell.end(runner)
        assert not cell.is_held()
        cell.crash_faulty_runner(cell.place())
        assert cell.is_held()

    def test_pool_that_was_taken_over_requires_one_more_crash(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a proof by a holder that has not seen other runners exit.

        The holder before it had seen several, and nothing records them.
        """
        cell = _Cell(patch, jobs=1, runners=3)
        for _ in range(2):
            cell.crash_faulty_runner(cell.place())
            cell.now_s += 1.0
        next_one = _next_holder(cell, patch, runners=3, observed_s=0.0)
        next_one.now_s += 1.0
        next_one.crash_faulty_runner(next_one.place())
        assert not next_one.is_held()
        next_one.now_s += 1.0
        next_one.crash_faulty_runner(next_one.place())
        assert next_one.is_held()

    def test_exits_under_an_earlier_holder_count(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against failing a job for the third of many unrelated exits.

        Two of them happened before a takeover of the cell.
        """
        cell = _Cell(patch, jobs=3, runners=3)
        _, *others = cell.engine.jobs.values()
        for number in range(4):
            assert not cell.is_held()
            if number == 2:
                for job in others:
                    self._drop_orphaned_run(cell, job)
            cell.crash_faulty_runner(cell.place())
        assert cell.is_held()

    @staticmethod
    def _drop_orphaned_run(cell: _Cell, job: Job) -> None:
        """Drop a run of an earlier holder whose runner no longer exists."""
        (task,) = job.occurrences[0].steps[0].tasks
        phase = Phase.SENT
        cell.engine.drop_orphan(Attempt(task, 9, f"gone-{job.job_id}", phase))

    def test_unconfirmed_start_requires_one_more_crash(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an exit that occurs before a start has been answered."""
        cell = _Cell(patch, jobs=1, runners=4)
        for number in range(4):
            assert not cell.is_held()
            placed = cell.place()
            if number == 2:
                placed[0].first_confirmed_ms = 0
            cell.crash_faulty_runner(placed)
            cell.now_s += 1.0
        assert cell.is_held()

    def test_old_exits_require_no_further_crash(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        cell = _Cell(patch, jobs=1, runners=6)
        for runner in list(cell.engine.runners.values())[:4]:
            cell.end(runner)
        cell.now_s += 11.0
        for _ in range(3):
            cell.crash_faulty_runner(cell.place())
            cell.now_s += 1.0
        assert cell.is_held()

    def test_exit_is_attributed_to_the_start_not_outlived(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against attributing an exit to tasks beside the faulty one."""
        cell = _Cell(patch, jobs=2, runners=1)
        listed, unlisted = cell.place()
        runner = cell.engine.runners[listed.runner_id]
        row = RunningTask(listed.task.name, listed.run, "", 9)
        unlisted.confirmed_clock_ms = unlisted.first_confirmed_ms = 101
        cell.engine.on_hold(runner, HoldReply(101, (row,), ()))
        cell.end(runner)
        assert (listed.task.lost_runners, unlisted.task.crashes) == (0, 1)

    def test_next_holder_continues_the_count_of_late_exits(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        cell = _Cell(patch, jobs=1, runners=4)
        self._outlive_starts(cell, times=5)
        next_one = _next_holder(cell, patch, runners=4)
        self._outlive_starts(next_one, times=3)
        assert next_one.is_held()

    def test_runner_that_answers_again_had_not_exited(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        cell = _Cell(patch, jobs=1, runners=4)
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        cell.list_running(runner, clock_ms=101)
        runner.silent_at_s = cell.now_s
        cell.engine.attempts_expired(runner.runner_id, "test")
        assert attempt.task.later_ends == 1
        cell.engine.on_hold(runner, HoldReply(0, (), ()))
        assert attempt.task.lost_runners == 0


class TestClearedRuns:
    """Runs of suspect tasks that are recorded as not having crashed their runner."""

    def _exit_unobserved(self, cell: _Cell, patch: pytest.MonkeyPatch) -> int:
        """Let a holder and a runner exit; return the crashes that the next one counts.

        The next holder finds the run on a runner that it does not know.
        """
        next_one = _next_holder(cell, patch, runners=1)
        (attempt,) = list(next_one.at_fault.attempts())
        next_one.engine.drop_orphan(attempt)
        return attempt.task.crashes

    @pytest.fixture
    def suspect(self, patch: pytest.MonkeyPatch) -> _Cell:
        """Return a cell whose task has lost one runner already."""
        cell = _Cell(patch, jobs=1, runners=3)
        cell.crash_faulty_runner(cell.place())
        cell.now_s += 1.0
        return cell

    def test_outlived_run_is_not_blamed_by_the_next_holder(
        self, suspect: _Cell, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against giving up a task for exits that nobody observed."""
        (attempt,) = suspect.place()
        runner = suspect.engine.runners[attempt.runner_id]
        suspect.list_running(runner, clock_ms=101)
        assert self._exit_unobserved(suspect, patch) == 1

    def test_run_whose_start_was_not_sent_is_not_blamed(
        self, suspect: _Cell, patch: pytest.MonkeyPatch
    ) -> None:
        (attempt,) = suspect.engine.place_all(time.time(), lambda step: None)
        assert attempt.cleared
        assert self._exit_unobserved(suspect, patch) == 1

    def test_run_whose_start_may_have_been_sent_is_blamed(
        self, suspect: _Cell, patch: pytest.MonkeyPatch
    ) -> None:
        (attempt,) = suspect.engine.place_all(time.time(), lambda step: None)
        suspect.engine.record_start(attempt)
        assert self._exit_unobserved(suspect, patch) == 2

    def test_run_that_its_runner_has_not_outlived_is_blamed(
        self, suspect: _Cell, patch: pytest.MonkeyPatch
    ) -> None:
        (attempt,) = suspect.place()
        runner = suspect.engine.runners[attempt.runner_id]
        suspect.list_running(runner, clock_ms=50)
        assert self._exit_unobserved(suspect, patch) == 2

    def test_first_run_of_a_task_is_not_recorded_as_cleared(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against more bytes in the rows of tasks that lost no runner."""
        cell = _Cell(patch, jobs=1, runners=1)
        (attempt,) = cell.place()
        cell.list_running(cell.engine.runners[attempt.runner_id], clock_ms=101)
        assert not attempt.cleared


class TestProbation:
    def test_reserves_its_runner(self, patch: pytest.MonkeyPatch) -> None:
        cell = _Cell(patch, jobs=1, runners=2)
        cell.crash_faulty_runner(cell.place())
        cell.now_s += 1.0
        (on_probation,) = cell.place()
        cell.add_job("f" * 16)
        (other,) = cell.place()
        assert other.runner_id != on_probation.runner_id

    def test_leaves_half_of_the_runners_to_other_tasks(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        cell = _Cell(patch, jobs=4, runners=4)
        placed = cell.place()
        assert len({attempt.runner_id for attempt in placed}) == 1
        cell.crash_faulty_runner(placed)
        cell.now_s += 1.0
        assert len(cell.place()) == 2

    def test_does_not_delay_tasks_for_long(self, patch: pytest.MonkeyPatch) -> None:
        """Twelve jobs that had just begun on one runner all run again within 3 s."""
        cell = _Cell(patch, jobs=12, runners=2)
        for runner in cell.engine.runners.values():
            runner.cpu = 16_000
        placed = cell.place()
        cell.now_s += 0.05
        ended = cell.engine.runners[placed[0].runner_id]
        cell.end(ended)
        for runner in cell.engine.runners.values():
            runner.cpu = 16_000
        again = 0
        began_at_s = cell.now_s
        while again < len(placed):
            assert cell.now_s - began_at_s < 3.0
            again += len(cell.place())
            cell.now_s += 0.1

    def test_overdue_suspect_does_not_start_beside_another(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        """Guards against giving up tasks together with one that starts beside them."""
        cell = _Cell(patch, jobs=3, runners=1)
        for job in cell.engine.jobs.values():
            for task in job.occurrences[0].steps[0].tasks:
                task.crashes, task.on_probation = 2, True
        cell.now_s += 5.0
        (first,) = cell.place()
        cell.now_s += 0.05
        assert not cell.place()
        cell.now_s += 0.1
        (second,) = cell.place()
        assert second.runner_id == first.runner_id

    def test_unplaceable_gang_reserves_no_runner(
        self, patch: pytest.MonkeyPatch
    ) -> None:
        cell = _Cell(patch, jobs=1, runners=2)
        step = StepRequest(count=9, cpu=1000, memory_mb=1, gang=True)
        gang = Job(
            "9" * 16, JobTerms("r", "desk"), JobRequest("x", (step,)), BODY, time.time()
        )
        gang.begin(0)
        for task in gang.occurrences[0].steps[0].tasks:
            task.on_probation = True
        cell.engine.add(gang)
        assert len(cell.place()) == 1
        assert all(not r.probation_until_s for r in cell.engine.runners.values())
