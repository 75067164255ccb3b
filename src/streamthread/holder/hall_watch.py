"""Logs when halls that may not be used are empty, and when halls are not known."""

import logbook

from ..halls import HallPolicy
from ..scheduler import Engine

__all__ = ["HallWatch"]

log = logbook.Logger("streamthread.halls")


class HallWatch:
    """Compares the halls with the runs there; each finding is logged once.

    :param halls: says which halls may be used.
    """

    def __init__(self, engine: Engine, halls: HallPolicy) -> None:
        self._engine = engine
        self._halls = halls
        self._empty: set[str] = set()
        self._were_known = True

    def watch(self) -> None:
        """Log what has changed since the last call."""
        self._watch_known()
        closed = set(self._halls.closed())
        self._empty &= closed
        if closed == self._empty:
            return
        busy = {r.zone for r in self._engine.runners.values() if not r.idle}
        for hall in sorted(closed - self._empty - busy):
            log.info("hall-empty", extra={"hall": hall})
        self._empty = closed - busy

    def _watch_known(self) -> None:
        known = self._halls.are_known()
        if known and not self._were_known:
            log.info("halls-known-again")
        elif self._were_known and not known:
            log.warning("starts-wait-for-halls")
        self._were_known = known
