"""The questions about halls that every path of a start asks."""

import enum
import typing as t
from abc import ABC
from abc import abstractmethod

from .warming import ColdRate

__all__ = ["OPEN_HALLS", "HallPolicy", "HallState", "OpenHalls"]


class HallState(enum.Enum):
    """What a hall may be used for."""

    OPEN = "open"
    EVACUATED = "evacuated"
    WARMING = "warming"
    LOST = "lost"


class HallPolicy(ABC):
    """Says which halls may be used.

    A run may be started in a hall only while both `are_known` and `may_start` say so.
    They are separate because a view of the halls that is too old stops starts, but
    moves no machines.
    """

    @abstractmethod
    def are_known(self) -> bool:
        """Whether what is known of the halls is recent enough to start anything."""

    @abstractmethod
    def may_start(self, hall: str) -> bool:
        """Whether nothing that is known forbids to start runs in a hall."""

    @abstractmethod
    def is_warming(self, hall: str) -> bool:
        """Whether work returns to a hall in steps, since its runners are cold."""

    @abstractmethod
    def cold_rate(self, hall: str, pool: str, cold_left_s: float) -> ColdRate | None:
        """Return how many starts a cold runner may get; None means no limit.

        :param cold_left_s: for how long the runner will still be slow.
        """

    @abstractmethod
    def closed(self) -> t.Collection[str]:
        """Return the halls in which no run may be started."""

    @abstractmethod
    def state(self, hall: str) -> HallState:
        """Return the state of a hall; one that nobody has named is open."""


class OpenHalls(HallPolicy):
    """All halls may be used: the policy where nobody can evacuate any."""

    def are_known(self) -> bool:
        """Return True: there is nothing to know."""
        return True

    def may_start(self, hall: str) -> bool:
        """Return True."""
        return True

    def is_warming(self, hall: str) -> bool:
        """Return False."""
        return False

    def cold_rate(self, hall: str, pool: str, cold_left_s: float) -> ColdRate | None:
        """Return None."""
        return None

    def closed(self) -> t.Collection[str]:
        """Return no hall."""
        return ()

    def state(self, hall: str) -> HallState:
        """Return that the hall is open."""
        return HallState.OPEN


OPEN_HALLS = OpenHalls()
"""The policy where none is given."""
