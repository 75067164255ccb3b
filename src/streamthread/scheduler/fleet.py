"""What the scheduler knows of the runners it may use."""

import typing as t

import attrs

from ..platform.documents import rack_of
from ..platform.documents import RunnerEntry
from .model import Attempt
from .model import Blame
from .model import Job
from .model import RunnerIncarnation

__all__ = ["RunnerState", "usable_runners"]


@attrs.define(eq=False)
class RunnerState:
    """One life of a runner, with the room that its attempts take.

    :param ready: it may get new tasks: heard lately, held, not draining.
    :param heard: it has answered a call of this holder, so that it is known what
        runs there.
    :param reserved: a move or an upkeep was ordered for its machine.
    :param emptying: it is to be emptied, so that its machine can go into upkeep.
    :param clock_ms: the latest time on its clock that an answer of it told; 0: none.
    :param silent_at_s: on the boot clock: since when it has not answered; None: it
        answers.
    :param hung: it fell silent with its connections open: since when is not known.
    :param blamed: what its end was laid to when what ran there lapsed.
    :param probation_job: whose tasks alone it may get until ``probation_until_s`` on
        the boot clock; they may end their runners.
    :param stray_runs: runs there that no attempt of ours explains.
    :param born_ms: when this life began, in ms since 1970; None: not told.
    :param earlier_born_ms: when the lives before it under this id began.
    :param failed_at_s: wall times at which tasks failed or lagged there lately.
    :param penalty_until_s: wall time; many tasks failed or lagged there; used last
        until then.
    """

    runner_id: str
    service: str
    address: str
    zone: str
    labels: tuple[str, ...]
    cpu: int
    memory_mb: int
    gpu: int
    machine_id: str = ""
    born_ms: int | None = None
    earlier_born_ms: frozenset[int] = frozenset()
    draining: bool = False
    ready: bool = False
    heard: bool = False
    reserved: bool = False
    emptying: bool = False
    clock_ms: int = 0
    silent_at_s: float | None = None
    hung: bool = False
    blamed: list[Blame] = attrs.field(factory=list)
    probation_job: Job | None = None
    probation_until_s: float = 0.0
    stray_runs: int = 0
    failed_at_s: list[float] = attrs.field(factory=list)
    penalty_until_s: float = 0.0
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    attempts: dict[tuple[str, int], Attempt] = attrs.field(factory=dict)

    @classmethod
    def from_entry(cls, entry: RunnerEntry) -> "RunnerState":
        """Return a life of a runner as it describes itself; it is not ready yet."""
        return cls(
            runner_id=entry.runner_id,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            labels=entry.labels,
            cpu=entry.cpu,
            memory_mb=entry.memory_mb,
            gpu=entry.gpu,
            machine_id=entry.machine_id,
            born_ms=entry.born_ms,
            draining=entry.draining,
        )

    @property
    def incarnation(self) -> RunnerIncarnation:
        """What tells this life from others under its id."""
        return RunnerIncarnation(self.runner_id, self.born_ms)

    def next_incarnation(self, born_ms: int) -> "RunnerState":
        """Return the life after this one, as far as it is known before its entry."""
        return RunnerState(
            runner_id=self.runner_id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            labels=self.labels,
            cpu=self.cpu,
            memory_mb=self.memory_mb,
            gpu=self.gpu,
            machine_id=self.machine_id,
            born_ms=born_ms,
        )

    def is_next_incarnation(self, born_ms: int | None) -> bool:
        """Whether one that began then has taken the place of this life."""
        if born_ms is None or self.born_ms is None:
            return False
        return born_ms != self.born_ms and born_ms not in self.earlier_born_ms

    @property
    def rack(self) -> str:
        """The label of the rack it stands in."""
        return rack_of(self.labels)

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that no attempt takes."""
        return self.cpu - self.used_cpu

    @property
    def free_memory_mb(self) -> int:
        """Memory that no attempt takes."""
        return self.memory_mb - self.used_memory_mb

    @property
    def free_gpu(self) -> int:
        """Accelerators that no attempt takes."""
        return self.gpu - self.used_gpu

    @property
    def idle(self) -> bool:
        """Whether nothing of ours is there."""
        return not self.attempts and not self.stray_runs

    def update(self, entry: RunnerEntry) -> bool:
        """Take what a runner says of itself now; return whether its room has changed.

        What runs over a room that has shrunk goes on, and nothing is added to it.
        """
        before = (self.cpu, self.memory_mb, self.gpu)
        self.service, self.address = entry.service, entry.address
        self.zone, self.labels = entry.zone, entry.labels
        self.cpu, self.memory_mb, self.gpu = entry.cpu, entry.memory_mb, entry.gpu
        self.machine_id = entry.machine_id or self.machine_id
        return before != (self.cpu, self.memory_mb, self.gpu)

    def on_clock(self, clock_ms: int) -> None:
        """Note its clock at an answer; answers may come out of order."""
        self.clock_ms = max(self.clock_ms, clock_ms)

    def outlived_ms(self, attempt: Attempt) -> int | None:
        """Return for how long it surely lived on after a run was there, by its clock.

        None: it never said that the run is there.
        """
        return (
            self.clock_ms - attempt.first_confirmed_ms
            if attempt.first_confirmed_ms
            else None
        )

    def add(self, name: str, attempt: Attempt) -> None:
        """Take room for an attempt."""
        self.attempts[name, attempt.run] = attempt
        request = attempt.task.step.request
        self.used_cpu += attempt.task.step.reserved_cpu
        self.used_memory_mb += request.memory_mb
        self.used_gpu += request.gpu

    def remove(self, name: str, attempt: Attempt) -> None:
        """Give an attempt's room back."""
        if self.attempts.pop((name, attempt.run), None) is None:
            return
        request = attempt.task.step.request
        self.used_cpu -= attempt.task.step.reserved_cpu
        self.used_memory_mb -= request.memory_mb
        self.used_gpu -= request.gpu

    def fits(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        """Whether there is room for so much more."""
        return (
            self.used_cpu + cpu <= self.cpu
            and self.used_memory_mb + memory_mb <= self.memory_mb
            and self.used_gpu + gpu <= self.gpu
        )

    def count_fitting(self, cpu: int, memory_mb: int, gpu: int, max_count: int) -> int:
        """Return for how many tasks of one kind there is room, ``most`` at most."""
        count = max(0, max_count)
        if cpu:
            count = min(count, self.free_cpu // cpu)
        if memory_mb:
            count = min(count, self.free_memory_mb // memory_mb)
        if gpu:
            count = min(count, self.free_gpu // gpu)
        return max(0, count)

    def usable(self) -> bool:
        """Whether it may get new tasks."""
        return self.usable_as_last_resort() and not self.emptying

    def usable_as_last_resort(self) -> bool:
        """Whether it may get tasks that have waited for too long elsewhere."""
        return (
            self.ready
            and not self.draining
            and not self.reserved
            and not self.stray_runs
        )


def usable_runners(
    runners: t.Iterable[RunnerState], service: str, last_resort: bool = False
) -> list[RunnerState]:
    """Return the runners of a pool that may get new tasks."""
    return [
        r
        for r in runners
        if r.service == service
        and (r.usable_as_last_resort() if last_resort else r.usable())
    ]
