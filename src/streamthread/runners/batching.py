"""Chooses how long a busy runner may collect ended runs between two hold calls."""

import typing as t

import attrs

from ..clocks import boot_s
from ..scheduler.fleet import RunnerState

__all__ = ["EndBatching"]

REPLIES_PER_S = 300.0
"""Maximum rate of hold replies that a holder processes over all runners. Each one takes
0.4 ms of CPU time, an eighth of a core in total."""

SKIPPED_PAUSE_S = 0.05
"""Subtracted from each pause, so that a runner is called again at once while only a few
runners are busy."""

MAX_PAUSE_S = 0.5
"""Upper limit for any number of busy runners. It is well below the 3.2 s for which a
hold call renews leases and the 2.5 s within which a start must be carried out."""

COUNT_INTERVAL_S = 0.25
"""Interval at which the busy runners are counted; a burst of load takes longer than
this to develop."""


@attrs.define
class EndBatching:
    """Limits the CPU time that the holder spends on hold replies.

    A runner answers a hold call as soon as a run ends. When many runners end tasks
    continuously, each one is called again only after a pause, so that one reply
    reports several ended runs.

    :param runners: returns all runners that receive hold calls.
    """

    runners: t.Callable[[], t.Iterable[RunnerState]]
    _pause_s: float = 0.0
    _counted_at_s: float = -COUNT_INTERVAL_S

    def pause_s(self) -> float:
        """Return the pause before a runner that reported ended runs is called again."""
        now_s = boot_s()
        if now_s - self._counted_at_s >= COUNT_INTERVAL_S:
            self._counted_at_s = now_s
            busy = sum(bool(runner.attempts) for runner in self.runners())
            wanted_s = busy / REPLIES_PER_S - SKIPPED_PAUSE_S
            self._pause_s = min(max(0.0, wanted_s), MAX_PAUSE_S)
        return self._pause_s
