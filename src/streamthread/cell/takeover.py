"""The reasons for acquiring a cell from its holder, and the result."""

import enum
import math

import attrs

from .rows import Owner

__all__ = ["AcquiredCell", "StalledCommits", "Suspicion"]

FIRST_TOKEN = 1
"""The fencing token of the first holder of a cell."""


class Suspicion(enum.Enum):
    """Why the current holder may be replaced; the values appear in log events."""

    # The holder may not be replaced.
    NONE = "none"
    # The store names no holder.
    VACANT = "vacant"
    RELEASED = "released"
    # The owner row names this daemon, which held the cell before and does not now.
    OWN_EARLIER_INCARNATION = "own-earlier-life"
    # The owner row names this daemon, which never held the cell under that token: an
    # acquisition took effect after it was given up. Another holder may still be active.
    OWN_LATE_ACQUISITION = "own-late-acquisition"
    # The holder's port is closed.
    PROCESS_GONE = "process-gone"
    # No heartbeat arrives, and the commits have stalled.
    SILENT = "silent"
    # The holder reports that it cannot commit.
    CANNOT_COMMIT = "doubtful"


@attrs.frozen
class StalledCommits:
    """Evidence that a holder sends no more orders, unless it has committed again.

    The lease of a holder depends on its commits, and each commit changes the head row.
    Once the lease has expired, the holder sends no orders while that row is unchanged.

    :param head_version: the head row's version, which the acquisition requires.
    :param exclusive_from_s: the time on the boot clock after which that holder sends no
        orders.
    """

    head_version: int
    exclusive_from_s: float


@attrs.frozen
class AcquiredCell:
    """The initial state of a new holder.

    :param head_version: the head row's version after the acquisition.
    :param acquired_at_s: when the acquisition was sent, on the boot clock.
    :param exclusive_from_s: the time on the boot clock after which no earlier holder
        sends orders.
    """

    owner: Owner
    head_version: int
    acquired_at_s: float
    exclusive_from_s: float

    @property
    def observed_from_s(self) -> float:
        """The time on the boot clock from which on this holder knows what happens.

        Nothing has happened before the cell's first holder.
        """
        return -math.inf if self.owner.token == FIRST_TOKEN else self.acquired_at_s

    @property
    def last_hold_at_s(self) -> float:
        """The latest time at which an earlier holder may have extended a run.

        The time is on the boot clock. A holder extends runs for as long as it sends
        orders; an earlier incarnation of this daemon exited before the acquisition.
        """
        return (
            self.exclusive_from_s
            if math.isfinite(self.exclusive_from_s)
            else self.acquired_at_s
        )
