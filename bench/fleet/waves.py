"""Waves through one pool, in quiet and with racks that fail meanwhile."""

import math
import random
import typing as t

import attrs

from streamthread.fleet import Member
from streamthread.fleet import MemberState
from streamthread.fleet import PoolRow
from streamthread.maintenance import decide_pool
from streamthread.maintenance import InstanceFacts
from streamthread.maintenance import PoolSnapshot
from streamthread.maintenance import WaveFacts

from .cases import Case
from .cases import Item

__all__ = ["waves"]

REBOOT_S = 300.0
RACK_DOWN_S = 2 * REBOOT_S
WAVE_TICK_S = 5.0
LONGEST_S = 200 * REBOOT_S
"""A wave that is not done by then is taken as it is."""

RUNS_WITH_FAILURES = 20
FAILURES_A_RUN = 2
WAVE = "wave/w"


@attrs.define
class WaveRun:
    """One pool through one wave."""

    snapshot: PoolSnapshot
    reboots: dict[str, float] = attrs.field(factory=dict)
    down_until_s: dict[str, float] = attrs.field(factory=dict)
    violations: int = 0

    def run(self, failing: t.Mapping[float, list[str]]) -> float:
        """Return how long the wave took; racks fail at the given times."""
        now_s = 0.0
        while not self._done() and now_s < LONGEST_S:
            self._fail(failing, now_s)
            self._observe(now_s)
            before = self._available()
            self._decide(now_s)
            after = self._available()
            if after < before and after < self.snapshot.min_available:
                self.violations += 1
            now_s += WAVE_TICK_S
        return now_s

    def _fail(self, failing: t.Mapping[float, list[str]], now_s: float) -> None:
        for at_s, names in failing.items():
            if at_s <= now_s < at_s + WAVE_TICK_S:
                self.down_until_s |= dict.fromkeys(names, now_s + RACK_DOWN_S)

    def _done(self) -> bool:
        members = self.snapshot.row.members.values()
        return all(
            WAVE in member.done and member.state is MemberState.SERVING
            for member in members
        )

    def _observe(self, now_s: float) -> None:
        facts = {}
        for name, known in self.snapshot.facts.items():
            ends_s = self.reboots.get(name)
            boot = known.boot
            if ends_s is not None and now_s >= ends_s:
                del self.reboots[name]
                boot += 1
            live = name not in self.reboots
            live = live and now_s >= self.down_until_s.get(name, 0.0)
            facts[name] = attrs.evolve(known, live=live, boot=boot, idle=True)
        self.snapshot = attrs.evolve(self.snapshot, facts=facts)

    def _decide(self, now_s: float) -> None:
        row = self.snapshot.row
        for step in decide_pool(self.snapshot):
            row = row.with_member(step.instance_id, step.member)
            if step.member and step.member.state is MemberState.REBOOTING:
                self.reboots[step.instance_id] = now_s + REBOOT_S
        self.snapshot = attrs.evolve(self.snapshot, row=row)

    def _available(self) -> int:
        return sum(
            member.state is MemberState.SERVING and self.snapshot.facts[name].live
            for name, member in self.snapshot.row.members.items()
        )


def _wave_pool(case: Case) -> PoolSnapshot:
    names = [f"i{number:03d}" for number in range(case.quiet)]
    facts = {
        name: InstanceFacts(
            live=True,
            boot=1,
            hall=f"hall-{number % case.halls}",
            rack=f"rack-{number // case.racks_of}",
            wanted_by=(WAVE,),
        )
        for number, name in enumerate(names)
    }
    return PoolSnapshot(
        name="p",
        row=PoolRow({name: Member(boot=1) for name in names}),
        min_available=case.min_available,
        target=None,
        facts=facts,
        waves={WAVE: WaveFacts()},
    )


def waves(case: Case) -> t.Iterator[Item]:
    """Time a wave in quiet, and count broken budgets while racks fail."""
    allowed = case.quiet - case.min_available
    bound_s = math.ceil(case.quiet / allowed) * REBOOT_S
    quiet_s = WaveRun(_wave_pool(case)).run({})
    one_at_a_time = case.quiet * REBOOT_S
    yield Item(
        case.name,
        "wave_duration_over_lower_bound",
        quiet_s / bound_s,
        one_at_a_time / bound_s,
    )
    yield Item(case.name, "budget_violations", _violations(case, bound_s))


def _violations(case: Case, bound_s: float) -> int:
    """Count the broken budgets over waves during which racks fail."""
    violations = 0
    generator = random.Random(case.seed)
    for _ in range(RUNS_WITH_FAILURES):
        run = WaveRun(_wave_pool(case))
        racks = _racks(case, sorted(run.snapshot.facts))
        failing = {
            generator.uniform(0, bound_s): generator.choice(racks)
            for _ in range(FAILURES_A_RUN)
        }
        run.run(failing)
        violations += run.violations
    return violations


def _racks(case: Case, names: list[str]) -> list[list[str]]:
    return [
        names[start : start + case.racks_of]
        for start in range(0, len(names), case.racks_of)
    ]
