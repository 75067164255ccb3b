"""The scheduler's view of the runners that it may use."""

import time
import typing as t

import attrs

from ..clocks import boot_s
from ..halls import ColdStarts
from ..halls import HallPolicy
from ..halls import OPEN_HALLS
from ..platform.documents import rack_of
from ..platform.documents import RunnerEntry
from .model import Attempt
from .model import Blame
from .model import Job
from .model import RunnerIncarnation

__all__ = ["RunnerState", "count_in", "usable_runners"]

STABLE_AFTER_S = 2.0
"""A runner that goes down and up in series exits again within some 2 s. A task that
waits for a stable runner must still run within the 3 s after which a job counts as
neglected."""


@attrs.define(eq=False)
class RunnerState:
    """One incarnation of a runner, with the resources that its attempts use.

    :param ready: the runner may get new tasks: it answered recently, a hold call
        renews its leases, and it is not draining.
    :param heard: the runner has answered a call of this holder, so its runs are known.
    :param fenced_ms: the runner's clock in its first answer to a hold call of this
        holder, since when it accepts no order of an earlier holder; 0 if there is none.
    :param reserved: a move or an upkeep was ordered for its machine.
    :param emptying: the runner is to be emptied so that its machine can go into upkeep.
    :param handing_over: the runner gets no new tasks, since another pool needs its
        machine once it is idle.
    :param clock_ms: the latest time on the runner's clock that one of its answers
        reported; 0 if there is none.
    :param listed_ms: the runner's clock in its last list of all ended runs; 0 if there
        is none.
    :param clock_read_at_s: boot clock time at which ``clock_ms`` was read.
    :param silent_at_s: boot clock time since when the runner has not answered; None if
        it answers.
    :param hung: the runner became silent with open connections, so it is unknown since
        when.
    :param blamed: what the runner's exit was attributed to when its runs expired.
    :param probation_job: the only job whose tasks the runner may get until
        ``probation_until_s`` on the boot clock, because they may crash their runners.
    :param probation_alone: until then, it may not get other tasks of that job either.
    :param stray_runs: the number of runs there that match no attempt.
    :param born_ms: start time of this incarnation in ms since 1970; None if unknown.
    :param earlier_born_ms: start times of the earlier incarnations under this id.
    :param failed_at_s: wall times at which tasks recently failed or lagged there.
    :param cold_until_s: boot clock time until which the runner is slow; 0 if it is not.
    :param cold_starts: the starts that it gets meanwhile.
    :param halls: says whether the runner's hall may be used.
    :param penalty_until_s: wall time until which the runner is used only as a last
        choice, because many tasks failed or lagged there.
    :param known_since_s: boot clock time since when this holder knows the incarnation.
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
    fenced_ms: int = 0
    reserved: bool = False
    emptying: bool = False
    handing_over: bool = False
    clock_ms: int = 0
    silent_at_s: float | None = None
    listed_ms: int = 0
    clock_read_at_s: float = 0.0
    hung: bool = False
    blamed: list[Blame] = attrs.field(factory=list)
    probation_job: Job | None = None
    probation_alone: bool = False
    probation_until_s: float = 0.0
    stray_runs: int = 0
    failed_at_s: list[float] = attrs.field(factory=list)
    penalty_until_s: float = 0.0
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    attempts: dict[tuple[str, int], Attempt] = attrs.field(factory=dict)
    cold_until_s: float = 0.0
    cold_starts: ColdStarts = attrs.field(factory=ColdStarts)
    halls: HallPolicy = OPEN_HALLS
    known_since_s: float = attrs.field(factory=boot_s)

    @classmethod
    def from_entry(cls, entry: RunnerEntry) -> "RunnerState":
        """Return an incarnation from a runner's own entry; it is not ready yet."""
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
            cold_until_s=_cold_until_s(entry),
        )

    @property
    def incarnation(self) -> RunnerIncarnation:
        """The identity that distinguishes incarnations under the same id."""
        return RunnerIncarnation(self.runner_id, self.born_ms)

    def next_incarnation(self, born_ms: int) -> "RunnerState":
        """Return the next incarnation, with what is known of it before its entry."""
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
        """Whether an incarnation that began at ``born_ms`` has replaced this one."""
        if born_ms is None or self.born_ms is None:
            return False
        return born_ms != self.born_ms and born_ms not in self.earlier_born_ms

    def is_stable(self, at_s: float) -> bool:
        """Whether this incarnation had been up for a while, as far as is known.

        :param at_s: boot clock time, now or earlier.
        """
        return self.up_for_s(at_s) >= STABLE_AFTER_S

    def up_for_s(self, at_s: float) -> float:
        """Return how long this incarnation had been up, as far as is known.

        :param at_s: boot clock time, now or earlier.
        """
        known_for_s = at_s - self.known_since_s
        if self.born_ms is None:
            return known_for_s
        at_wall_s = time.time() - (boot_s() - at_s)
        return max(known_for_s, at_wall_s - self.born_ms / 1000)

    @property
    def rack(self) -> str:
        """The label of the rack in which the runner is placed."""
        return rack_of(self.labels)

    @property
    def free_cpu(self) -> int:
        """Free cpu in thousandths of a core."""
        return self.cpu - self.used_cpu

    @property
    def free_memory_mb(self) -> int:
        """Free memory."""
        return self.memory_mb - self.used_memory_mb

    @property
    def free_gpu(self) -> int:
        """Free accelerators."""
        return self.gpu - self.used_gpu

    @property
    def idle(self) -> bool:
        """Whether no run is on the runner, neither an attempt nor a stray run."""
        return not self.attempts and not self.stray_runs

    def update(self, entry: RunnerEntry) -> bool:
        """Apply a runner's new entry; return whether its capacity changed.

        If the capacity has shrunk below what is in use, the runs continue and no new
        ones are added.
        """
        before = (self.cpu, self.memory_mb, self.gpu)
        self.service, self.address = entry.service, entry.address
        self.zone, self.labels = entry.zone, entry.labels
        self.cpu, self.memory_mb, self.gpu = entry.cpu, entry.memory_mb, entry.gpu
        self.machine_id = entry.machine_id or self.machine_id
        self.cold_until_s = _cold_until_s(entry)
        return before != (self.cpu, self.memory_mb, self.gpu)

    def on_clock(self, clock_ms: int) -> None:
        """Record the clock of an answer; answers may arrive out of order."""
        if clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at_s = boot_s()

    def estimated_clock_ms(self) -> int:
        """Return the runner's clock by its latest answer; 0 if it has named none."""
        if not self.clock_ms:
            return 0
        return self.clock_ms + round((boot_s() - self.clock_read_at_s) * 1000)

    def outlived_ms(self, attempt: Attempt) -> int | None:
        """Return how long the runner certainly lived after first confirming a run.

        The time is measured on the runner's clock. None means that the runner never
        confirmed the run. A clock that was read before the confirmation proves nothing:
        the next incarnation, whose clock starts anew, may have confirmed the run.
        """
        if not attempt.first_confirmed_ms:
            return None
        if self.clock_read_at_s < attempt.began_at_s:
            return 0
        return self.clock_ms - attempt.first_confirmed_ms

    def add(self, name: str, attempt: Attempt) -> None:
        """Reserve resources for an attempt."""
        self.attempts[name, attempt.run] = attempt
        request = attempt.task.step.request
        self.used_cpu += attempt.task.step.reserved_cpu
        self.used_memory_mb += request.memory_mb
        self.used_gpu += request.gpu

    def remove(self, name: str, attempt: Attempt) -> None:
        """Release an attempt's resources."""
        if self.attempts.pop((name, attempt.run), None) is None:
            return
        request = attempt.task.step.request
        self.used_cpu -= attempt.task.step.reserved_cpu
        self.used_memory_mb -= request.memory_mb
        self.used_gpu -= request.gpu

    def fits(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        """Whether these resources are free."""
        return (
            self.used_cpu + cpu <= self.cpu
            and self.used_memory_mb + memory_mb <= self.memory_mb
            and self.used_gpu + gpu <= self.gpu
        )

    def count_fitting(self, cpu: int, memory_mb: int, gpu: int, max_count: int) -> int:
        """Return how many tasks of one kind fit, at most ``max_count``."""
        free = (self.free_cpu, self.free_memory_mb, self.free_gpu)
        return count_in(free, (cpu, memory_mb, gpu), max_count)

    def max_starts(self, now_s: float) -> int | None:
        """Return how many starts the runner may get now; None means no limit.

        The starts on a cold runner of a hall to which work returns are limited.

        :param now_s: boot clock time.
        """
        if self.cold_until_s <= now_s:
            return None
        left_s = self.cold_until_s - now_s
        rate = self.halls.cold_rate(self.zone, self.service, left_s)
        return None if rate is None else self.cold_starts.allowed(rate, now_s)

    def warms_up(self, now_s: float) -> bool:
        """Whether a warm runner is preferred to this one.

        :param now_s: boot clock time.
        """
        return self.cold_until_s > now_s and self.halls.is_warming(self.zone)

    def usable(self) -> bool:
        """Whether the runner may get new tasks."""
        if self.emptying or self.handing_over:
            return False
        return self.usable_as_last_resort()

    def usable_as_last_resort(self) -> bool:
        """Whether the runner may get long-running tasks that have waited too long.

        Such a task may go to a runner that is being emptied.
        """
        return (
            self.ready
            and not self.draining
            and not self.reserved
            and not self.stray_runs
            and self.halls.may_start(self.zone)
        )


def _cold_until_s(entry: RunnerEntry) -> float:
    """Return the boot clock time until which a runner is slow by its entry."""
    return boot_s() + entry.cold_left_ms / 1000 if entry.cold_left_ms else 0.0


def count_in(
    free: tuple[int, int, int], needed: tuple[int, int, int], max_count: int
) -> int:
    """Return how many tasks fit into resources: cpu, memory and accelerators."""
    count = max_count
    if needed[0]:
        count = min(count, free[0] // needed[0])
    if needed[1]:
        count = min(count, free[1] // needed[1])
    if needed[2]:
        count = min(count, free[2] // needed[2])
    return max(0, count)


def usable_runners(
    runners: t.Iterable[RunnerState], service: str, last_resort: bool = False
) -> list[RunnerState]:
    """Return the runners of a pool that may get new tasks.

    :param last_resort: include the runners that are being emptied.
    """
    return [
        r
        for r in runners
        if r.service == service
        and (r.usable_as_last_resort() if last_resort else r.usable())
    ]
