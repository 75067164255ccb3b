"""Outcomes, headers and problem documents of the answers to callers."""

import enum
import json
import math

import attrs
from aiohttp import web

__all__ = [
    "DEADLINE_HEADER",
    "IDEMPOTENCY_HEADER",
    "LEAVING_HEADER",
    "NOT_STARTED_HEADER",
    "OUTCOME_HEADER",
    "REPEAT_HEADER",
    "REPLAYED_HEADER",
    "Outcome",
    "Problem",
    "problem_response",
]

OUTCOME_HEADER = "Streamthread-Outcome"
DEADLINE_HEADER = "Streamthread-Deadline-S"
REPEAT_HEADER = "Streamthread-Repeat"
REPLAYED_HEADER = "Streamthread-Replayed"
IDEMPOTENCY_HEADER = "Idempotency-Key"
NOT_STARTED_HEADER = "Streamthread-Not-Started"
"""Set by an upstream on a refusal if it did not start the request."""
LEAVING_HEADER = "Streamthread-Leaving"
"""Set by an upstream on any answer if it is about to leave."""


class Outcome(enum.Enum):
    """The outcome of a request.

    NOT_RUN is reported only if it is certain that no upstream ran the request.
    """

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen
class Problem(Exception):  # noqa: N818
    """A final answer that this daemon generates (RFC 9457 problem document).

    :param retry_after_s: when to retry; None if a retry does not help.
    """

    status: int
    kind: str
    detail: str
    remedy: str
    outcome: Outcome
    retry_after_s: float | None = None


def problem_response(problem: Problem) -> web.Response:
    """Return the HTTP response for a problem."""
    headers = {OUTCOME_HEADER: problem.outcome.value}
    if problem.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(problem.retry_after_s)))
    body = {
        "type": f"urn:streamthread:{problem.kind}",
        "title": problem.kind,
        "status": problem.status,
        "detail": problem.detail,
        "remedy": problem.remedy,
        "outcome": problem.outcome.value,
    }
    return web.Response(
        status=problem.status,
        headers=headers,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
    )
