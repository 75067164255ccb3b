"""A request that makes upstreams fail is sent to two upstreams at most.

The retry budget alone would let such a request make many upstreams fail, one after
another.
"""

import typing as t

import pytest
from aiohttp import web

from streamthread.errors import StreamthreadError
from streamthread.requests import dispatch
from streamthread.requests.dispatch import Dispatcher
from streamthread.requests.outcomes import Outcome
from streamthread.requests.outcomes import Problem


class _Upstream:
    def __init__(self, number: int) -> None:
        self.instance_id = f"u{number}"


class _Slot:
    def __init__(self, number: int) -> None:
        self.upstream = _Upstream(number)


class _Router:
    """Returns a slot on another upstream for each call."""

    def __init__(self) -> None:
        self.sent = 0

    async def acquire(self, *arguments: object) -> _Slot:
        self.sent += 1
        return _Slot(self.sent)

    def release(self, slot: _Slot) -> None:
        pass


class _Call:
    repeat_safe = True
    service = spec = team = ""
    deadline_at_s = 0.0


class TestRequestThatLosesAnswers:
    async def test_is_not_sent_to_a_third_upstream(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        router = _Router()
        dispatcher = Dispatcher(t.cast(t.Any, router), lambda: False)

        async def break_off(*arguments: object) -> web.StreamResponse:
            raise dispatch._AnswerLostError("connection reset")

        monkeypatch.setattr(dispatcher, "_send", break_off)
        with pytest.raises(Problem) as raised:
            await dispatcher.dispatch(t.cast(t.Any, None), t.cast(t.Any, _Call()))
        assert raised.value.outcome is Outcome.UNKNOWN
        assert router.sent == 2
        assert not isinstance(raised.value, StreamthreadError)
