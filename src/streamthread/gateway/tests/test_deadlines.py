"""The wait that is assumed for a caller, for valid and invalid deadline headers."""

import typing as t

import pytest

from streamthread.gateway.frontend import _wait_s
from streamthread.gateway.frontend import DEFAULT_WAIT_S
from streamthread.gateway.frontend import MAX_WAIT_S
from streamthread.platform.callers import DEADLINE_HEADER


class _Request:
    def __init__(self, text: str) -> None:
        self.headers = {DEADLINE_HEADER: text} if text else {}


@pytest.mark.parametrize(
    ("text", "wait_s"),
    [
        ("1500", 1.5),
        ("0", 0.0),
        ("", DEFAULT_WAIT_S),
        ("soon", DEFAULT_WAIT_S),
        ("-1", DEFAULT_WAIT_S),
        ("nan", DEFAULT_WAIT_S),
        ("-inf", DEFAULT_WAIT_S),
        ("inf", MAX_WAIT_S),
        ("1e300", MAX_WAIT_S),
    ],
)
def test_wait_is_finite_and_not_negative(text: str, wait_s: float) -> None:
    assert _wait_s(t.cast(t.Any, _Request(text))) == wait_s
