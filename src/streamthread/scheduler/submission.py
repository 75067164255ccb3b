"""Makes a job of what a caller submits."""

import time

from ..platform.callers import decode_job
from ..platform.manifest import Route
from .model import Job

__all__ = ["new_job"]


def new_job(job_id: str, route: Route, body: bytes, account: str = "") -> Job:
    """Return a job that a caller now submits at a route, with or without an account.

    :raises BadInputError: the body is not a valid job.
    """
    return Job(
        job_id=job_id,
        route=route.name,
        service=route.service,
        request=decode_job(body),
        body=body,
        accepted_at_s=time.time(),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_s=route.target_s,
        account=account,
    )
