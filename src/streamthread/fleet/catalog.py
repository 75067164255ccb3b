"""All instances with their labels, and which selectors match them.

Kept up to date by changes: one changed instance costs one evaluation of each
selector, one changed selector one evaluation for each instance.
"""

import collections
import typing as t

from ..providers import Instance
from ..providers import InstanceStatus
from .selectors import Selector

__all__ = ["Catalog", "LabelSetter", "instance_labels"]


class LabelSetter(t.NamedTuple):
    """Sets labels on the instances that a selector matches."""

    selector: Selector
    labels: t.Mapping[str, str]


def instance_labels(instance: Instance) -> dict[str, str]:
    """Return an instance's labels: its own, and those of what it is."""
    return {
        **instance.labels,
        "instance": instance.instance_id,
        "hall": instance.hall,
        "rack": instance.rack,
        "cores": str(instance.cores),
        "memory_bytes": str(instance.memory_bytes),
        "accelerators": str(instance.accelerators),
    }


class Catalog:
    """Instances by id, and for each watched selector the matching ids."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.version = 0
        """Grows with each change of an instance."""
        self._labels: dict[str, dict[str, str]] = {}
        self._setters: dict[str, LabelSetter] = {}
        self._selectors: dict[str, Selector] = {}
        self._matches: dict[str, set[str]] = collections.defaultdict(set)
        self._matched_by: dict[str, set[str]] = collections.defaultdict(set)

    def put(self, instance: Instance) -> bool:
        """Add or replace an instance; return whether anything changed."""
        known = self.instances.get(instance.instance_id)
        if known == instance:
            return False
        self.version += 1
        self.instances[instance.instance_id] = instance
        if known is None or instance_labels(known) != instance_labels(instance):
            self._relabel(instance)
        return True

    def set_labels(self, rule: str, setter: LabelSetter | None) -> None:
        """Add, replace or (with None) remove a rule that sets labels."""
        if setter is None:
            if self._setters.pop(rule, None) is None:
                return
        else:
            self._setters[rule] = setter
        for instance in self.instances.values():
            self._relabel(instance)

    def watch(self, key: str, selector: Selector | None) -> None:
        """Add, replace or (with None) remove a watched selector."""
        if selector is None:
            self._selectors.pop(key, None)
            self._forget_matches(key)
            return
        known = self._selectors.get(key)
        if known is selector:
            return
        self._selectors[key] = selector
        self._forget_matches(key)
        for instance_id, labels in self._labels.items():
            if selector.matches(labels):
                self._note_match(key, instance_id)

    def _forget_matches(self, key: str) -> None:
        for instance_id in self._matches.pop(key, ()):
            self._matched_by[instance_id].discard(key)

    def _note_match(self, key: str, instance_id: str) -> None:
        self._matches[key].add(instance_id)
        self._matched_by[instance_id].add(key)

    def live_among(self, instance_ids: t.Iterable[str]) -> set[str]:
        """Return those of some instances that the membership list shows as live."""
        return {one for one in instance_ids if self.is_live(one)}

    def is_live(self, instance_id: str) -> bool:
        """Whether the membership list shows an instance as live."""
        instance = self.instances.get(instance_id)
        return instance is not None and instance.status is InstanceStatus.LIVE

    def matching(self, key: str) -> t.AbstractSet[str]:
        """Return the ids that a watched selector matches."""
        return self._matches.get(key, frozenset())

    def matched_by(self, instance_id: str) -> t.AbstractSet[str]:
        """Return the keys of the watched selectors that match an instance."""
        return self._matched_by.get(instance_id, frozenset())

    def labels(self, instance_id: str) -> t.Mapping[str, str]:
        """Return an instance's labels with all rules applied."""
        return self._labels.get(instance_id, {})

    def _relabel(self, instance: Instance) -> None:
        labels = instance_labels(instance)
        for rule in sorted(self._setters):
            setter = self._setters[rule]
            if setter.selector.matches(labels):
                labels.update(setter.labels)
        instance_id = instance.instance_id
        if labels == self._labels.get(instance_id):
            return
        self._labels[instance_id] = labels
        for key, selector in self._selectors.items():
            if selector.matches(labels):
                self._note_match(key, instance_id)
            else:
                self._matches[key].discard(instance_id)
                self._matched_by[instance_id].discard(key)
