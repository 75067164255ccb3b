"""The fleet's decisions over scripted bursts, waves and rack failures.

Runs the real decision functions on a fake clock with fixed seeds; nothing of a
cluster is played but who needs how much and what fails. Prints a table and, last,
one JSON line an item.
"""

import argparse
import asyncio
import datetime
import json
import math
import random
import statistics
import time
import typing as t

import attrs
from tools.world import World

from streamthread.fleet import Member
from streamthread.fleet import MemberState
from streamthread.fleet import PoolRow
from streamthread.fleet.lending import lend_spares
from streamthread.fleet.lending import Loan
from streamthread.fleet.lending import PoolUse
from streamthread.fleet.sizing import Burst
from streamthread.fleet.sizing import plan_sizes
from streamthread.fleet.sizing import PoolOutlook
from streamthread.fleet.sizing import Weights
from streamthread.jobs import decide_jobs
from streamthread.jobs import Job
from streamthread.jobs import JobSpec
from streamthread.jobs import JobsSnapshot
from streamthread.jobs import JobState
from streamthread.jobs import WorkerFacts
from streamthread.maintenance import decide_pool
from streamthread.maintenance import InstanceFacts
from streamthread.maintenance import PoolSnapshot
from streamthread.maintenance import WaveFacts
from streamthread.providers import Instance

BEGIN = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
STEP = datetime.timedelta(hours=1)
DAYS = 120
REBOOT_S = 300.0
WAVE_TICK_S = 5.0
WAVE = "wave/w"


@attrs.frozen
class Case:
    """A deployment.

    :param quiet: what a pool needs outside of bursts.
    :param min_available: the budget of a pool.
    """

    name: str
    pools: int
    quiet: int
    min_available: int
    halls: int
    racks_of: int
    weights: Weights
    seed: int

    def outlooks(self) -> list[PoolOutlook]:
        """Return the pools with their bursts: a common season and some own."""
        generator = random.Random(self.seed)
        return [
            PoolOutlook(
                f"p{number}", "g", self.quiet, tuple(self._bursts(generator)), 0.25
            )
            for number in range(self.pools)
        ]

    def _bursts(self, generator: random.Random) -> t.Iterator[Burst]:
        season = BEGIN + datetime.timedelta(days=40)
        most = max(2, self.quiet // 2)
        yield Burst(season, season + datetime.timedelta(days=6), most)
        day = 5.0
        while day < DAYS - 10:
            day += generator.uniform(6, 25)
            length = generator.uniform(0.5, 3)
            start = BEGIN + datetime.timedelta(days=day)
            end = start + datetime.timedelta(days=length)
            yield Burst(start, end, generator.randint(2, most))
            day += length


CASES = (
    Case("teranga", 5, 8, 6, 4, 4, Weights(1, 4), 11),
    Case("fraser-delta", 5, 8, 6, 4, 4, Weights(1, 24), 12),
    Case("large", 20, 50, 45, 8, 16, Weights(1, 4), 13),
)


@attrs.frozen
class Item:
    """One measured value beside its baseline."""

    case: str
    measure: str
    value: float
    baseline: float | None = None

    def line(self) -> str:
        """Return the JSON line."""
        ratio = round(self.value / self.baseline, 3) if self.baseline else None
        return json.dumps(
            {
                "bench": "fleet",
                "case": self.case,
                "measure": self.measure,
                "value": round(self.value, 4),
                "baseline": None if self.baseline is None else round(self.baseline, 4),
                "ratio": ratio,
            }
        )


# Buffer and moves.


@attrs.define
class Account:
    """What a policy spent over the time."""

    buffer_instance_hours: float = 0.0
    moves: int = 0
    short_instance_hours: float = 0.0


class Demand:
    """What pools really need: the declared bursts, off by their error."""

    def __init__(self, case: Case) -> None:
        self._generator = random.Random(case.seed + 1000)
        self._factors: dict[tuple[str, Burst], float] = {}

    def of(self, outlook: PoolOutlook, now: datetime.datetime) -> int:
        """Return the instances that a pool needs now."""
        need = outlook.quiet * (1 + self._generator.gauss(0, 0.02))
        for burst in outlook.bursts:
            if burst.start <= now < burst.end:
                key = (outlook.name, burst)
                error = self._generator.gauss(0, outlook.size_error)
                factor = self._factors.setdefault(key, max(0.2, 1 + error))
                need += burst.instances * factor
        return round(need)


Policy = t.Callable[[list[PoolOutlook], datetime.datetime, dict[str, int]], "Held"]


@attrs.frozen
class Held:
    """What a policy holds: sizes of pools, and spares that all may use."""

    pools: dict[str, int]
    spares: int = 0
    weights: Weights = attrs.field(factory=lambda: Weights(1, 0))


def shared_spares(weights: Weights) -> Policy:
    """Return the policy of this project."""

    def policy(
        outlooks: list[PoolOutlook], now: datetime.datetime, need: dict[str, int]
    ) -> Held:
        sizes = plan_sizes(outlooks, now, weights)
        return Held(sizes.pools, sizes.spares["g"], weights)

    return policy


def reserve_per_pool(weights: Weights) -> Policy:
    """Return the baseline: each pool keeps its own reserve, at equal protection."""

    def policy(
        outlooks: list[PoolOutlook], now: datetime.datetime, need: dict[str, int]
    ) -> Held:
        pools = {}
        for outlook in outlooks:
            sizes = plan_sizes([outlook], now, weights)
            pools[outlook.name] = sizes.pools[outlook.name] + sizes.spares["g"]
        return Held(pools)

    return policy


def memoryless(
    outlooks: list[PoolOutlook], now: datetime.datetime, need: dict[str, int]
) -> Held:
    """Move at once to what each pool needs, with spares as ours."""
    spares = plan_sizes(outlooks, now, Weights()).spares["g"]
    return Held(dict(need), spares)


def account(case: Case, policy: Policy) -> Account:
    """Play the calendar once."""
    outlooks = case.outlooks()
    demand = Demand(case)
    spent = Account()
    members = {outlook.name: outlook.quiet for outlook in outlooks}
    loans: dict[str, Loan] = {}
    hours = STEP.total_seconds() / 3600
    for step in range(int(datetime.timedelta(days=DAYS) / STEP)):
        now = BEGIN + step * STEP
        need = {outlook.name: demand.of(outlook, now) for outlook in outlooks}
        held = policy(outlooks, now, need)
        uses = [PoolUse(name, held.pools[name], need[name]) for name in members]
        loans = lend_spares(uses, held.spares, loans, hours, held.weights)
        lent = {name: loan.count for name, loan in loans.items()}
        after = {name: held.pools[name] + lent[name] for name in members}
        spent.moves += sum(max(0, after[name] - members[name]) for name in members)
        members = after
        short = sum(max(0, need[name] - members[name]) for name in members)
        idle = sum(max(0, members[name] - need[name]) for name in members)
        idle += held.spares - sum(lent.values())
        spent.short_instance_hours += short * hours
        spent.buffer_instance_hours += idle * hours
    return spent


def buffer_and_moves(case: Case) -> t.Iterator[Item]:
    """Compare with a reserve per pool and with moves without memory."""
    ours = account(case, shared_spares(case.weights))
    reserve = account(case, reserve_per_pool(case.weights))
    greedy = account(case, memoryless)
    yield Item(
        case.name,
        "buffer_instance_hours",
        ours.buffer_instance_hours,
        reserve.buffer_instance_hours,
    )
    yield Item(
        case.name,
        "short_instance_hours",
        ours.short_instance_hours,
        reserve.short_instance_hours,
    )
    yield Item(case.name, "moves", ours.moves, greedy.moves)


# Waves, with racks that fail meanwhile.


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
        while not self._done() and now_s < 200 * REBOOT_S:
            for at_s, names in failing.items():
                if at_s <= now_s < at_s + WAVE_TICK_S:
                    self.down_until_s |= dict.fromkeys(names, now_s + 2 * REBOOT_S)
            self._observe(now_s)
            before = self._available()
            self._decide(now_s)
            after = self._available()
            if after < before and after < self.snapshot.min_available:
                self.violations += 1
            now_s += WAVE_TICK_S
        return now_s

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
    violations = 0
    generator = random.Random(case.seed)
    for _ in range(20):
        run = WaveRun(_wave_pool(case))
        names = sorted(run.snapshot.facts)
        racks = [
            names[start : start + case.racks_of]
            for start in range(0, len(names), case.racks_of)
        ]
        failing = {
            generator.uniform(0, bound_s): generator.choice(racks) for _ in range(2)
        }
        run.run(failing)
        violations += run.violations
    yield Item(case.name, "budget_violations", violations, None)


# Urgent jobs.


def urgent_starts(case: Case) -> Item:
    """Start urgent jobs on full workers: every second one decision."""
    generator = random.Random(case.seed)
    workers = tuple(
        WorkerFacts(f"w{number}", 16, 2**35, 0, True) for number in range(case.quiet)
    )
    jobs = {
        f"low-{number}": Job(
            _spec(f"low-{number}", urgent=False),
            JobState.STARTED,
            1,
            f"w{number % case.quiet}",
        )
        for number in range(case.quiet * 2)
    }
    waits: list[float] = []
    arrivals = sorted(generator.uniform(0, 300) for _ in range(case.quiet))
    for now_s in range(0, 320):
        for number, at_s in enumerate(arrivals):
            if now_s - 1 < at_s <= now_s:
                name = f"urgent-{number}"
                jobs[name] = Job(_spec(name, urgent=True), submitted_ms=int(at_s * 1e3))
        for step in decide_jobs(JobsSnapshot(tuple(jobs.values()), workers)):
            job = step.job
            jobs[job.spec.job_id] = job
            if job.spec.urgent and job.state is JobState.STARTED:
                waits.append(now_s - job.submitted_ms / 1e3)
    if len(waits) != len(arrivals):
        raise SystemExit(f"{len(arrivals) - len(waits)} urgent jobs never started")
    return Item(case.name, "urgent_start_s_p99", statistics.quantiles(waits, n=100)[-1])


def _spec(name: str, urgent: bool) -> JobSpec:
    return JobSpec(name, "p", "team", 8, 2**30, 600.0, True, urgent=urgent)


# The cost of one decision.


async def decision_cost(pools: int) -> float:
    """Return the 99th percentile of a tick after one change, in milliseconds."""
    world = World(1)
    daemon = world.daemons[0]
    for number in range(pools * 10):
        labels = {"pool": f"p{number % pools}"}
        world.membership.put(
            Instance(f"i{number}", "hann", "r", cores=16, labels=labels)
        )
    await world.settle()
    items = {
        f"pool/p{number}": {"selector": f"pool = p{number}", "min_available": 5}
        for number in range(pools)
    }
    await world.apply(items)
    await world.settle(4)
    took: list[float] = []
    for number in range(200):
        instance = world.membership.find(f"i{number % (pools * 10)}")
        world.membership.put(attrs.evolve(instance, cores=16 + number))
        await daemon.fleet.poll_membership()
        began_s = time.perf_counter()
        await daemon.fleet.tick()
        took.append((time.perf_counter() - began_s) * 1000)
    return statistics.quantiles(took, n=100)[-1]


def decisions() -> t.Iterator[Item]:
    """The cost of one decision at 1, 4 and 16 times the pools."""
    base = asyncio.run(decision_cost(20))
    yield Item("20 pools", "decision_ms_p99", base)
    for factor in (4, 16):
        cost = asyncio.run(decision_cost(20 * factor))
        yield Item(f"{20 * factor} pools", "decision_ms_p99", cost, base)


# The curve of the two weights.


def curve(path: str) -> None:
    """Plot buffer against moves over the ratio of the weights, as SVG."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for case in CASES:
        points = []
        for ratio in (0, 1, 4, 12, 24, 48, 96, 192, 384):
            spent = account(case, shared_spares(Weights(1, ratio)))
            points.append((spent.moves, spent.buffer_instance_hours / DAYS / 24))
        moves, buffers = zip(*points, strict=True)
        axes.plot(moves, buffers, "o-", label=case.name)
    axes.set_xlabel(f"moves in {DAYS} days")
    axes.set_ylabel("idle instances on average")
    axes.set_title("Buffer against moves over move_weight / buffer_weight")
    axes.set_yscale("log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def main() -> None:
    """Measure every case, or draw the curve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", help="write the curve of the weights to this file")
    arguments = parser.parse_args()
    if arguments.plot:
        curve(arguments.plot)
        return
    items: list[Item] = []
    for case in CASES:
        items += [*buffer_and_moves(case), *waves(case), urgent_starts(case)]
    items += decisions()
    for item in items:
        baseline = "" if item.baseline is None else f"baseline {item.baseline:12.2f}"
        print(f"{item.case:<14} {item.measure:<32} {item.value:12.3f}  {baseline}")
    for item in items:
        print(item.line())


if __name__ == "__main__":
    main()
