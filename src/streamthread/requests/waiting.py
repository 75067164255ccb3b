"""For which services requests wait, here and at the other entries."""

import typing as t

from ..clocks import boot_s

__all__ = ["WaitingServices"]

WAITING_RETENTION_S = 1.0
"""A service counts as waiting for so long after a request waited."""


class WaitingServices:
    """Tells the peers where slots are short, and remembers what they tell.

    :param entry: this entry's id.
    :param entries: returns the live entries' ids, this one's among them.
    :param spread_soon: has the peers told soon.
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
        """Note that a request waits here, and tell the others soon."""
        now_s = boot_s()
        if (
            now_s - self._waited_at_s.get(name, -WAITING_RETENTION_S)
            >= WAITING_RETENTION_S
        ):
            self._spread_soon()
        self._waited_at_s[name] = now_s

    def waiting_here(self) -> list[str]:
        """Return the services for which requests waited here lately."""
        since_s = boot_s() - WAITING_RETENTION_S
        return sorted(
            name for name, at_s in self._waited_at_s.items() if at_s >= since_s
        )

    def note_waiting_at(self, entry: str, names: t.Iterable[str]) -> None:
        """Note for which services requests wait at another entry."""
        self._elsewhere[entry] = frozenset(names)

    def is_waiting_elsewhere(self, name: str) -> bool:
        """Whether another entry lacks slots itself, so that it needs its own."""
        return any(
            name in self._elsewhere.get(entry, ())
            for entry in self._entries()
            if entry != self._entry
        )
