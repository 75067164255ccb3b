"""The configuration in force in one daemon, and what it may adopt."""

import collections
import hashlib
import json
import typing as t

import attrs

from ..providers import JsonObject
from .items import Change
from .items import ItemKind
from .items import parse_item
from .items import split_key

__all__ = [
    "EMPTY_DIGEST",
    "ActiveConfiguration",
    "Generation",
    "Snapshot",
    "next_digest",
]

EMPTY_DIGEST = hashlib.sha256(b"").hexdigest()
GENERATIONS_KEPT = 500

S = t.TypeVar("S")


@attrs.frozen
class Generation:
    """One accepted step of the configuration.

    :param digest: chains over all generations up to this one.
    """

    number: int
    digest: str
    changes: tuple[Change, ...]


@attrs.frozen
class Snapshot:
    """The whole configuration as of one generation.

    :param changed_at: the generation that changed each key last.
    """

    generation: int
    digest: str
    items: dict[str, JsonObject]
    changed_at: dict[str, int]


def next_digest(previous: str, changes: t.Iterable[Change]) -> str:
    """Return the digest of the generation that applies changes to ``previous``."""
    body = json.dumps(
        [[change.key, change.value] for change in changes],
        sort_keys=True,
        separators=(",", ":"),
    )
    return hashlib.sha256(f"{previous}{body}".encode()).hexdigest()


class ActiveConfiguration:
    """Holds the items of the highest generation that was adopted.

    Generations only go up: one is adopted if it is the next one and its digest
    follows from the present one; a snapshot, if it is higher.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.digest = EMPTY_DIGEST
        self.items: dict[str, JsonObject] = {}
        self.changed_at: dict[str, int] = {}
        self._specs: dict[ItemKind, dict[str, t.Any]] = {}
        self._log: collections.deque[Generation] = collections.deque(
            maxlen=GENERATIONS_KEPT
        )

    def adopt(self, step: Generation) -> bool:
        """Adopt the next generation; return whether it was adopted."""
        if step.number != self.generation + 1:
            return False
        if step.digest != next_digest(self.digest, step.changes):
            return False
        for change in step.changes:
            self._apply(change, step.number)
        self.generation = step.number
        self.digest = step.digest
        self._log.append(step)
        return True

    def adopt_snapshot(self, snapshot: Snapshot) -> bool:
        """Adopt a whole configuration if it is higher than the present one."""
        if snapshot.generation <= self.generation:
            return False
        self.generation = snapshot.generation
        self.digest = snapshot.digest
        self.items = dict(snapshot.items)
        self.changed_at = dict(snapshot.changed_at)
        self._specs.clear()
        self._log.clear()
        return True

    def snapshot(self) -> Snapshot:
        """Return the whole configuration."""
        return Snapshot(
            self.generation, self.digest, dict(self.items), dict(self.changed_at)
        )

    def after(self, generation: int) -> list[Generation]:
        """Return the steps after a generation; empty if some are not kept."""
        steps = [step for step in self._log if step.number > generation]
        if steps and steps[0].number == generation + 1:
            return steps
        return []

    def changed_since(self, keys: t.Iterable[str], generation: int) -> list[str]:
        """Return the keys that changed after a generation."""
        return [key for key in keys if self.changed_at.get(key, 0) > generation]

    def spec(self, key: str, kind: type[S]) -> S | None:
        """Return one parsed item, or None if there is none."""
        item_kind, name = split_key(key)
        spec = self._parsed(item_kind).get(name)
        return spec if isinstance(spec, kind) else None

    def specs(self, item_kind: ItemKind, kind: type[S]) -> t.Mapping[str, S]:
        """Return all parsed items of one kind by name, not to be changed."""
        return self._parsed(item_kind)

    def _parsed(self, item_kind: ItemKind) -> dict[str, t.Any]:
        """Parse a kind's items once; later changes replace single ones."""
        if item_kind not in self._specs:
            prefix = f"{item_kind.value}/"
            self._specs[item_kind] = {
                key.removeprefix(prefix): parse_item(key, value)
                for key, value in sorted(self.items.items())
                if key.startswith(prefix)
            }
        return self._specs[item_kind]

    def _replace_parsed(self, change: Change) -> None:
        item_kind, name = split_key(change.key)
        parsed = self._specs.get(item_kind)
        if parsed is None:
            return
        if change.value is None:
            parsed.pop(name, None)
        else:
            parsed[name] = parse_item(change.key, change.value)

    def _apply(self, change: Change, number: int) -> None:
        self.changed_at[change.key] = number
        self._replace_parsed(change)
        if change.value is None:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change.value
