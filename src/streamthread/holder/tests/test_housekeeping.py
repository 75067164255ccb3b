"""When a new holder treats runs on runners that it never reached as ended."""

import asyncio
import types
import typing as t

import pytest

from streamthread.clocks import boot_s
from streamthread.holder import housekeeping as module
from streamthread.holder.housekeeping import Housekeeping
from streamthread.runners import LinkSettings

SETTINGS = LinkSettings(most_hold_s=0.2)


class _Engine:
    def __init__(self) -> None:
        self.dropped: list[str] = []

    def orphans(self) -> list[str]:
        return ["run"]

    def drop_orphan(self, attempt: str) -> None:
        self.dropped.append(attempt)


def _owner(engine: _Engine, last_hold_at_s: float) -> t.Any:
    settings = types.SimpleNamespace(links=SETTINGS)
    return types.SimpleNamespace(
        engine=engine,
        taken=types.SimpleNamespace(last_hold_at_s=last_hold_at_s),
        context=types.SimpleNamespace(settings=settings),
        kick=lambda: None,
    )


class TestRunsOnUnknownRunners:
    async def test_are_dropped_once_they_have_certainly_expired(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(module, "FORGET_INTERVAL_S", 3600.0)
        engine = _Engine()
        last_hold_at_s = boot_s()
        housekeeping = Housekeeping(
            _owner(engine, last_hold_at_s), t.cast(t.Any, None), t.cast(t.Any, None)
        )
        waiting = asyncio.ensure_future(housekeeping.drop_orphans())
        await waiting
        assert engine.dropped == ["run"]
        assert boot_s() >= last_hold_at_s + SETTINGS.expiry_bound_s
