"""For how long a cancel is kept that finds no job."""

from streamthread.holder.kept_cancels import Cancel
from streamthread.holder.kept_cancels import KeptCancels
from streamthread.holder.kept_cancels import MOST_KEPT

CANCEL = Cancel("a" * 16, "route")


class TestKeptCancels:
    def test_cover_their_jobs_alone(self) -> None:
        kept = KeptCancels(keep_s=60.0)
        kept.keep(CANCEL)
        assert kept.covers(CANCEL)
        assert not kept.covers(Cancel("b" * 16, "route"))

    def test_end_with_their_time(self) -> None:
        kept = KeptCancels(keep_s=0.0)
        kept.keep(CANCEL)
        assert kept.knows(CANCEL)
        assert not kept.covers(CANCEL)

    def test_end_when_their_job_has_come(self) -> None:
        kept = KeptCancels(keep_s=60.0)
        kept.keep(CANCEL)
        kept.forget_job(CANCEL.job_id)
        assert not kept.covers(CANCEL)

    def test_are_bounded_in_number(self) -> None:
        kept = KeptCancels(keep_s=60.0)
        kept.keep(CANCEL)
        for number in range(MOST_KEPT + 1):
            kept.keep(Cancel(str(number), "route"))
        for given_up in (CANCEL, Cancel("0", "route")):
            assert kept.knows(given_up)
            assert not kept.covers(given_up)
        assert kept.covers(Cancel("1", "route"))
