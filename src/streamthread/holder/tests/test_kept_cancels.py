"""For how long a cancel is kept that finds no job."""

from streamthread.holder.kept_cancels import KeptCancels
from streamthread.holder.kept_cancels import MOST_KEPT

JOB_ID = "a" * 16


class TestKeptCancels:
    def test_cover_their_jobs_alone(self) -> None:
        kept = KeptCancels(keep_s=60.0)
        kept.keep(JOB_ID)
        assert kept.covers(JOB_ID)
        assert not kept.covers("b" * 16)

    def test_end_with_their_time(self) -> None:
        kept = KeptCancels(keep_s=0.0)
        kept.keep(JOB_ID)
        assert kept.knows(JOB_ID)
        assert not kept.covers(JOB_ID)

    def test_end_when_their_job_has_come(self) -> None:
        kept = KeptCancels(keep_s=60.0)
        kept.keep(JOB_ID)
        kept.forget(JOB_ID)
        assert not kept.covers(JOB_ID)

    def test_are_bounded_in_number(self) -> None:
        kept = KeptCancels(keep_s=60.0)
        kept.keep(JOB_ID)
        for number in range(MOST_KEPT + 1):
            kept.keep(str(number))
        for given_up in (JOB_ID, "0"):
            assert kept.knows(given_up)
            assert not kept.covers(given_up)
        assert kept.covers("1")
