"""The halls' policy from the operator's rows."""

from ..clocks import boot_s
from .evacuations import Evacuations
from .policy import HallPolicy
from .policy import HallState

__all__ = ["HallRegistry", "max_age_s"]

MAX_AGE_SHARE = 0.45
"""How old what is known of the operator's table may be for a start, as a share of the
time within which an evacuation must be in force. A start may be carried out 2.5 s after
it was sent, and 0.1 s later on a slow clock: with 5 s, the latest is carried out 4.85 s
after the acknowledgement."""


def max_age_s(evacuate_s: float | None) -> float | None:
    """Return the bound on the age of the operator's table; None means no bound.

    :param evacuate_s: the platform's bound on starts in an evacuated hall, if given.
    """
    return None if evacuate_s is None else evacuate_s * MAX_AGE_SHARE


class HallRegistry(HallPolicy):
    """Answers from the evacuations that this daemon has read.

    :param evacuate_s: the time after the acknowledgement of an evacuation from which no
        run may start in its hall; None if the platform gives none.
    """

    def __init__(self, evacuations: Evacuations, evacuate_s: float | None) -> None:
        self.evacuations = evacuations
        self._max_age_s = max_age_s(evacuate_s)

    @property
    def age_s(self) -> float:
        """How old what is known of the operator's table is."""
        return boot_s() - self.evacuations.as_of_s

    def are_known(self) -> bool:
        """Whether the evacuations have been read, and recently enough."""
        if not self.evacuations.is_read:
            return False
        return self._max_age_s is None or self.age_s <= self._max_age_s

    def may_start(self, hall: str) -> bool:
        """Whether no evacuation of a hall is known."""
        return hall not in self.evacuations.in_force

    def is_warming(self, hall: str) -> bool:
        """Whether a hall is used again and its runners are still cold."""
        return False

    def state(self, hall: str) -> HallState:
        """Return the state of a hall."""
        if not self.may_start(hall):
            return HallState.EVACUATED
        return HallState.WARMING if self.is_warming(hall) else HallState.OPEN
