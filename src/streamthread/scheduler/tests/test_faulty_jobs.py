"""Tests that a fault in the data of one job keeps no other job from being placed.

Guards against a pass that fails at the same job each time, so that nothing of any pool
is placed any more, whichever daemon holds the cell.
"""

import json
import typing as t

import pytest

from streamthread.platform.manifest import Route
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import new_job
from streamthread.scheduler import placer
from streamthread.scheduler import RunnerState
from streamthread.scheduler import StepRun

BAD, GOOD, OTHER = "bad", "good", "other"


class _Cell:
    """Two pools with one runner each; one job of the first pool is faulty."""

    def __init__(self) -> None:
        self.engine = Engine(lambda job: None)
        self.faults: list[str] = []
        self.engine.on_fault = lambda name, error: self.faults.append(repr(error))
        for pool in ("desk", "audit"):
            runner = RunnerState(f"i-{pool}", pool, "x:1", "z", (), 1000, 1000, 0)
            runner.ready = True
            self.engine.add_runner(runner)
        self.jobs = {
            job_id: self._add(job_id, pool)
            for job_id, pool in ((BAD, "desk"), (GOOD, "desk"), (OTHER, "audit"))
        }

    def _add(self, job_id: str, pool: str) -> Job:
        step = {"count": 1, "cpu": 100, "memMb": 10}
        body = json.dumps({"spec": "", "steps": [step]}).encode()
        job = new_job(job_id, JobTerms.of_route(Route(pool, "x", "/", pool)), body)
        self.engine.add(job)
        return job

    def run_pass(self) -> list[str]:
        """Return the ids of the jobs of which a task was placed."""
        self.engine.begin_due(self.jobs[BAD].accepted_at_s + 1)
        placed = self.engine.place_all(0.0, lambda step: None)
        return sorted(a.task.step.occurrence.job.job_id for a in placed)


def _fail_for_bad(
    monkeypatch: pytest.MonkeyPatch, target: t.Any, name: str, job_of: t.Any
) -> None:
    """Let a function raise where it is called for the faulty job."""
    function = getattr(target, name)

    def fail(first: t.Any, *args: t.Any) -> t.Any:
        if job_of(first).job_id == BAD:
            raise ZeroDivisionError("of no use")
        return function(first, *args)

    monkeypatch.setattr(target, name, fail)


def _job_of(step: StepRun) -> Job:
    return step.occurrence.job


@pytest.fixture
def cell() -> _Cell:
    return _Cell()


class TestFaultyJob:
    def test_is_paused_if_it_cannot_be_placed(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        _fail_for_bad(monkeypatch, placer, "place_step", _job_of)
        assert cell.run_pass() == [GOOD, OTHER]
        assert cell.faults == ["ZeroDivisionError('of no use')"]
        assert cell.run_pass() == []
        assert len(cell.faults) == 1

    def test_is_placed_after_the_pause_if_the_fault_is_gone(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        with monkeypatch.context() as patch:
            _fail_for_bad(patch, placer, "place_step", _job_of)
            cell.run_pass()
        assert cell.run_pass() == []
        cell.jobs[BAD].paused_until_s = 1.0
        assert cell.run_pass() == [BAD]

    def test_is_paused_if_it_cannot_begin(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        _fail_for_bad(monkeypatch, Job, "begin_due", lambda job: job)
        assert cell.run_pass() == [GOOD, OTHER]
        assert cell.jobs[BAD].pause_s == 1.0
        cell.jobs[BAD].paused_until_s = 1.0
        cell.run_pass()
        assert cell.jobs[BAD].pause_s == 2.0

    def test_leaves_the_other_pools_alone_if_its_pool_cannot_be_sorted(
        self, cell: _Cell, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(steps: t.Sequence[StepRun], *args: t.Any) -> t.Any:
            if any(_job_of(step).job_id == BAD for step in steps):
                raise ZeroDivisionError("of no use")
            return steps

        monkeypatch.setattr(placer, "order_steps", fail)
        assert cell.run_pass() == [OTHER]
        assert len(cell.faults) == 1


class TestNamesFromRunners:
    @pytest.mark.parametrize("name", ["good.0.-1.-1", "good.0.0.-1", "good.-1.0.0"])
    def test_count_from_the_start(self, cell: _Cell, name: str) -> None:
        """Guards against marking the last task as done for a name that is none."""
        cell.run_pass()
        assert cell.engine._ledger.find_task(name) is None
        assert cell.engine._ledger.find_task("good.0.0.0") is not None
