"""Overrides single settings of a cell from the command line, for experiments."""

import typing as t

import attrs

from ..errors import SettingsError
from ..holder import CellSettings

__all__ = ["override_settings"]


def override_settings(
    settings: CellSettings, overrides: t.Iterable[str]
) -> CellSettings:
    """Return the settings with some of them replaced.

    :param overrides: each ``PATH=VALUE``; a path names nested attributes of the
        cell's settings, such as ``duties.capacity.headroom_machines``.
    :raises SettingsError: a path names no setting, or a value has the wrong type.
    """
    for override in overrides:
        path, separator, text = override.partition("=")
        if not separator:
            raise SettingsError(
                "has no value", remedy="write PATH=VALUE", location=override
            )
        settings = _replace(settings, path.split("."), text, path)
    return settings


Settings = t.TypeVar("Settings")


def _replace(
    settings: Settings, names: t.Sequence[str], text: str, path: str
) -> Settings:
    known = [field.name for field in attrs.fields(t.cast(t.Any, type(settings)))]
    name = names[0]
    if name not in known:
        raise SettingsError(
            f"there is no setting {name!r}",
            remedy=f"known settings: {', '.join(known)}",
            location=path,
        )
    value = getattr(settings, name)
    if attrs.has(type(value)):
        if len(names) == 1:
            raise SettingsError(
                f"{name!r} is a group of settings",
                remedy="name one of its settings after a dot",
                location=path,
            )
        inner = _replace(value, names[1:], text, path)
        return t.cast(Settings, attrs.evolve(t.cast(t.Any, settings), **{name: inner}))
    if len(names) > 1:
        raise SettingsError(
            f"{name!r} is a single setting",
            remedy="end the path with it",
            location=path,
        )
    new_value = _convert(text, type(value), path)
    return t.cast(Settings, attrs.evolve(t.cast(t.Any, settings), **{name: new_value}))


def _convert(text: str, kind: type[t.Any], path: str) -> t.Any:
    if kind is bool:
        if text not in ("true", "false"):
            raise SettingsError(
                f"{text!r} is not a boolean", remedy="give true or false", location=path
            )
        return text == "true"
    try:
        return kind(text)
    except ValueError as error:
        raise SettingsError(
            f"{text!r} is not a valid {kind.__name__}",
            remedy="give a number",
            location=path,
        ) from error
