"""Jobs in the memory of the holder: what may run, its placement and its outcome."""

from .codec import decode_row
from .codec import encode_definition
from .codec import encode_progress
from .codec import restore_progress
from .engine import Engine
from .fleet import RunnerState
from .model import Attempt
from .model import Job
from .model import JobState
from .model import Phase
from .model import RunnerIncarnation
from .model import StepRun
from .model import Task
from .model import TaskState
from .outcomes import Stray
from .settings import EngineSettings
from .submission import new_job

__all__ = [
    "Attempt",
    "Engine",
    "EngineSettings",
    "Job",
    "JobState",
    "Phase",
    "RunnerIncarnation",
    "RunnerState",
    "StepRun",
    "Stray",
    "Task",
    "TaskState",
    "decode_row",
    "encode_definition",
    "encode_progress",
    "new_job",
    "restore_progress",
]
