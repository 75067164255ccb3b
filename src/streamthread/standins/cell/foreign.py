"""Runner entries that a faulty writer may store; none describes a usable runner."""

import json
import typing as t

__all__ = ["ENTRY", "FOREIGN_ENTRIES", "JsonValue"]

JsonValue = t.Any

ENTRY: dict[str, JsonValue] = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "here",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "machine": "m-0",
    "clockMs": 1,
}
"""A valid runner entry with all documented fields."""

_OTHER_VALUES: tuple[JsonValue, ...] = (None, 7, "text", True, [1], {"a": 1}, -1)

_REQUIRED = ("service", "address", "zone", "state", "capacity", "labels")

_NESTING_DEPTH = 5_000
"""Nesting depth that exceeds the stack of any parser."""

_MAX_ROW_BYTES = 64 * 1024
"""Maximum size of a row in the store."""


def _same_type(value: JsonValue, other: JsonValue) -> bool:
    if isinstance(value, bool) or isinstance(other, bool):
        return type(value) is type(other)
    return isinstance(other, type(value))


def _texts() -> t.Iterator[bytes]:
    yield b""
    yield b"\xff\xfe\x00"
    yield b"{"
    yield b"[]"
    yield b"null"
    yield b"{}"
    yield b'"ready"'
    yield b"NaN"
    yield b"1e999"
    yield b"[" * _NESTING_DEPTH + b"]" * _NESTING_DEPTH
    yield json.dumps(ENTRY | {"service": "a\udc80"}).encode()
    yield json.dumps(ENTRY).encode()[:-1]
    yield json.dumps(ENTRY | {"padding": "x" * _MAX_ROW_BYTES}).encode()
    nested = b'{"more":' * _NESTING_DEPTH + b"1" + b"}" * _NESTING_DEPTH
    yield json.dumps(ENTRY).encode()[:-1] + b',"more":' + nested + b"}"


def _entries() -> t.Iterator[JsonValue]:
    for name in _REQUIRED:
        yield {field: value for field, value in ENTRY.items() if field != name}
    for name, value in ENTRY.items():
        if name == "clockMs":
            continue
        for other in _OTHER_VALUES:
            # A machine may be null. Otherwise a field rejects other types and -1.
            if other is None and name == "machine":
                continue
            if not _same_type(value, other) or other == -1:
                yield ENTRY | {name: other}
    for state in ("", "READY", "paused", "leaving"):
        yield ENTRY | {"state": state}
    for address in ("", "nowhere", "127.0.0.1", "127.0.0.1:0x50", "127.0.0.1:70000"):
        yield ENTRY | {"address": address}
    for capacity in (
        {},
        {"cpu": 1},
        {"cpu": "1", "memMb": 1},
        {"cpu": 1e400, "memMb": 1},
    ):
        yield ENTRY | {"capacity": capacity}
    yield ENTRY | {"labels": [["a"]]}
    yield ENTRY | {"service": ""}
    yield ENTRY | {"service": "nobody-names-this"}


FOREIGN_ENTRIES: tuple[bytes, ...] = (
    *_texts(),
    *(json.dumps(entry).encode() for entry in _entries()),
)
"""Row values that are not valid runner entries."""
