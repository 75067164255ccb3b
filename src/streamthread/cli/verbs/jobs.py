"""The verbs about the jobs of a pool."""

import json
import pathlib

from ...errors import BadInputError
from ...providers import JsonObject
from .results import Arguments
from .results import client_of
from .results import Result

__all__ = ["job_cancel", "job_list", "job_submit"]


async def job_submit(arguments: Arguments) -> Result:
    """Submit the jobs of a JSON file: a list of objects, or one."""
    try:
        value = json.loads(pathlib.Path(arguments.file).read_text())
    except (OSError, json.JSONDecodeError) as error:
        raise BadInputError(
            f"not a file of jobs: {error}",
            remedy="give a JSON list of jobs",
            location=arguments.file,
        ) from error
    specs = value if isinstance(value, list) else [value]
    by_pool: dict[str, list[JsonObject]] = {}
    for spec in specs:
        by_pool.setdefault(str(spec.get("pool", "")), []).append(spec)
    submitted = 0
    for pool, jobs in by_pool.items():
        body = {"pool": pool, "submit": jobs}
        answer = await client_of(arguments).post("/jobs", body)
        submitted += answer["submitted"]
    return Result({"submitted": submitted, "known_before": len(specs) - submitted})


async def job_cancel(arguments: Arguments) -> Result:
    """Cancel jobs of one pool."""
    body = {"pool": arguments.pool, "cancel": arguments.job_id}
    answer = await client_of(arguments).post("/jobs", body)
    return Result({"cancelled": answer["cancelled"]})


async def job_list(arguments: Arguments) -> Result:
    """List the jobs of one pool."""
    body = {"pool": arguments.pool, "list_jobs": True}
    answer = await client_of(arguments).post("/jobs", body)
    return Result(
        [
            {
                "job": job["spec"]["job_id"],
                "state": job["state"],
                "attempt": job["attempt"],
                "worker": job["worker_id"],
                "reason": job["reason"],
            }
            for job in answer["jobs"]
        ]
    )
