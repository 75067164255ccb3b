"""Divides JSON objects and arrays into their parts without parsing the parts.

A parser fails at the first thing that it can't represent, such as values that are
nested too deeply, and all that stands beside it is lost. The division only looks at
texts and brackets, so that each part can be parsed by itself.
"""

import re
import typing as t

__all__ = ["split_array", "split_object"]

_TOKENS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[][{},:]', re.DOTALL)

_CLOSING = {b"{": b"}", b"[": b"]"}


def split_array(text: bytes) -> list[bytes]:
    """Return the elements of an array.

    :raises ValueError: the text is not an array.
    """
    return [element for _, element in _split(text, b"[")]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Return the members of an object by their names, as they are written.

    :raises ValueError: the text is not an object.
    """
    members: dict[bytes, bytes] = {}
    for name, value in _split(text, b"{"):
        if not (len(name) >= 2 and name.startswith(b'"') and name.endswith(b'"')):
            raise ValueError("a member of the object has no name")
        members[name[1:-1]] = value
    return members


def _split(text: bytes, opening: bytes) -> t.Iterator[tuple[bytes, bytes]]:
    """Yield the name and the value of each part; elements of an array have no name."""
    text = text.strip()
    if not text.startswith(opening) or not text.endswith(_CLOSING[opening]):
        raise ValueError(f"the text does not begin with {opening!r}, or has no end")
    depth = 0
    name = b""
    begin = 1
    for token in _TOKENS.finditer(text):
        mark = token.group()
        if mark in (b"{", b"["):
            depth += 1
        elif mark in (b"}", b"]"):
            depth -= 1
            if depth == 0:
                if token.end() != len(text):
                    raise ValueError("the text goes on after its end")
                yield from _part(name, text[begin : token.start()])
                return
        elif depth == 1 and mark == b":" and opening == b"{" and not name:
            name, begin = text[begin : token.start()].strip(), token.end()
        elif depth == 1 and mark == b",":
            yield from _part(name, text[begin : token.start()])
            name, begin = b"", token.end()
    raise ValueError("the text has no end")


def _part(name: bytes, value: bytes) -> t.Iterator[tuple[bytes, bytes]]:
    value = value.strip()
    if name or value:
        yield name, value
