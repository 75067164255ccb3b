"""Engines in virtual time with drawn jobs, runners and events."""

import random
import time
import typing as t

import pytest

from streamthread.clocks import boot_s
from streamthread.platform.callers import JobRequest
from streamthread.platform.callers import StepRequest
from streamthread.platform.runners import EndedRun
from streamthread.platform.runners import EndKind
from streamthread.platform.runners import HoldReply
from streamthread.platform.runners import RunningTask
from streamthread.scheduler import Attempt
from streamthread.scheduler import encode_progress
from streamthread.scheduler import Engine
from streamthread.scheduler import Job
from streamthread.scheduler import JobTerms
from streamthread.scheduler import Phase
from streamthread.scheduler import restore_progress
from streamthread.scheduler import RunnerState
from streamthread.scheduler import StepRun

__all__ = ["DrawnCell"]

POOLS = ("desk", "lab")
WEIGHTS = {"a": 3.0, "b": 1.0}
RUNNERS = 7
MAX_OPEN_JOBS = 25
KINDS = (EndKind.DONE,) * 5 + (EndKind.FAILED, EndKind.STOPPED, EndKind.BROKEN)


class DrawnCell:
    """An engine to which drawn events happen between passes.

    :param check: called before each pass with the engine and the wall time.
    """

    def __init__(
        self,
        patch: pytest.MonkeyPatch,
        seed: int,
        check: t.Callable[[Engine, float], None],
    ) -> None:
        self._drawn = random.Random(seed)
        self._check = check
        self.now_s = 1_000.0
        patch.setattr(time, "time", lambda: self.now_s)
        patch.setattr(time, "clock_gettime", lambda clock: self.now_s)
        self._jobs = 0
        self._runners = 0
        self._numbers = 0
        self.placed = 0
        self.engine = self._new_engine()
        for _ in range(RUNNERS * len(POOLS)):
            self._add_runner()

    def play(self, rounds: int) -> None:
        """Run passes with drawn events between them."""
        events = (
            [self._add_job] * 4
            + [self._list_runs] * 6
            + [self._list_unknown_end, self._silence, self._answer, self._exit]
            + [self._restart, self._stop, self._cancel, self._withdraw, self._lag]
        )
        for number in range(rounds):
            self.now_s += self._drawn.choice((0.01, 0.05, 0.2, 0.6))
            for _ in range(self._drawn.randint(0, 3)):
                self._drawn.choice(events)()
            if number % 50 == 49:
                self._replace_holder()
            self._pass()

    def _new_engine(self) -> Engine:
        return Engine(lambda job: None, weights=lambda: WEIGHTS)

    def _pass(self) -> None:
        self.engine.begin_due(self.now_s)
        self._check(self.engine, self.now_s)
        placed = self.engine.place_all(self.now_s, self._tickets)
        self.placed += len(placed)
        self.engine.take_stops()
        for attempt in placed:
            self._send(attempt)

    def _tickets(self, step: StepRun) -> t.Collection[str] | None:
        if step.occurrence.job.route != "advised":
            return None
        return {name for name in self.engine.runners if name.endswith(("0", "2", "4"))}

    def _send(self, attempt: Attempt) -> None:
        outcome = self._drawn.random()
        if outcome < 0.05:
            if attempt in attempt.task.attempts:
                self.engine.withdraw_attempt(attempt)
        elif outcome < 0.1:
            if attempt in attempt.task.attempts:
                self.engine.refuse(attempt, "draining")
        elif outcome < 0.9:
            attempt.sent_at_s = boot_s()
            attempt.phase = Phase.SENT
            self.engine.confirm(attempt, self._clock_ms())

    def _clock_ms(self) -> int:
        return round(self.now_s * 1000)

    # Jobs.

    def _add_job(self) -> None:
        if len(self.engine.open_jobs()) >= MAX_OPEN_JOBS:
            return
        drawn = self._drawn
        self._jobs += 1
        steps = tuple(self._step(number) for number in range(drawn.randint(1, 3)))
        times = drawn.choice((0, 0, 0, 3))
        request = JobRequest("", steps, times, self._clock_ms() + 100, 400)
        job = Job(
            f"{self._jobs:016x}",
            JobTerms(
                drawn.choice(("r", "advised")),
                drawn.choice(POOLS),
                priority=drawn.choice((0, 0, 1)),
                max_attempts=drawn.randint(1, 3),
                stretch=1.6,
                target_s=0.5,
                account=drawn.choice(("a", "a", "b", "")),
            ),
            request,
            b"",
            self.now_s,
        )
        self.engine.add(job)

    def _step(self, number: int) -> StepRequest:
        drawn = self._drawn

        def likely(share: float) -> bool:
            return drawn.random() < share

        lasting = likely(0.1)
        return StepRequest(
            count=drawn.randint(1, 5),
            cpu=1_000 * drawn.randint(1, 6),
            memory_mb=1_000 * drawn.choice((0, 1, 3, 6)),
            gpu=int(likely(0.1)),
            estimate_ms=drawn.choice((0, 500, 900)),
            after=(number - 1,) if number and likely(0.7) and not lasting else (),
            gang=likely(0.15) and not lasting,
            same_rack=likely(0.1),
            requires="ssd" if likely(0.15) else "",
            near_rack="r1" if likely(0.1) else "",
            most_per_runner=1 if likely(0.2) else 0,
            speculative=likely(0.4) and not lasting,
            lasting=lasting,
            image=drawn.choice(("", "x", "y")),
            fills=likely(0.05),
        )

    def _job(self) -> Job | None:
        jobs = [job for job in self.engine.open_jobs() if not job.over]
        return self._drawn.choice(jobs) if jobs else None

    def _cancel(self) -> None:
        job = self._job()
        if job is not None:
            self.engine.cancel(job)

    def _withdraw(self) -> None:
        job = self._job()
        if job is not None and not job.has_attempts() and not job.done_times:
            self.engine.withdraw(job)

    def _stop(self) -> None:
        job = self._job()
        attempts = list(job.attempts()) if job is not None else []
        if attempts:
            self.engine.stop(self._drawn.choice(attempts), "test")

    def _lag(self) -> None:
        self.engine.handle_lagging_runs()

    # Runners.

    def _add_runner(self) -> None:
        drawn = self._drawn
        number = self._runners
        self._runners += 1
        labels = ("a", f"r{number % 3}") + (("ssd",) if drawn.random() < 0.4 else ())
        runner = RunnerState(
            f"i-{number}",
            POOLS[number % len(POOLS)],
            "x:1",
            f"z{number % 2}",
            labels,
            1_000 * drawn.choice((4, 8, 16)),
            1_000 * drawn.choice((4, 8, 16)),
            drawn.choice((0, 0, 2)),
            born_ms=self._clock_ms(),
        )
        runner.ready = True
        if drawn.random() < 0.2:
            runner.penalty_until_s = self.now_s + drawn.choice((0.5, 3.0))
        self.engine.add_runner(runner)

    def _runner(self) -> RunnerState:
        return self._drawn.choice(list(self.engine.runners.values()))

    def _list_runs(self) -> None:
        runner = self._runner()
        if runner.silent_at_s is not None:
            return
        running: list[RunningTask] = []
        ended: list[EndedRun] = []
        for attempt in runner.attempts.values():
            outcome = self._drawn.random()
            if outcome < 0.5:
                self._numbers += 1
                kind = self._drawn.choice(KINDS)
                name = attempt.task.name
                ended.append(EndedRun(self._numbers, name, attempt.run, kind, ""))
            elif outcome < 0.95:
                percent = self._drawn.choice((10.0, 20.0, 50.0))
                row = RunningTask(attempt.task.name, attempt.run, "", percent)
                running.append(row)
        reply = HoldReply(self._clock_ms(), tuple(running), tuple(ended))
        self.engine.on_hold(runner, reply)

    def _list_unknown_end(self) -> None:
        job = self._job()
        if job is None or not job.occurrences:
            return
        occurrence = self._drawn.choice(list(job.occurrences.values()))
        task = self._drawn.choice(self._drawn.choice(occurrence.steps).tasks)
        self._numbers += 1
        ended = EndedRun(self._numbers, task.name, 1_000, EndKind.DONE, "")
        self.engine.on_hold(self._runner(), HoldReply(self._clock_ms(), (), (ended,)))

    def _silence(self) -> None:
        runner = self._runner()
        runner.ready = False
        runner.silent_at_s = self.now_s
        self.engine.request_copies(runner.runner_id)

    def _answer(self) -> None:
        for runner in self.engine.runners.values():
            runner.ready = True
            runner.silent_at_s = None

    def _exit(self) -> None:
        runner = self._runner()
        if self._drawn.random() < 0.5:
            self.engine.attempts_expired(runner.runner_id, "test")
            return
        self.engine.runner_exited(runner.runner_id, "test")
        self._add_runner()

    def _restart(self) -> None:
        before = self._runner()
        after = before.next_incarnation(self._clock_ms())
        after.ready = True
        self.engine.runner_restarted(before, after)

    def _replace_holder(self) -> None:
        """Replace the engine with one that reads the jobs back."""
        before, self.engine = self.engine, self._new_engine()
        for runner in before.runners.values():
            after = runner.next_incarnation(runner.born_ms or 0)
            after.ready = True
            self.engine.add_runner(after)
        for job in before.open_jobs():
            read = Job(job.job_id, job.terms, job.request, b"", job.accepted_at_s)
            restore_progress(read, encode_progress(job))
            self.engine.add(read)
        for attempt in self.engine.orphans():
            self.engine.drop_orphan(attempt)
