"""Jobs: numbered attempts, placement, preemption, quarantine."""

from .decide import decide_jobs
from .decide import JobsSnapshot
from .decide import JobUpdate
from .decide import WorkerFacts
from .quarantine import Quarantine
from .rows import Job
from .rows import job_key
from .rows import JobSpec
from .rows import JobState

__all__ = [
    "Job",
    "JobSpec",
    "JobState",
    "JobUpdate",
    "JobsSnapshot",
    "Quarantine",
    "WorkerFacts",
    "decide_jobs",
    "job_key",
]
