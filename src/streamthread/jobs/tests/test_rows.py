"""Rows of an earlier version are read."""

import cattrs

from streamthread.jobs import Job


class TestRowOfTheVersionBefore:
    # Its `failed_on` names the workers that were lost, too: it must not count again.
    def test_keeps_the_job_and_counts_no_failures(self) -> None:
        spec = {
            "job_id": "j",
            "pool": "p",
            "team": "team",
            "cores": 1,
            "memory_bytes": 1,
            "run_s": 1.0,
            "repeat_safe": True,
        }
        row = {
            "spec": spec,
            "state": "queued",
            "attempt": 3,
            "worker_id": "w2",
            "reason": "failed on w2",
            "failed_on": ["w0", "w1", "w2"],
            "submitted_ms": 7,
        }
        job = cattrs.structure(row, Job)
        assert (job.attempt, job.worker_id, job.submitted_ms) == (3, "w2", 7)
        assert (job.own_failures_on, job.lost_attempts) == ((), 0)
