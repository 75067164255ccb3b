"""A short soak with fixed seeds: real processes, faults from outside.

``REGRESSIONS`` lists every seed that has failed, with its cause.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import struct
import time
from unittest import mock

import attrs
import pytest
from tools.soak import run_soak
from tools.soak import Soak
from tools.soak import SoakPlan
from tools.soak_checks import check_duties
from tools.soak_checks import check_evacuations
from tools.soak_checks import check_jobs
from tools.soak_checks import check_stops
from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_stops import neglected_tasks

from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import Duty
from streamthread.standins.cell.runner import StartedRun
from streamthread.standins.proxy import Link
from streamthread.standins.proxy import LinkFaults

PLANS = (
    SoakPlan(1, seconds=5.0),
    SoakPlan(2, seconds=5.0),
    SoakPlan(3, seconds=8.0, stops=True),
    SoakPlan(4, seconds=6.0, writer=True),
    SoakPlan(5, seconds=6.0, runners=True),
    SoakPlan(6, seconds=6.0, accounts=True),
    SoakPlan(7, seconds=6.0, stops=True, restarts=True),
    SoakPlan(8, seconds=8.0, halls=True),
    SoakPlan(9, seconds=6.0, accounts=True, floods=True),
    SoakPlan(10, seconds=6.0, large=True),
    SoakPlan(11, seconds=6.0, runners=True, series=True),
    SoakPlan(12, seconds=6.0, odd=True),
    SoakPlan(13, seconds=6.0, odd=True, advice=True),
    SoakPlan(14, seconds=6.0, faults_per_s=1.5, advice=True, new_routes=True),
    SoakPlan(15, seconds=6.0, accounts=True, sizes=True, new_routes=True),
)
REGRESSIONS: tuple[SoakPlan, ...] = (
    # The stand-in's runner reported an expiry only when it was next called, not when
    # the run expired.
    SoakPlan(210, seconds=5.0, first_faults=True),
    # A task was done on a silent runner and started again elsewhere after its run there
    # had expired; then the runner reported the end. That is allowed: the check took an
    # end that was confirmed after an expiry for an end that had been known.
    SoakPlan(11001),
    # A runner was gone before the ends that it had reported were confirmed, once with
    # the store down and once with its holder paused. That is also allowed.
    SoakPlan(12014),
    SoakPlan(12025),
    # A holder whose machine was suspended rolled back jobs when it resumed, although
    # another daemon had accepted them meanwhile and written them to the inbox.
    SoakPlan(52001, stops=True, writer=True, runners=True),
    # Runners exited by themselves three times, each time within 0.5 s of the start of
    # the same task, which was given up. Among the counted exits were some that the
    # task's runner survived, that each holder counted again, that came before the
    # start, or that another suspected task had caused.
    SoakPlan(
        70025, stops=True, writer=True, runners=True, accounts=True, restarts=True
    ),
    # The same; and runners exited three times and more where no holder was there to see
    # that they had outlived the task's start. Once an account was over its limit, which
    # a new holder had not read yet.
    SoakPlan(
        71012, stops=True, writer=True, runners=True, accounts=True, restarts=True
    ),
    # The next holder started a run again on the next incarnation of a runner that the
    # run had crashed, and neither holder counted the crash.
    SoakPlan(
        70009, stops=True, writer=True, runners=True, accounts=True, restarts=True
    ),
    # Each restart of a series was attributed to runs that were waiting for their stop.
    SoakPlan(
        70012, stops=True, writer=True, runners=True, accounts=True, restarts=True
    ),
    # A holder was suspended for 4 s in the middle of a pass over its queue, and placed
    # nothing for the next 16 s, so that two long-running tasks had no run. Of the
    # faults of runners that restart, only silent ones occurred.
    # Once a holder placed a suspect beside a start that the one before it had recorded,
    # and both were held back for the exit that followed.
    SoakPlan(
        98102,
        stops=True,
        writer=True,
        runners=True,
        accounts=True,
        restarts=True,
        silent_restarts=True,
    ),
    # A long-running task had no run for 9 s: its next call for advice came after those
    # of some 200 jobs that waited.
    SoakPlan(
        260007,
        seconds=8.0,
        stops=True,
        writer=True,
        runners=True,
        accounts=True,
        restarts=True,
        halls=True,
        floods=True,
        series=True,
        odd=True,
        advice=True,
        sizes=True,
        new_routes=True,
    ),
)


class TestSoak:
    @pytest.mark.parametrize("plan", [*PLANS, *REGRESSIONS], ids=lambda p: str(p.seed))
    async def test_breaks_no_promise(
        self, plan: SoakPlan, tmp_path: pathlib.Path
    ) -> None:
        broken, faults = await run_soak(plan, tmp_path)
        assert broken == [], faults


class TestCheckOfStops:
    @pytest.mark.parametrize(
        ("ended_s", "late", "allowed"),
        [(3.3, False, True), (3.5, False, False), (3.5, True, True)],
    )
    async def test_allows_a_run_until_the_limit(
        self, ended_s: float, late: bool, allowed: bool
    ) -> None:
        world = CellWorld({})
        job = SubmittedJob("job", "desk", accepted=True, cancelled_at_s=100.0)
        world.started.append(StartedRun("job.0.0.0", 1, "i-1", 101.0, late))
        world.ended.append(("job.0.0.0", 1, "stopped", 100.0 + ended_s))
        found = list(check_stops(world, {"job": job}, quiet_at_s=99.0))
        assert (found == []) is allowed

    async def test_finds_what_still_runs(self) -> None:
        world = CellWorld({"desk": 1})
        await world.open()
        try:
            now_s = time.monotonic()
            order = {"task": "job.0.0.0", "run": 1, "spec": '{"run_s": 60}'}
            deadline_ms = int((now_s + 60) * 1000)
            world.runners[0]._try_start({**order, "deadlineMs": deadline_ms})
            job = SubmittedJob("job", "desk", cancelled_at_s=now_s - 10)
            assert list(check_stops(world, {"job": job}, quiet_at_s=now_s)) == []
            assert len(list(check_stops(world, {"job": job}, now_s - 10))) == 1
        finally:
            await world.close()


class TestCheckOfJobs:
    """Guards against a check that overlooks jobs that are shown as ended."""

    @pytest.mark.parametrize(
        ("state", "job", "broken"),
        [
            ("completed", SubmittedJob("job", "desk"), 0),
            ("failed", SubmittedJob("job", "desk"), 1),
            ("failed", SubmittedJob("job", "desk", lasting=True), 1),
            ("failed", SubmittedJob("job", "desk", sound_tasks=0), 1),
            ("completed", SubmittedJob("job", "desk", lasting=True), 1),
            ("completed", SubmittedJob("job", "desk", sound_tasks=0), 1),
            ("cancelled", SubmittedJob("job", "desk", lasting=True), 1),
            ("cancelled", SubmittedJob("job", "desk", cancel_sent=True), 0),
        ],
    )
    async def test_finds_states_without_a_cause(
        self, state: str, job: SubmittedJob, broken: int
    ) -> None:
        shown = attrs.evolve(job, states={state})
        assert len(list(check_jobs(CellWorld({}), {"job": shown}))) == broken


class TestCrashingJobs:
    async def test_are_cancelled_once_the_holder_knows_that_the_others_are_done(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a job that goes on since its runner exited after the end.

        The end was noted by the holder and could not be confirmed to the runner.
        """
        soak = Soak(SoakPlan(1), tmp_path, "")
        job = SubmittedJob("job", "desk", accepted=True, sound_tasks=1)
        soak.world.ended.append(("job.0.0.0", 1, "done", 1.0))
        left = [None, ["job.0.0.0", "job.0.0.1"], ["job.0.0.1"]]
        cancelled: list[int] = []

        async def tasks_left(*_: object) -> list[str] | None:
            return left.pop(0)

        async def cancel(*_: object) -> None:
            cancelled.append(len(left))

        with (
            mock.patch.object(soak, "tasks_left", tasks_left),
            mock.patch.object(soak, "cancel", cancel),
        ):
            async with asyncio.timeout(5):
                await soak._cancel_when_sound_tasks_end(job)
        assert cancelled == [0]


class TestCheckOfLastingJobs:
    """Guards against a lasting task that has a run again, and too late."""

    @pytest.mark.parametrize(
        ("ended_s", "checked_s", "broken"),
        [
            (-9.0, 6.9, False),
            (-9.0, 7.1, True),
            (0.5, 9.4, False),
            (0.5, 9.6, True),
            (None, 6.9, False),
            (None, 7.1, True),
        ],
    )
    async def test_finds_what_has_not_run_for_too_long(
        self, ended_s: float | None, checked_s: float, broken: bool
    ) -> None:
        world = CellWorld({})
        if ended_s is not None:
            world.ended.append(("job.0.0.0", 1, "died", 100.0 + ended_s))
        found = neglected_tasks({"job.0.0.0"}, world, 100.0, 100.0 + checked_s)
        assert found == (["job.0.0.0"] if broken else [])


class TestStateCallers:
    async def test_records_a_state_shown_during_the_play(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a job that has failed only while nobody waits for its end."""
        soak = Soak(SoakPlan(1), tmp_path, "")
        job = soak.jobs["job"] = SubmittedJob("job", "desk", accepted=True)
        states = ["running", "failed"]

        async def answer(*_: object) -> tuple[int, str]:
            return 200, states.pop(0) if states else "completed"

        with mock.patch.object(soak, "call", answer):
            callers = asyncio.create_task(soak._states.play())
            async with asyncio.timeout(5):
                while not job.shown:
                    await asyncio.sleep(0.01)
            callers.cancel()
        assert "failed" in job.states

    @pytest.mark.parametrize(
        "job",
        [
            SubmittedJob("job", "desk", uncertain=True),
            SubmittedJob("job", "desk", accepted=True, states={"completed"}),
        ],
        ids=["no answer", "completed"],
    )
    async def test_ask_for_every_job_that_may_be_known(
        self, job: SubmittedJob, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a failed job that is not asked for any more."""
        soak = Soak(SoakPlan(1), tmp_path, "")
        soak.jobs["job"] = attrs.evolve(job)
        assert soak._states._choose() is soak.jobs["job"]


class TestCheckOfEvacuations:
    """Guards against a check that overlooks starts, or counts allowed ones."""

    @pytest.mark.parametrize(
        ("after_s", "withdrawn", "late", "allowed"),
        [
            (-0.1, False, False, True),
            (4.9, False, False, True),
            (5.1, False, False, False),
            (5.1, False, True, True),
            (5.1, True, False, True),
        ],
    )
    async def test_allows_starts_until_the_bound(
        self, after_s: float, withdrawn: bool, late: bool, allowed: bool
    ) -> None:
        world = CellWorld({"desk": 1}, halls=("north",))
        world.evacuate_ms = 5000
        await world.open()
        try:
            await world.evacuate("south")
            await world.evacuate("north")
            if withdrawn:
                await world.take_back("north")
            at_s = world.evacuations[1].acknowledged_at_s + after_s
            runner_id = world.runners[0].runner_id
            world.started.append(StartedRun("job.0.0.0", 1, runner_id, at_s, late))
            assert (list(check_evacuations(world)) == []) is allowed
        finally:
            await world.close()


class TestCheckOfDuties:
    @pytest.mark.parametrize(
        ("orders", "broken"),
        [
            ([("m-1", 1), ("m-2", 2), ("m-1", 1)], 0),
            ([("m-1", 1), ("m-1", 2), ("m-1", 2)], 0),
            ([("m-1", 2), ("m-1", 1), ("m-1", 2), ("m-1", 1)], 2),
        ],
    )
    async def test_finds_orders_of_earlier_holders(
        self, orders: list[tuple[str, int]], broken: int
    ) -> None:
        """Guards against a check that overlooks an older order after a newer one."""
        world = CellWorld({})
        for machine_id, token in orders:
            world.cloud.received.append(Duty("move", machine_id, "holder", token))
        assert len(list(check_duties(world))) == broken


class TestHeldLink:
    @pytest.mark.parametrize(("reset", "arrives"), [(False, True), (True, False)])
    async def test_delivers_bytes_unless_their_sender_resets_the_connection(
        self, reset: bool, arrives: bool
    ) -> None:
        """Guards against a partition that loses all held bytes, or delivers all."""
        received = asyncio.Event()
        ended = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, answers: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError):
                while await reader.read(100):
                    received.set()
            # A connection at its end of stream stays open until it is closed.
            answers.close()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        link = Link()
        await link.start("127.0.0.1")
        link.set_target("127.0.0.1", server.sockets[0].getsockname()[1])
        link.set_faults(LinkFaults(hold=True))
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", link.port)
            writer.write(b"order")
            await writer.drain()
            # The relay has read the bytes before the connection ends.
            await asyncio.sleep(0.1)
            if reset:
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                await asyncio.wait_for(ended.wait(), 5)
            else:
                writer.close()
            assert not received.is_set()
            link.set_faults(LinkFaults())
            await asyncio.wait_for(ended.wait(), 5)
            assert received.is_set() is arrives
        finally:
            await link.close()
            server.close()


class TestDaemon:
    async def test_counts_unrequested_exits(self, tmp_path: pathlib.Path) -> None:
        world = CellWorld({"desk": 1})
        await world.open()
        daemon = Daemon("daemon-0", world, tmp_path)
        try:
            await daemon.prepare()
            await daemon.start()
            await daemon.restart(signal.SIGKILL, 0.0)
            assert daemon.unasked_ends == 0
            assert daemon._process is not None
            os.kill(daemon._process.pid, signal.SIGTERM)
            await daemon.ended()
            assert daemon.unasked_ends == 1
        finally:
            await daemon.close()
            await world.close()
