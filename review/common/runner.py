"""A small stand-in of a runner, by the pages on running work items.

The spec of a work item is a JSON object: `work_s`, the seconds of work; `lasts`, it
works until it is stopped; `cpu` and `mem`, what it takes; `saves`, it checkpoints. With
`until`, the work items end at times of day that are spread evenly: the times, in
seconds, of the first and of the last one, and their number.
"""

import asyncio
import json
import time
import typing as t

import attrs
from aiohttp import web

from streamthread.standins.cell.port import HttpPort

from .record import Record

__all__ = ["BEGIN_S", "Ended", "Run", "Runner"]

Json = dict[str, t.Any]

MAX_HOLD_MS = 10_000
STOP_S = 0.2
SAVE_S = 0.5
RESTORE_S = 0.25
BEGIN_S = 0.7
"""A work item that lasts begins work after a start of this length."""

POLL_S = 0.02
MAX_ENDS = 500


@attrs.define
class Run:
    """One run on one runner."""

    task: str
    run: int
    spec: Json
    began_s: float
    done_before_s: float
    stops_at_s: float = 0.0

    def worked_s(self, now_s: float) -> float:
        """Return the seconds of work done, earlier runs' saved work included."""
        pause_s = RESTORE_S if self.done_before_s else 0.0
        return self.done_before_s + max(0.0, now_s - self.began_s - pause_s)

    def ends_at_s(self) -> float:
        """Return when it ends `done`; a work item that lasts never does."""
        if self.spec.get("lasts"):
            return float("inf")
        if "until" in self.spec:
            first_s, last_s, count = self.spec["until"]
            index = int(self.task.rpartition(".")[2])
            at_s = first_s + (last_s - first_s) * index / count
            return time.monotonic() + at_s - time.time()
        pause_s = RESTORE_S if self.done_before_s else 0.0
        left_s = float(self.spec["work_s"]) - self.done_before_s
        return self.began_s + pause_s + left_s

    def percent(self, now_s: float) -> int:
        """Return the progress; 100 for a work item that lasts and is at work."""
        if self.spec.get("lasts"):
            return 100 if now_s - self.began_s >= BEGIN_S else 0
        if "until" in self.spec:
            whole_s = max(0.1, self.ends_at_s() - self.began_s)
            return min(99, int(100 * (now_s - self.began_s) / whole_s))
        return min(99, int(100 * self.worked_s(now_s) / float(self.spec["work_s"])))

    def saved(self, now_s: float) -> str:
        """Return the checkpoint: the saved milliseconds, and a part of the job's id."""
        if not self.spec.get("saves"):
            return ""
        saved_s = int(self.worked_s(now_s) / SAVE_S) * SAVE_S
        return f"{int(saved_s * 1000):08x}{self.task[:8]}" if saved_s else ""


@attrs.frozen
class Ended:
    """The end of a run; `how` is the word on the wire, or `died` with its runner."""

    task: str
    run: int
    how: str
    at_s: float


@attrs.define
class _Lease:
    """When the lease ends, on the runner's clock, and when it last lapsed."""

    deadline_ms: int = 0
    lapsed_at_ms: int = 0

    def extend(self, wanted_ms: int, clock_ms: int) -> None:
        """Move the end of the lease; one that is over has lapsed meanwhile."""
        if self.deadline_ms < clock_ms:
            self.lapsed_at_ms = self.deadline_ms
        self.deadline_ms = max(self.deadline_ms, wanted_ms)


class Runner:
    """One life of a runner.

    :param noted: the ends that were taken note of: `observed` reached them, and the
        lease did not lapse between the two.
    :param good: returns whether the ticket of a start is valid; None: none is needed.
    """

    def __init__(
        self,
        runner_id: str,
        machine_id: str,
        pool: str,
        labels: tuple[str, ...],
        record: Record,
        ended: list[Ended],
        good: t.Callable[["Runner", Json], bool] | None = None,
        cpu: int = 16000,
        memory_mb: int = 32768,
    ) -> None:
        self.runner_id = runner_id
        self.machine_id = machine_id
        self.pool = pool
        self.labels = labels
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.alive = True
        self.sequence = 0
        self.started: list[tuple[str, int, float]] = []
        self.runs: dict[tuple[str, int], Run] = {}
        self._record = record
        self._ended = ended
        self._good = good
        self._born_s = time.monotonic() - 100.0
        self._lease = _Lease()
        self.noted: set[tuple[str, int]] = set()
        self._token = 0
        self._closed: dict[str, int] = {}
        self._ends: list[list[t.Any]] = []
        self._ended_ms: dict[tuple[str, int], int] = {}
        self._end_count = 0
        self.port = HttpPort(self._serve)

    def entry(self) -> Json:
        """Return what the runner writes of itself into the platform's store."""
        self.sequence += 1
        return {
            "service": self.pool,
            "address": self.port.address,
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
            "labels": list(self.labels),
        }

    def kill(self) -> None:
        """End this life: what runs on it dies, and nothing answers any more."""
        self._advance()
        self.alive = False
        now_s = time.monotonic()
        for run in self.runs.values():
            self._note_end(run, "died", now_s)
        self.runs.clear()

    def used(self) -> tuple[int, int]:
        """Return the cpu and memory in use."""
        cpu = sum(int(run.spec.get("cpu", 0)) for run in self.runs.values())
        return cpu, sum(int(run.spec.get("mem", 0)) for run in self.runs.values())

    def advance(self) -> None:
        """Bring the runs up to the present."""
        self._advance()

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000)

    def _advance(self) -> None:
        if not self.alive:
            return
        now_s = time.monotonic()
        lapse_s = self._born_s + self._lease.deadline_ms / 1000
        for run in list(self.runs.values()):
            stopping = run.stops_at_s > 0
            end_s = min(run.stops_at_s or float("inf"), run.ends_at_s())
            how = "stopped" if stopping and end_s == run.stops_at_s else "done"
            if lapse_s < min(end_s, now_s):
                self._end(run, "lapsed", lapse_s)
            elif end_s <= now_s:
                self._end(run, how, end_s)

    def _end(self, run: Run, how: str, at_s: float) -> None:
        del self.runs[run.task, run.run]
        self._closed[run.task] = max(run.run, self._closed.get(run.task, 0))
        self._end_count += 1
        saved = run.saved(at_s)
        self._ends.append([self._end_count, run.task, run.run, how, saved])
        self._ended_ms[run.task, run.run] = int((at_s - self._born_s) * 1000)
        self._note_end(run, how, at_s)

    def _note_end(self, run: Run, how: str, at_s: float) -> None:
        self._ended.append(Ended(run.task, run.run, how, at_s))
        self._record.line(
            "ended",
            task=run.task,
            run=run.run,
            how=how,
            on=self.runner_id,
            at=f"{self._record.at_s(at_s):.3f}",
        )

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        if not self.alive:
            return web.Response(status=421)
        if request.headers.get("Streamthread-Expect-Instance") != self.runner_id:
            return web.Response(status=421)
        self._advance()
        token = int(body.get("fencingToken", 0))
        if token < self._token:
            return self._refuse("fence")
        self._token = token
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        return web.Response(status=404)

    def _refuse(self, reason: str) -> web.StreamResponse:
        answer = {"clockMs": self._clock_ms(), "reason": reason}
        return web.json_response(answer, status=409)

    def _extend(self, body: Json) -> None:
        clock_ms = self._clock_ms()
        wanted_ms = min(int(body.get("deadlineMs", 0)), clock_ms + MAX_HOLD_MS)
        self._lease.extend(wanted_ms, clock_ms)

    def _start(self, body: Json) -> web.StreamResponse:
        key = (body["task"], int(body["run"]))
        if key in self.runs:
            return web.json_response({"clockMs": self._clock_ms()})
        reason = self._reason_against(body)
        if reason:
            return self._refuse(reason)
        self._extend(body)
        now_s = time.monotonic()
        checkpoint = str(body.get("checkpoint", ""))
        before_s = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.runs[key] = Run(*key, json.loads(body["spec"]), now_s, before_s)
        self.started.append((*key, now_s))
        self._record.line(
            "started", task=key[0], run=key[1], on=self.runner_id, saved=checkpoint
        )
        return web.json_response({"clockMs": self._clock_ms()})

    def _reason_against(self, body: Json) -> str:
        if int(body["run"]) <= self._closed.get(body["task"], 0):
            return "old"
        if int(body["deadlineMs"]) < self._clock_ms():
            return "late"
        if self._good is not None and not self._good(self, body):
            return "ticket"
        spec = json.loads(body["spec"])
        cpu, memory_mb = self.used()
        if cpu + int(spec.get("cpu", 0)) > self.cpu:
            return "room"
        if memory_mb + int(spec.get("mem", 0)) > self.memory_mb:
            return "room"
        return ""

    def _stop(self, body: Json) -> web.StreamResponse:
        run = self.runs.get((body["task"], int(body["run"])))
        if run is None:
            closed = max(int(body["run"]), self._closed.get(body["task"], 0))
            self._closed[body["task"]] = closed
        elif not run.stops_at_s:
            run.stops_at_s = time.monotonic() + STOP_S
            self._record.line(
                "stop-ordered", task=run.task, run=run.run, on=self.runner_id
            )
        return web.json_response({"clockMs": self._clock_ms()})

    async def _hold(self, body: Json) -> web.StreamResponse:
        self._extend(body)
        observed = int(body.get("observed", 0))
        for _, task, run, _, _ in [end for end in self._ends if end[0] <= observed]:
            if self._ended_ms[task, run] > self._lease.lapsed_at_ms:
                self.noted.add((task, run))
        self._ends = [end for end in self._ends if end[0] > observed]
        until_s = time.monotonic() + min(2000, int(body.get("waitMs", 0))) / 1000
        while self.alive and not self._ends and time.monotonic() < until_s:
            await asyncio.sleep(POLL_S)
            self._advance()
        if not self.alive:
            return web.Response(status=421)
        now_s = time.monotonic()
        rows = [
            [run.task, run.run, run.saved(now_s), run.percent(now_s)]
            for run in self.runs.values()
        ]
        answer = {"clockMs": self._clock_ms(), "running": rows}
        return web.json_response(answer | {"finished": self._ends[:MAX_ENDS]})
