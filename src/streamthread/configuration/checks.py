"""Checks of whole sets of changes, before they are accepted."""

import typing as t

from ..errors import SettingsError
from ..errors import StreamthreadError
from ..providers import JsonObject
from .items import Change
from .items import check_item
from .items import ItemKind
from .items import split_key

__all__ = ["BadConfiguration", "check_changes", "flatten"]


class BadConfiguration(ExceptionGroup[StreamthreadError]):
    """All that is wrong with a configuration, at once."""


def flatten(document: JsonObject) -> dict[str, JsonObject]:
    """Return the items of a configuration file by key.

    A file holds a section for each kind: ``{"pool": {"billing": {...}}}``.

    :raises BadConfiguration: a section is unknown or not an object.
    """
    known = {kind.value for kind in ItemKind}
    errors: list[StreamthreadError] = []
    items: dict[str, JsonObject] = {}
    for section, entries in document.items():
        if section not in known or not isinstance(entries, dict):
            remedy = f"use an object under one of {', '.join(sorted(known))}"
            errors.append(
                SettingsError("bad section", remedy=remedy, location=f"$.{section}")
            )
            continue
        items |= {f"{section}/{name}": value for name, value in entries.items()}
    if errors:
        raise BadConfiguration("the configuration has mistakes", errors)
    return items


def check_changes(
    changes: t.Sequence[Change], items: t.Mapping[str, JsonObject]
) -> None:
    """Refuse changes that would leave a bad configuration.

    :param items: the configuration that they would be applied to.
    :raises BadConfiguration: with every mistake.
    """
    errors: list[StreamthreadError] = []
    for change in changes:
        errors.extend(_check_change(change))
    if not errors:
        errors.extend(_check_references(changes, items))
    if errors:
        raise BadConfiguration("the configuration has mistakes", errors)


def _check_change(change: Change) -> list[StreamthreadError]:
    try:
        split_key(change.key)
    except SettingsError as error:
        return [error]
    return [] if change.value is None else check_item(change.key, change.value)


def _check_references(
    changes: t.Sequence[Change], items: t.Mapping[str, JsonObject]
) -> t.Iterator[StreamthreadError]:
    after = dict(items)
    for change in changes:
        if change.value is None:
            after.pop(change.key, None)
        else:
            after[change.key] = change.value
    touched = {change.key for change in changes}
    deleted = {key for key in touched if key not in after}
    services = touched
    if any(key.startswith("pool/") for key in deleted):
        services = {key for key in after if key.startswith("service/")}
    for key in sorted(services):
        if key.startswith("service/") and key in after:
            pool = after[key]["pool"]
            if f"pool/{pool}" not in after:
                yield SettingsError(
                    f"service names the pool {pool!r}, which is not there",
                    remedy="create the pool in the same change, or name another",
                    location=f"$.{key.replace('/', '.')}.pool",
                )
