"""A map that remembers the order of its changes, to hand out deltas."""

import typing as t

__all__ = ["ChangeLog"]

K = t.TypeVar("K")
V = t.TypeVar("V")


class ChangeLog(t.Generic[K, V]):
    """Keys and their latest values, readable as "what changed after a cursor".

    Reading the changes costs time in proportion to the changes, not to the
    size of the map.
    """

    def __init__(self) -> None:
        self.cursor = 0
        self._entries: dict[K, tuple[int, V]] = {}

    def put(self, key: K, value: V) -> None:
        """Store a value as the newest change."""
        self.cursor += 1
        self._entries.pop(key, None)
        self._entries[key] = (self.cursor, value)

    def discard(self, key: K) -> None:
        """Forget a key; nobody is told."""
        self._entries.pop(key, None)

    def get(self, key: K) -> V | None:
        """Return the value of a key, or None."""
        entry = self._entries.get(key)
        return entry[1] if entry else None

    def values(self) -> list[V]:
        """Return all values, oldest change first."""
        return [value for _, value in self._entries.values()]

    def after(self, cursor: int) -> list[V]:
        """Return the values that changed after a cursor, oldest change first."""
        changed: list[V] = []
        for changed_at, value in reversed(self._entries.values()):
            if changed_at <= cursor:
                break
            changed.append(value)
        changed.reverse()
        return changed

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, key: object) -> bool:
        return key in self._entries
