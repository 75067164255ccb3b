"""Jobs in the memory of the holder: what may run, its placement and its outcome."""

from .chunks import Chunk
from .codec import body_key
from .codec import decode_row
from .codec import divide_body
from .codec import encode_definition
from .codec import parse_body_key
from .engine import Engine
from .fleet import RunnerState
from .model import Attempt
from .model import FailureCause
from .model import Job
from .model import JobState
from .model import Phase
from .model import RunnerIncarnation
from .model import StepRun
from .model import Task
from .model import TaskState
from .outcomes import Stray
from .progress_codec import encode_chunk
from .progress_codec import encode_progress
from .progress_codec import restore_progress
from .settings import EngineSettings
from .submission import new_job
from .terms import JobTerms

__all__ = [
    "Attempt",
    "Chunk",
    "Engine",
    "EngineSettings",
    "FailureCause",
    "Job",
    "JobState",
    "JobTerms",
    "Phase",
    "RunnerIncarnation",
    "RunnerState",
    "StepRun",
    "Stray",
    "Task",
    "TaskState",
    "body_key",
    "decode_row",
    "divide_body",
    "encode_chunk",
    "encode_definition",
    "encode_progress",
    "new_job",
    "parse_body_key",
    "restore_progress",
]
