"""For how long a cancel is kept that finds no job."""

from streamthread.holder.pending_cancels import Cancel
from streamthread.holder.pending_cancels import MAX_PENDING_CANCELS
from streamthread.holder.pending_cancels import PendingCancels

CANCEL = Cancel("a" * 16, "route")


class TestKeptCancels:
    def test_cover_their_jobs_alone(self) -> None:
        cancels = PendingCancels(retention_s=60.0)
        cancels.add(CANCEL)
        assert cancels.covers(CANCEL)
        assert not cancels.covers(Cancel("b" * 16, "route"))

    def test_end_with_their_time(self) -> None:
        cancels = PendingCancels(retention_s=0.0)
        cancels.add(CANCEL)
        assert cancels.knows(CANCEL)
        assert not cancels.covers(CANCEL)

    def test_end_when_their_job_has_come(self) -> None:
        cancels = PendingCancels(retention_s=60.0)
        cancels.add(CANCEL)
        cancels.forget_job(CANCEL.job_id)
        assert not cancels.covers(CANCEL)

    def test_are_bounded_in_number(self) -> None:
        cancels = PendingCancels(retention_s=60.0)
        cancels.add(CANCEL)
        for number in range(MAX_PENDING_CANCELS + 1):
            cancels.add(Cancel(str(number), "route"))
        for evicted in (CANCEL, Cancel("0", "route")):
            assert cancels.knows(evicted)
            assert not cancels.covers(evicted)
        assert cancels.covers(Cancel("1", "route"))
