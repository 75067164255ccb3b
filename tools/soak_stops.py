"""Lasting jobs of the soak, their cancels, and the faults that may undo a stop."""

import asyncio
import json
import random
import signal
import time
import typing as t

from streamthread.standins.cell import CellWorld
from streamthread.standins.cell import RunnerStandin
from tools.soak_accounts import account_of
from tools.soak_accounts import LIMITS
from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_view import SoakPart
from tools.soak_view import SoakView

__all__ = ["LastingJobs", "StopFaults", "neglected_tasks"]

JOBS_PER_S = 1.5
"""Lasting jobs that callers submit."""

LIFE_S = 3.0
"""A lasting job is cancelled after so long on average."""

GROUP_EVERY_S = 4.0
"""All lasting jobs are cancelled at one time, so often on average."""

FAULTS_PER_S = 0.6
"""How often one of these faults begins."""

FOREVER_S = 3600.0
"""How long a lasting task works if nobody stops it."""

CALM_S = 4.0
"""What a fault has brought about may go on for so long after it."""

RESTART_S = 6.0
"""A lasting task has a run again so long after its last one, at the latest."""

NEGLECTED_S = 3.0
"""A lasting task may be without a run for so long once it has to have one."""


def neglected_tasks(
    missing: t.Collection[str], world: CellWorld, quiet_at_s: float, now_s: float
) -> list[str]:
    """Return the lasting tasks that have had no run for too long.

    :param missing: the lasting tasks without a run.
    :param quiet_at_s: when the last fault was over.
    """
    due_at_s = dict.fromkeys(missing, quiet_at_s + CALM_S)
    for task, _, _, ended_at_s in world.ended:
        if task in due_at_s:
            due_at_s[task] = max(due_at_s[task], ended_at_s + RESTART_S)
    return sorted(task for task, at_s in due_at_s.items() if now_s > at_s + NEGLECTED_S)


class LastingJobs(SoakPart):
    """Callers that submit lasting jobs and cancel them, alone and in groups."""

    def __init__(
        self,
        soak: SoakView,
        choices: random.Random,
        jobs_per_s: float = JOBS_PER_S,
        life_s: float = LIFE_S,
    ) -> None:
        super().__init__(soak, choices)
        self._jobs_per_s = jobs_per_s
        self._life_s = life_s
        self._live: dict[str, SubmittedJob] = {}

    async def submit(self, until_s: float) -> None:
        """Submit jobs; each is cancelled after a random time."""
        while time.monotonic() < until_s:
            self._soak.spawn(self._one(until_s))
            gap_s = self._random.expovariate(self._jobs_per_s)
            await asyncio.sleep(min(gap_s, 1.0))

    async def cancel_groups(self, until_s: float, faults: "StopFaults") -> None:
        """Cancel all that there are, often while their holder is stopped or killed."""
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.uniform(0.5, 1.5) * GROUP_EVERY_S)
            if self._random.random() < 0.6:
                self._soak.spawn(faults.end_holder())
                await asyncio.sleep(self._random.uniform(0.0, 0.4))
            self._soak.note(f"cancel {len(self._live)} jobs")
            for job in list(self._live.values()):
                self._soak.spawn(self._cancel(job))

    async def check_running(self) -> None:
        """Wait until all tasks of lasting jobs run that nobody has cancelled."""
        quiet_at_s = time.monotonic()
        while missing := self._missing():
            world, now_s = self._soak.world, time.monotonic()
            if neglected := neglected_tasks(missing, world, quiet_at_s, now_s):
                self._soak.broken.append(f"LOST nothing runs of {neglected}")
                return
            await asyncio.sleep(0.1)

    def _missing(self) -> set[str]:
        wanted = {
            f"{job.job_id}.0.0.{index}"
            for job in self._soak.jobs.values()
            if job.accepted and not job.cancel_sent
            for index in range(job.lasting_tasks)
        }
        return wanted - set(self._soak.world.running())

    async def cancel_all(self, within_s: float) -> None:
        """Cancel what has not been cancelled, until it is confirmed."""
        give_up_at_s = time.monotonic() + within_s
        for job in self._soak.jobs.values():
            if not job.lasting or not (job.accepted or job.uncertain):
                continue
            while job.cancelled_at_s is None and time.monotonic() < give_up_at_s:
                await self._cancel(job)
                await asyncio.sleep(0.05)
            if job.cancelled_at_s is None:
                self._soak.broken.append(f"ACKS the cancel of {job.job_id}: no answer")

    async def _one(self, until_s: float) -> None:
        job_id = f"{self._random.getrandbits(64):016x}"
        job = SubmittedJob(job_id, self._random.choice(["desk", "audit"]), lasting=True)
        self._soak.jobs[job_id] = job
        cancel_at_s = time.monotonic() + self._random.expovariate(1 / self._life_s)
        body, endless = self._body()
        if not LIMITS.get(account_of(job_id)):
            job.lasting_tasks = endless
        await self._soak.submit(job, body, self._any)
        self._live[job_id] = job
        while time.monotonic() < min(cancel_at_s, until_s):
            await asyncio.sleep(0.02)
        # What is left is cancelled at the end.
        if cancel_at_s < until_s:
            await self._cancel(job)

    def _body(self) -> tuple[bytes, int]:
        """Return a job, and how many of its tasks never end by themselves."""
        # Lasting tasks that fail by themselves are started again.
        spec = self._random.choice([{"run_s": FOREVER_S}] * 3 + [{"run_s": 1.5}])
        count = self._random.randint(1, 3)
        step = {"count": count, "cpu": 1500, "memMb": 100}
        text = json.dumps({**spec, "fail": 1000})
        steps = [{**step, "longRunning": True}]
        body = json.dumps({"spec": text, "steps": steps}).encode()
        return body, count if spec["run_s"] == FOREVER_S else 0

    async def _cancel(self, job: SubmittedJob) -> None:
        """Cancel a job at any daemon, a few times until it is confirmed."""
        self._live.pop(job.job_id, None)
        await self._soak.cancel(job, self._any)


class StopFaults(SoakPart):
    """Faults of orders, of runners' entries and of holders, one after the other."""

    async def play(self, until_s: float) -> None:
        """Begin faults until a time."""
        kinds = [
            self._refused_orders,
            self._late_orders,
            self._entry_goes,
            self._remove_holder,
            self._rolling_stops,
            self._holder_kills,
            self._lost_answers,
        ]
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(FAULTS_PER_S))
            kind = self._random.choice(kinds)
            self._soak.spawn(kind(self._random.uniform(0.5, 4.0)))

    async def finish(self) -> None:
        """Let no order come late any more, and wait for what is still to come."""
        store, runners = self._soak.world.store, self._soak.world.runners
        for runner in runners:
            runner.faults.late_starts = runner.faults.late_stops = 0
        while store.waiting_writes or any(runner.late_orders for runner in runners):
            await asyncio.sleep(0.05)

    def _living(self) -> list[RunnerStandin]:
        return [runner for runner in self._soak.world.runners if runner.alive]

    async def _refused_orders(self, for_s: float) -> None:
        """Orders are answered and not carried out, at one runner or at all."""
        living = self._living()
        chosen = self._random.choice([[self._random.choice(living)], living])
        self._soak.note(f"refused orders of {len(chosen)}")
        for runner in chosen:
            runner.faults.refuse_orders = self._random.choice([429, 503])
        await asyncio.sleep(for_s)
        for runner in chosen:
            runner.faults.refuse_orders = 0

    async def _late_orders(self, for_s: float) -> None:
        runner = self._random.choice(self._living())
        self._soak.note(f"late orders {runner.runner_id}")
        runner.faults.late_s = for_s
        runner.faults.late_starts += self._random.randint(0, 3)
        runner.faults.late_stops += self._random.randint(1, 4)

    async def _entry_goes(self, for_s: float) -> None:
        """An entry goes while its runner serves on, which then writes it anew."""
        runner = self._random.choice(self._living())
        self._soak.note(f"entry goes {runner.runner_id}")
        await self._soak.world.store.drop("servers", runner.runner_id)
        await asyncio.sleep(for_s)
        if runner.alive:
            await self._soak.world.write_entry(runner)

    async def _lost_answers(self, for_s: float) -> None:
        """Writes take effect at once, and their answers are lost."""
        self._soak.note("lost answers of the store")
        self._soak.world.store.faults.late_s = 0.0
        self._soak.world.store.faults.lose_answers += self._random.randint(3, 10)

    # Holders.

    async def _find_holder(self) -> Daemon | None:
        """Return the daemon that holds the cell, unless it must be left alone."""
        for daemon in self._soak.free():
            if await self._soak.metric(daemon, "streamthread_holding") == 1:
                return daemon if self._may_end(daemon) else None
        return None

    def _may_end(self, daemon: Daemon) -> bool:
        free = self._soak.free()
        return daemon in free and len(free) >= 2

    async def end_holder(self, number: signal.Signals | None = None) -> bool:
        """Stop or kill the holder and have it start again; False: there is none.

        :param number: else SIGTERM or SIGKILL.
        """
        holder = await self._find_holder()
        if holder is None:
            return False
        number = number or self._random.choice([signal.SIGTERM, signal.SIGKILL])
        pause_s = self._random.uniform(0.0, 1.0)
        self._soak.restart(holder, number, pause_s)
        return True

    async def _holder_kills(self, for_s: float) -> None:
        """End the holder, and the next one once there is one."""
        self._soak.note("holder kills")
        give_up_at_s = time.monotonic() + 2 * for_s
        left = self._random.randint(2, 4)
        while left and time.monotonic() < give_up_at_s:
            if await self.end_holder():
                left -= 1
                await asyncio.sleep(self._random.uniform(0.3, 2.0))
            await asyncio.sleep(0.05)

    async def _remove_holder(self, for_s: float) -> None:
        """The holder goes for good, once in a run."""
        holder = await self._find_holder()
        if holder is None or self._soak.removed:
            return
        self._soak.daemons.remove(holder)
        self._soak.removed.append(holder)
        number = self._random.choice([signal.SIGTERM, signal.SIGKILL])
        self._soak.note(f"remove {holder.name} by {number.name}")
        holder.signal(number)
        await holder.ended()

    async def _rolling_stops(self, for_s: float) -> None:
        """Stop all daemons in turn; the next one while the last one starts."""
        self._soak.note("rolling stops")
        for daemon in list(self._soak.daemons):
            if self._may_end(daemon):
                self._soak.restart(daemon, signal.SIGTERM, 0.0)
            await asyncio.sleep(self._random.uniform(0.3, 1.2))
