"""The stand-in platform: when runs end, orders take effect and ends are confirmed."""

import asyncio
import json
import time
import typing as t

import aiohttp
import pytest
from aiohttp import web

from streamthread.errors import OutcomeUnknownError
from streamthread.platform.runners import Refusal
from streamthread.platform.runners import RunnerClient
from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import RunnerStandin
from streamthread.standins.cell import StoreStandin
from streamthread.standins.cell.port import HttpPort
from streamthread.standins.cell.runner import StartedRun

from .support import until


def _runner(ended: list[tuple[str, int, str, float]]) -> RunnerStandin:
    started: list[StartedRun] = []
    return RunnerStandin("i-1", "desk", ("a", "r"), 16000, 100, started, ended, {})


def _start(task: str, run_s: float, deadline_s: float) -> dict[str, object]:
    deadline_ms = int((time.monotonic() + deadline_s) * 1000)
    spec = f'{{"run_s": {run_s}}}'
    return {"task": task, "run": 1, "spec": spec, "deadlineMs": deadline_ms}


async def _hold(runner: RunnerStandin, observed: int) -> None:
    deadline_ms = int((time.monotonic() + 60) * 1000)
    runner._advance()
    await runner._hold({"observed": observed, "deadlineMs": deadline_ms})


class TestEnds:
    async def test_an_expiry_is_dated_at_the_deadline(self) -> None:
        ended: list[tuple[str, int, str, float]] = []
        runner = _runner(ended)
        before_s = time.monotonic()
        assert runner._try_start(_start("long", 60, 0.1)) == ""
        await until(lambda: time.monotonic() > before_s + 0.5, "time passes")
        assert runner.running() == []
        ((_, _, how, at_s),) = ended
        assert how == "lapsed"
        assert at_s < before_s + 0.2

    async def test_a_run_that_ended_before_the_deadline_is_done(self) -> None:
        ended: list[tuple[str, int, str, float]] = []
        runner = _runner(ended)
        before_s = time.monotonic()
        assert runner._try_start(_start("short", 0.05, 0.2)) == ""
        await until(lambda: time.monotonic() > before_s + 0.5, "time passes")
        assert runner.running() == []
        assert [how for _, _, how, _ in ended] == ["done"]

    async def test_a_run_that_crashes_its_runner_is_never_done(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a crashing task that is done while the event loop stalls."""
        ended: list[tuple[str, int, str, float]] = []
        runner = _runner(ended)
        order = _start("job.0.0.0", 0.05, 60)
        assert (
            runner._try_start({**order, "spec": '{"run_s": 0.05, "crash": ["0"]}'})
            == ""
        )
        stalled_until_s = time.monotonic() + 1.0
        monkeypatch.setattr(time, "monotonic", lambda: stalled_until_s)
        runner._advance()
        assert ended == []
        assert runner.running() == ["job.0.0.0"]

    @pytest.mark.parametrize(("run_s", "how"), [(60, "lapsed"), (0.05, "done")])
    async def test_a_run_that_ended_unseen_does_not_die_with_its_runner(
        self, run_s: float, how: str
    ) -> None:
        """Guards against runs that seem to go on until their silent runner exits."""
        ended: list[tuple[str, int, str, float]] = []
        runner = _runner(ended)
        before_s = time.monotonic()
        assert runner._try_start(_start("unseen", run_s, 0.1)) == ""
        await until(lambda: time.monotonic() > before_s + 0.5, "time passes")
        runner.kill()
        assert [end[2] for end in ended] == [how]
        assert ended[0][3] < before_s + 0.2


class TestOrders:
    async def test_refused_orders_do_nothing(self) -> None:
        world = CellWorld({"desk": 1})
        await world.open()
        client = RunnerClient()
        try:
            runner = world.runners[0]
            assert runner._try_start(_start("long", 60, 60)) == ""
            runner.faults.refuse_orders = 503
            address = runner.port.address
            stop = (address, runner.runner_id, "long", 1, 1, 1.0)
            reply = await client.stop(*stop)
            assert reply.refusal is Refusal.UNHEALTHY
            assert runner.runs() == [("long", 1)]
            assert runner.highest_token == 0
            runner.faults.refuse_orders = 0
            assert (await client.stop(*stop)).refusal is None
            await until(lambda: runner.runs() == [], "the run stops")
        finally:
            await client.close()
            await world.close()

    async def test_a_late_stop_takes_effect_without_an_answer(self) -> None:
        world = CellWorld({"desk": 1})
        await world.open()
        client = RunnerClient()
        try:
            runner = world.runners[0]
            assert runner._try_start(_start("long", 60, 60)) == ""
            runner.faults.late_stops = 1
            address = runner.port.address
            with pytest.raises(OutcomeUnknownError):
                await client.stop(address, runner.runner_id, "long", 1, 1, 0.1)
            assert runner.runs() == [("long", 1)]
            await until(lambda: runner.runs() == [], "the run stops")
            assert runner.late_orders == 0
        finally:
            await client.close()
            await world.close()


class TestConfirmations:
    async def test_after_an_expiry_are_late(self) -> None:
        runner = _runner([])
        assert runner._try_start(_start("short", 0.05, 0.2)) == ""
        before_s = time.monotonic()
        await until(lambda: time.monotonic() > before_s + 0.3, "the runs expire")
        await _hold(runner, observed=0)
        await _hold(runner, observed=1)
        assert runner.unknown_ends == {("short", 1)}

    async def test_that_are_missing_when_the_incarnation_ends(self) -> None:
        runner = _runner([])
        assert runner._try_start(_start("short", 0.05, 60.0)) == ""
        before_s = time.monotonic()
        await until(lambda: time.monotonic() > before_s + 0.1, "the run ends")
        await _hold(runner, observed=0)
        runner.kill()
        assert runner.unknown_ends == {("short", 1)}

    async def test_of_a_held_runner_are_in_time(self) -> None:
        runner = _runner([])
        assert runner._try_start(_start("short", 0.05, 60.0)) == ""
        before_s = time.monotonic()
        await until(lambda: time.monotonic() > before_s + 0.1, "the run ends")
        await _hold(runner, observed=0)
        await _hold(runner, observed=1)
        assert runner.unknown_ends == set()


class TestFeed:
    async def test_returns_no_version_without_its_changes(self) -> None:
        """A row is written at the moment when a feed call times out."""
        store = StoreStandin()
        query = {"table": "op", "after": "0", "waitMs": "50"}
        feed = asyncio.ensure_future(store._feed(query))
        await until(lambda: store.waiting_feeds, "the feed waits")
        async with store._changed:
            await asyncio.sleep(0.1)
            store.version += 1
            store._set(("op", "", "config"), "value")
        answer = json.loads(t.cast(bytes, (await feed).body))
        assert answer["ver"] == 0 or len(answer["rows"]) == 1


class TestPort:
    # Guards against machines that never come back as another process took their port.
    async def test_is_another_one_if_it_is_taken(self) -> None:
        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            return web.Response(text="here")

        first, second = HttpPort(answer), HttpPort(answer)
        await first.open()
        try:
            await second.open(int(first.address.rpartition(":")[2]))
            assert second.address != first.address
            async with aiohttp.ClientSession() as session:
                for port in (first, second):
                    async with session.get(f"http://{port.address}/") as reply:
                        assert await reply.text() == "here"
        finally:
            await first.close()
            await second.close()
