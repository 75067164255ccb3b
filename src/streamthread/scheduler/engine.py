"""The holder's state of all jobs, and what follows from each event.

No input or output: the service records what changed and sends the orders.
"""

import time
import typing as t

import attrs
import logbook

from ..platform.runners import EndedRun
from ..platform.runners import EndKind
from ..platform.runners import HoldReply
from .fleet import RunnerState
from .fleet import usable_runners
from .learning import learning_key
from .learning import RunTimes
from .model import Attempt
from .model import Job
from .model import Occurrence
from .model import Phase
from .model import StepRun
from .model import Task
from .model import TaskState
from .placement import LargestRoom
from .placement import order_steps
from .placement import place_step
from .placement import Placement

__all__ = ["Engine", "EngineSettings", "Stray"]

log = logbook.Logger("streamthread.scheduler")


@attrs.frozen
class EngineSettings:
    """Figures of the scheduler.

    :param early_s: a time may begin so much before it falls due.
    :param list_slack_ms: a list counts as newer than an answer only if the
        runner's clock is so much further; lists are made in whole milliseconds.
    :param penalty_s: how long a runner that failed tasks is used last.
    :param penalty_failures: so many failures within ``penalty_s`` bring that.
    :param lasting_patience_s: a lasting task that waits for longer may go to a
        runner that is being emptied.
    :param restart_pause_s: before a lasting task that failed starts again.
    """

    early_s: float = 0.1
    list_slack_ms: int = 20
    penalty_s: float = 6.0
    penalty_failures: int = 2
    restart_pause_s: float = 0.05
    lasting_patience_s: float = 1.0


@attrs.frozen
class Stray:
    """A run that a runner has and that no attempt of ours explains."""

    runner_id: str
    task: str
    run: int


class Engine:
    """All jobs of a cell, and the runners' room.

    :param changed: called with each job whose progress must be recorded.
    """

    def __init__(
        self,
        changed: t.Callable[[Job], None],
        settings: EngineSettings | None = None,
    ) -> None:
        self.settings = settings or EngineSettings()
        self.jobs: dict[str, Job] = {}
        self.runners: dict[str, RunnerState] = {}
        self.times = RunTimes()
        self.to_stop: list[Attempt] = []
        self._changed = changed
        self._open: dict[str, Job] = {}
        self._failures: dict[str, list[float]] = {}
        self.counts: dict[str, int] = {}

    # Jobs.

    def add(self, job: Job) -> None:
        """Take a job, new or read back."""
        self.jobs[job.job_id] = job
        if job.over and not self._has_attempts(job):
            return
        self._open[job.job_id] = job
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                self._adopt_attempts(step)

    def _adopt_attempts(self, step: StepRun) -> None:
        for task in step.tasks:
            for attempt in task.attempts:
                runner = self.runners.get(attempt.runner_id)
                if runner is not None:
                    runner.add(task.name, attempt)

    @staticmethod
    def _has_attempts(job: Job) -> bool:
        return any(
            task.attempts
            for occurrence in job.occurrences.values()
            for step in occurrence.steps
            for task in step.tasks
        )

    def cancel(self, job: Job) -> None:
        """Cancel a job that is not over; what runs is to be stopped."""
        if job.over:
            return
        job.cancelled = True
        job.ended_at_s = time.time()
        self._stop_all(job, "cancelled")
        self._changed(job)

    def forget(self, before_s: float) -> list[Job]:
        """Drop the jobs that ended before a wall time and return them."""
        old = [
            job
            for job in self.jobs.values()
            if job.ended_at_s is not None
            and job.ended_at_s < before_s
            and not self._has_attempts(job)
        ]
        for job in old:
            del self.jobs[job.job_id]
            self._open.pop(job.job_id, None)
        return old

    def pending_count(self, route: str) -> int:
        """Return how many of a route's jobs have not begun."""
        return sum(
            job.route == route and not job.begun and not job.over
            for job in self._open.values()
        )

    def open_jobs(self) -> t.Collection[Job]:
        """Return the jobs of which something may still run."""
        return self._open.values()

    # Runners.

    def add_runner(self, runner: RunnerState) -> None:
        """Take a new life of a runner, with what is recorded there."""
        self.runners[runner.runner_id] = runner
        for job in self._open.values():
            for occurrence in job.occurrences.values():
                for step in occurrence.steps:
                    for task in step.tasks:
                        for attempt in task.attempts:
                            if attempt.runner_id == runner.runner_id:
                                runner.add(task.name, attempt)

    def runner_over(self, runner_id: str, why: str) -> None:
        """A runner's life has surely ended: nothing runs there any more."""
        runner = self.runners.pop(runner_id, None)
        if runner is None:
            return
        attempts = list(runner.attempts.values())
        log.info(
            "runner-over",
            extra={"runner": runner_id, "why": why, "attempts": len(attempts)},
        )
        for attempt in attempts:
            self._lapse(attempt, runner)

    def attempts_lapsed(self, runner_id: str, why: str) -> None:
        """All that ran on a runner has surely lapsed; the runner may live."""
        runner = self.runners.get(runner_id)
        if runner is None or not runner.attempts:
            return
        log.info(
            "attempts-lapsed",
            extra={"runner": runner_id, "why": why, "attempts": len(runner.attempts)},
        )
        for attempt in list(runner.attempts.values()):
            self._lapse(attempt, runner)

    def orphans(self) -> list[Attempt]:
        """Return the attempts on runners that are not known here."""
        return [
            attempt
            for job in self._open.values()
            for occurrence in job.occurrences.values()
            for step in occurrence.steps
            for task in step.tasks
            for attempt in task.attempts
            if attempt.runner_id not in self.runners
        ]

    def drop_orphan(self, attempt: Attempt) -> None:
        """An attempt on an unknown runner has surely lapsed."""
        self._lapse(attempt, None)

    # What the runners say.

    def on_hold(self, runner: RunnerState, reply: HoldReply) -> list[Stray]:
        """Take a runner's lists; return the runs that should not be there."""
        for ended in reply.ended:
            self._on_ended(runner, ended)
        listed = {(row.task, row.run): row for row in reply.running}
        ended_keys = {(row.task, row.run) for row in reply.ended}
        for key, attempt in list(runner.attempts.items()):
            row = listed.get(key)
            if row is not None:
                self._on_running(attempt, row.checkpoint, row.percent, row.usage)
            elif key not in ended_keys:
                self._on_missing(runner, attempt, reply.clock_ms)
        strays = [
            Stray(runner.runner_id, row.task, row.run)
            for key, row in listed.items()
            if key not in runner.attempts
        ]
        runner.stray_runs = len(strays)
        return strays

    def _on_running(
        self, attempt: Attempt, checkpoint: str, percent: float, usage: float | None
    ) -> None:
        if attempt.phase is Phase.SENT:
            self.confirm(attempt, 0)
        attempt.percent = percent
        attempt.usage = usage
        task = attempt.task
        if checkpoint and checkpoint != task.checkpoint:
            task.checkpoint = checkpoint

    def _on_missing(self, runner: RunnerState, attempt: Attempt, clock_ms: int) -> None:
        """A run that the runner confirmed is in neither of its newer lists."""
        if attempt.phase not in (Phase.CONFIRMED, Phase.STOPPING):
            return
        known_ms = attempt.confirmed_clock_ms
        if not known_ms or clock_ms <= known_ms + self.settings.list_slack_ms:
            return
        log.warning(
            "run-vanished",
            extra={
                "task": attempt.task.name,
                "run": attempt.run,
                "runner": runner.runner_id,
                "phase": attempt.phase.value,
                "clock_ms": clock_ms,
                "confirmed_clock_ms": known_ms,
            },
        )
        self._lapse(attempt, runner)

    def confirm(self, attempt: Attempt, clock_ms: int) -> None:
        """A runner has said that a run is there."""
        if attempt.phase is not Phase.STOPPING:
            attempt.phase = Phase.CONFIRMED
        attempt.confirmed_clock_ms = clock_ms
        if not attempt.began_at_s:
            attempt.began_at_s = time.monotonic()
        job = attempt.task.step.occurrence.job
        if not job.begun:
            job.begun = True
            self._changed(job)

    def refuse(self, attempt: Attempt, why: str) -> None:
        """A runner has said that it did not start a run, and will not."""
        runner = self.runners.get(attempt.runner_id)
        task = attempt.task
        self._count(f"refused-{why}")
        log.info(
            "start-refused",
            extra={
                "task": task.name,
                "run": attempt.run,
                "runner": attempt.runner_id,
                "why": why,
            },
        )
        self._remove(attempt, runner)
        self._wait_again(task)
        self._changed(task.step.occurrence.job)

    def _on_ended(self, runner: RunnerState, ended: EndedRun) -> None:
        attempt = runner.attempts.get((ended.task, ended.run))
        if attempt is None:
            self._on_unknown_end(ended)
            return
        task = attempt.task
        job = task.step.occurrence.job
        self._remove(attempt, runner)
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        self._count(f"ended-{ended.kind.value}")
        if ended.kind is not EndKind.DONE:
            log.info(
                "run-ended",
                extra={
                    "task": ended.task,
                    "run": ended.run,
                    "runner": runner.runner_id,
                    "how": ended.kind.value,
                    "failures": task.failures,
                    "stop_reason": attempt.stop_reason,
                },
            )
        if ended.kind is EndKind.DONE:
            self._on_done(attempt)
        elif ended.kind is EndKind.FAILED:
            self._on_failed(attempt, runner)
        else:
            self._wait_again(task)
        self._changed(job)
        self._settle_job(job)

    def _on_unknown_end(self, ended: EndedRun) -> None:
        """Take a `done` of a task that we know, whoever started the run."""
        task = self.find_task(ended.task)
        if task is None or ended.kind is not EndKind.DONE:
            return
        if task.state is TaskState.DONE:
            return
        log.info("done-by-other-run", extra={"task": ended.task, "run": ended.run})
        self._mark_done(task)
        job = task.step.occurrence.job
        self._changed(job)
        self._settle_job(job)

    def find_task(self, name: str) -> Task | None:
        """Return a task by its name on the wire, where its job is open."""
        parts = name.split(".")
        if len(parts) != 4:
            return None
        job = self._open.get(parts[0])
        if job is None:
            return None
        occurrence = job.occurrences.get(int(parts[1]))
        if occurrence is None:
            return None
        return occurrence.steps[int(parts[2])].tasks[int(parts[3])]

    def _on_done(self, attempt: Attempt) -> None:
        task = attempt.task
        if attempt.began_at_s and not task.step.request.lasting:
            took_s = time.monotonic() - attempt.began_at_s
            self.times.learn(learning_key(task.step), took_s)
        if task.step.request.lasting:
            self._wait_again(task)
            return
        if task.step.request.gang:
            for member in task.step.tasks:
                self._mark_done(member)
            return
        self._mark_done(task)

    def _mark_done(self, task: Task) -> None:
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        task.step.done_count += 1
        for attempt in task.attempts:
            self._stop(attempt, "copy-done")

    def _on_failed(self, attempt: Attempt, runner: RunnerState) -> None:
        task = attempt.task
        job = task.step.occurrence.job
        task.avoid.add(runner.runner_id)
        self._note_failure(runner)
        if task.step.request.lasting:
            task.not_before_s = time.time() + self.settings.restart_pause_s
            self._wait_again(task)
            return
        task.failures += 1
        if task.failures >= job.max_attempts and task.state is not TaskState.DONE:
            task.state = TaskState.FAILED
            if not job.over:
                job.failed = True
                job.ended_at_s = time.time()
                self._stop_all(job, "job-failed")
                log.info(
                    "job-failed",
                    extra={
                        "job": job.job_id,
                        "task": task.name,
                        "failures": task.failures,
                        "max_attempts": job.max_attempts,
                    },
                )
            return
        self._wait_again(task)

    def _note_failure(self, runner: RunnerState) -> None:
        now_s = time.time()
        since_s = now_s - self.settings.penalty_s
        seen = [s for s in self._failures.get(runner.runner_id, []) if s > since_s]
        seen.append(now_s)
        self._failures[runner.runner_id] = seen
        if len(seen) >= self.settings.penalty_failures:
            runner.penalty_until_s = now_s + self.settings.penalty_s

    def _wait_again(self, task: Task) -> None:
        if task.state is TaskState.PLACED and not task.attempts:
            task.state = TaskState.WAITING
            task.waiting_since_s = time.monotonic()

    def _lapse(self, attempt: Attempt, runner: RunnerState | None) -> None:
        self._count("lapsed")
        self._remove(attempt, runner)
        self._wait_again(attempt.task)
        job = attempt.task.step.occurrence.job
        self._changed(job)
        self._settle_job(job)

    def _remove(self, attempt: Attempt, runner: RunnerState | None) -> None:
        task = attempt.task
        if attempt in task.attempts:
            task.attempts.remove(attempt)
        if runner is not None:
            runner.remove(task.name, attempt)

    def _settle_job(self, job: Job) -> None:
        """Close the times and the job that have nothing left to run."""
        if not job.over:
            for number, occurrence in list(job.occurrences.items()):
                if occurrence.done:
                    job.done_times.add(number)
                    self._drop_occurrence(job, occurrence)
            if job.over and job.ended_at_s is None:
                job.ended_at_s = time.time()
                self._changed(job)
                self._tell_ended(job)
        if job.over and not self._has_attempts(job):
            job.occurrences.clear()
            self._open.pop(job.job_id, None)

    @staticmethod
    def _tell_ended(job: Job) -> None:
        log.info(
            "job-ended",
            extra={
                "job": job.job_id,
                "state": job.state.value,
                "took_s": round(time.time() - job.accepted_at_s, 3),
                "stretch": job.stretch,
                "target_s": job.target_s,
            },
        )

    def _drop_occurrence(self, job: Job, occurrence: Occurrence) -> None:
        held = any(task.attempts for step in occurrence.steps for task in step.tasks)
        if not held:
            del job.occurrences[occurrence.number]

    # Stops.

    def _stop_all(self, job: Job, reason: str) -> None:
        for occurrence in job.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks:
                    for attempt in task.attempts:
                        self._stop(attempt, reason)
        self._settle_job(job)

    def _stop(self, attempt: Attempt, reason: str) -> None:
        if attempt.phase is Phase.STOPPING:
            return
        attempt.stop_reason = reason
        attempt.phase = Phase.STOPPING
        self.to_stop.append(attempt)

    def stop(self, attempt: Attempt, reason: str) -> None:
        """Have a run stopped; its task waits again once it has ended."""
        self._stop(attempt, reason)

    # Placement.

    def begin_due(self, now_s: float) -> float | None:
        """Create the times that fall due; return when the next one does."""
        next_s: float | None = None
        for job in self._open.values():
            if job.over:
                continue
            for number in range(job.times):
                if number in job.done_times or number in job.occurrences:
                    continue
                due_at_s = job.due_at_s(number) - self.settings.early_s
                if due_at_s > now_s:
                    next_s = due_at_s if next_s is None else min(next_s, due_at_s)
                    break
                job.begin(number)
        return next_s

    def ready_steps(self, service: str) -> list[StepRun]:
        """Return the steps of a pool's jobs that have something to place."""
        return [
            step
            for job in self._open.values()
            if job.service == service and not job.over
            for occurrence in job.occurrences.values()
            for step in occurrence.ready_steps()
            if any(task.state is TaskState.WAITING for task in step.tasks)
        ]

    def place(
        self,
        service: str,
        now_s: float,
        tickets: t.Callable[[StepRun], t.Collection[str] | None],
    ) -> list[Attempt]:
        """Place what there is room for in one pool; return the new attempts."""
        runners = usable_runners(self.runners.values(), service)
        largest = LargestRoom.among(runners)
        placed: list[Attempt] = []
        candidates = self._candidates(service, largest, len(runners))
        for step in order_steps(candidates, self.times, now_s):
            in_need = self._in_need(step)
            if not in_need and not largest.may_fit(step):
                self._tell_placed(step, [], len(runners))
                continue
            usable = runners
            if in_need:
                usable = usable_runners(self.runners.values(), service, in_need=True)
            planned: list[tuple[Placement, int]] = []
            for placement in place_step(step, usable, now_s, tickets(step)):
                planned.append((placement, _next_run(placement.task)))
            placed.extend(self._plan(p.task, p.runner, run) for p, run in planned)
            self._tell_placed(step, planned, len(usable))
            if planned:
                largest = LargestRoom.among(runners)
        return placed

    def _candidates(
        self, service: str, largest: LargestRoom, usable: int
    ) -> list[StepRun]:
        """Return the steps worth sorting: those that some runner has room for."""
        found: list[StepRun] = []
        for step in self.ready_steps(service):
            if largest.may_fit(step) or self._in_need(step):
                found.append(step)
            else:
                self._tell_placed(step, [], usable)
        return found

    @staticmethod
    def _tell_placed(
        step: StepRun, planned: list[tuple[Placement, int]], usable: int
    ) -> None:
        """Say where tasks go; that a step waits is said once."""
        left = len(step.waiting())
        if not planned and (step.told_waiting or not left):
            return
        step.told_waiting = left > 0
        occurrence = step.occurrence
        log.info(
            "tasks-placed" if planned else "tasks-wait",
            extra={
                "job": occurrence.job.job_id,
                "step": f"{occurrence.number}.{step.number}",
                "runs": [[p.task.index, run, p.runner.runner_id] for p, run in planned],
                "left": left,
                "usable_runners": usable,
                "age_s": round(time.time() - occurrence.due_at_s, 3),
            },
        )

    def _in_need(self, step: StepRun) -> bool:
        """Whether lasting tasks have waited for so long that any runner will do."""
        if not step.request.lasting:
            return False
        since_s = time.monotonic() - self.settings.lasting_patience_s
        return any(task.waiting_since_s < since_s for task in step.waiting())

    def _plan(self, task: Task, runner: RunnerState, run: int) -> Attempt:
        task.last_run = run
        attempt = Attempt(task, task.last_run, runner.runner_id)
        attempt.placed_at_s = time.monotonic()
        task.attempts.append(attempt)
        task.state = TaskState.PLACED
        runner.add(task.name, attempt)
        self._changed(task.step.occurrence.job)
        return attempt

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


def _next_run(task: Task) -> int:
    """Return the number of a task's next run; a gang's members share theirs."""
    if not task.step.request.gang:
        return task.last_run + 1
    return max(member.last_run for member in task.step.tasks) + 1
