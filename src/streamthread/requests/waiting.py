"""Tracks the services whose requests wait, here and at the other daemons."""

import typing as t

from ..clocks import boot_s

__all__ = ["WaitingServices"]

WAITING_RETENTION_S = 1.0
"""A service counts as waiting for this long after a request last waited."""


class WaitingServices:
    """Reports to the peers which services lack slots here, and stores their reports.

    :param entry: this daemon's id.
    :param entries: returns the ids of the live daemons, including this one.
    :param spread_soon: requests an early exchange of updates with the peers.
    """

    def __init__(
        self,
        entry: str,
        entries: t.Callable[[], tuple[str, ...]],
        spread_soon: t.Callable[[], None],
    ) -> None:
        self._entry = entry
        self._entries = entries
        self._spread_soon = spread_soon
        self._waited_at_s: dict[str, float] = {}
        self._elsewhere: dict[str, frozenset[str]] = {}

    def note_waiting_here(self, name: str) -> None:
        """Record that a request waits here; if this is new, notify the peers soon."""
        now_s = boot_s()
        if (
            now_s - self._waited_at_s.get(name, -WAITING_RETENTION_S)
            >= WAITING_RETENTION_S
        ):
            self._spread_soon()
        self._waited_at_s[name] = now_s

    def waiting_here(self) -> list[str]:
        """Return the services for which requests recently waited at this daemon."""
        since_s = boot_s() - WAITING_RETENTION_S
        return sorted(
            name for name, at_s in self._waited_at_s.items() if at_s >= since_s
        )

    def note_waiting_at(self, entry: str, names: t.Iterable[str]) -> None:
        """Store the services for which requests wait at another daemon."""
        self._elsewhere[entry] = frozenset(names)

    def is_waiting_elsewhere(self, name: str) -> bool:
        """Whether requests for a service wait at another live daemon.

        That daemon then needs all of its own slots.
        """
        return any(
            name in self._elsewhere.get(entry, ())
            for entry in self._entries()
            if entry != self._entry
        )
