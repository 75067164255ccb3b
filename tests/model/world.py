"""One play: holders, runners, the store and the callers of a schedule."""

import asyncio
import collections
import json
import math
import time

import attrs

from streamthread.cell import AcquiredCell
from streamthread.cell import cell_pb2 as pb
from streamthread.cell import LeaseTimes
from streamthread.cell.rows import Head
from streamthread.cell.rows import HEAD_KEY
from streamthread.cell.rows import new_nonce
from streamthread.cell.rows import Owner
from streamthread.cell.rows import TABLE_HEAD
from streamthread.gateway.forwarding import Forwarder
from streamthread.gateway.forwarding import ForwardSettings
from streamthread.holder import Holder
from streamthread.holder.context import CellSettings
from streamthread.holder.context import HolderContext
from streamthread.platform.documents import RUNNERS_TABLE
from streamthread.platform.manifest import decode_manifest
from streamthread.platform.manifest import Manifest
from streamthread.platform.runners import EndKind
from streamthread.platform.store import StoredRow

from .clock import BEGAN_AT_S
from .runners import CRASHING_SPEC
from .runners import FakeRunners
from .runners import FULL_CPU
from .runners import LASTING_SPEC
from .runners import Life
from .runners import Run
from .schedule import Event
from .schedule import Fates
from .schedule import Kind
from .schedule import QUIET_AT_S
from .schedule import Schedule
from .schedule import Work
from .store import FakeStore
from .store import StoreView

GONE_WITHIN_S = 15.0
"""Once nothing goes wrong, nothing of a job that is over is left after so long: what
nobody holds lapses within 10.3 s, and what an earlier holder left, within 11.6 s."""

INBOX_S = 4.0
"""A cancel in the inbox may take the holder so long to see, while the store serves."""

OUST_S = 1.6
"""Nobody takes the cell from a holder that lives before its trust has ended."""

TRUST_S = LeaseTimes().max_validity_s
"""So long a holder that lost the cell may send orders."""

RATES = (1.0, 0.98)
"""Of the runners' clocks: the second one is as slow as the users' pages allow."""

BACK_S = 1.0
"""A runner that a run has taken down is back after so long."""

MOST_CRASHES = 5
"""After the third runner, a task may be started twice more (the users' pages)."""

ROOM_KNOWN_S = 4.5
"""A room that has shrunk counts so much later: `contactMs` and one beat."""

CLOCK_STARTS_MS = (0, 50_000, 10_000_000)
"""Where the clocks of lives under one id begin: behind the former one or ahead."""

TASK_CPU = 300
"""What each task takes; three fit on a runner."""

SPECS = {
    Work.LASTING: LASTING_SPEC,
    Work.CRASHING: CRASHING_SPEC,
    Work.CRASHING_COPIES: CRASHING_SPEC,
}

POOL = "desk"
PART = "main"
ACCOUNT = "ann"
"""The client account that hands all jobs in, where there is one."""

MANIFEST = {
    "version": 1,
    "routes": [{"name": POOL, "service": POOL, "maxAttempts": 3}],
    "services": [{"name": POOL}],
}


def _manifest(limit_cpu: int) -> Manifest:
    """Return the configuration, with an account where it has a limit."""
    value: dict[str, object] = dict(MANIFEST)
    if limit_cpu:
        value["tenants"] = [{"name": ACCOUNT, "maximum": {"cpu": limit_cpu}}]
    return decode_manifest(json.dumps(value).encode()).manifest


@attrs.frozen
class Documents:
    """The operator's configuration."""

    manifest: Manifest
    waves: dict[int, object] = attrs.field(factory=dict)


class Deaf:
    """The lease of a daemon that knows no holder on another one."""

    owner = None
    holding = False
    address = ""

    def is_holder_alive(self) -> bool:
        return False


class World:
    """Plays a schedule, and notes which properties it breaks.

    :param limit_cpu: what may run at once of the one account; 0: there is none.
    :param broken: what was broken, in words; empty while nothing is.
    :param trace: what happened, one line each.
    """

    def __init__(self, schedule: Schedule, limit_cpu: int = 0) -> None:
        self.schedule = schedule
        self._limit_cpu = limit_cpu
        self._documents = Documents(_manifest(limit_cpu))
        self.broken: list[str] = []
        self.trace: list[str] = []
        fates = Fates(schedule)
        self._fates = fates
        self._store = FakeStore()
        self._view = StoreView(self._store, fates)
        self._callers_view = StoreView(self._store, Fates(None))
        self._runners = FakeRunners(fates, self.tell)
        self._holders: list[Holder] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._reboots: list[asyncio.Task[None]] = []
        self._token = 0
        self._life_count = 0
        self._started: dict[Run, Life] = {}
        # How many runners each task has taken down.
        self._crashes: collections.Counter[str] = collections.Counter()
        self._plans = {
            f"{number:016x}": job for number, job in enumerate(schedule.jobs)
        }
        self._cancels = [asyncio.Event() for _ in schedule.jobs]
        self._wrong_until_s = BEGAN_AT_S + QUIET_AT_S
        # When no start may be sent any more, by job id.
        self._ends_at_s: dict[str, float] = {}
        self._in_inbox: set[str] = set()

    def tell(self, line: str) -> None:
        """Note what happened now."""
        self.trace.append(f"{time.monotonic() - BEGAN_AT_S:7.3f} {line}")

    def _break(self, what: str) -> None:
        self.broken.append(what)
        self.tell(f"BROKEN: {what}")

    # The play.

    async def play(self) -> None:
        """Play the schedule and look at what is left."""
        for number in range(len(RATES)):
            self._boot(number)
        await self._take_over(0.0)
        async with asyncio.TaskGroup() as group:
            for job_id in self._plans:
                group.create_task(self._call(job_id))
            for event in self.schedule.events:
                group.create_task(self._happen(event))
        await self._until_gone()
        self._check_holders()
        for task in (*self._tasks, *self._reboots):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._reboots, return_exceptions=True)

    def _check_lasting(self, job_id: str) -> None:
        """After a long quiet, all lasting tasks run, each once."""
        plan = self._plans[job_id]
        quiet = time.monotonic() > self._wrong_until_s + GONE_WITHIN_S
        if not quiet or plan.work is not Work.LASTING or self._limit_cpu:
            return
        lives = self._runners.lives.values()
        tasks = [task for life in lives for task, _ in life.running]
        mine = sorted(task for task in tasks if task.startswith(job_id))
        if len(mine) != plan.count:
            self._break(f"of {plan.count} tasks there run: {', '.join(mine)}")

    def _check_holders(self) -> None:
        """No holder ends by an error that is not its cell's loss."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception():
                self._break(f"a holder failed: {task.exception()!r}")
        for holder in self._holders:
            if holder.context.failures.counts:
                self._break(f"a holder failed: {holder.context.failures.counts}")

    async def _until_gone(self) -> None:
        quiet_at_s = max(self._wrong_until_s, time.monotonic())
        await asyncio.sleep(quiet_at_s - time.monotonic())
        while left := self._left():
            if time.monotonic() > quiet_at_s + GONE_WITHIN_S:
                self._break(f"left for good: {', '.join(left)}")
                return
            await asyncio.sleep(0.1)

    def _left(self) -> list[str]:
        """Return what is left of jobs that are over: runs, and what takes room.

        Nothing is known of the latter while the last holder still reads the rows.
        """
        runs = [
            f"{task} run {run} on {life.runner_id}"
            for life in self._runners.lives.values()
            for task, run in life.running
        ]
        if not self._holders[-1].active:
            return [*runs, "no holder"]
        room = [
            f"room for run {attempt.run} at {attempt.runner_id}"
            for job in self._holders[-1].engine.open_jobs()
            for attempt in job.attempts()
        ]
        return runs + room

    # Callers.

    async def _call(self, job_id: str) -> None:
        plan = self._plans[job_id]
        step = {"count": plan.count, "cpu": TASK_CPU, "memMb": 1, **plan.work.value}
        spec = SPECS.get(plan.work, "")
        body = json.dumps({"spec": spec, "steps": [step]}).encode()
        await asyncio.sleep(plan.submit_after_s)
        await self._ask(pb.SUBMIT, job_id, plan.far_submit, body)
        await asyncio.sleep(plan.cancel_after_s)
        self._check_lasting(job_id)
        cancelled = self._cancels[int(job_id, 16)]
        if not plan.far_cancel:
            cancelled.set()
        reply = await self._ask(pb.CANCEL, job_id, plan.far_cancel)
        self._ends_at_s[job_id] = time.monotonic()
        if reply.state == "pending":
            self._in_inbox.add(job_id)
            self._ends_at_s[job_id] += INBOX_S
        cancelled.set()

    async def _ask(
        self, kind: int, job_id: str, far: bool, body: bytes = b""
    ) -> pb.CallReply:
        """Ask until there is an answer that a caller takes.

        That there is no such job confirms a cancel as well.
        """
        forwarder = Forwarder(
            Deaf(),
            None,
            self._callers_view,
            PART,
            lambda: None if far else self._oldest(),
            ForwardSettings(),
        )
        request = pb.CallRequest(
            kind=kind,
            route=POOL,
            job_id=job_id,
            job=body,
            configuration_version=1,
            pool=POOL,
            account=ACCOUNT if self._limit_cpu else "",
            checks_keys=True,
        )
        while True:
            reply = await forwarder.ask(request, time.monotonic() + 3.0)
            name = pb.CallOutcome.Name(reply.outcome)
            self.tell(f"{pb.CallKind.Name(kind)} {job_id}: {name} {reply.state}")
            unknown = reply.outcome == pb.UNKNOWN_JOB and kind == pb.CANCEL
            if reply.outcome == pb.OK or unknown:
                return reply
            await asyncio.sleep(0.2)

    # Holders.

    def _oldest(self) -> Holder | None:
        """Return the holder that callers ask; it may be lost and not know it yet."""
        return next((holder for holder in self._holders if holder.active), None)

    async def _take_over(self, others_order_s: float) -> None:
        """Have the next daemon take the cell.

        :param others_order_s: for how long an earlier holder may send orders.
        """
        self._token += 1
        head = StoredRow(
            TABLE_HEAD, PART, HEAD_KEY, Head(new_nonce(), self._token).encode()
        )
        written = self._store.write([], [head])
        now_s = time.monotonic()
        daemon_id = f"daemon-{self._token}"
        owner = Owner(daemon_id, daemon_id, "", self._token)
        taken = AcquiredCell(owner, written.version, now_s, now_s + others_order_s)
        self._view = StoreView(self._store, self._fates)
        context = HolderContext(
            daemon_id,
            self._view,
            self._runners,
            None,
            None,
            self._documents,
            CellSettings(),
        )
        holder = Holder(context, taken)
        self._holders.append(holder)
        self._tasks.append(asyncio.create_task(holder.run()))
        self.tell(f"{daemon_id} holds the cell")

    async def _kill(self, gap_s: float) -> None:
        task = self._tasks[-1]
        task.cancel()
        await asyncio.wait([task])
        token = self._token
        await asyncio.sleep(gap_s)
        if token == self._token:
            await self._take_over(TRUST_S)

    async def _release(self, for_s: float) -> None:
        holder = self._holders[-1]
        holder.lease_validity.begin_release()
        await asyncio.sleep(for_s)
        holder.give_up("handed over")
        if holder is self._holders[-1]:
            await self._take_over(0.0)

    async def _oust(self, for_s: float) -> None:
        token = self._token
        self._view.away_until_s = time.monotonic() + OUST_S + for_s
        await asyncio.sleep(OUST_S)
        if token == self._token:
            await self._take_over(TRUST_S)

    # Runners.

    def _boot(self, number: int) -> None:
        self._life_count += 1
        count = self._life_count
        keeps_id = self.schedule.keeps_ids
        life = Life(
            f"runner-{number}" if keeps_id else f"runner-{number}-life-{count}",
            RATES[number],
            self._on_started,
            self._on_crashed,
            born_ms=count if keeps_id else None,
            clock_start_ms=CLOCK_STARTS_MS[count % 3] if keeps_id else None,
        )
        self._runners.lives[_address(number)] = life
        self._list(number)

    def _list(self, number: int) -> None:
        life = self._runners.lives[_address(number)]
        entry = {
            "service": POOL,
            "address": _address(number),
            "zone": "north",
            "state": "ready",
            "capacity": {"cpu": life.cpu, "memMb": 100},
            "labels": [],
            "born": life.born_ms,
        }
        value = json.dumps(entry).encode()
        self._store.write([], [StoredRow(RUNNERS_TABLE, "", life.runner_id, value)])

    def _unlist(self, life: Life) -> None:
        self._store.write([], [], [StoredRow(RUNNERS_TABLE, "", life.runner_id)])

    def _on_started(self, life: Life, run: Run, sent_at_s: float, late: bool) -> None:
        self.tell(f"{run[0]} run {run[1]} begins on {life.runner_id}")
        before = self._started.get(run)
        if before is not None and not _is_later_life(life, before):
            self._break(f"run {run[1]} began on {before.runner_id}, too")
        self._started[run] = life
        job_id = run[0].split(".")[0]
        if not late and sent_at_s > self._ends_at_s.get(job_id, math.inf):
            self._break(f"run {run[1]} began after the cancel was confirmed")
        known = time.monotonic() > life.resized_at_s + ROOM_KNOWN_S
        if known and not late and len(life.running) * TASK_CPU > life.cpu:
            self._break(f"{run[0]} run {run[1]} is over the room of {life.runner_id}")
        self._check_limit(run)
        if self._plans[job_id].work.value.get("speculative"):
            return
        for other in self._runners.lives.values():
            for task, number in other.running:
                if task == run[0] and number != run[1]:
                    self._break(f"runs {number} and {run[1]} at once")

    def _check_limit(self, run: Run) -> None:
        """However late its order came, a run lifts no account over its limit."""
        lives = self._runners.lives.values()
        cpu = TASK_CPU * sum(len(life.running) for life in lives)
        if self._limit_cpu and cpu > self._limit_cpu:
            self._break(f"{run[0]} run {run[1]} lifts its account to {cpu}")

    def _on_crashed(self, life: Life, run: Run) -> None:
        self.tell(f"{run[0]} run {run[1]} crashes {life.runner_id}")
        self._crashes[run[0]] += 1
        if self._crashes[run[0]] > MOST_CRASHES:
            self._break(f"{run[0]} has crashed {self._crashes[run[0]]} runners")
        numbers = range(len(RATES))
        lives = self._runners.lives
        number = next(n for n in numbers if lives.get(_address(n)) is life)
        life.die()
        reboot = asyncio.ensure_future(self._reboot(number, BACK_S))
        self._reboots.append(reboot)

    async def _reboot(self, number: int, for_s: float) -> None:
        """End a runner's life; the next one comes after a time."""
        life = self._runners.lives.pop(_address(number))
        life.die()
        if not self.schedule.keeps_ids:
            self._unlist(life)
        await asyncio.sleep(for_s)
        self._boot(number)

    async def _shrink(self, life: Life, event: Event) -> None:
        """Let a room be small for a while, and the runner say so."""
        for cpu in (FULL_CPU // 3, FULL_CPU):
            life.cpu = cpu
            life.resized_at_s = time.monotonic()
            if self._runners.lives.get(_address(event.runner)) is life:
                self._list(event.runner)
            await asyncio.sleep(event.for_s)

    # Events.

    async def _happen(self, event: Event) -> None:
        if event.cancel_of is not None:
            await self._cancels[event.cancel_of % len(self._cancels)].wait()
        await asyncio.sleep(event.after_s)
        self.tell(f"{event.kind.value} for {event.for_s}, runner {event.runner}")
        address = _address(event.runner)
        life = self._runners.lives.get(address)
        until_s = time.monotonic() + event.for_s
        self._wrong_until_s = max(self._wrong_until_s, until_s)
        if event.kind is Kind.KILL:
            await self._kill(event.for_s)
        elif event.kind is Kind.RELEASE:
            await self._release(event.for_s)
        elif event.kind is Kind.OUST:
            await self._oust(event.for_s)
        elif event.kind is Kind.STORE_AWAY:
            self._view.away_until_s = self._callers_view.away_until_s = until_s
            # No holder can read the inbox before.
            for job_id in self._in_inbox:
                self._ends_at_s[job_id] = until_s + INBOX_S
        elif event.kind is Kind.UNREACHABLE:
            self._runners.cut_until_s[address] = until_s
        elif life is not None:
            await self._happen_to(life, event)

    async def _happen_to(self, life: Life, event: Event) -> None:
        if event.kind is Kind.SHRINK:
            await self._shrink(life, event)
        elif event.kind is Kind.RUNS_FAIL:
            life.end_all(EndKind.FAILED)
        elif event.kind is Kind.UNLISTED:
            self._unlist(life)
            await asyncio.sleep(event.for_s)
            if self._runners.lives.get(_address(event.runner)) is life:
                self._list(event.runner)
        elif event.kind is Kind.REBOOT:
            await self._reboot(event.runner, event.for_s)


def _is_later_life(life: Life, before: Life) -> bool:
    """Whether a life has taken the place of one that is over, under its id."""
    return before.dead and life.runner_id == before.runner_id and life is not before


def _address(number: int) -> str:
    return f"127.0.0.1:{7000 + number}"
