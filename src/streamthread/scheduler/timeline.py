"""The capacity of a pool over time, and reservations of it for steps of jobs."""

import typing as t

import attrs

__all__ = ["Capacity", "OpenStep", "Reservation", "Timeline", "chain_s"]

SLOT_S = 0.2
"""Capacity is reserved in slots of this length; callers' tasks take 0.6 s and more."""

SLOTS = 100
"""Number of slots. What happens after 20 s is not looked at: work that does not end
until then counts as in time if it may end later."""

USABLE_SHARE = 0.9
"""The part of a pool's cpu that its tasks can use, since they leave gaps on machines.
In a crowd, 0.8, 0.9 and 1.0 give 0.68, 0.70 and 0.68 of the bound."""


@attrs.frozen
class Capacity:
    """The cpu of a pool over time.

    :param parts: wall times from which on some thousandths of a core are there.
    """

    parts: tuple[tuple[float, float], ...]

    @property
    def rate(self) -> float:
        """The cpu once all parts are there."""
        return sum(cpu for _, cpu in self.parts)

    def between(self, from_s: float, until_s: float) -> float:
        """Return the work that can be done between two wall times."""
        return USABLE_SHARE * sum(
            cpu * max(0.0, until_s - max(from_s, there_s))
            for there_s, cpu in self.parts
        )


@attrs.frozen
class OpenStep:
    """What is open of one step.

    :param number: its number in the job.
    :param after: the numbers of the steps before it; those that are done are ignored.
    :param run_s: the expected run time of a task.
    :param waiting_cpu: thousandths of a core for all tasks that wait.
    :param running_cpu: thousandths of a core of the tasks that run.
    :param running_s: for how long these will run in the mean.
    """

    number: int
    after: tuple[int, ...]
    run_s: float
    waiting_cpu: float
    running_cpu: float = 0.0
    running_s: float = 0.0

    @property
    def waiting_work(self) -> float:
        """What waits, in thousandths of a core times seconds."""
        return self.waiting_cpu * self.run_s

    @property
    def running_work(self) -> float:
        """What its runs still take, in thousandths of a core times seconds."""
        return self.running_cpu * self.running_s

    @property
    def length_s(self) -> float:
        """How long it takes if all of its tasks begin at once."""
        return self.run_s if self.waiting_cpu else self.running_s


@attrs.frozen
class Reservation:
    """Wall times at which work begins and ends."""

    start_s: float
    end_s: float


def chain_s(steps: t.Iterable[OpenStep]) -> float:
    """Return the length of the longest chain of open steps."""
    ends: dict[int, float] = {}
    for step in steps:
        before_s = max((ends.get(number, 0.0) for number in step.after), default=0.0)
        ends[step.number] = before_s + step.length_s
    return max(ends.values(), default=0.0)


def _after_s(steps: t.Sequence[OpenStep]) -> dict[int, float]:
    """Return the length of the longest chain that follows each step."""
    after_s = {step.number: 0.0 for step in steps}
    for step in reversed(steps):
        for number in step.after:
            if number in after_s:
                length_s = step.length_s + after_s[step.number]
                after_s[number] = max(after_s[number], length_s)
    return after_s


class Timeline:
    """What of a pool's capacity is not reserved yet, in slots from now on.

    :param limits: the cpu that accounts with a limit may have in the pool. Without it,
        one account's work that must wait for its limit would fill the timeline, and
        others would seem not to fit while machines are free.
    :param spare_share: the part of the capacity that only some reservations may use.
    """

    def __init__(
        self,
        capacity: Capacity,
        now_s: float,
        limits: t.Mapping[str, float] | None = None,
        spare_share: float = 0.0,
    ) -> None:
        self._now_s = now_s
        self._free = [
            capacity.between(now_s + n * SLOT_S, now_s + (n + 1) * SLOT_S)
            for n in range(SLOTS)
        ]
        self._spare = [spare_share * free for free in self._free]
        self._limited = {
            account: [cpu * SLOT_S] * SLOTS for account, cpu in (limits or {}).items()
        }

    def reserve_running(self, steps: t.Iterable[OpenStep], account: str = "") -> None:
        """Reserve what the runs take, which can't be given to others."""
        limited = self._limited.get(account)
        for step in steps:
            if step.running_cpu:
                end_s = SLOTS * SLOT_S
                work = step.running_work
                self._take(0.0, step.running_cpu, work, end_s, limited)

    def reserve(
        self,
        steps: t.Sequence[OpenStep],
        latest_end_s: float,
        account: str = "",
        may_use_spare: bool = True,
    ) -> Reservation | None:
        """Reserve capacity for what waits of a job's steps, within its account's limit.

        :param may_use_spare: the part that is spared may be used, too.
        :return: when it begins and ends, or None if it can't end in time; nothing is
            reserved then.
        """
        limited = self._limited.get(account)
        spare = None if may_use_spare else self._spare
        taken: list[tuple[int, float]] = []
        ends: dict[int, float] = {}
        start_s: float | None = None
        after_s = _after_s(steps)
        for step in steps:
            release_s = max((ends.get(n, 0.0) for n in step.after), default=0.0)
            until_s = latest_end_s - self._now_s - after_s[step.number]
            end_s = release_s + step.running_s
            if step.waiting_cpu:
                found = self._take(
                    release_s,
                    step.waiting_cpu,
                    step.waiting_work,
                    until_s,
                    limited,
                    spare,
                )
                taken += found.taken
                if not found.complete:
                    self._give_back(taken, limited)
                    return None
                start_s = found.start_s if start_s is None else start_s
                end_s = max(end_s, found.end_s, found.start_s + step.run_s)
            ends[step.number] = end_s
            if end_s > until_s:
                self._give_back(taken, limited)
                return None
        end_s = max(ends.values(), default=0.0)
        return Reservation(self._now_s + (start_s or 0.0), self._now_s + end_s)

    def _take(
        self,
        release_s: float,
        cpu: float,
        work: float,
        until_s: float,
        limited: list[float] | None,
        spare: list[float] | None = None,
    ) -> "_Taken":
        """Take capacity from a time on, never more at once than some cpu.

        Times count from now.

        :param limited: what the account may still have in each slot; None: no limit.
        :param spare: what is to be left in each slot; None: nothing.
        """
        found = _Taken(release_s, release_s)
        number = int(release_s / SLOT_S)
        at_s = release_s
        while work > 0 and number < SLOTS and at_s < until_s:
            slot_end_s = (number + 1) * SLOT_S
            free = self._free[number] - (spare[number] if spare is not None else 0.0)
            part = min(work, cpu * (slot_end_s - at_s), free)
            if limited is not None:
                part = min(part, limited[number])
            if part > 0:
                if not found.taken:
                    found.start_s = at_s
                self._free[number] -= part
                if limited is not None:
                    limited[number] -= part
                found.taken.append((number, part))
                work -= part
                found.end_s = at_s + part / cpu
            number += 1
            at_s = slot_end_s
        # Beyond the last slot, nothing is known to be in the way.
        found.complete = work <= 1e-6 or number >= SLOTS
        return found

    def _give_back(
        self, taken: t.Iterable[tuple[int, float]], limited: list[float] | None
    ) -> None:
        for number, part in taken:
            self._free[number] += part
            if limited is not None:
                limited[number] += part


@attrs.define
class _Taken:
    """Capacity that was taken, by slot; times count from now."""

    start_s: float
    end_s: float
    taken: list[tuple[int, float]] = attrs.field(factory=list)
    complete: bool = False
