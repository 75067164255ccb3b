"""Makes a job of what a caller submits."""

import time

from ..platform.callers import decode_job
from .model import Job
from .terms import JobTerms

__all__ = ["new_job"]


def new_job(job_id: str, terms: JobTerms, body: bytes) -> Job:
    """Return a job that a caller now submits.

    :raises BadInputError: the body is not a valid job.
    """
    return Job(
        job_id=job_id,
        terms=terms,
        request=decode_job(body),
        body=body,
        accepted_at_s=time.time(),
    )
