"""When heartbeats of holders came."""

import math

from ..clocks import boot_s
from . import cell_pb2 as pb

__all__ = ["Heartbeats"]


class Heartbeats:
    """The last heartbeat that a daemon received as a follower.

    :param heard_at_s: when it came, whatever it said, on the boot clock.
    """

    def __init__(self) -> None:
        self.heard_at_s = -math.inf
        # The same for heartbeats of holders that can commit, unless a later one said
        # that its holder cannot.
        self._committing_at_s = -math.inf
        self._token = 0

    def on_heartbeat(self, heartbeat: pb.Beat) -> None:
        """Record a heartbeat that has just come."""
        self.heard_at_s = boot_s()
        self._token = heartbeat.token
        self._committing_at_s = -math.inf if heartbeat.doubtful else self.heard_at_s

    def received_within(self, within_s: float) -> bool:
        """Whether a heartbeat came within this time and the holder can commit."""
        return boot_s() - self._committing_at_s <= within_s

    def is_overdue(self, token: int, within_s: float) -> bool:
        """Whether the heartbeats of a holder that could commit have ceased.

        This is not said of a holder that none has come from yet, nor of one that cannot
        commit: its followers end their streams, and it still reports states.

        :param token: the token of the present holder.
        """
        if token != self._token or self._committing_at_s == -math.inf:
            return False
        return not self.received_within(within_s)
