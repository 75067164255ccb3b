"""A daemon whose machine can be suspended: it stands still, and so does its clock.

``python -m tools.soak_suspend`` runs the daemon as ``python -m streamthread.gateway``
does. At :data:`SUSPEND_SIGNAL` it stands still for :data:`SUSPENDED_S`; its monotonic
clock does not count that time, the boot clock and the time of day do.
"""

import signal
import time
import types

from streamthread.gateway.main import main

__all__ = ["SUSPENDED_S", "SUSPEND_SIGNAL"]

SUSPEND_SIGNAL = signal.SIGUSR2
SUSPENDED_S = 4.0
"""Longer than any commit is relied on, and than runs are held."""


class _Clock:
    """The monotonic clock of a machine that was suspended now and then."""

    def __init__(self) -> None:
        self._read = time.monotonic
        self._suspended_s = 0.0

    def read_s(self) -> float:
        """Return what it shows."""
        return self._read() - self._suspended_s

    def suspend(self, number: int, frame: types.FrameType | None) -> None:
        """Let the machine sleep; nothing in this process goes on meanwhile."""
        began_at_s = self._read()
        time.sleep(SUSPENDED_S)
        self._suspended_s += self._read() - began_at_s


if __name__ == "__main__":
    clock = _Clock()
    time.monotonic = clock.read_s
    signal.signal(SUSPEND_SIGNAL, clock.suspend)
    raise SystemExit(main())
