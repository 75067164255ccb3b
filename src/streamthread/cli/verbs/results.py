"""What every verb is given, and what it returns."""

import argparse
import typing as t

from ..client import OperatorClient

__all__ = ["Arguments", "Result", "client_of"]

Arguments = argparse.Namespace


class Result(t.NamedTuple):
    """What a verb prints, and its exit status."""

    value: t.Any
    status: int = 0


def client_of(arguments: Arguments) -> OperatorClient:
    """Return the client of the entry that a verb asks."""
    return OperatorClient(arguments.server)
