"""Delays a daemon's acquisition of a cell so that better candidates go first.

Daemons in the hall of a holder that is gone go last: its whole hall may be lost or cut
off, and a holder there would be the next one to be replaced. Halls are known only where
the settings tolerate the loss of a hall.
"""

import random

from .members import Members
from .rows import Owner
from .takeover import Suspicion
from .times import LeaseTimes

__all__ = ["AcquisitionDelay"]

REFERENCE_CORES = 1.0
"""The number of CPU cores with which a daemon uses the normal delay."""

MAX_DELAY_FACTOR = 4.0
"""Maximum multiple of the normal delay; the smallest machines have half a core."""

OWN_ROW = (Suspicion.OWN_EARLIER_INCARNATION, Suspicion.OWN_LATE_ACQUISITION)
"""Suspicions under which the others leave the cell to this daemon."""


class AcquisitionDelay:
    """Spreads the candidates so that one write wins and large machines go first.

    :param cores: the CPU cores of this daemon.
    :param hall: the hall of this daemon; empty where halls make no difference.
    :param rng: a separate random source for each incarnation of a daemon.
    """

    def __init__(
        self,
        members: Members,
        daemon_id: str,
        times: LeaseTimes,
        cores: float,
        rng: random.Random,
        hall: str = "",
    ) -> None:
        self._hall = hall
        self._members = members
        self._daemon_id = daemon_id
        self._times = times
        self._size_factor = min(MAX_DELAY_FACTOR, REFERENCE_CORES / cores)
        self._rng = rng

    def before_acquisition_s(self, suspicion: Suspicion, owner: Owner | None) -> float:
        """Return how long to wait before writing an acquisition.

        :param owner: the holder to replace, if there was one.
        """
        if suspicion in OWN_ROW:
            return 0.0
        if suspicion is Suspicion.RELEASED:
            assert owner is not None
            if owner.successor == self._daemon_id:
                return 0.0
            # A planned stop says nothing of the holder's hall.
            return self._stagger_s(owner, "") + 2 * self._times.stagger_s
        lost_hall = self._members.hall_of(owner.address) if owner and self._hall else ""
        stagger_s = self._stagger_s(owner, lost_hall)
        if lost_hall == self._hall != "" and self._members.has_peer_outside(lost_hall):
            stagger_s += self._times.defer_s
        if suspicion is Suspicion.CANNOT_COMMIT:
            return max(stagger_s, self._times.sure_again_s)
        return stagger_s

    def _stagger_s(self, owner: Owner | None, lost_hall: str) -> float:
        """Return a random delay, which is longer on small machines.

        :param lost_hall: daemons do not defer to larger ones in this hall.
        """
        share = self._size_factor * (1 + self._rng.random()) / 2
        stagger_s = self._times.stagger_s * share
        excluding = owner.daemon_id if owner else ""
        if self._members.has_larger_peer(excluding, self._deferred_hall(lost_hall)):
            stagger_s += self._times.defer_s
        return stagger_s

    def _deferred_hall(self, lost_hall: str) -> str:
        """Return the hall whose daemons go after this one whatever their size."""
        return "" if lost_hall == self._hall else lost_hall
