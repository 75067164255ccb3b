"""A cell: pools that share machines, run by one daemon at a time, the holder.

This package contains the holder's lease, its commits and the calls between daemons.
"""

from .answers import version_written
from .commits import CommitLog
from .contacts import PeerContacts
from .lease import CellLease
from .peer import CellEndpoint
from .peer import CellPort
from .peer import PeerLinks
from .rows import TABLE_BODIES
from .rows import TABLE_CHUNKS
from .rows import TABLE_INBOX
from .rows import TABLE_JOBS
from .rows import TABLE_RUNS
from .takeover import AcquiredCell
from .times import LeaseTimes

__all__ = [
    "TABLE_BODIES",
    "TABLE_CHUNKS",
    "TABLE_INBOX",
    "TABLE_JOBS",
    "TABLE_RUNS",
    "AcquiredCell",
    "CellEndpoint",
    "CellLease",
    "CellPort",
    "CommitLog",
    "LeaseTimes",
    "PeerContacts",
    "PeerLinks",
    "version_written",
]
