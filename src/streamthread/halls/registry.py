"""The halls' policy from the operator's rows."""

import math
import typing as t

from ..clocks import boot_s
from ..platform.manifest import Pool
from .evacuations import Evacuations
from .policy import HallPolicy
from .policy import HallState
from .warming import cold_rate
from .warming import ColdRate

__all__ = ["HallRegistry", "max_age_s"]

MAX_AGE_SHARE = 0.75
"""How old what is known of the operator's table may be for a start, as a share of the
time within which an evacuation must be in force. With 5 s, starts on the oldest view
are valid for 1 s: an order takes 0.24 s to a slow runner."""

START_BY_SHARE = 0.95
"""Starts are valid until this share of that time after the time as of which the table
is known. With 5 s, the latest is carried out after 4.75 s, or 0.1 s later by a slow
clock."""

REFRESH_S = 0.1
"""How long it is remembered which halls are warming: placement asks for each runner."""

RETURN_S = 30.0
"""Within this time after the withdrawal, the pools have taken back the machines of a
hall that they need. Runners that start later are cold for another reason."""


def max_age_s(evacuate_s: float | None) -> float | None:
    """Return the bound on the age of the operator's table; None means no bound.

    :param evacuate_s: the platform's bound on starts in an evacuated hall, if given.
    """
    return None if evacuate_s is None else evacuate_s * MAX_AGE_SHARE


class HallRegistry(HallPolicy):
    """Answers from the evacuations that this daemon has read.

    A hall is warming from its withdrawal for as long as a runner there is cold, but no
    longer than it takes until all of its machines are back and warm. Halls that were
    never evacuated are not warming, whatever their runners report.

    :param evacuate_s: the time after the acknowledgement of an evacuation from which no
        run may start in its hall; None if the platform gives none.
    :param pools: returns the pools of the configuration in force, by name.
    :param cold_halls: returns the halls with runners that are cold now.
    :param tolerance: by which factor, and by which number, starts on a cold runner may
        exceed what its warmth allows.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        evacuate_s: float | None,
        pools: t.Callable[[], t.Mapping[str, Pool]] = dict,
        cold_halls: t.Callable[[], t.Container[str]] = frozenset,
        tolerance: tuple[float, float] = (1.0, 0.0),
    ) -> None:
        self.evacuations = evacuations
        self._max_age_s = max_age_s(evacuate_s)
        self._evacuate_s = evacuate_s
        self._pools = pools
        self._cold_halls = cold_halls
        self._tolerance = tolerance
        # For `REFRESH_S`: the halls to which work returns, and those with cold runners.
        self._returning: t.Collection[str] = ()
        self._cold: t.Container[str] = ()
        self._changes = 0
        self._refresh_at_s = 0.0

    @property
    def age_s(self) -> float:
        """How old what is known of the operator's table is."""
        return boot_s() - self.evacuations.as_of_s

    def are_known(self) -> bool:
        """Whether the evacuations have been read, and recently enough.

        Starts wait for that only where the platform bounds them in evacuated halls: a
        deployment without evacuations would start nothing while a new holder can't read
        the operator's table.
        """
        if self._max_age_s is None:
            return True
        return self.evacuations.is_read and self.age_s <= self._max_age_s

    def start_within_s(self) -> float:
        """Return within which time a start that is sent now must be carried out.

        An evacuation may have been acknowledged just after the time as of which the
        table is known.
        """
        if self._evacuate_s is None:
            return math.inf
        return self._evacuate_s * START_BY_SHARE - self.age_s

    def may_start(self, hall: str) -> bool:
        """Whether no evacuation of a hall is known."""
        return hall not in self.evacuations.in_force

    def closed(self) -> t.Collection[str]:
        """Return the evacuated halls."""
        return self.evacuations.in_force

    def is_warming(self, hall: str) -> bool:
        """Whether a hall is used again and a runner there is still cold."""
        return self._is_returning(hall) and hall in self._cold

    def cold_rate(self, hall: str, pool: str, cold_left_s: float) -> ColdRate | None:
        """Return how many starts a cold runner may get; None means no limit."""
        if not self._is_returning(hall):
            return None
        known = self._pools().get(pool)
        if known is None:
            return None
        return cold_rate(
            known.cold_per_s, known.cold_start_s, cold_left_s, *self._tolerance
        )

    def _is_returning(self, hall: str) -> bool:
        """Whether work may still return to a hall that was evacuated."""
        if hall not in self.evacuations.withdrawn_at_s:
            return False
        now_s, changes = boot_s(), self.evacuations.changes
        if now_s >= self._refresh_at_s or changes != self._changes:
            self._refresh(now_s)
            self._refresh_at_s, self._changes = now_s + REFRESH_S, changes
        return hall in self._returning

    def _refresh(self, now_s: float) -> None:
        """Find the halls to which work returns, and those with cold runners."""
        cold_start_s = max((p.cold_start_s for p in self._pools().values()), default=0)
        self._returning = {
            hall
            for hall, withdrawn_at_s in self.evacuations.withdrawn_at_s.items()
            if now_s - withdrawn_at_s < RETURN_S + cold_start_s
        }
        self._cold = self._cold_halls()

    def state(self, hall: str) -> HallState:
        """Return the state of a hall."""
        if not self.may_start(hall):
            return HallState.EVACUATED
        return HallState.WARMING if self.is_warming(hall) else HallState.OPEN
