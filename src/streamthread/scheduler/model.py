"""Jobs, steps and tasks as the holder keeps them in memory."""

import enum
import time
import typing as t

import attrs

from ..clocks import boot_s
from ..platform.callers import decode_job
from ..platform.callers import JobRequest
from ..platform.callers import StepRequest
from ..platform.manifest import Route

__all__ = [
    "Attempt",
    "Blame",
    "Job",
    "JobState",
    "Occurrence",
    "Phase",
    "RunnerIncarnation",
    "StepRun",
    "Stop",
    "Task",
    "TaskState",
    "new_job",
    "task_name",
]


class JobState(enum.Enum):
    """What a caller is told of a job; the values are on the wire."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class Phase(enum.Enum):
    """How far one attempt has come."""

    PLANNED = "planned"
    """Decided, and not recorded durably yet."""
    SENT = "sent"
    """Recorded; the order went out or may have gone out, the outcome is open."""
    CONFIRMED = "confirmed"
    """The runner has said that it is there."""
    STOPPING = "stopping"
    """To be stopped; it takes room until the runner lists its end."""


@attrs.frozen
class RunnerIncarnation:
    """One life of a runner; what its id did in another life says nothing of it."""

    runner_id: str
    born_ms: int | None = None


@attrs.define(eq=False)
class Stop:
    """The stop of one run.

    :param since_s: on the boot clock: since when the run is to be stopped, under
        this holder.
    :param under_way: it waits to be sent, or is being sent until the runner answers.
    :param uncertain: a try got no answer, and may be carried out seconds later.
    :param answered_ms: the runner's clock when it took the stop last; 0: not yet.
    """

    reason: str
    since_s: float
    under_way: bool = False
    uncertain: bool = False
    answered_ms: int = 0


@attrs.define(eq=False)
class Attempt:
    """One run of one task on one runner.

    :param confirmed_clock_ms: the runner's clock when it said that the run is there.
    :param there_ms: the runner's clock when it said so first; 0: not yet.
    :param born_ms: when the life of the runner began that it was meant for; None: not
        told.
    :param read_back: an earlier holder recorded it.
    :param open_starts: how many orders to start it have no answer; each of them may
        still be carried out.
    :param sent_at_s: on the boot clock: when its start was sent first; 0: not
        under this holder.
    :param began_at_s: on the boot clock: when it was confirmed; 0: not yet.
    :param percent: of its work, as its runner said last.
    :param first_percent: of its work, when its runner told of it first.
    :param first_seen_at_s: on the boot clock: when that was; 0: not yet.
    :param seen_at_s: on the boot clock: when its runner told of it last.
    :param moved_on_at_s: on the boot clock: when the percent changed last.
    :param missing_since_ms: on the runner's clock: since when its lists do not show it;
        0: they do.
    :param unlisted_since_s: on the boot clock: since when its runner does not list
        it, though it is there for all that is known; 0: it does.
    :param unlisted_told: that was logged.
    :param blamed: an end of its runner was laid to it; recorded with it.
    :param doubtful: its runner fell silent as it began, and has not been heard since.
    :param stop: of a run that is to be stopped, what has become of that.
    :param pace_percent: at what share of its speed it works; None: not known,
        since an earlier holder may have changed it.
    :param pace_open_until_s: on the boot clock: until then, a pace without an
        answer may still replace a newer one; 0: there is none.
    """

    task: "Task"
    run: int
    runner_id: str
    phase: Phase = Phase.PLANNED
    born_ms: int | None = None
    read_back: bool = False
    confirmed_clock_ms: int = 0
    first_confirmed_ms: int = 0
    open_starts: int = 0
    sent_at_s: float = 0.0
    began_at_s: float = 0.0
    percent: float = 0.0
    first_percent: float = 0.0
    first_seen_at_s: float = 0.0
    seen_at_s: float = 0.0
    progress_changed_at_s: float = 0.0
    usage: float | None = None
    pace_percent: int | None = 100
    pace_open_until_s: float = 0.0
    missing_since_ms: int = 0
    unlisted_since_s: float = 0.0
    unlisted_logged: bool = False
    blamed: bool = False
    suspected: bool = False
    stop: Stop | None = None

    @property
    def stop_reason(self) -> str:
        """Why it is to be stopped; empty while it is not."""
        return self.stop.reason if self.stop is not None else ""

    @property
    def must_end(self) -> bool:
        """Whether nobody wants it, or nobody knows whether it is there."""
        task = self.task
        if task.step.occurrence.job.over or task.state is TaskState.DONE:
            return True
        return not self.began_at_s

    def mark_stopping(self, reason: str) -> None:
        """Note that it is to be stopped; who calls this has the stop sent."""
        self.phase = Phase.STOPPING
        self.stop = Stop(reason, boot_s())

    @property
    def ends_with_incarnation(self) -> bool:
        """Whether it is surely nowhere once this life of its runner is over.

        An order that no life has answered may yet be carried out by the next one.
        """
        if self.phase is Phase.PLANNED:
            return True
        return bool(self.seen_at_s) and not self.read_back and not self.open_starts

    def is_of_other_incarnation(self, born_ms: int | None) -> bool:
        """Whether it was meant for another life of its runner than this one."""
        return None not in (born_ms, self.born_ms) and born_ms != self.born_ms

    def reset_confirmation(self, born_ms: int | None) -> None:
        """Forget what an earlier life of its runner said of it.

        :param born_ms: when the life began that is asked for it from now on.
        """
        self.born_ms = born_ms
        self.confirmed_clock_ms = self.first_confirmed_ms = 0
        self.began_at_s = 0.0
        self.first_seen_at_s = self.seen_at_s = self.progress_changed_at_s = 0.0
        self.missing_since_ms = 0
        self.unlisted_since_s = 0.0

    def cancel_stop(self) -> None:
        """Note that it is not to be stopped any more; it was not."""
        self.phase = Phase.CONFIRMED
        self.stop = None

    def pace_unanswered(self, latest_s: float) -> None:
        """Note that a pace may be set without our knowing, until ``latest_s``."""
        self.pace_percent = None
        self.pace_open_until_s = latest_s

    def pace_answered(self, percent: int, sent_at_s: float) -> None:
        """Note that a pace was set; it stays if nothing older can come after it."""
        self.pace_percent = percent
        if sent_at_s > self.pace_open_until_s:
            self.pace_open_until_s = 0.0

    def note_progress(self, percent: float, now_s: float) -> None:
        """Take how far its runner says that it is."""
        if not self.first_seen_at_s:
            self.first_percent, self.first_seen_at_s = percent, now_s
        if percent != self.percent or not self.progress_changed_at_s:
            self.progress_changed_at_s = now_s
        self.percent = percent
        self.seen_at_s = now_s


@attrs.define(eq=False)
class Task:
    """One task of one step, at one time of its job.

    :param last_run: the highest run number that was used.
    :param checkpoint: the newest progress that a runner reported.
    :param avoid: lives of runners on which it failed, lagged behind or was silent.
    :param not_before_s: wall time before which it is not placed.
    :param waiting_since_s: on the boot clock: since when it has no attempt, or is to
        have one more.
    :param copy_wanted: one more attempt is to run beside the one that it has.
    :param moves: how often an attempt was stopped because it lagged behind.
    :param crashes: how many runners ended as they started it, for all that is known,
        since it last worked on one for a while; recorded, so that the next holder goes
        on counting.
    :param later_ends: the same of runners that surely lived on after its start, and
        ended before it had worked for a while.
    :param on_trial: the next end of a runner is to show whether it is at fault.
    """

    step: "StepRun"
    index: int
    state: TaskState = TaskState.WAITING
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    attempts: list[Attempt] = attrs.field(factory=list)
    avoid: set[RunnerIncarnation] = attrs.field(factory=set)
    not_before_s: float = 0.0
    waiting_since_s: float = attrs.field(factory=boot_s)
    copy_requested: bool = False
    moves: int = 0
    crashes: int = 0
    later_ends: int = 0
    on_probation: bool = False

    @property
    def suspect(self) -> bool:
        """Whether it may be what ended a runner, or what silenced one just now."""
        return self.on_probation or any(attempt.suspected for attempt in self.attempts)

    @property
    def lost_runners(self) -> int:
        """How many runners ended under it since it last worked on one for a while."""
        return self.crashes + self.later_ends

    @property
    def needs_attempt(self) -> bool:
        """Whether a runner is to be found for it."""
        if self.state is TaskState.WAITING:
            return True
        return self.copy_requested and self.state is TaskState.PLACED

    @property
    def name(self) -> str:
        """The name on the wire."""
        return task_name(
            self.step.occurrence.job.job_id,
            self.step.occurrence.number,
            self.step.number,
            self.index,
        )


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return a task's name on the wire."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def job_id_of_task(name: str) -> str:
    """Return the id of the job that a task's name begins with; ids may hold dots."""
    return name.rsplit(".", 3)[0]


@attrs.frozen(eq=False)
class Blame:
    """The end of a runner that was laid to a task.

    :param later: the runner had surely lived on after the task's start.
    """

    task: Task
    later: bool


@attrs.define(eq=False)
class StepRun:
    """One step at one time of its job.

    :param told_waiting: it was logged that the step waits for room.
    """

    occurrence: "Occurrence"
    number: int
    request: StepRequest
    tasks: list[Task] = attrs.field(factory=list)
    done_count: int = 0
    waiting_logged: bool = False
    urgency: tuple[t.Any, ...] | None = None
    urgency_at_s: float = 0.0

    @property
    def done(self) -> bool:
        """Whether all of its tasks have ended so."""
        return self.done_count == len(self.tasks)

    @property
    def reserved_cpu(self) -> int:
        """The room that one task takes: filling ones live on what others leave."""
        return 0 if self.request.fills else self.request.cpu

    def blocked_by(self) -> list[int]:
        """Return the numbers of the steps before it that are not done."""
        steps = self.occurrence.steps
        return [number for number in self.request.after if not steps[number].done]

    def has_waiting(self) -> bool:
        """Whether a runner is to be found for some task."""
        return any(task.needs_attempt for task in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks for which a runner is to be found."""
        return [task for task in self.tasks if task.needs_attempt]


@attrs.define(eq=False)
class Occurrence:
    """One time at which a job's steps run."""

    job: "Job"
    number: int
    due_at_s: float
    steps: list[StepRun] = attrs.field(factory=list)

    @property
    def done(self) -> bool:
        """Whether all of its steps are done."""
        return all(step.done for step in self.steps)

    def ready_steps(self) -> t.Iterator[StepRun]:
        """Yield the steps that may run now and have something to place."""
        for step in self.steps:
            if step.done:
                continue
            if not step.blocked_by():
                yield step


@attrs.define(eq=False)
class Job:
    """One job, from its hand-in until it is forgotten.

    :param service: the pool whose runners run it.
    :param accepted_at_s: wall time of its acceptance, in seconds since 1970.
    :param occurrences: the times that have begun and are not done.
    :param done_times: numbers of the times that are done.
    :param begun: a runner has confirmed one of its runs.
    :param ended_at_s: wall time of its end, or None.
    :param durable: its hand-in is recorded, so it may be acknowledged.
    :param left_in_inbox: another daemon has acknowledged it and left it in the store.
    :param account: the client account that handed it in; empty: its route needed no
        key.
    """

    job_id: str
    route: str
    service: str
    request: JobRequest
    body: bytes
    accepted_at_s: float
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    occurrences: dict[int, Occurrence] = attrs.field(factory=dict)
    done_times: set[int] = attrs.field(factory=set)
    begun: bool = False
    cancelled: bool = False
    failed: bool = False
    ended_at_s: float | None = None
    durable: bool = False
    left_in_inbox: bool = False
    account: str = ""

    @property
    def times(self) -> int:
        """How often its steps run."""
        return max(1, self.request.times)

    @property
    def state(self) -> JobState:
        """What a caller is told."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if len(self.done_times) == self.times:
            return JobState.COMPLETED
        return JobState.RUNNING if self.begun else JobState.PENDING

    @property
    def over(self) -> bool:
        """Whether nothing of it is to run any more."""
        return self.cancelled or self.failed or len(self.done_times) == self.times

    def attempts(self) -> t.Iterator[Attempt]:
        """Yield the attempts of all of its tasks."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks:
                    yield from task.attempts

    def has_attempts(self) -> bool:
        """Whether something of it takes room on a runner."""
        return any(True for _ in self.attempts())

    def due_at_s(self, number: int) -> float:
        """Return the wall time at which a time falls due."""
        if self.request.times <= 0:
            return self.accepted_at_s
        start_ms = self.request.first_due_ms + number * self.request.interval_ms
        return start_ms / 1000

    def begin(self, number: int) -> Occurrence:
        """Create the steps and tasks of one time."""
        occurrence = Occurrence(self, number, self.due_at_s(number))
        for step_number, request in enumerate(self.request.steps):
            step = StepRun(occurrence, step_number, request)
            step.tasks = [Task(step, index) for index in range(request.count)]
            occurrence.steps.append(step)
        self.occurrences[number] = occurrence
        return occurrence


def new_job(job_id: str, route: Route, body: bytes, account: str = "") -> Job:
    """Return the job that a caller hands in at a route now, for an account or none.

    :raises BadInputError: the body is no job.
    """
    return Job(
        job_id=job_id,
        route=route.name,
        service=route.service,
        request=decode_job(body),
        body=body,
        accepted_at_s=time.time(),
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_s=route.target_s,
        account=account,
    )
