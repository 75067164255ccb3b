"""For how long a cancel is kept that finds no job."""

from streamthread.holder.kept_cancels import KeptCancels

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
