"""A stand-in for a runner with the documented protocol.

The spec of a task is a JSON object that says how its runs end. ``run_s`` is the
duration of a run, ``fail`` is how many runs of each task fail first, and ``crash``
lists the numbers of the step's tasks that crash their runner each time it starts one
of them.
"""

import asyncio
import json
import math
import time
import typing as t

import attrs
from aiohttp import web

from .odd import response_with
from .port import HttpPort
from .port import PLAY_DEAD_S

__all__ = ["RunnerFaults", "RunnerStandin", "StartedRun"]

Json = dict[str, t.Any]

STOP_S = 0.05
"""How long a run takes to stop."""

CRASH_DELAY_S = 0.01
"""Time from the start of a task that crashes its runner until the crash."""

POLL_S = 0.01
"""How often a waiting hold call checks for ended runs, by default."""

MAX_ENDS = 500
"""Maximum number of ended runs in one answer."""

MAX_HOLD_MS = 4000
"""A longer lease is shortened to this; equals `maxHoldMs` in the daemons' settings."""

TicketCheck = t.Callable[[str, str, str], bool]
"""Returns whether a ticket permits a task on a runner."""

CrashCallback = t.Callable[["RunnerStandin", tuple[str, int]], None]
"""Callback for a runner that a run has crashed."""

ORDER_PATHS = ("/-/run-start", "/-/run-stop")


@attrs.define
class _Run:
    task: str
    run: int
    spec: Json
    ends_at_s: float
    stopping_at_s: float = 0.0


@attrs.frozen
class StartedRun:
    """A start order that a runner carried out.

    :param late: the order was not answered and was carried out late.
    :param born_ms: start time of the incarnation that carried it out.
    """

    task: str
    run: int
    runner_id: str
    at_s: float
    late: bool = False
    born_ms: int = 0


@attrs.define
class RunnerFaults:
    """The simulated faults; tests change the fields.

    :param silent: calls get no answer and have no effect.
    :param late_starts: number of starts that get no answer and are carried out late.
    :param late_stops: number of stops that get no answer and are carried out late.
    :param late_s: delay of these starts and stops.
    :param fail_all: every run that would end as done ends as failed.
    :param refuse_stops: number of stops that are refused, as by an unhealthy runner.
    :param ignore_stops: number of stops that are answered but have no effect.
    :param overcommit: runs are started even if the free capacity is insufficient.
    :param hide_stopping: a run that is being stopped is in neither list until its end.
    :param stop_s: how long a run takes to stop.
    :param refuse_orders: HTTP status that answers starts and stops, which then have no
        effect; 0: none.
    :param odd_part: stands in its lists of runs beside them; empty: none.
    :param odd_lists: the lists in which it stands.
    """

    silent: bool = False
    late_starts: int = 0
    late_stops: int = 0
    late_s: float = 0.5
    fail_all: bool = False
    refuse_stops: int = 0
    ignore_stops: int = 0
    overcommit: bool = False
    hide_stopping: bool = False
    stop_s: float = STOP_S
    refuse_orders: int = 0
    odd_part: str = ""
    odd_lists: tuple[str, ...] = ("running", "finished")


class RunnerStandin:
    """One incarnation of a runner.

    :param clock_zero_s: the monotonic time at which the runner's clock was at 0.
    :param reports_birth: it reports its start time as ``born``.
    :param machine_id: the machine that its entry names; empty if it names none.
    :param started: the starts carried out by all runners, in a shared list.
    :param ended: the task, run, kind and time of all runners' ended runs, in a shared
        list.
    :param failures: how often each task has failed, shared by all runners.
    :param unknown_ends: runs whose ends no holder has to know. Either the leases on
        this runner expired between the end of the run and its confirmation, or the
        incarnation ended before the confirmation.
    :param late_orders: number of unanswered orders that are still to be carried out.
    :param over_capacity: tasks that were started without sufficient free capacity, with
        the time of each start.
    :param resized_at_s: when its capacity changed last.
    :param on_crash: called when a task has crashed the runner.
    :param has_ticket: checks the ticket of each start; None: starts need none.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        labels: tuple[str, ...],
        cpu: int,
        memory_mb: int,
        started: list[StartedRun],
        ended: list[tuple[str, int, str, float]],
        failures: dict[str, int],
        on_crash: CrashCallback = lambda runner, run: None,
        clock_zero_s: float = 0.0,
        reports_birth: bool = True,
        zone: str = "here",
        has_ticket: TicketCheck | None = None,
    ) -> None:
        self._has_ticket = has_ticket
        self.poll_s = POLL_S
        self.zone = zone
        self.cold_left_ms: int | None = None
        self._on_crash = on_crash
        self._clock_zero_s = clock_zero_s
        self.reports_birth = reports_birth
        self.machine_id = ""
        self.born_ms = int(time.time() * 1000)
        self.runner_id = runner_id
        self.service = service
        self.labels = labels
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.faults = RunnerFaults()
        self.over_capacity: list[tuple[str, float]] = []
        self.resized_at_s = 0.0
        self.alive = True
        self.draining = False
        self.highest_token = 0
        self.late_orders = 0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._closed: dict[str, int] = {}
        self._ends: list[list[t.Any]] = []
        self._ended_at_s: dict[tuple[str, int], float] = {}
        self._end_count = 0
        self._deadline_ms = 0
        self._expired_at_s = 0.0
        self.unknown_ends: set[tuple[str, int]] = set()
        self._failures = failures
        self._started = started
        self._ended = ended
        self.port = HttpPort(self._serve)

    def entry(self) -> str:
        """Return the entry that the runner writes into the store."""
        return json.dumps(
            {
                "service": self.service,
                "address": self.port.address,
                "zone": self.zone,
                **self._cold_fields(),
                "state": "draining" if self.draining else "ready",
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
                "labels": list(self.labels),
                "clockMs": self._clock_ms(),
                **self._birth_fields(),
                **({"machine": self.machine_id} if self.machine_id else {}),
            }
        )

    def _cold_fields(self) -> Json:
        if self.cold_left_ms is None:
            return {}
        return {"coldLeftMs": self.cold_left_ms}

    def _birth_fields(self) -> Json:
        return {"born": self.born_ms} if self.reports_birth else {}

    def resize(self, cpu: int) -> None:
        """Change the CPU capacity; active runs continue."""
        self.cpu = cpu
        self.resized_at_s = time.monotonic()

    def running(self) -> list[str]:
        """Return the running tasks."""
        return [task for task, _ in self.runs()]

    def runs(self) -> list[tuple[str, int]]:
        """Return the running tasks, each with the number of its run."""
        self._advance()
        return sorted(self._runs)

    def finish_runs(self) -> None:
        """Let all runs end by themselves at this moment."""
        now_s = time.monotonic()
        for run in self._runs.values():
            run.ends_at_s = now_s

    def kill(self) -> None:
        """End this incarnation: its runs die, and it refuses all calls from then on."""
        # Runs that have ended unseen, on a silent runner, ended at their own time.
        self._advance()
        now_s = time.monotonic()
        self.alive = False
        for run in self._runs.values():
            self._ended.append((run.task, run.run, "died", now_s))
        self._runs.clear()
        self.unknown_ends |= {(task, run) for _, task, run, _, _ in self._ends}

    def hold_for(self, for_s: float) -> None:
        """Renew the leases for a duration, as a hold call would."""
        deadline_ms = self._clock_ms() + int(for_s * 1000)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._clock_zero_s) * 1000)

    def _deadline_s(self) -> float:
        """Return the end of the leases on the monotonic clock."""
        return self._clock_zero_s + self._deadline_ms / 1000

    # Progress over time.

    def _advance(self) -> None:
        """Update the runs to the present time; each ends at its own time."""
        now_s = time.monotonic()
        expiry_s = self._deadline_s()
        for run in list(self._runs.values()):
            stopping = run.stopping_at_s > 0
            end_s = run.stopping_at_s if stopping else run.ends_at_s
            if expiry_s < min(end_s, now_s):
                self._end(run, "lapsed", expiry_s)
            elif end_s <= now_s:
                self._end(run, "stopped" if stopping else self._natural_end(run), end_s)

    def _natural_end(self, run: _Run) -> str:
        failed = self._failures.get(run.task, 0)
        if self.faults.fail_all or failed < int(run.spec.get("fail", 0)):
            self._failures[run.task] = failed + 1
            return "failed"
        return "done"

    def _end(self, run: _Run, how: str, at_s: float) -> None:
        del self._runs[run.task, run.run]
        self._closed[run.task] = max(run.run, self._closed.get(run.task, 0))
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, ""])
        self._ended.append((run.task, run.run, how, at_s))
        self._ended_at_s[run.task, run.run] = at_s

    # Request handlers.

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.json()
        if self.faults.silent:
            await asyncio.sleep(PLAY_DEAD_S)
        if not self.alive:
            return web.Response(status=421)
        if request.headers.get("Streamthread-Expect-Instance") != self.runner_id:
            return web.Response(status=421)
        if self.faults.refuse_orders and request.path in ORDER_PATHS:
            return web.Response(status=self.faults.refuse_orders)
        self._advance()
        if body["fencingToken"] < self.highest_token:
            return self._refuse("fence")
        self.highest_token = body["fencingToken"]
        if request.path == "/-/run-start":
            return await self._start(body)
        if request.path == "/-/run-stop":
            return await self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        return web.Response(status=404)

    def _refuse(self, reason: str) -> web.StreamResponse:
        return web.json_response(
            {"clockMs": self._clock_ms(), "reason": reason}, status=409
        )

    def _renew_leases(self, body: Json) -> None:
        clock_ms = self._clock_ms()
        if self._deadline_ms < clock_ms:
            self._expired_at_s = self._deadline_s()
        deadline_ms = min(body.get("deadlineMs", 0), clock_ms + MAX_HOLD_MS)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    async def _start(self, body: Json) -> web.StreamResponse:
        if self.faults.late_starts > 0:
            self.faults.late_starts -= 1
            await self._delay_order(body, self._try_start_late)
        reason = self._try_start(body)
        if reason:
            return self._refuse(reason)
        return web.json_response({"clockMs": self._clock_ms()})

    async def _delay_order(
        self, body: Json, carry_out: t.Callable[[Json], t.Any]
    ) -> None:
        """Send no answer, and carry out the order late."""
        late = self._carry_out_late(body, carry_out)
        asyncio.get_running_loop().create_task(late)
        await asyncio.sleep(PLAY_DEAD_S)

    async def _carry_out_late(
        self, body: Json, carry_out: t.Callable[[Json], t.Any]
    ) -> None:
        self.late_orders += 1
        await asyncio.sleep(self.faults.late_s)
        self.late_orders -= 1
        if self.alive and body["fencingToken"] >= self.highest_token:
            self._advance()
            carry_out(body)

    def _try_start_late(self, body: Json) -> None:
        self._try_start(body, late=True)

    def _try_start(self, body: Json, late: bool = False) -> str:
        """Start a run, or return the reason of a refusal."""
        task, number = body["task"], body["run"]
        if (task, number) in self._runs:
            return ""
        if number <= self._closed.get(task, 0):
            return "old"
        if body["deadlineMs"] < self._clock_ms():
            return "late"
        if self._has_ticket is not None:
            if not self._has_ticket(body.get("ticket", ""), task, self.runner_id):
                return "ticket"
        spec = json.loads(body["spec"] or "{}")
        used = sum(int(run.spec.get("cpu", 0)) for run in self._runs.values())
        if used + int(spec.get("cpu", 0)) > self.cpu:
            if not self.faults.overcommit:
                return "room"
            self.over_capacity.append((task, time.monotonic()))
        self._renew_leases(body)
        now_s = time.monotonic()
        crashes = task.rpartition(".")[2] in spec.get("crash", ())
        # The crash may come late if the event loop stalls.
        run_s = math.inf if crashes else float(spec.get("run_s", 0.1))
        self._runs[task, number] = _Run(task, number, spec, now_s + run_s)
        started = StartedRun(task, number, self.runner_id, now_s, late, self.born_ms)
        self._started.append(started)
        if crashes:
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, self._crash, (task, number)
            )
        return ""

    def _crash(self, run: tuple[str, int]) -> None:
        """End this incarnation with its connections; the platform is not notified."""
        if not self.alive:
            return
        self.kill()
        self._on_crash(self, run)

    async def _stop(self, body: Json) -> web.StreamResponse:
        if self.faults.refuse_stops > 0:
            self.faults.refuse_stops -= 1
            return web.Response(status=503)
        if self.faults.late_stops > 0:
            self.faults.late_stops -= 1
            await self._delay_order(body, self._begin_stop)
        if self.faults.ignore_stops > 0:
            self.faults.ignore_stops -= 1
        else:
            self._begin_stop(body)
        return web.json_response({"clockMs": self._clock_ms()})

    def _begin_stop(self, body: Json) -> None:
        """Begin to stop a run; if it does not exist yet, refuse its later start."""
        task, number = body["task"], body["run"]
        run = self._runs.get((task, number))
        if run is None:
            self._closed[task] = max(number, self._closed.get(task, 0))
        elif not run.stopping_at_s:
            run.stopping_at_s = time.monotonic() + self.faults.stop_s

    def _confirm(self, observed: int) -> None:
        """Remove the ended runs up to a number."""
        for number, task, run, _, _ in self._ends:
            if number <= observed and self._ended_at_s[task, run] < self._expired_at_s:
                self.unknown_ends.add((task, run))
        self._ends = [end for end in self._ends if end[0] > observed]

    async def _hold(self, body: Json) -> web.StreamResponse:
        self._renew_leases(body)
        self._confirm(body["observed"])
        until_s = time.monotonic() + body.get("waitMs", 0) / 1000
        while not self._ends and time.monotonic() < until_s:
            await asyncio.sleep(self.poll_s)
            self._advance()
        if not self.alive:
            return web.Response(status=421)
        running = [
            [r.task, r.run, "", 100]
            for r in self._runs.values()
            if not (self.faults.hide_stopping and r.stopping_at_s)
        ]
        answer = {
            "clockMs": self._clock_ms(),
            "running": running,
            "finished": self._ends[:MAX_ENDS],
            **self._birth_fields(),
        }
        return response_with(answer, self.faults.odd_part, *self.faults.odd_lists)
