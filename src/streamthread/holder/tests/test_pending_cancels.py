"""How long a cancel of an unknown job is retained."""

from streamthread.holder.pending_cancels import Cancel
from streamthread.holder.pending_cancels import MAX_PENDING_CANCELS
from streamthread.holder.pending_cancels import PendingCancels

CANCEL = Cancel("a" * 16, "route")


class TestPendingCancels:
    def test_apply_only_to_their_own_jobs(self) -> None:
        cancels = PendingCancels(retention_s=60.0)
        cancels.add(CANCEL)
        assert cancels.covers(CANCEL)
        assert not cancels.covers(Cancel("b" * 16, "route"))

    def test_end_with_their_retention_period(self) -> None:
        cancels = PendingCancels(retention_s=0.0)
        cancels.add(CANCEL)
        assert cancels.knows(CANCEL)
        assert not cancels.covers(CANCEL)

    def test_end_when_their_job_has_arrived(self) -> None:
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
