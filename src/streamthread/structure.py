"""Strict structuring of JSON into attrs classes, with all errors at once."""

import typing as t

import attrs
import cattrs
from cattrs import transform_error
from cattrs.errors import BaseValidationError
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.errors import IterableValidationError
from cattrs.gen import make_dict_structure_fn

from .errors import SettingsError
from .errors import StreamthreadError

__all__ = ["strict_converter", "structure_errors"]

UNITS = ("_s", "_ms", "_bytes", "_mb", "_minutes", "_seconds")


def _strict_number(value: t.Any, kind: type[t.Any]) -> t.Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if kind is int and value != int(value):
        raise TypeError(f"{value!r} is not a whole number")
    return kind(value)


def _strict_instance(value: t.Any, kind: type[t.Any]) -> t.Any:
    if not isinstance(value, kind):
        raise TypeError(f"{value!r} is not a {_JSON_NAMES[kind]}")
    return value


_JSON_NAMES = {str: "string", bool: "boolean (true or false)"}


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    converter.register_structure_hook(int, _strict_number)
    converter.register_structure_hook(float, _strict_number)
    converter.register_structure_hook(str, _strict_instance)
    converter.register_structure_hook(bool, _strict_instance)
    converter.register_structure_hook_factory(
        attrs.has,
        lambda cls: make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True
        ),
    )
    return converter


strict_converter = _make_converter()
"""Refuses unknown keys, missing values, and numbers in strings."""


def structure_errors(group: BaseValidationError, root: str) -> list[StreamthreadError]:
    """Return one error a mistake, each with its JSON path and remedy."""
    return list(_walk(group, root))


def _walk(error: BaseException, path: str) -> t.Iterator[StreamthreadError]:
    if isinstance(error, IterableValidationError):
        with_notes, without = error.group_exceptions()
        for part, note in with_notes:
            yield from _walk(part, f"{path}[{note.index!r}]")
        for part in without:
            yield from _walk(part, path)
    elif isinstance(error, BaseValidationError):
        yield from _walk_class(error, path)
    else:
        yield _explain(error, path)


def _walk_class(error: BaseValidationError, path: str) -> t.Iterator[StreamthreadError]:
    with_notes, without = error.group_exceptions()  # type: ignore[attr-defined]
    for part, note in with_notes:
        yield from _walk(part, f"{path}.{note.name}")
    for part in without:
        if isinstance(part, ForbiddenExtraKeysError):
            yield from _explain_extra(part, path)
        else:
            yield from _walk(part, path)


def _explain_extra(
    error: ForbiddenExtraKeysError, path: str
) -> t.Iterator[StreamthreadError]:
    known = [field.name for field in attrs.fields(t.cast(t.Any, error.cl))]
    for key in sorted(error.extra_fields):
        remedy = f"known keys are {', '.join(known)}"
        stem = _stem(key)
        same = [name for name in known if _stem(name) == stem]
        if same:
            remedy = f"write {same[0]!r}, in the unit that its name ends with"
        yield SettingsError("unknown key", remedy=remedy, location=f"{path}.{key}")


def _stem(key: str) -> str:
    for unit in UNITS:
        if key.endswith(unit):
            return key.removesuffix(unit)
    return key


def _explain(error: BaseException, path: str) -> StreamthreadError:
    if isinstance(error, KeyError):
        name = error.args[0]
        return SettingsError("missing value", remedy=f"add {name!r}", location=path)
    if isinstance(error, StreamthreadError):
        inner = f"{path}.{error.location}" if error.location else path
        return SettingsError(error.message, remedy=error.remedy, location=inner)
    field = _validated_field(error)
    message = str(error.args[0]) if error.args else transform_error(error)[0]
    return SettingsError(
        message,
        remedy="give a value of the stated kind",
        location=f"{path}.{field}" if field else path,
    )


def _validated_field(error: BaseException) -> str:
    """Return the field whose validator raised, as attrs names it in the error."""
    if len(error.args) > 1 and isinstance(error.args[1], attrs.Attribute):
        return error.args[1].name
    return ""
