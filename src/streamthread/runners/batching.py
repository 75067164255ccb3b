"""How long ends are gathered before a busy runner is asked again."""

import typing as t

import attrs

from ..clocks import boot_s
from ..scheduler.fleet import RunnerState

__all__ = ["EndBatching"]

REPLIES_PER_S = 300.0
"""Lists that one holder takes a second from all runners: 0.4 ms of processor each,
an eighth of a core."""

PROMPT_S = 0.05
"""A pause that would be shorter is left out: few runners are asked at once."""

MOST_PAUSE_S = 0.5
"""However many are busy: runs are held for 3.2 s, and starts for 2.5 s."""

COUNTED_FOR_S = 0.25
"""The busy runners are counted this often; a burst takes longer to unfold."""


@attrs.define
class EndBatching:
    """Spreads the holder's processor over its runners.

    A runner answers at its next end. Where many of them end tasks all the time,
    each is asked after a pause, so that one answer tells several ends.

    :param runners: all runners that are held.
    """

    runners: t.Callable[[], t.Iterable[RunnerState]]
    _pause_s: float = 0.0
    _counted_at_s: float = -COUNTED_FOR_S

    def pause_s(self) -> float:
        """Return for how long a runner that told ends is left alone."""
        now_s = boot_s()
        if now_s - self._counted_at_s >= COUNTED_FOR_S:
            self._counted_at_s = now_s
            busy = sum(bool(runner.attempts) for runner in self.runners())
            wanted_s = busy / REPLIES_PER_S - PROMPT_S
            self._pause_s = min(max(0.0, wanted_s), MOST_PAUSE_S)
        return self._pause_s
