"""Which jobs are excess, and what accounts were served, across holders."""

import typing as t

import pytest

from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler.shares import Shares

WEIGHTS = {"ann": 3.0, "bob": 0.5, "eve": 0.0}


def job(account: str, at_s: float, job_id: str = "") -> Job:
    """Return a job of one task that an account submitted at a time."""
    request = JobRequest("", (StepRequest(cpu=1_000, estimate_ms=1_000),))
    name = job_id or f"{account}-{at_s}"
    return Job(name, JobTerms("r", "desk", account=account), request, b"", at_s)


def marks(shares: Shares, jobs: t.Iterable[Job]) -> list[bool]:
    """Return which jobs are excess, accepted in their order."""
    found = list(jobs)
    for each in found:
        shares.accept(each)
    return [each.excess for each in found]


class TestExcess:
    def test_is_what_comes_beyond_the_weight_in_a_second(self) -> None:
        shares = Shares(lambda: WEIGHTS)
        at_s = [0.0, 0.1, 0.2, 0.3, 0.9, 1.05, 1.06, 1.15]
        found = marks(shares, (job("ann", s) for s in at_s))
        assert found == [False, False, False, True, True, False, True, False]
        assert shares.counts["ann"].excess == 3

    def test_a_flood_keeps_what_it_is_promised(self) -> None:
        found = marks(Shares(lambda: WEIGHTS), (job("ann", n / 24) for n in range(240)))
        assert 28 <= found.count(False) <= 31

    def test_a_weight_below_one_spans_more_than_a_second(self) -> None:
        at_s = [0.0, 1.5, 2.1]
        found = marks(Shares(lambda: WEIGHTS), (job("bob", s) for s in at_s))
        assert found == [False, True, False]

    def test_an_account_without_a_weight_has_excess_only(self) -> None:
        shares = Shares(lambda: WEIGHTS)
        assert marks(shares, [job("eve", 0.0), job("removed", 0.0)]) == [True, True]

    def test_jobs_without_an_account_are_within(self) -> None:
        found = marks(Shares(lambda: WEIGHTS), (job("", n / 99) for n in range(99)))
        assert not any(found)

    @pytest.mark.parametrize("weights", [{}, {"ann": 0.0}])
    def test_is_nothing_where_no_account_has_a_weight(
        self, weights: dict[str, float]
    ) -> None:
        shares = Shares(lambda: weights)
        assert not shares.in_force
        assert not any(marks(shares, (job("ann", n / 99) for n in range(99))))

    @pytest.mark.parametrize("step_s", [-2.0, 2.0])
    def test_a_clock_that_is_set_punishes_nobody(self, step_s: float) -> None:
        """Guards accounts within their weight when the wall clock steps."""
        times_s = [100 + n / 2.5 for n in range(10)]
        times_s += [times_s[-1] + step_s + n / 2.5 for n in range(1, 20)]
        found = marks(Shares(lambda: WEIGHTS), (job("ann", s) for s in times_s))
        assert not any(found)

    def test_a_withdrawn_job_does_not_count(self) -> None:
        shares = Shares(lambda: WEIGHTS)
        first, *_ = jobs = [job("ann", n / 10) for n in range(3)]
        marks(shares, jobs)
        assert shares.would_exceed("ann", 0.4)
        shares.withdraw(first)
        assert not shares.would_exceed("ann", 0.4)

    def test_new_weights_count_for_new_jobs(self) -> None:
        weights = dict(WEIGHTS)
        shares = Shares(lambda: weights)
        assert marks(shares, (job("ann", n / 10) for n in range(4)))[-1]
        weights = {"ann": 5.0}
        assert marks(shares, [job("ann", 0.5)]) == [False]


class TestNewHolder:
    def test_marks_as_the_one_before(self) -> None:
        jobs = [job("ann", n / 7, f"{n:016x}") for n in range(40)]
        before = marks(Shares(lambda: WEIGHTS), jobs)
        for each in jobs:
            each.excess = False
        assert marks(Shares(lambda: WEIGHTS), jobs) == before

    def test_waits_for_the_configuration(self) -> None:
        known: dict[str, float] | None = None
        shares = Shares(lambda: known)
        jobs = [job("ann", n / 10) for n in range(5)]
        assert not any(marks(shares, reversed(jobs)))
        known = WEIGHTS
        assert shares.would_exceed("ann", 0.5)
        assert [each.excess for each in jobs] == [False, False, False, True, True]

    def test_marks_once_the_configuration_is_read(self) -> None:
        """Guards the first choices of a holder to which no job comes meanwhile."""
        known: dict[str, float] | None = None
        shares = Shares(lambda: known)
        jobs = [job("ann", n / 10) for n in range(5)]
        marks(shares, jobs)
        known = WEIGHTS
        assert shares.in_force
        assert [each.excess for each in jobs] == [False, False, False, True, True]

    def test_knows_what_was_served(self) -> None:
        shares = Shares(lambda: WEIGHTS)
        engine = Engine(lambda job: None)
        runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 4_000, 1 << 20, 0)
        runner.ready = True
        engine.add_runner(runner)
        mine = job("ann", 10.0)
        mine.begin(0)
        engine.add(mine)
        (attempt,) = engine.place_all(10.0, lambda step: None)
        shares.charge([attempt.task], [runner], engine.times, 10.0)
        attempt.read_back = True
        after = Shares(lambda: WEIGHTS)
        for _ in range(2):
            after.rebuild("desk", [mine], [runner], engine.times, 12.0)
        assert after.served(12.0) == pytest.approx(shares.served(12.0))
        assert shares.served(10.0) == {"ann": pytest.approx(0.25)}


def test_what_was_served_is_forgotten() -> None:
    shares = Shares(lambda: WEIGHTS)
    engine = Engine(lambda job: None)
    runner = RunnerState("i-1", "desk", "x:1", "z", ("a",), 4_000, 1 << 20, 0)
    for number in range(50):
        each = job(f"a{number}", 0.0)
        tasks = each.begin(0).steps[0].tasks
        shares.charge(tasks, [runner], engine.times, 0.0)
    assert len(shares.served(0.0)) == 50
    assert shares.served(60.0) == {}
    assert shares.served(0.0) == {}
