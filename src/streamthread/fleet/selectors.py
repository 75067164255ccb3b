"""Selectors over labels, in the conventional syntax.

Requirements joined by commas must all hold::

    hall in (plateau, hann), cores >= 16, !quarantined, service = billing

``key``, ``!key``, ``=``, ``!=``, ``in``, ``notin`` compare text; ``<``, ``<=``,
``>`` and ``>=`` compare numbers. A missing label fails every requirement but
``!key``, ``!=`` and ``notin``. The empty selector matches everything.
"""

import functools
import operator
import typing as t

import lark

from ..errors import SelectorError

__all__ = ["Labels", "Selector"]

Labels = t.Mapping[str, str]

_Predicate = t.Callable[[Labels], bool]

_GRAMMAR = r"""
    start: [requirement ("," requirement)*]
    ?requirement: "!" KEY -> missing
        | KEY "in" "(" values ")" -> in_set
        | KEY "notin" "(" values ")" -> not_in_set
        | KEY "=" VALUE -> equals
        | KEY "!=" VALUE -> differs
        | KEY COMPARISON NUMBER -> compares
        | KEY -> present
    values: VALUE ("," VALUE)*
    COMPARISON: "<=" | ">=" | "<" | ">"
    KEY: /[A-Za-z_][A-Za-z0-9_.\/-]*/
    VALUE: /[A-Za-z0-9_.:\/-]+/
    NUMBER: /-?[0-9]+(\.[0-9]+)?/
    %ignore " "
"""

_COMPARISONS: dict[str, t.Callable[[float, float], bool]] = {
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


def _number(labels: Labels, key: str) -> float | None:
    try:
        return float(labels[key])
    except (KeyError, ValueError):
        return None


class _Compiler(lark.Transformer[lark.Token, _Predicate]):
    """Turns each requirement into a function of the labels."""

    def start(self, requirements: list[_Predicate | None]) -> _Predicate:
        kept = [requirement for requirement in requirements if requirement]
        return lambda labels: all(requirement(labels) for requirement in kept)

    def values(self, tokens: list[lark.Token]) -> frozenset[str]:
        return frozenset(str(token) for token in tokens)

    def present(self, args: list[t.Any]) -> _Predicate:
        key = str(args[0])
        return lambda labels: key in labels

    def missing(self, args: list[t.Any]) -> _Predicate:
        key = str(args[0])
        return lambda labels: key not in labels

    def equals(self, args: list[t.Any]) -> _Predicate:
        key, value = str(args[0]), str(args[1])
        return lambda labels: labels.get(key) == value

    def differs(self, args: list[t.Any]) -> _Predicate:
        key, value = str(args[0]), str(args[1])
        return lambda labels: labels.get(key) != value

    def in_set(self, args: list[t.Any]) -> _Predicate:
        key, allowed = str(args[0]), args[1]
        return lambda labels: labels.get(key) in allowed

    def not_in_set(self, args: list[t.Any]) -> _Predicate:
        key, refused = str(args[0]), args[1]
        return lambda labels: labels.get(key) not in refused

    def compares(self, args: list[t.Any]) -> _Predicate:
        key, compare, bound = str(args[0]), _COMPARISONS[args[1]], float(args[2])

        def holds(labels: Labels) -> bool:
            number = _number(labels, key)
            return number is not None and compare(number, bound)

        return holds


_PARSER = lark.Lark(_GRAMMAR, parser="earley", lexer="dynamic")


class Selector:
    """A parsed selector."""

    def __init__(self, text: str, predicate: _Predicate) -> None:
        self.text = text
        self._predicate = predicate

    @classmethod
    def parse(cls, text: str) -> "Selector":
        """Parse a selector; equal texts share one object.

        :raises SelectorError: the location is the column of the mistake.
        """
        return _parse(text)

    def matches(self, labels: Labels) -> bool:
        """Whether all requirements hold for some labels."""
        return self._predicate(labels)


@functools.lru_cache(maxsize=4096)
def _parse(text: str) -> Selector:
    try:
        tree = _PARSER.parse(text)
    except lark.UnexpectedInput as error:
        column = error.column if error.column and error.column > 0 else len(text) + 1
        raise SelectorError(
            f"selector {text!r} cannot be read",
            remedy="write requirements like 'hall in (a, b), cores >= 16, !old'",
            location=f"column {column}",
        ) from None
    return Selector(text, _Compiler().transform(tree))
