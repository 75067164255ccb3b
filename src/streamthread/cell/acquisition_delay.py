"""How long a daemon leaves a cell to better candidates before it takes it."""

import random

from .members import Members
from .rows import Owner
from .takeover import Suspicion
from .times import LeaseTimes

__all__ = ["AcquisitionDelay"]

REFERENCE_CORES = 1.0
"""A daemon with so much processor hesitates for the usual time."""

MAX_DELAY_FACTOR = 4.0
"""Times the usual; the smallest machines seen have half a core."""


class AcquisitionDelay:
    """Spreads the candidates, so that one write wins and large machines go first.

    :param cores: how much processor this daemon has.
    :param rng: a source of its own for each life of a daemon.
    """

    def __init__(
        self,
        members: Members,
        daemon_id: str,
        times: LeaseTimes,
        cores: float,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._daemon_id = daemon_id
        self._times = times
        self._size_factor = min(MAX_DELAY_FACTOR, REFERENCE_CORES / cores)
        self._rng = rng

    def before_acquisition_s(self, suspicion: Suspicion, owner: Owner | None) -> float:
        """Return how long to wait before a take-over is written.

        :param owner: the holder that is to be replaced, where there was one.
        """
        if suspicion is Suspicion.OWN_EARLIER_INCARNATION:
            return 0.0
        if suspicion is Suspicion.RELEASED:
            assert owner is not None
            if owner.successor == self._daemon_id:
                return 0.0
            return self._stagger_s(owner) + 2 * self._times.stagger_s
        if suspicion is Suspicion.CANNOT_COMMIT:
            return max(self._stagger_s(owner), self._times.sure_again_s)
        return self._stagger_s(owner)

    def _stagger_s(self, owner: Owner | None) -> float:
        """Return a random time, longer on small machines."""
        share = self._size_factor * (1 + self._rng.random()) / 2
        stagger_s = self._times.stagger_s * share
        if self._members.has_larger_peer(excluding=owner.daemon_id if owner else ""):
            stagger_s += self._times.defer_s
        return stagger_s
