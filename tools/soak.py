"""A randomized soak: real daemons, faults from outside, promises checked.

The daemons run as processes of their own; the platform is the stand-in, in this
process; each daemon reaches the store through a proxy of its own. A seed fixes
which faults come when; what the scheduler of this machine makes of it does not
repeat. ``python -m tools.soak --seeds 50`` or ``--seed 7 --keep-logs DIR``.
"""

import argparse
import asyncio
import contextlib
import itertools
import json
import pathlib
import random
import re
import signal
import sys
import tempfile
import time
import typing as t

import aiohttp
import attrs

from streamthread.standins.cell import CellWorld
from tools.soak_accounts import AccountCalls
from tools.soak_accounts import check_limits
from tools.soak_advice import AdvicePolicies
from tools.soak_checks import check_crashes
from tools.soak_checks import check_duties
from tools.soak_checks import check_evacuations
from tools.soak_checks import check_jobs
from tools.soak_checks import check_rooms
from tools.soak_checks import check_runs
from tools.soak_checks import check_stops
from tools.soak_checks import ENDED
from tools.soak_checks import gone_by_s
from tools.soak_checks import SubmittedJob
from tools.soak_daemon import Daemon
from tools.soak_faults import Faults
from tools.soak_floods import Floods
from tools.soak_halls import HallFaults
from tools.soak_halls import HALLS
from tools.soak_large import LargeJobs
from tools.soak_odd import OddInputs
from tools.soak_restarts import RestartFaults
from tools.soak_runners import RunnerFaults
from tools.soak_series import SeriesFaults
from tools.soak_sizes import SizedJobs
from tools.soak_states import StateCallers
from tools.soak_stops import LastingJobs
from tools.soak_stops import StopFaults
from tools.soak_view import SoakView
from tools.soak_writer import ForeignWriter

__all__ = ["Soak", "SoakPlan", "run_soak"]

POOLS = {"desk": 4, "audit": 3, "spare": 2}
CALLED_POOLS = ("desk", "audit")
SETTLE_S = 25.0
"""After the last fault, all accepted jobs must end within this time."""

FAULTS_END_S = 60.0
"""Faults and calls have ended by then: a start takes 20 s at most, a cancel 30 s."""

MARGIN_S = 0.3
"""The runners are looked at once more, so long after the last moment allowed."""

RUNS_ON_S = 7.0
"""What still runs so much later is held by a daemon: alone it lapses in 4 s."""

ADVICE_SHARE = 0.5
"""Share of the seeds whose queues have a policy."""

FAILURES_METRIC = r"streamthread_unforeseen_failures_total\{[^}]*\}"
"""A pattern for the first of them; there is none while no loop has failed."""

IN_FORCE_S = 10.0
"""After the last fault, each daemon knows the newest configuration in this time."""


@attrs.frozen
class SoakPlan:
    """One seeded run.

    :param first_faults: only the faults of the time when the seed was found: a seed
        chooses among all that are known.
    :param stops: lasting jobs that are cancelled, and faults around stops and holders,
        besides all others: plans that were found before do without.
    :param writer: another writer in the store, likewise.
    :param runners: faults of runners and of daemons' machines, and demand that comes in
        turns, likewise.
    :param restarts: runners start again under their ids, likewise.
    :param silent_restarts: of these faults, only restarts of silent runners, 3 per
        second.
    :param halls: machines and daemons in several halls, which are evacuated, lost and
        partitioned, likewise.
    :param floods: one of further accounts floods a pool, likewise; needs accounts.
    :param large: large and invalid jobs, and many runs that end at once, likewise.
    :param accounts: callers need keys, keys change, and an account has a limit,
        likewise.
    :param series: runners exit in series while holders are killed and the store
        refuses calls, and lasting jobs, likewise.
    :param odd: calls have bodies that they don't need, and lists have odd parts,
        likewise.
    :param advice: the queues have a policy whose figures are drawn, likewise.
    :param sizes: jobs whose sizes are at a limit, likewise.
    :param new_routes: some configurations have new routes in place of all others,
        likewise.
    """

    seed: int
    daemons: int = 4
    seconds: float = 12.0
    faults_per_s: float = 0.7
    jobs_per_s: float = 4.0
    first_faults: bool = False
    stops: bool = False
    writer: bool = False
    runners: bool = False
    accounts: bool = False
    restarts: bool = False
    silent_restarts: bool = False
    halls: bool = False
    floods: bool = False
    large: bool = False
    series: bool = False
    odd: bool = False
    advice: bool = False
    sizes: bool = False
    new_routes: bool = False


class Soak(SoakView):
    """One run: daemons, callers, faults and the check at the end."""

    def __init__(self, plan: SoakPlan, folder: pathlib.Path, code: str) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        halls = HALLS if plan.halls else ("here",)
        self._advice: AdvicePolicies | None = None
        if plan.advice:
            self._advice = AdvicePolicies(
                random.Random(f"advice {plan.seed}"),
                random.Random(f"denials {plan.seed}"),
            )
        service = self._advice.service if self._advice is not None else None
        self.world = CellWorld(POOLS, halls=halls, advice=service)
        self.daemons = [
            Daemon(f"daemon-{n}", self.world, folder, code, plan.runners, hall)
            for n, hall in zip(range(plan.daemons), itertools.cycle(halls))
        ]
        self.removed: list[Daemon] = []
        self.jobs: dict[str, SubmittedJob] = {}
        self.broken: list[str] = []
        self.faults: list[str] = []
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self.busy: set[str] = set()
        new_routes = None
        if plan.new_routes:
            new_routes = random.Random(f"routes {plan.seed}")
        self._faults = Faults(self, plan.first_faults, new_routes)
        more = random.Random(f"stops {plan.seed}")
        self._lasting = LastingJobs(self, more)
        self._stop_faults = StopFaults(self, more)
        writer = random.Random(f"writer {plan.seed}")
        self._writer = ForeignWriter(self.world, writer, self.note)
        runners = random.Random(f"runners {plan.seed}")
        self._runner_faults = RunnerFaults(self, runners)
        self._restarts: RestartFaults | None = None
        if plan.restarts:
            restarts = random.Random(f"restarts {plan.seed}")
            self._restarts = RestartFaults(self, restarts, plan.silent_restarts)
        self._accounts: AccountCalls | None = None
        if plan.accounts:
            accounts = random.Random(f"accounts {plan.seed}")
            write = self._faults.write_manifest
            self._accounts = AccountCalls(self, accounts, write, plan.floods)
        self._halls: HallFaults | None = None
        if plan.halls:
            self._halls = HallFaults(self, random.Random(f"halls {plan.seed}"))
        self._floods: Floods | None = None
        if plan.floods:
            self._floods = Floods(self, random.Random(f"floods {plan.seed}"))
        self._large: LargeJobs | None = None
        if plan.large:
            self._large = LargeJobs(self, random.Random(f"large {plan.seed}"))
        self._series: SeriesFaults | None = None
        if plan.series:
            series = random.Random(f"series {plan.seed}")
            self._series = SeriesFaults(self, series, self._stop_faults)
        self._sizes: SizedJobs | None = None
        if plan.sizes:
            self._sizes = SizedJobs(self, random.Random(f"sizes {plan.seed}"))
        self._odd: OddInputs | None = None
        if plan.odd:
            self._odd = OddInputs(self, random.Random(f"odd {plan.seed}"))
        self._states = StateCallers(self, random.Random(f"states {plan.seed}"))
        self._quiet_at_s = 0.0
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Play the plan and check the promises."""
        await self.world.open()
        timeout = aiohttp.ClientTimeout(total=5)
        self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            if self._halls is not None:
                self._halls.prepare()
            for daemon in self.daemons:
                await daemon.prepare()
            await asyncio.gather(*(daemon.start() for daemon in self.daemons))
            await asyncio.sleep(1.0)
            states = asyncio.create_task(self._states.play())
            try:
                await self._play()
                await self._finish_faults()
                if self.plan.stops or self.plan.restarts or self.plan.series:
                    await self._lasting.check_running()
                await self._lasting.cancel_all(SETTLE_S)
                await self._settle()
            finally:
                states.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await states
            await self._check_configuration()
            if self._accounts is not None:
                await self._accounts.check_keys()
            await self._await_stops()
            await self._check_failures()
            self._check()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await self._session.close()
            for daemon in [*self.daemons, *self.removed]:
                await daemon.close()
            await self.world.close()

    async def _play(self) -> None:
        until_s = time.monotonic() + self.plan.seconds
        parts = [self._traffic(), self._faults.play(until_s, self.plan.faults_per_s)]
        if self.plan.stops:
            parts.append(self._lasting.submit(until_s))
            parts.append(self._lasting.cancel_groups(until_s, self._stop_faults))
            parts.append(self._stop_faults.play(until_s))
        if self.plan.writer:
            parts.append(self._writer.play(until_s))
        if self.plan.runners:
            parts.append(self._runner_faults.play(until_s))
            parts.append(self._runner_faults.submit_in_turns(until_s))
        others = (self._accounts, self._restarts, self._halls, self._floods)
        for more in (*others, self._large, self._series, self._odd, self._sizes):
            if more is not None:
                parts.append(more.play(until_s))
        if self._advice is not None:
            parts.append(self._advice.play(self, until_s))
        await asyncio.gather(*parts)

    def spawn(self, call: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
        """Let something run beside; it is waited for before the checks."""
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Callers.

    async def _traffic(self) -> None:
        until_s = time.monotonic() + self.plan.seconds
        while time.monotonic() < until_s:
            self.spawn(self.one_job(self.random))
            gap_s = self.random.expovariate(self.plan.jobs_per_s)
            await asyncio.sleep(min(gap_s, 1.0))

    async def one_job(self, choices: random.Random, pool: str = "") -> None:
        """Submit a job that can be done, and cancel it now and then.

        :param pool: else any.
        """
        job_id = f"{choices.getrandbits(64):016x}"
        pool = pool or choices.choice(CALLED_POOLS)
        job = SubmittedJob(job_id, pool)
        self.jobs[job_id] = job
        body = self._body(choices)
        cancel = choices.random() < 0.1
        await self.submit(job, body, self._any)
        if job.accepted and cancel:
            await asyncio.sleep(0.3)
            await self.cancel(job, self._any)

    def _any(self) -> Daemon:
        return self.random.choice(self.daemons)

    async def submit(
        self, job: SubmittedJob, body: bytes, choose: t.Callable[[], Daemon]
    ) -> None:
        """Submit a job until it is accepted, at a daemon that is chosen each time."""
        for _ in range(6):
            status, _ = await self.call(job, "POST", choose(), body)
            if status == 200:
                job.accepted = True
                break
            if status not in (429, 503):
                job.uncertain = True
            await asyncio.sleep(0.5)

    async def cancel(self, job: SubmittedJob, choose: t.Callable[[], Daemon]) -> None:
        """Cancel a job until it is confirmed, at a daemon that is chosen each time."""
        for _ in range(6):
            if job.cancelled_at_s is not None:
                break
            daemon = choose()
            job.cancel_sent = True
            status, _ = await self.call(job, "DELETE", daemon)
            if status in (200, 410) and job.cancelled_at_s is None:
                job.cancelled_at_s = time.monotonic()
                job.confirmed_by = f"{daemon.name} with {status}"

    def _body(self, choices: random.Random) -> bytes:
        run_s = choices.choice([0.1, 0.4, 1.0])
        fail = choices.choice([0, 0, 0, 1])
        spec: dict[str, t.Any] = {"run_s": run_s, "fail": fail}
        if self.plan.runners:
            # So that runners know what takes their room.
            spec["cpu"] = 1500
        steps: list[dict[str, t.Any]] = [
            {"count": choices.randint(1, 4), "cpu": 1500, "memMb": 100}
        ]
        if choices.random() < 0.4:
            steps.append({"count": 2, "cpu": 1500, "memMb": 100, "after": [0]})
        return json.dumps({"spec": json.dumps(spec), "steps": steps}).encode()

    async def call(
        self,
        job: SubmittedJob,
        method: str,
        daemon: Daemon,
        body: bytes = b"",
        key: str = "",
    ) -> tuple[int, str]:
        """Call a daemon; status 0 where no whole answer came.

        :param key: of a client account; else that of the job's own.
        """
        assert self._session is not None
        if not daemon.callers:
            return 503, ""
        headers = {"Host": f"{job.pool}.example", "Streamthread-Deadline-Ms": "3000"}
        if self._accounts is not None:
            headers["Streamthread-Credential"] = key or self._accounts.key_for(job)
        url = f"http://{daemon.callers}/jobs/{job.job_id}"
        if self._odd is not None and method != "POST":
            body = self._odd.body()
        try:
            async with self._session.request(
                method, url, data=body, headers=headers
            ) as response:
                text = await response.read()
                value = json.loads(text) if text else {}
                return response.status, str(value.get("state", ""))
        except json.JSONDecodeError:
            # A handler has failed.
            return 500, ""
        except (aiohttp.ClientError, TimeoutError):
            return 0, ""

    # What faults ask of the soak.

    def note(self, text: str) -> None:
        """Keep what fault begins."""
        self.faults.append(text)

    def free(self) -> list[Daemon]:
        """Return the daemons that no fault has now."""
        return [daemon for daemon in self.daemons if daemon.name not in self.busy]

    def restart(self, daemon: Daemon, number: signal.Signals, pause_s: float) -> None:
        """End a daemon by a signal and start it again after a pause, beside."""

        async def act() -> None:
            await daemon.restart(number, pause_s)
            self.busy.discard(daemon.name)

        self.busy.add(daemon.name)
        self.note(f"{number.name} {daemon.name}")
        self.spawn(act())

    async def _finish_faults(self) -> None:
        """Let the faults that are under way end by themselves."""
        give_up_at_s = time.monotonic() + FAULTS_END_S
        while time.monotonic() < give_up_at_s:
            if not self.busy and not self._tasks:
                break
            await asyncio.sleep(0.1)
        self.world.store.faults.refuse = 0
        self.world.store.faults.lose_answers = 0
        if self.plan.stops:
            await self._stop_faults.finish()
        if self.plan.writer:
            await self._writer.finish()
        self._quiet_at_s = time.monotonic()

    # Checks.

    async def _settle(self) -> None:
        give_up_at_s = time.monotonic() + SETTLE_S
        open_jobs = [job for job in self.jobs.values() if job.accepted]
        for job in open_jobs:
            if job.sound_tasks is not None:
                self.spawn(self._cancel_when_sound_tasks_end(job))
        while open_jobs and time.monotonic() < give_up_at_s:
            for job in list(open_jobs):
                status, state = await self.call(job, "GET", self._any())
                if status == 410:
                    self.broken.append(f"LOST {job.job_id} is not known")
                    open_jobs.remove(job)
                if state in ENDED:
                    job.states.add(state)
                    open_jobs.remove(job)
            await asyncio.sleep(0.1)
        for job in open_jobs:
            self.broken.append(f"LOST {job.job_id} has not ended")

    async def _cancel_when_sound_tasks_end(self, job: SubmittedJob) -> None:
        """Cancel a job once only its task that crashes its runners is left."""
        crashing = f"{job.job_id}.0.0.{job.sound_tasks}"
        while self._done_tasks(job) != job.sound_tasks or (
            await self.tasks_left(job, self._any()) != [crashing]
        ):
            await asyncio.sleep(0.1)
        await self.cancel(job, self._any)

    def _done_tasks(self, job: SubmittedJob) -> int:
        """Return of how many tasks a run has ended as done.

        Whether the holder has noted such an end before its runner exited, only the
        holder knows.
        """
        prefix = f"{job.job_id}."
        done = {task for task, _, how, _ in self.world.ended if how == "done"}
        return sum(task.startswith(prefix) for task in done)

    async def tasks_left(self, job: SubmittedJob, daemon: Daemon) -> list[str] | None:
        """Return a job's tasks that are not done by what the holder knows, if told."""
        assert self._session is not None
        url = f"http://{daemon.operators}/explain/job/{job.job_id}"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return None
                return [task["task"] for task in (await response.json())["tasks"]]
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _check_configuration(self) -> None:
        """Wait until every daemon knows the newest configuration."""
        newest = self._faults.newest_version()
        name = "streamthread_manifest_version"
        give_up_at_s = time.monotonic() + IN_FORCE_S
        for daemon in self.daemons:
            while (version := await self.metric(daemon, name)) != newest:
                if time.monotonic() > give_up_at_s:
                    self.broken.append(f"CONFIG {daemon.name}: {version}, not {newest}")
                    break
                await asyncio.sleep(0.1)

    async def _await_stops(self) -> None:
        """Wait until nothing of a cancelled job may run; for longer where some does."""
        cancelled = [job for job in self.jobs.values() if job.cancelled_at_s]
        gone = [gone_by_s(job, self._quiet_at_s) for job in cancelled]
        while gone and time.monotonic() < max(gone) + RUNS_ON_S:
            await asyncio.sleep(0.1)
            broken = any(self._runs_on())
            if time.monotonic() > max(gone) + MARGIN_S and not broken:
                break

    def _runs_on(self) -> t.Iterator[str]:
        return check_stops(self.world, self.jobs, self._quiet_at_s)

    async def metric(self, daemon: Daemon, name: str) -> int:
        """Return a metric of a daemon; 0: none told.

        :param name: a pattern.
        """
        assert self._session is not None
        try:
            async with self._session.get(
                f"http://{daemon.operators}/metrics"
            ) as response:
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError):
            return 0
        found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
        return int(float(found[1])) if found else 0

    async def _check_failures(self) -> None:
        """No loop of a daemon that lives now has failed by what nobody foresaw."""
        for daemon in self.daemons:
            if await self.metric(daemon, FAILURES_METRIC):
                self.broken.append(f"FAILURE in {daemon.name}: see its log")

    def _check(self) -> None:
        self.broken.extend(check_runs(self.world))
        self.broken.extend(check_crashes(self.world))
        self.broken.extend(check_rooms(self.world))
        self.broken.extend(check_jobs(self.world, self.jobs))
        self.broken.extend(check_duties(self.world))
        self.broken.extend(check_evacuations(self.world))
        if self._floods is not None:
            self.broken.extend(self._floods.check())
        if self.plan.accounts:
            self.broken.extend(check_limits(self.world, self.jobs))
        self.broken.extend(self._runs_on())
        for daemon in [*self.daemons, *self.removed]:
            if daemon.unasked_ends:
                self.broken.append(f"FAULT {daemon.name} ended by itself")
        if self.world.cloud.max_down > 2 * self._faults.waves():
            self.broken.append(f"LIMIT {self.world.cloud.max_down} in upkeep")


async def run_soak(
    plan: SoakPlan, folder: pathlib.Path, code: str = ""
) -> tuple[list[str], list[str]]:
    """Play one seed; return the broken promises and the faults.

    :param code: a folder with the daemons' package, where it is not the installed one.
    """
    soak = Soak(plan, folder, code)
    await soak.run()
    return soak.broken, soak.faults


async def _run_many(seeds: t.Sequence[int], arguments: argparse.Namespace) -> int:
    limit = asyncio.Semaphore(arguments.jobs)
    failed: list[int] = []

    async def one(seed: int) -> None:
        async with limit:
            with tempfile.TemporaryDirectory() as scratch:
                folder = pathlib.Path(arguments.keep_logs or scratch) / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
                # A large job needs a call for each of its 250 steps, which takes the
                # service longer than jobs may take.
                advice = random.Random(f"plan {seed}").random() < ADVICE_SHARE
                plan = SoakPlan(
                    seed,
                    seconds=arguments.seconds,
                    stops=True,
                    writer=True,
                    runners=True,
                    accounts=True,
                    restarts=True,
                    halls=True,
                    floods=True,
                    large=not advice,
                    series=True,
                    odd=True,
                    advice=advice,
                    sizes=True,
                    new_routes=True,
                )
                broken, faults = await run_soak(plan, folder, arguments.daemon_path)
            print(json.dumps({"seed": seed, "broken": broken, "faults": faults}))
            sys.stdout.flush()
            if broken:
                failed.append(seed)

    await asyncio.gather(*(one(seed) for seed in seeds))
    print(json.dumps({"seeds": len(seeds), "failed": sorted(failed)}))
    return 1 if failed else 0


def main() -> int:
    """Play seeds and print a line each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many, from --seed")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--jobs", type=int, default=2, help="side by side")
    parser.add_argument("--keep-logs", default="", help="a folder for the logs")
    parser.add_argument("--daemon-path", default="", help="other code of the daemons")
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.seeds)
    return asyncio.run(_run_many(seeds, arguments))


if __name__ == "__main__":
    raise SystemExit(main())
