"""Tests what a job may fail for, and that the cause is recorded."""

import pytest

from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.scheduler import decode_row
from streamthread.scheduler import encode_definition
from streamthread.scheduler import encode_progress
from streamthread.scheduler import FailureCause
from streamthread.scheduler import Job
from streamthread.scheduler import restore_progress

from .test_crashes import _Cell


def _fail(cell: _Cell) -> Job:
    """Let every attempt of the cell's only job end as failed."""
    job = cell.at_fault
    for _ in range(job.terms.max_attempts):
        (attempt,) = cell.place()
        runner = cell.engine.runners[attempt.runner_id]
        end = EndedRun(attempt.run, attempt.task.name, attempt.run, EndKind.FAILED, "")
        cell.engine.on_hold(runner, HoldReply(2, (), (end,)))
        cell.now_s += 2.0
    return job


class TestCauseOfFailure:
    def test_is_counted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        cell = _Cell(monkeypatch, jobs=1, runners=4)
        assert _fail(cell).failure is FailureCause.ATTEMPTS
        assert cell.engine.failures == {"attempts": 1}

    def test_is_known_to_later_holders(self, monkeypatch: pytest.MonkeyPatch) -> None:
        job = _fail(_Cell(monkeypatch, jobs=1, runners=4))
        restored = Job(job.job_id, job.terms, job.request, job.body, 1000.0)
        restore_progress(restored, encode_progress(job))
        assert restored.failure is FailureCause.ATTEMPTS
        ended = decode_row(job.job_id, encode_definition(job))
        assert ended.failure is FailureCause.ATTEMPTS

    @pytest.mark.parametrize(
        "row", [b'{"failed":true}', b'{"failed":true,"failure":"x"}']
    )
    def test_of_other_versions_is_not_recorded(
        self, monkeypatch: pytest.MonkeyPatch, row: bytes
    ) -> None:
        job = _Cell(monkeypatch, jobs=1, runners=1).at_fault
        restore_progress(job, row)
        assert job.failure is FailureCause.NOT_RECORDED
