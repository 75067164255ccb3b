"""What a take-over of a cell is decided on, and what it brings."""

import enum
import math

import attrs

from .rows import Owner

__all__ = ["AcquiredCell", "StalledCommits", "Suspicion"]


class Suspicion(enum.Enum):
    """Why the present holder may be replaced."""

    NONE = "none"
    VACANT = "vacant"
    RELEASED = "released"
    OWN_EARLIER_INCARNATION = "own-earlier-life"
    PROCESS_GONE = "process-gone"
    SILENT = "silent"
    CANNOT_COMMIT = "doubtful"


@attrs.frozen
class StalledCommits:
    """Since when a holder orders nothing, unless it has committed again.

    A holder relies on its commits, and each of them changes the head row: one that
    had ceased to rely on the last of them stays silent while that row stands still.

    :param head_version: of the head row, which the take-over requires.
    :param exclusive_from_s: on the boot clock: no order leaves that holder later.
    """

    head_version: int
    exclusive_from_s: float


@attrs.frozen
class AcquiredCell:
    """What a new holder begins with.

    :param head_version: the head row's version after the take-over.
    :param acquired_at_s: on the boot clock: when the take-over was sent.
    :param exclusive_from_s: on the boot clock: no earlier holder sends an order later.
    """

    owner: Owner
    head_version: int
    acquired_at_s: float
    exclusive_from_s: float

    @property
    def last_hold_at_s(self) -> float:
        """When an earlier holder may have extended a run last, on the boot clock.

        It extends runs for as long as it orders; an earlier life of this daemon ended
        before the take-over.
        """
        return (
            self.exclusive_from_s
            if math.isfinite(self.exclusive_from_s)
            else self.acquired_at_s
        )
