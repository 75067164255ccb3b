"""Jobs, steps and tasks as the holder keeps them in memory."""

import typing as t

import attrs

from ..clocks import boot_s
from ..platform.callers import JobRequest
from ..platform.callers import MAX_TASKS
from ..platform.callers import StepRequest
from .attempts import Attempt
from .chunks import Chunk
from .chunks import is_chunked
from .intervals import IntervalSet
from .names import task_name
from .overload import Choice
from .states import FailureCause
from .states import JobState
from .states import Phase
from .states import RunnerIncarnation
from .states import Stop
from .states import TaskState
from .terms import JobTerms

__all__ = [
    "Attempt",
    "Blame",
    "FailureCause",
    "Job",
    "JobState",
    "Occurrence",
    "Outlook",
    "Phase",
    "RunnerIncarnation",
    "StepRun",
    "Stop",
    "Task",
    "TaskState",
    "task_name",
]


MAX_OPEN_OCCURRENCES = 1000
"""Maximum number of a job's occurrences that are in memory at the same time; together
they have at most :data:`MAX_TASKS` tasks."""

FIRST_PAUSE_S = 1.0
"""How long nothing of a job is placed after a fault. Without a pause, a fault that each
pass meets again would take the time of all passes."""

MAX_PAUSE_S = 30.0
"""The longest such pause; it doubles with each fault."""

BACKLOG_CHECK_S = 1.0
"""How often a job with this many looks whether one of them is done."""


@attrs.define(eq=False)
class Task:
    """One task of one step in one occurrence of its job.

    :param last_run: the highest run number used so far.
    :param failures: how often a runner reported that a run failed; not counted for a
        long-running task.
    :param checkpoint: the newest checkpoint that a runner reported, or with which the
        last run of a gang started.
    :param checkpoint_at_s: boot clock time at which it was reported; 0 if it was
        reported to an earlier holder, or never.
    :param avoid: runner incarnations on which the task failed or lagged, or which
        became silent while they had the task.
    :param not_before_s: wall time before which the task is not placed.
    :param waiting_since_s: boot clock time since when the task has no attempt, or since
        when a speculative copy is requested.
    :param moves: how often an attempt was stopped because it lagged.
    :param crashes: how many runners presumably exited as they started this task, since
        it last worked on a runner for a while. It is persisted so that the next holder
        continues the count.
    :param later_ends: the same count for runners that certainly stayed alive after the
        start and exited before the task had worked for a while.
    :param late_crashes: how many of the later ends the task has presumably caused: it
        alone had just been started there, and the runner had been up for long. It is
        persisted as well.
    :param observed_crashes: how many of the crashes a holder has observed itself. It is
        persisted, since the next holder has not observed them.
    :param crashes_runners: the observed crashes prove that the task causes them. It is
        persisted as well.
    :param quarantined_until_s: boot clock time until which the task gets no new run,
        since it seems to crash its runners; 0 if it may get one.
    :param needs_stable_runner: the task starts only on a runner that has been up for a
        while.
    :param on_probation: the task runs apart from others, so that the next runner exit
        shows whether it is at fault.
    """

    step: "StepRun"
    index: int
    _state: TaskState = TaskState.WAITING
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    checkpoint_at_s: float = 0.0
    attempts: list[Attempt] = attrs.field(factory=list)
    avoid: set[RunnerIncarnation] = attrs.field(factory=set)
    not_before_s: float = 0.0
    waiting_since_s: float = attrs.field(factory=boot_s)
    _copy_requested: bool = False
    moves: int = 0
    crashes: int = 0
    later_ends: int = 0
    late_crashes: int = 0
    observed_crashes: int = 0
    crashes_runners: bool = False
    quarantined_until_s: float = 0.0
    needs_stable_runner: bool = False
    on_probation: bool = False

    @property
    def state(self) -> TaskState:
        """The task's state."""
        return self._state

    @state.setter
    def state(self, state: TaskState) -> None:
        self._state = state
        self.step.forget_waiting()
        self.note_changed()

    @property
    def copy_requested(self) -> bool:
        """Whether a speculative copy is to run beside the current attempt."""
        return self._copy_requested

    @copy_requested.setter
    def copy_requested(self, requested: bool) -> None:
        if requested is not self._copy_requested:
            self._copy_requested = requested
            self.step.forget_waiting()

    @property
    def suspect(self) -> bool:
        """Whether the task may have caused a runner exit or a recent runner silence."""
        return self.on_probation or any(attempt.suspected for attempt in self.attempts)

    @property
    def lost_runners(self) -> int:
        """How many exits count against the task since it last worked for a while."""
        return self.crashes + self.later_ends

    def note_changed(self) -> None:
        """Note that the task's progress is to be persisted with the next change."""
        occurrence = self.step.occurrence
        if occurrence.job.chunked:
            position = self.step.first_position + self.index
            chunk = Chunk.at(occurrence.number, position)
            occurrence.job.changed_chunks.add(chunk)

    @property
    def needs_attempt(self) -> bool:
        """Whether the task needs to be placed on a runner."""
        if self._state is TaskState.WAITING:
            return True
        return self._copy_requested and self._state is TaskState.PLACED

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return task_name(
            self.step.occurrence.job.job_id,
            self.step.occurrence.number,
            self.step.number,
            self.index,
        )


@attrs.frozen(eq=False)
class Blame:
    """A runner exit that was attributed to a task.

    :param later: the runner certainly stayed alive after the task's start.
    :param late_crash: the task has presumably caused the exit all the same.
    :param observed: a holder observed it at the task's start.
    """

    task: Task
    later: bool
    late_crash: bool
    observed: bool


@attrs.define(eq=False)
class StepRun:
    """One step in one occurrence of its job.

    :param first_position: the number of tasks in the occurrence's earlier steps.
    :param waiting_logged: it has been logged that the step waits for resources.
    :param urgency: the cached sort key by which steps get resources; None if it has not
        been computed yet.
    :param urgency_at_s: wall time at which the sort key was computed.
    :param urgency_choice: the choice by which the sort key was computed, if any.
    """

    occurrence: "Occurrence"
    number: int
    request: StepRequest
    first_position: int = 0
    tasks: list[Task] = attrs.field(factory=list)
    _done_count: int = 0
    waiting_logged: bool = False
    urgency: tuple[t.Any, ...] | None = None
    urgency_at_s: float = 0.0
    urgency_choice: Choice | None = None
    _waiting: tuple[Task, ...] | None = attrs.field(default=None, init=False)

    @property
    def done_count(self) -> int:
        """The number of tasks that are done."""
        return self._done_count

    @done_count.setter
    def done_count(self, count: int) -> None:
        self._done_count = count
        self.occurrence.forget_progress()

    @property
    def done(self) -> bool:
        """Whether all of the step's tasks are done."""
        return self._done_count == len(self.tasks)

    @property
    def reserved_cpu(self) -> int:
        """The cpu to reserve for one task; filling tasks use only what others leave."""
        return 0 if self.request.fills else self.request.cpu

    def blocked_by(self) -> list[int]:
        """Return the numbers of the preceding steps that are not done."""
        steps = self.occurrence.steps
        return [number for number in self.request.after if not steps[number].done]

    def has_waiting(self) -> bool:
        """Whether any task needs to be placed."""
        return bool(self.waiting())

    def waiting(self) -> tuple[Task, ...]:
        """Return the tasks that need to be placed.

        They are kept until the state of a task changes.
        """
        if self._waiting is None:
            self._waiting = tuple(task for task in self.tasks if task.needs_attempt)
        return self._waiting

    def forget_waiting(self) -> None:
        """Determine anew which tasks need to be placed."""
        self._waiting = None
        self.occurrence.forget_waiting()


@attrs.frozen(eq=False)
class Outlook:
    """How long an occurrence still takes, and when it has to end.

    :param open_s: the expected length of its longest chain of open steps.
    :param latest_end_s: the latest wall time at which it may end to meet the job's
        objective.
    :param times: the learned run times from which this was computed.
    :param version: the version that these had.
    """

    open_s: float
    latest_end_s: float
    times: object
    version: int


@attrs.define(eq=False)
class Occurrence:
    """One scheduled repetition of a job's steps.

    :param outlook: as last computed; None if a step has made progress since.
    """

    job: "Job"
    number: int
    due_at_s: float
    steps: list[StepRun] = attrs.field(factory=list)
    outlook: Outlook | None = attrs.field(default=None, init=False)
    _waiting_steps: tuple[StepRun, ...] | None = attrs.field(default=None, init=False)
    _tasks: tuple[Task, ...] | None = attrs.field(default=None, init=False)

    @property
    def tasks(self) -> tuple[Task, ...]:
        """The tasks of all steps, in the order of the steps."""
        if self._tasks is None:
            self._tasks = tuple(task for step in self.steps for task in step.tasks)
        return self._tasks

    @property
    def done(self) -> bool:
        """Whether all of its steps are done."""
        return all(step.done for step in self.steps)

    def ready_steps(self) -> t.Iterator[StepRun]:
        """Yield the unfinished steps whose preceding steps are done."""
        for step in self.steps:
            if step.done:
                continue
            if not step.blocked_by():
                yield step

    def waiting_steps(self) -> tuple[StepRun, ...]:
        """Return the ready steps with tasks that need to be placed.

        They are kept until the state of a task changes, or the progress of a step.
        """
        if self._waiting_steps is None:
            self._waiting_steps = tuple(
                step for step in self.ready_steps() if step.has_waiting()
            )
        return self._waiting_steps

    def forget_waiting(self) -> None:
        """Determine anew which steps have tasks to place."""
        self._waiting_steps = None

    def forget_progress(self) -> None:
        """Determine anew what depends on which steps are done."""
        self.outlook = None
        self._waiting_steps = None


@attrs.define(eq=False)
class Job:
    """One job, from its submission until it is forgotten.

    :param terms: what the job was accepted with.
    :param accepted_at_s: wall time of acceptance, in seconds since 1970.
    :param occurrences: the occurrences whose tasks exist: they are not done, or still
        have attempts.
    :param done_times: the numbers of the occurrences that are done.
    :param changed_chunks: the parts of its progress that have changed since they were
        last recorded; used only if it is chunked.
    :param paused_until_s: boot clock time until which nothing of the job is placed,
        because a fault occurred when it was; 0 if none has.
    :param pause_s: how long the last of these pauses is.
    :param body_rows: the number of rows that contain its body; 0 if the row of its
        submission does.
    :param rejected: the job was withdrawn, since the store never takes its rows.
    :param failure: why the job has failed; None if it has not.
    :param begun: a runner has confirmed at least one run of the job.
    :param ended_at_s: wall time at which the job ended, or None.
    :param durable: the submission is persisted, so it may be acknowledged.
    :param left_in_inbox: another daemon acknowledged the job and left it in the store.
    :param excess: the account had used up its weight when the job was accepted; set by
        each holder from the jobs that it knows.
    :param start_forecast_s: wall time at which its first run was expected when it was
        accepted; None if there was no forecast, or once it has started.
    """

    job_id: str
    terms: JobTerms
    request: JobRequest
    body: bytes
    accepted_at_s: float
    occurrences: dict[int, Occurrence] = attrs.field(factory=dict)
    done_times: IntervalSet = attrs.field(factory=IntervalSet)
    begun: bool = False
    cancelled: bool = False
    failure: FailureCause | None = None
    ended_at_s: float | None = None
    durable: bool = False
    left_in_inbox: bool = False
    excess: bool = False
    start_forecast_s: float | None = None
    changed_chunks: set[Chunk] = attrs.field(factory=set)
    body_rows: int = 0
    rejected: bool = False
    paused_until_s: float = 0.0
    pause_s: float = 0.0
    chunked: bool = attrs.field(init=False)
    # Read from the terms once, since each pass over the queue reads them often.
    route: str = attrs.field(init=False)
    service: str = attrs.field(init=False)
    account: str = attrs.field(init=False)
    priority: int = attrs.field(init=False)
    # The occurrences below this number have begun.
    _begun_count: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.chunked = is_chunked(self.request)
        self.route = self.terms.route
        self.service = self.terms.service
        self.account = self.terms.account
        self.priority = self.terms.priority

    @property
    def times(self) -> int:
        """The number of occurrences."""
        return max(1, self.request.times)

    @property
    def failed(self) -> bool:
        """Whether the job has failed."""
        return self.failure is not None

    @property
    def state(self) -> JobState:
        """The state that is reported to callers."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if len(self.done_times) == self.times:
            return JobState.COMPLETED
        return JobState.RUNNING if self.begun else JobState.PENDING

    @property
    def over(self) -> bool:
        """Whether no further run of the job is needed."""
        if self.cancelled or self.failed:
            return True
        return bool(self.done_times) and len(self.done_times) == self.times

    def attempts(self) -> t.Iterator[Attempt]:
        """Yield the attempts of all tasks."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                for task in step.tasks:
                    yield from task.attempts

    def has_attempts(self) -> bool:
        """Whether any attempt of the job uses resources on a runner."""
        return any(True for _ in self.attempts())

    def pause(self) -> None:
        """Place nothing of the job for a while, longer with each fault."""
        self.pause_s = min(max(2 * self.pause_s, FIRST_PAUSE_S), MAX_PAUSE_S)
        self.paused_until_s = boot_s() + self.pause_s

    @property
    def paused(self) -> bool:
        """Whether nothing of the job is placed because of a fault."""
        return self.paused_until_s > 0 and boot_s() < self.paused_until_s

    def due_at_s(self, number: int) -> float:
        """Return the wall time at which an occurrence is due."""
        if self.request.times <= 0:
            return self.accepted_at_s
        start_ms = self.request.first_due_ms + number * self.request.interval_ms
        return start_ms / 1000

    def begin_due(self, now_s: float, early_s: float) -> float | None:
        """Begin the occurrences that are due; return when the next one may begin.

        None means that all have begun. Those that have are not looked at again. While
        too many are open, the next one waits until another one is done.
        """
        for number in range(self._begun_count, self.times):
            if number not in self.done_times and number not in self.occurrences:
                due_at_s = self.due_at_s(number) - early_s
                if due_at_s > now_s:
                    return due_at_s
                if not self._may_begin_another():
                    return now_s + BACKLOG_CHECK_S
                self.begin(number)
            self._begun_count = number + 1
        return None

    def _may_begin_another(self) -> bool:
        """Whether one more occurrence may be in memory at the same time."""
        count = len(self.occurrences)
        if not count:
            return True
        tasks = (count + 1) * self.request.task_count
        return count < MAX_OPEN_OCCURRENCES and tasks <= MAX_TASKS

    def begin(self, number: int) -> Occurrence:
        """Create the steps and tasks of one occurrence."""
        occurrence = Occurrence(self, number, self.due_at_s(number))
        position = 0
        for step_number, request in enumerate(self.request.steps):
            step = StepRun(occurrence, step_number, request, position)
            step.tasks = [Task(step, index) for index in range(request.count)]
            occurrence.steps.append(step)
            position += request.count
        self.occurrences[number] = occurrence
        return occurrence
