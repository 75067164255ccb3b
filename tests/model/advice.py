"""Queues with a policy in virtual time: the advice service, runners and their tasks."""

import asyncio
import collections
import time
import typing as t
import zlib

import attrs

from streamthread.errors import NoAnswerError
from streamthread.holder.advice import AdviceCache
from streamthread.holder.advice_times import TURN_S
from streamthread.platform.advice import Advice
from streamthread.platform.advice import Ticket
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.manifest import AdvicePolicy
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import RunnerState
from streamthread.scheduler.fleet import usable_runners

__all__ = ["AdvicePlan", "AdviceSimulation", "Outage"]

POOL = "desk"
RUNNER_CPU = 16
PASS_INTERVAL_S = 0.1
"""The longest time until the next pass over the queue."""

SLACK_S = 5.0
"""Allowed beside the calls and the work: pauses after failed calls, and placement."""


@attrs.frozen
class Outage:
    """A time in which the service is slow or silent.

    :param slowness: calls take this many times as long; None: they get no answer.
    """

    at_s: float
    for_s: float
    slowness: float | None


@attrs.frozen
class AdvicePlan:
    """One simulation.

    :param one_in: one runner in this many is permitted, others for each step.
    :param jobs_at_s: when each job is submitted.
    :param steps: the number of steps of each job.
    :param chained: each step waits for the one before it.
    :param holders_at_s: when another holder takes over, which knows no answers.
    :param exits_at_s: when a runner exits, and its machine's next one comes.
    """

    policy: AdvicePolicy
    runners: int
    one_in: int
    jobs_at_s: tuple[float, ...]
    steps: int
    tasks: int
    cpu: int
    run_s: float
    chained: bool
    outages: tuple[Outage, ...]
    holders_at_s: tuple[float, ...]
    exits_at_s: tuple[float, ...]

    def settled_at_s(self) -> float:
        """Return after what time nothing is submitted or disturbed any more.

        A call that a slow service began takes as long as it began, and so does one that
        was given up for the next one behind it.
        """
        longest_s = max(TURN_S, 2 * self.policy.decide_s, self.policy.duration_s(1))
        outages = (
            outage.at_s + outage.for_s + 2 * longest_s * (outage.slowness or 0.0)
            for outage in self.outages
        )
        return max(*self.jobs_at_s, *self.holders_at_s, *self.exits_at_s, *outages, 0.0)

    def needed_s(self) -> float:
        """Return how long the calls and the work may take once nothing is disturbed.

        Each step asks about all runners in the smallest calls that are made, and asks
        again about one that has no room left when its ticket has expired.
        """
        policy = self.policy
        steps = len(self.jobs_at_s) * self.steps
        least = max(TURN_S / 2 - policy.decide_s, policy.decide_s)
        per_call = min(max(1.0, least / max(policy.each_s, 1e-6)), 100.0)
        calls = steps * (self.runners / per_call + self.tasks + 1)
        rounds = steps * self.tasks * self.cpu / RUNNER_CPU + steps
        return calls * policy.duration_s(int(per_call)) + rounds * self.run_s + SLACK_S


class AdviceService:
    """Answers one call at a time, also those that were given up."""

    def __init__(self, plan: AdvicePlan, began_at_s: float) -> None:
        self._plan = plan
        self._began_at_s = began_at_s
        self._busy_until_s = began_at_s

    def permits(self, step: str, runner_id: str) -> bool:
        """Return the answer for a step and a machine, which does not change."""
        machine = int(runner_id.partition(".")[0])
        if machine == zlib.crc32(step.encode()) % self._plan.runners:
            return True
        return zlib.crc32(f"{step} {machine}".encode()) % self._plan.one_in == 0

    def _slowness(self) -> float | None:
        now_s = time.monotonic() - self._began_at_s
        for outage in self._plan.outages:
            if outage.at_s <= now_s < outage.at_s + outage.for_s:
                return outage.slowness
        return 1.0

    async def advise(
        self, step: str, runner_ids: t.Sequence[str], timeout_s: float
    ) -> Advice:
        """Answer like the client of the service."""
        slowness = self._slowness()
        begins_s = max(time.monotonic(), self._busy_until_s)
        duration_s = self._plan.policy.duration_s(len(runner_ids))
        if slowness is not None:
            self._busy_until_s = begins_s + duration_s * slowness
        wait_s = self._busy_until_s - time.monotonic()
        if slowness is None or wait_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise NoAnswerError("no answer", remedy="none", location="advice")
        await asyncio.sleep(wait_s)
        good = [Ticket(i, f"{step} {i}") for i in runner_ids if self.permits(step, i)]
        return Advice(tuple(good), None)


class AdviceSimulation:
    """Places the tasks of a plan's jobs until all of them are done."""

    def __init__(self, plan: AdvicePlan) -> None:
        self._plan = plan
        self._began_at_s = time.monotonic()
        self._lives = 0
        self._kick = asyncio.Event()
        self._ends = 0
        self._runs: collections.defaultdict[str, list[Attempt]]
        self._runs = collections.defaultdict(list)
        self._spawned: set[asyncio.Task[None]] = set()
        self.service = AdviceService(plan, self._began_at_s)
        self.engine = Engine(lambda job: None)
        self.advice = self._new_cache()

    def _new_cache(self) -> AdviceCache:
        return AdviceCache(
            t.cast(t.Any, self.service),
            lambda job: self._plan.policy,
            lambda pool, last_resort: usable_runners(
                self.engine.runners.values(), pool, last_resort
            ),
            self._kick.set,
        )

    async def execute(self) -> list[str]:
        """Run the plan; return the jobs that did not end in time."""
        for machine in range(self._plan.runners):
            self._add_runner(machine)
        self._spawn(self._asking())
        for at_s in self._plan.jobs_at_s:
            self._spawn(self._after(at_s, self._submit))
        for at_s in self._plan.holders_at_s:
            self._spawn(self._after(at_s, self._replace_holder))
        for at_s in self._plan.exits_at_s:
            self._spawn(self._after(at_s, self._exit_one))
        limit_s = self._plan.settled_at_s() + self._plan.needed_s()
        while not self._is_over() and self._now_s() < limit_s:
            self._place()
            try:
                async with asyncio.timeout(PASS_INTERVAL_S):
                    await self._kick.wait()
            except TimeoutError:
                continue
        for task in self._spawned:
            task.cancel()
        await asyncio.gather(*self._spawned, return_exceptions=True)
        jobs = self.engine.jobs.values()
        return [job.job_id for job in jobs if not job.over]

    def _now_s(self) -> float:
        return time.monotonic() - self._began_at_s

    def _is_over(self) -> bool:
        jobs = self.engine.jobs
        submitted = len(jobs) == len(self._plan.jobs_at_s)
        return submitted and all(job.over for job in jobs.values())

    def _spawn(self, call: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._spawned.add(task)
        task.add_done_callback(self._spawned.discard)

    async def _after(self, at_s: float, act: t.Callable[[], None]) -> None:
        await asyncio.sleep(at_s)
        act()
        self._kick.set()

    async def _asking(self) -> None:
        while True:
            cache = self.advice
            running = asyncio.ensure_future(cache.run())
            try:
                while self.advice is cache:
                    await asyncio.sleep(PASS_INTERVAL_S)
            finally:
                running.cancel()

    # What happens.

    def _submit(self) -> None:
        step = StepRequest(
            count=self._plan.tasks, cpu=self._plan.cpu, memory_mb=1, estimate_ms=100
        )
        steps = [
            attrs.evolve(step, after=(n - 1,) if n and self._plan.chained else ())
            for n in range(self._plan.steps)
        ]
        job_id = f"{len(self.engine.jobs):016x}"
        request = JobRequest("", tuple(steps))
        job = Job(job_id, JobTerms("r", POOL), request, b"", time.time())
        job.begin(0)
        self.engine.add(job)
        for run in job.occurrences[0].steps:
            self.advice.request(run)

    def _replace_holder(self) -> None:
        self.advice = self._new_cache()

    def _add_runner(self, machine: int) -> None:
        self._lives += 1
        runner = RunnerState(
            f"{machine}.{self._lives}", POOL, "x:1", "z", ("a",), RUNNER_CPU, 64, 0
        )
        runner.ready = runner.heard = True
        self.engine.add_runner(runner)

    def _exit_one(self) -> None:
        runner_id = next(iter(self.engine.runners))
        self._runs.pop(runner_id, None)
        self.engine.runner_exited(runner_id, "crashed")
        self.advice.forget_runner(runner_id)
        self._add_runner(int(runner_id.partition(".")[0]))

    # Tasks.

    def _place(self) -> None:
        self._kick.clear()
        for attempt in self.engine.place_all(time.time(), self.advice.allowed):
            ticket = self.advice.ticket(attempt.task.step, attempt.runner_id)
            assert ticket, "a start needs a ticket"
            self.engine.confirm(attempt, 0)
            self._runs[attempt.runner_id].append(attempt)
            self._spawn(self._after(self._plan.run_s, self._end_of(attempt)))

    def _end_of(self, attempt: Attempt) -> t.Callable[[], None]:
        return lambda: self._end(attempt)

    def _end(self, attempt: Attempt) -> None:
        """Let a run end, unless its runner has exited."""
        runs = self._runs[attempt.runner_id]
        if attempt not in runs:
            return
        runs.remove(attempt)
        self._ends += 1
        running = [RunningTask(other.task.name, other.run, "", 50) for other in runs]
        ended = EndedRun(self._ends, attempt.task.name, attempt.run, EndKind.DONE, "")
        reply = HoldReply(int(self._now_s() * 1000), tuple(running), (ended,))
        self.engine.on_hold(self.engine.runners[attempt.runner_id], reply)
