"""Checks of runs on runners that were never reached, and of overdue commits."""

import asyncio
import time
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


STALL_S = 0.2


class _Intake:
    """Records how late each check of the commits was."""

    def __init__(self) -> None:
        self.late_s: list[float] = []

    def refuse_overdue(self, late_s: float = 0.0) -> None:
        self.late_s.append(late_s)


class TestCheckOfCommits:
    # Guards against a check that takes the loop's stall for one of the store.
    async def test_tells_how_long_the_loop_stood_still(self) -> None:
        intake = _Intake()
        log = types.SimpleNamespace(is_degraded=lambda: False)
        owner = types.SimpleNamespace(log=log, engine=None)
        housekeeping = Housekeeping(
            t.cast(t.Any, owner), t.cast(t.Any, None), t.cast(t.Any, intake)
        )
        checking = asyncio.ensure_future(housekeeping.extend_while_commits_fail())
        await asyncio.sleep(0)
        time.sleep(module.COMMIT_FAILURE_POLL_S + STALL_S)
        while not intake.late_s:
            await asyncio.sleep(0)
        checking.cancel()
        assert intake.late_s[0] >= STALL_S
