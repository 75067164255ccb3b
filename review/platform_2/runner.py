"""A runner that keeps to the published page: leases, ends, checkpoints and gangs."""

import asyncio
import json
import time
import typing as t
import zlib

import attrs
from aiohttp import web

from streamthread.standins.cell.port import HttpPort

__all__ = ["Gangs", "Run", "Runner", "Start"]

Json = dict[str, t.Any]

POLL_S = 0.01
"""How often a waiting hold call looks for an end."""

MAX_ENDS = 500
"""The documented limit of ended runs in one answer."""


@attrs.define
class Bounds:
    """The figures of the users' sheet that a runner keeps."""

    max_hold_ms: int = 10_000
    stop_s: float = 0.2
    gang_s: float = 3.0
    save_s: float = 0.5
    restore_s: float = 0.25


@attrs.define(eq=False)
class Run:
    """One run of a work item.

    :param begun_at_s: when it began to work; 0 while a gang is not complete.
    :param base_ms: the progress of the checkpoint that its start brought.
    """

    task: str
    number: int
    work_ms: int
    came_at_s: float
    checkpoint: str
    begun_at_s: float = 0.0
    base_ms: int = 0
    stopping_at_s: float = 0.0
    saved: str = ""

    @property
    def key(self) -> tuple[str, int]:
        """The work item and the number of the run."""
        return self.task, self.number

    def progress_ms(self, now_s: float) -> int:
        """Return the work that is done, with that of the checkpoint."""
        if not self.begun_at_s:
            return self.base_ms
        worked_ms = int(max(0.0, now_s - self.begun_at_s) * 1000)
        return min(self.work_ms, self.base_ms + worked_ms)


@attrs.frozen
class Start:
    """A start that a runner carried out, with what the order brought."""

    task: str
    number: int
    runner_id: str
    at_s: float
    checkpoint: str
    token: int


class Gangs:
    """Which members of each run of a gang are there.

    :param sizes: the number of members by step (ID.K.STEP), as the client sent it.
    """

    def __init__(self) -> None:
        self.sizes: dict[str, int] = {}
        self.members: dict[tuple[str, int], dict[str, tuple[Runner, Run]]] = {}

    def size(self, task: str) -> int:
        """Return the size of a work item's gang; 0 if its step is none."""
        return self.sizes.get(task.rpartition(".")[0], 0)

    def join(self, runner: "Runner", run: Run, now_s: float) -> None:
        """Add a member; the gang begins to work once all are there."""
        step = run.task.rpartition(".")[0]
        there = self.members.setdefault((step, run.number), {})
        there[run.task] = (runner, run)
        if len(there) < self.sizes[step]:
            return
        base_ms = min(member.base_ms for _, member in there.values())
        for _, member in there.values():
            member.base_ms = base_ms
            member.begun_at_s = now_s + (runner.bounds.restore_s if base_ms else 0.0)

    def leave(self, run: Run, how: str, now_s: float) -> None:
        """End the other members when one of them has ended."""
        step = run.task.rpartition(".")[0]
        there = self.members.pop((step, run.number), {})
        for task, (runner, member) in there.items():
            if task != run.task:
                runner.end(member, "done" if how == "done" else "broken", now_s)


class Runner:
    """One life of a runner.

    :param work_ms: returns how long a work item takes.
    :param started: the starts that all runners carried out, in a shared list.
    :param ended: (work item, run, how, runner, time) of all ends, in a shared list.
    :param listed: the checkpoints in its last list, by run.
    :param tickets: returns whether a ticket is good for a step at a runner now; None if
        starts need no ticket.
    """

    def __init__(
        self,
        runner_id: str,
        machine_id: str,
        service: str,
        rack: str,
        started: list[Start],
        ended: list[tuple[str, int, str, str, float]],
        work_ms: t.Callable[[str], int],
        gangs: Gangs,
        zone: str = "here",
        cpu: int = 16_000,
        memory_mb: int = 32_768,
        tickets: t.Callable[[str, str, str], bool] | None = None,
    ) -> None:
        self.runner_id = runner_id
        self.machine_id = machine_id
        self.service = service
        self.rack = rack
        self.zone = zone
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.bounds = Bounds()
        self.alive = True
        self.draining = False
        self.highest_token = 0
        self.calls = 0
        self.listed: dict[tuple[str, int], str] = {}
        self.refused_tickets = 0
        self._tickets = tickets
        self._started = started
        self._ended = ended
        self._work_ms = work_ms
        self._gangs = gangs
        self._runs: dict[tuple[str, int], Run] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[t.Any]] = []
        self._end_count = 0
        self._deadline_ms = 0
        self._zero_s = time.monotonic() - 5.0
        self.port = HttpPort(self._serve)

    def entry(self) -> str:
        """Return the entry that it keeps in the store."""
        return json.dumps(
            {
                "service": self.service,
                "address": self.port.address,
                "zone": self.zone,
                "version": "1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "sequence": 1,
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
                "labels": ["a", self.rack],
                "machine": self.machine_id,
            }
        )

    def kill(self) -> None:
        """End this life; all that runs here dies, and its gangs break."""
        now_s = time.monotonic()
        self.advance()
        self.alive = False
        for run in list(self._runs.values()):
            del self._runs[run.key]
            self._ended.append((run.task, run.number, "died", self.runner_id, now_s))
            if self._gangs.size(run.task):
                self._gangs.leave(run, "died", now_s)

    def tasks(self) -> list[str]:
        """Return the work items that run here now."""
        self.advance()
        return [task for task, _ in self._runs]

    def has_saved_since_listing(self) -> bool:
        """Whether a run has a newer checkpoint than its last list showed."""
        self.advance()
        return any(
            run.saved != self.listed.get(run.key, "") for run in self._runs.values()
        )

    def clock_ms(self) -> int:
        """Return the steady clock."""
        return int((time.monotonic() - self._zero_s) * 1000)

    # What happens with time.

    def advance(self) -> None:
        """Let everything happen that is due."""
        if not self.alive:
            return
        now_s = time.monotonic()
        for run in list(self._runs.values()):
            if run.key in self._runs:
                self._advance_run(run, now_s)

    def _advance_run(self, run: Run, now_s: float) -> None:
        progress_ms = run.progress_ms(now_s)
        self._save(run, progress_ms, progress_ms // self._save_ms * self._save_ms)
        if self.clock_ms() > self._deadline_ms:
            self.end(run, "lapsed", now_s)
        elif run.stopping_at_s and run.stopping_at_s <= now_s:
            self._save(run, progress_ms, progress_ms)
            self.end(run, "stopped", now_s)
        elif run.begun_at_s and progress_ms >= run.work_ms:
            self.end(run, "done", now_s)
        elif not run.begun_at_s and now_s > run.came_at_s + self.bounds.gang_s:
            self.end(run, "alone", now_s)

    @property
    def _save_ms(self) -> int:
        return int(self.bounds.save_s * 1000)

    @staticmethod
    def _save(run: Run, progress_ms: int, saved_ms: int) -> None:
        """Write a checkpoint, whose text is the same for all members of a gang."""
        if run.begun_at_s and saved_ms > run.base_ms and progress_ms < run.work_ms:
            run.saved = checkpoint_of(run.task, saved_ms)

    def end(self, run: Run, how: str, now_s: float) -> None:
        """End a run and, where it is a member of a gang, the other members."""
        if self._runs.pop(run.key, None) is None:
            return
        self._closed[run.task] = max(run.number, self._closed.get(run.task, 0))
        self._end_count += 1
        saved = "" if how == "done" else run.saved
        self._ends.append([self._end_count, run.task, run.number, how, saved])
        self._ended.append((run.task, run.number, how, self.runner_id, now_s))
        if self._gangs.size(run.task):
            self._gangs.leave(run, how, now_s)

    # Calls.

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            body = await request.json()
        except ValueError:
            return web.Response(status=400)
        self.calls += 1
        if not self.alive:
            return web.Response(status=421)
        if request.headers.get("Streamthread-Expect-Instance") != self.runner_id:
            return web.Response(status=421)
        self.advance()
        token = int(body.get("fencingToken", 0))
        if token < self.highest_token:
            return self._refuse("fence")
        self.highest_token = token
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        return web.json_response({"clockMs": self.clock_ms()})

    def _refuse(self, reason: str) -> web.StreamResponse:
        answer = {"clockMs": self.clock_ms(), "reason": reason}
        return web.json_response(answer, status=409)

    def _extend(self, body: Json) -> None:
        cut_ms = self.clock_ms() + self.bounds.max_hold_ms
        deadline_ms = min(int(body.get("deadlineMs") or 0), cut_ms)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _start(self, body: Json) -> web.StreamResponse:
        task, number = str(body["task"]), int(body["run"])
        if (task, number) in self._runs:
            return web.json_response({"clockMs": self.clock_ms()})
        if number <= self._closed.get(task, 0):
            self._extend(body)
            return self._refuse("old")
        if int(body["deadlineMs"]) < self.clock_ms():
            return self._refuse("late")
        step = task.rpartition(".")[0]
        ticket = str(body.get("ticket") or "")
        if self._tickets is not None and not self._tickets(
            step, self.runner_id, ticket
        ):
            self.refused_tickets += 1
            return self._refuse("ticket")
        self._extend(body)
        now_s = time.monotonic()
        checkpoint = str(body.get("checkpoint") or "")
        run = Run(task, number, self._work_ms(task), now_s, checkpoint)
        run.saved = checkpoint
        run.base_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self._runs[run.key] = run
        token = int(body.get("fencingToken", 0))
        self._started.append(
            Start(task, number, self.runner_id, now_s, checkpoint, token)
        )
        if self._gangs.size(task):
            self._gangs.join(self, run, now_s)
        else:
            run.begun_at_s = now_s + (self.bounds.restore_s if run.base_ms else 0.0)
        return web.json_response({"clockMs": self.clock_ms()})

    def _stop(self, body: Json) -> web.StreamResponse:
        task, number = str(body["task"]), int(body["run"])
        run = self._runs.get((task, number))
        if run is None:
            self._closed[task] = max(number, self._closed.get(task, 0))
        elif not run.stopping_at_s:
            run.stopping_at_s = time.monotonic() + self.bounds.stop_s
        return web.json_response({"clockMs": self.clock_ms()})

    async def _hold(self, body: Json) -> web.StreamResponse:
        self._extend(body)
        observed = int(body.get("observed") or 0)
        self._ends = [end for end in self._ends if end[0] > observed]
        until_s = time.monotonic() + min(int(body.get("waitMs") or 0), 2000) / 1000
        while not self._ends and time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
            self.advance()
        if not self.alive:
            return web.Response(status=421)
        now_s = time.monotonic()
        self.listed = {run.key: run.saved for run in self._runs.values()}
        running = [
            [run.task, run.number, run.saved, self._percent(run, now_s)]
            for run in self._runs.values()
        ]
        return web.json_response(
            {
                "clockMs": self.clock_ms(),
                "running": running,
                "finished": self._ends[:MAX_ENDS],
            }
        )

    @staticmethod
    def _percent(run: Run, now_s: float) -> int:
        return int(100 * run.progress_ms(now_s) / max(1, run.work_ms))


def checkpoint_of(task: str, progress_ms: int) -> str:
    """Return the text of a checkpoint: the progress, and a mark of the step."""
    step = task.rpartition(".")[0]
    return f"{progress_ms:08x}{zlib.crc32(step.encode()):08x}"
