"""Several holders over one table service, in any order, with faults.

After every step: no instance is in two pools, no grant has broken a budget, no
unsafe job was started twice, no accepted generation was undone.
"""

import asyncio
import contextlib
import typing as t

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from tools.world import Daemon
from tools.world import FaultyTables
from tools.world import World

from streamthread.errors import ConflictError
from streamthread.errors import NotHolderError
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.fleet import MemberState
from streamthread.fleet import PoolRow
from streamthread.jobs import JobSpec
from streamthread.providers import Instance
from streamthread.providers import InstanceStatus
from streamthread.providers import MemoryWorkers
from streamthread.providers import TaskStart
from streamthread.providers import TaskState
from streamthread.providers import Transaction

REFUSALS = (
    ConflictError,
    NotHolderError,
    OutcomeUnknownError,
    StoreUnavailableError,
)
POOLS = ("audit", "billing")
DAEMONS = 3
INSTANCES = 6
MIN_AVAILABLE = 2

daemons = st.integers(0, DAEMONS - 1)
instances = st.integers(0, INSTANCES - 1)


class CountingWorkers(MemoryWorkers):
    """Counts how often each attempt really began."""

    def __init__(self, membership: t.Any) -> None:
        super().__init__(membership)
        self.begun: list[str] = []

    async def start(self, start: TaskStart) -> None:
        before = self.starts
        await super().start(start)
        if self.starts > before:
            self.begun.append(start.job_id)


class FleetInterleavings(RuleBasedStateMachine):
    """Operators, faults and three daemons take turns."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.broken: list[str] = []
        self.highest = 0
        self.submitted = 0

    def teardown(self) -> None:
        for daemon in self.world.daemons:
            if daemon.running is not None:
                daemon.running.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def run(self, work: t.Coroutine[t.Any, t.Any, t.Any]) -> t.Any:
        return self.loop.run_until_complete(work)

    @initialize()
    def begin(self) -> None:
        self.world = World(DAEMONS, self.check_grant, workers_class=CountingWorkers)
        for number in range(INSTANCES):
            self.world.membership.put(
                Instance(
                    f"i{number}",
                    hall=("plateau", "hann")[number % 2],
                    rack="r",
                    cores=16,
                    memory_bytes=100,
                    labels={"pool": POOLS[number % 2]},
                )
            )
        items = {
            f"pool/{pool}": {
                "selector": f"pool = {pool}",
                "min_available": MIN_AVAILABLE,
            }
            for pool in POOLS
        }
        self.run(self.world.apply(items))
        self.run(self.world.settle())

    # What is checked when a daemon sends a commit.

    def check_grant(self, way: FaultyTables, sent: Transaction) -> None:
        """A grant must leave the budget whole, by the list as it is now."""
        live = {
            instance.instance_id
            for instance in self.world.membership.all()
            if instance.status is InstanceStatus.LIVE
        }
        for write in sent.writes:
            if write.key.startswith("pool/") and write.value is not None:
                self._check_row(write.key, PoolRow.from_json(write.value), live)

    def _check_row(self, key: str, after: PoolRow, live: set[str]) -> None:
        known = self.world.tables._rows.get(key)
        before = PoolRow.from_json(known.value) if known else PoolRow()
        granted = [
            name
            for name, member in after.members.items()
            if member.state is MemberState.DRAINING
            and name in live
            and before.members.get(name, member).state is MemberState.SERVING
        ]
        available = sum(
            member.state is MemberState.SERVING and name in live
            for name, member in after.members.items()
        )
        if granted and available < MIN_AVAILABLE:
            self.broken.append(f"{key}: {granted} granted, {available} left")

    # Daemons.

    def begin_work(
        self, daemon: Daemon, make: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
    ) -> None:
        """Run until done, or until a commit is held back; not while one is."""

        async def run() -> None:
            daemon.running = asyncio.ensure_future(make())
            for _ in range(200):
                await asyncio.sleep(0)
                if daemon.running.done():
                    daemon.running.result()
                    daemon.running = None
                    return

        if daemon.running is None:
            self.run(run())

    @rule(number=daemons)
    def renews(self, number: int) -> None:
        daemon = self.world.daemons[number]
        self.begin_work(daemon, lambda: self.world.renew(daemon))

    @rule(number=daemons)
    def works(self, number: int) -> None:
        daemon = self.world.daemons[number]
        self.begin_work(daemon, lambda: self.world.work(daemon))

    @rule(number=daemons)
    def decides(self, number: int) -> None:
        """Decide on what was read some time ago."""
        daemon = self.world.daemons[number]
        self.begin_work(daemon, daemon.fleet.tick)

    @rule()
    def all_talk(self) -> None:
        self.world.gossip()

    @rule()
    def all_settle(self) -> None:
        if all(daemon.running is None for daemon in self.world.daemons):
            for daemon in self.world.daemons:
                daemon.tables.hold_next = False
            self.run(self.world.settle(1))

    @rule(number=daemons)
    def is_held_back(self, number: int) -> None:
        self.world.daemons[number].tables.hold_next = True

    @rule(number=daemons)
    def is_delivered(self, number: int) -> None:
        daemon = self.world.daemons[number]
        daemon.tables.hold_next = False
        daemon.tables.release()

        async def finish() -> None:
            if daemon.running is not None:
                await daemon.running
                daemon.running = None

        self.run(finish())

    @rule(number=daemons, count=st.integers(1, 3))
    def loses_replies(self, number: int, count: int) -> None:
        self.world.daemons[number].tables.lose_replies = count

    @rule(number=daemons, down=st.booleans())
    def store_is_down(self, number: int, down: bool) -> None:
        self.world.daemons[number].tables.down = down

    @rule(passed_s=st.sampled_from([1.0, 5.0, 20.0]))
    def time_passes(self, passed_s: float) -> None:
        self.world.clock.now_s += passed_s

    # Operators and the fleet.

    @rule(number=daemons, items=st.sampled_from([
        {"wave/w1": {"selector": ""}},
        {"wave/w2": {"selector": "hall = hann"}},
        {"wave/w1": {"selector": "", "paused": True}},
        {"hold/h1": {"selector": "instance in (i0, i2, i4)"}},
        {"hold/h1": None},
    ]))  # fmt: skip
    def operator_applies(self, number: int, items: dict[str, t.Any]) -> None:
        daemon = self.world.daemons[number]
        self.begin_work(daemon, lambda: _tolerant(self.world.apply(items, number)))

    @rule(number=daemons, which=instances, pool=st.sampled_from(POOLS))
    def operator_labels(self, number: int, which: int, pool: str) -> None:
        rule_value = {"selector": f"instance = i{which}", "set": {"pool": pool}}
        self.operator_applies(number, {f"labels/i{which}": rule_value})

    @rule(which=instances, status=st.sampled_from(InstanceStatus))
    def instance_changes(self, which: int, status: InstanceStatus) -> None:
        known = self.world.membership.find(f"i{which}")
        boot = known.boot + (status is InstanceStatus.LIVE)
        fields = {"status": status, "boot": boot}
        self.world.membership.put(
            Instance(
                known.instance_id,
                known.hall,
                known.rack,
                cores=known.cores,
                memory_bytes=known.memory_bytes,
                labels=known.labels,
                **t.cast(t.Any, fields),
            )
        )

    @rule(number=daemons, pool=st.sampled_from(POOLS), again=st.booleans())
    def submits_unsafe_job(self, number: int, pool: str, again: bool) -> None:
        daemon = self.world.daemons[number]
        self.submitted += not again
        name = f"j{self.submitted}"
        spec = JobSpec(name, pool, "team", 1, 1, 1.0, repeat_safe=False)
        self.begin_work(daemon, lambda: _tolerant(daemon.jobs.submit(pool, [spec])))

    @rule(ended=st.sampled_from([TaskState.DONE, TaskState.FAILED]))
    def tasks_end(self, ended: TaskState) -> None:
        for number in range(self.submitted + 1):
            for attempt in (1, 2):
                self.world.workers.finish(f"j{number}", attempt, ended)

    # What must hold.

    @invariant()
    def no_grant_broke_a_budget(self) -> None:
        assert self.broken == []

    @invariant()
    def each_instance_is_in_one_pool(self) -> None:
        if not hasattr(self, "world"):
            return
        seen: dict[str, str] = {}
        for pool, row in self.run(self.world.rows("pool/")).items():
            for name in PoolRow.from_json(row.value).members:
                assert name not in seen, f"{name} is in {seen[name]} and {pool}"
                seen[name] = pool
        for name, row in self.run(self.world.rows("instance/")).items():
            assert row.value["pool"] == seen.get(name, "")

    @invariant()
    def no_unsafe_job_began_twice(self) -> None:
        if hasattr(self, "world"):
            begun = t.cast(CountingWorkers, self.world.workers).begun
            assert len(begun) == len(set(begun))

    @invariant()
    def no_generation_is_undone(self) -> None:
        if not hasattr(self, "world"):
            return
        for daemon in self.world.daemons:
            active = daemon.configuration.active
            before = getattr(daemon.configuration, "seen_generation", 0)
            assert active.generation >= before
            daemon.configuration.seen_generation = active.generation  # type: ignore[attr-defined]
            self.highest = max(self.highest, active.generation)
        head = self.run(self.world.tables.get(["configuration/head"]))
        assert head["configuration/head"].value["generation"] >= self.highest


async def _tolerant(work: t.Coroutine[t.Any, t.Any, t.Any]) -> None:
    """Let an operator's wish be refused."""
    with contextlib.suppress(*REFUSALS):
        await work


TestFleetInterleavings = FleetInterleavings.TestCase
TestFleetInterleavings.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=50
)
