"""Tests that account usage is counted at each change and held to the limit."""

import json
import typing as t

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from streamthread.platform.accounts import Limit
from streamthread.platform.manifest import Route
from streamthread.scheduler import Attempt
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState
from streamthread.scheduler.accounts import over_limit
from streamthread.scheduler.accounts import Running

ROUTE = Route(name="r", host="h", path_prefix="/", service="desk", needs_key=True)
NOW_S = 1e12
"""A wall time after the submission of all jobs."""

ACCOUNTS = ("ann", "bob")


def body(count: int = 1, cpu: int = 100, **step: t.Any) -> bytes:
    steps = [{"count": count, "cpu": cpu, "memMb": 10, **step}]
    return json.dumps({"spec": "", "steps": steps}).encode()


def runner(number: int, cpu: int = 1000) -> RunnerState:
    state = RunnerState(
        f"i-{number}", "desk", "127.0.0.1:1", "here", ("a", "r1"), cpu, 10000, 0
    )
    state.ready = state.heard = True
    return state


class _Cell:
    """An engine with some runners, and limits that a test may change."""

    def __init__(self, runners: int = 3, **limits: Limit) -> None:
        self.limits: dict[str, Limit] = limits
        self.engine = Engine(lambda job: None, limit_of=self.limits.get)
        for number in range(runners):
            self.engine.add_runner(runner(number))
        self._jobs = 0

    def add(self, account: str, text: bytes) -> Job:
        self._jobs += 1
        job = new_job(f"{self._jobs:016x}", JobTerms.of_route(ROUTE, account), text)
        self.engine.add(job)
        self.engine.begin_due(NOW_S)
        return job

    def place(self) -> list[Attempt]:
        return self.engine.place_all(NOW_S, lambda step: None)

    def sum_of_runs(self, account: str) -> Running:
        """Return the usage of an account, computed from all attempts."""
        running = Running()
        for job in self.engine.jobs.values():
            for attempt in job.attempts():
                if job.account == account:
                    running.add(attempt.task.step.request, 1)
        return running


class TestLimit:
    def test_starts_no_more_than_allowed(self) -> None:
        cell = _Cell(ann=Limit(cpu=350))
        cell.add("ann", body(count=8))
        assert len(cell.place()) == 3
        assert not cell.place()

    def test_applies_across_all_jobs_and_runners(self) -> None:
        cell = _Cell(ann=Limit(cpu=300))
        for _ in range(5):
            cell.add("ann", body(cpu=100))
        assert len(cell.place()) == 3

    def test_does_not_delay_other_accounts(self) -> None:
        cell = _Cell(ann=Limit(cpu=100))
        cell.add("ann", body(count=8))
        cell.add("bob", body(count=8))
        placed = [a.task.step.occurrence.job.account for a in cell.place()]
        assert sorted(placed) == ["ann"] + 8 * ["bob"]

    def test_applies_to_memory(self) -> None:
        cell = _Cell(ann=Limit(memory_mb=25))
        cell.add("ann", body(count=8))
        assert len(cell.place()) == 2

    def test_counts_filler_tasks_that_reserve_no_cpu(self) -> None:
        cell = _Cell(ann=Limit(cpu=200))
        cell.add("ann", body(count=8, fills=True))
        assert len(cell.place()) == 2

    def test_starts_a_gang_completely_or_not_at_all(self) -> None:
        cell = _Cell(ann=Limit(cpu=250))
        cell.add("ann", body(count=3, gang=True))
        assert not cell.place()
        cell.limits["ann"] = Limit(cpu=300)
        assert len(cell.place()) == 3

    def test_counts_a_run_until_its_end_is_known(self) -> None:
        cell = _Cell(ann=Limit(cpu=100))
        cell.add("ann", body(count=2))
        (first,) = cell.place()
        first.phase = Phase.SENT
        cell.engine.stop(first, "test")
        assert not cell.place()
        cell.engine.attempts_expired(first.runner_id, "test")
        assert len(cell.place()) == 1

    def test_counts_the_remaining_runs_of_a_cancelled_job(self) -> None:
        cell = _Cell(ann=Limit(cpu=100))
        job = cell.add("ann", body())
        (first,) = cell.place()
        cell.engine.cancel(job)
        cell.add("ann", body())
        assert not cell.place()
        cell.engine.runner_exited(first.runner_id, "test")
        assert len(cell.place()) == 1

    def test_lowered_limit_stops_no_run_and_starts_none(self) -> None:
        cell = _Cell(ann=Limit(cpu=400))
        cell.add("ann", body(count=8))
        running = cell.place()
        cell.limits["ann"] = Limit(cpu=100)
        assert not cell.place()
        assert not cell.engine.take_stops()
        for attempt in running:
            cell.engine.refuse(attempt, "test")
        assert len(cell.place()) == 1

    def test_next_holder_counts_runs_on_unknown_runners(self) -> None:
        cell = _Cell(ann=Limit(cpu=200))
        job = cell.add("ann", body(count=4))
        cell.place()
        again = decode_row(job.job_id, encode_definition(job))
        restore_progress(again, encode_progress(job))
        successor = _Cell(runners=0, ann=Limit(cpu=200))
        successor.engine.add(again)
        successor.engine.add_runner(runner(9))
        assert not successor.place()
        for orphan in successor.engine.orphans():
            successor.engine.drop_orphan(orphan)
        assert len(successor.place()) == 2

    def test_zero_and_unknown_accounts_are_unlimited(self) -> None:
        cell = _Cell(ann=Limit())
        cell.add("ann", body(count=8))
        cell.add("new", body(count=8))
        assert len(cell.place()) == 16


class TestOverLimit:
    def test_rejects_a_task_and_a_gang_that_can_never_run(self) -> None:
        job = new_job("a" * 16, JobTerms.of_route(ROUTE, "ann"), body(count=3))
        gang = new_job(
            "b" * 16, JobTerms.of_route(ROUTE, "ann"), body(count=3, gang=True)
        )
        assert not over_limit(job, Limit(cpu=100))
        assert "a task of step 0" in over_limit(job, Limit(cpu=99))
        assert not over_limit(gang, Limit(cpu=300))
        assert "a gang of step 0" in over_limit(gang, Limit(cpu=299))
        assert not over_limit(gang, None)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit", "place", "end", "stop", "cancel", "exit", "takeover"]
        ),
        st.integers(0, 5),
        st.integers(1, 4),
    ),
    max_size=40,
)


class _Scenario(_Cell):
    """Carries out random events, including a takeover of the cell."""

    def carry_out(self, what: str, pick: int, count: int) -> None:
        attempts = [a for job in self.engine.jobs.values() for a in job.attempts()]
        chosen = attempts[pick % len(attempts)] if attempts else None
        if what == "submit":
            self.add(ACCOUNTS[pick % 2], body(count=count, cpu=100 * (1 + pick)))
        elif what == "place":
            self.place()
        elif what == "takeover":
            self._take_over()
        elif what == "exit":
            self.engine.runner_exited(f"i-{pick % 3}", "test")
            self.engine.add_runner(runner(pick % 3))
        elif chosen is not None and what == "end":
            self.engine.refuse(chosen, "test")
        elif chosen is not None and what == "stop":
            self.engine.stop(chosen, "test")
        elif chosen is not None and what == "cancel":
            self.engine.cancel(chosen.task.step.occurrence.job)

    def _take_over(self) -> None:
        before = self.engine
        self.engine = Engine(lambda job: None, limit_of=self.limits.get)
        for job in before.jobs.values():
            again = decode_row(job.job_id, encode_definition(job))
            if not again.over:
                restore_progress(again, encode_progress(job))
            self.engine.add(again)
        for number in range(3):
            self.engine.add_runner(runner(number))


@given(STEPS)
@settings(max_examples=200)
def test_usage_equals_the_sum_of_runs_after_each_event(
    events: list[tuple[str, int, int]],
) -> None:
    """No event and no change of holder takes an account over its limit."""
    scenario = _Scenario(ann=Limit(cpu=900), bob=Limit(cpu=500, memory_mb=40))
    for event in events:
        scenario.carry_out(*event)
        for account in ACCOUNTS:
            sum_of_runs = scenario.sum_of_runs(account)
            assert scenario.engine.accounts.of(account) == sum_of_runs
            assert scenario.limits[account].allows(
                sum_of_runs.cpu, sum_of_runs.memory_mb, 0
            )
