"""The verbs that ask an entry or change the configuration."""

from .configuration import apply
from .configuration import check_settings_file
from .configuration import drain
from .configuration import label
from .configuration import rollout_wait
from .configuration import undrain
from .configuration import wave
from .jobs import job_cancel
from .jobs import job_list
from .jobs import job_submit
from .reports import accounts
from .reports import explain
from .reports import get
from .reports import halls
from .reports import runners
from .reports import status
from .reports import timeline

__all__ = [
    "accounts",
    "apply",
    "check_settings_file",
    "drain",
    "explain",
    "get",
    "halls",
    "job_cancel",
    "job_list",
    "job_submit",
    "label",
    "rollout_wait",
    "runners",
    "status",
    "timeline",
    "undrain",
    "wave",
]
