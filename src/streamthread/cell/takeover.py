"""What a take-over of a cell is decided on, and what it brings."""

import enum

import attrs

from .rows import Owner

__all__ = ["Suspicion", "TakenCell"]


class Suspicion(enum.Enum):
    """Why the present holder may be replaced."""

    NONE = "none"
    VACANT = "vacant"
    RELEASED = "released"
    OWN_EARLIER_LIFE = "own-earlier-life"
    PROCESS_GONE = "process-gone"
    SILENT = "silent"
    DOUBTFUL = "doubtful"


@attrs.frozen
class TakenCell:
    """What a new holder begins with.

    :param head_version: the head row's version after the take-over.
    :param taken_at_s: on the monotonic clock: when the take-over was sent.
    :param why: what was known of the holder before.
    """

    owner: Owner
    head_version: int
    taken_at_s: float
    why: Suspicion
