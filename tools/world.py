"""Several daemons' deciding slices over one table service, on a fake clock.

No sockets and no tasks of their own: a test says which daemon does what next,
which commit is held back, and which answer is lost.
"""

import asyncio
import datetime
import typing as t

import attrs

from streamthread.configuration import Change
from streamthread.configuration import ConfigurationService
from streamthread.configuration import Proposal
from streamthread.errors import ConflictError
from streamthread.errors import OutcomeUnknownError
from streamthread.errors import StoreUnavailableError
from streamthread.fleet import DrainReport
from streamthread.fleet.planner import utc_now
from streamthread.fleet.service import FleetService
from streamthread.fleet.service import FleetSettings
from streamthread.jobs.service import JobService
from streamthread.jobs.service import JobSettings
from streamthread.leases import Committer
from streamthread.leases import LeaseRecord
from streamthread.leases import LeaseService
from streamthread.leases import LeaseSettings
from streamthread.peers.rumors import RumorStore
from streamthread.providers import CommitOutcome
from streamthread.providers import CommitResult
from streamthread.providers import Instance
from streamthread.providers import memory_platform
from streamthread.providers import MemoryMembership
from streamthread.providers import MemoryTables
from streamthread.providers import MemoryWorkers
from streamthread.providers import Platform
from streamthread.providers import Row
from streamthread.providers import Tables
from streamthread.providers import TaskStart
from streamthread.providers import Transaction
from streamthread.timeline import Recorder

__all__ = ["Daemon", "FakeClock", "FaultyTables", "RefusingWorkers", "World"]

LEASES = LeaseSettings(shard_count=4, renew_s=1.0, term_s=8.0, margin_s=2.0)


class FakeClock:
    """A monotonic clock that tests move."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s

    async def sleep(self, pause_s: float) -> None:
        """Move on instead of waiting."""
        self.now_s += pause_s
        await asyncio.sleep(0)


Observer = t.Callable[["FaultyTables", Transaction], None]


class FaultyTables(Tables):
    """One daemon's way to the shared tables.

    :param lose_commits: transactions are lost before they reach the tables.
    :param before: called with each transaction when the daemon sends it.
    """

    def __init__(self, tables: MemoryTables, before: Observer) -> None:
        self.down = False
        self.lose_replies = 0
        self.lose_commits = False
        self.hold_next = False
        self.held: asyncio.Future[None] | None = None
        self._tables = tables
        self._before = before

    async def get(self, keys: t.Sequence[str]) -> dict[str, Row]:
        """Read, unless the way is down."""
        self._refuse_if_down()
        return await self._tables.get(keys)

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        """Read, unless the way is down."""
        self._refuse_if_down()
        return await self._tables.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Commit, perhaps late, perhaps without an answer."""
        self._refuse_if_down()
        self._before(self, transaction)
        if self.lose_commits:
            return CommitResult(CommitOutcome.UNKNOWN)
        if self.hold_next:
            self.hold_next = False
            self.held = asyncio.get_running_loop().create_future()
            await self.held
        result = await self._tables.commit(transaction)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return CommitResult(CommitOutcome.UNKNOWN)
        return result

    def release(self) -> None:
        """Deliver the commit that is held back."""
        if self.held is not None and not self.held.done():
            self.held.set_result(None)
        self.held = None

    def _refuse_if_down(self) -> None:
        if self.down:
            raise StoreUnavailableError("down", remedy="wait")


@attrs.define
class Daemon:
    """The deciding slices of one daemon."""

    tables: FaultyTables
    leases: LeaseService
    configuration: ConfigurationService
    fleet: FleetService
    jobs: JobService
    rumors: RumorStore
    recorder: Recorder
    running: "asyncio.Task[None] | None" = None


class RefusingWorkers(MemoryWorkers):
    """Answers not at all, then with a refusal; the first try is carried out then."""

    def __init__(self, membership: MemoryMembership) -> None:
        super().__init__(membership)
        self.tries: list[TaskStart] = []

    async def start(self, start: TaskStart) -> None:
        """Start what a later try asks for, and the first one before it."""
        self.tries.append(start)
        if len(self.tries) == 1:
            raise OutcomeUnknownError("no answer", remedy="ask again")
        if len(self.tries) == 2:
            raise ConflictError("refused", remedy="place the job elsewhere")
        await super().start(self.tries[0])
        await super().start(start)


class World:
    """Shared platform and clock, and the daemons on it.

    :param before: called with each transaction when a daemon sends it.
    :param workers_class: what runs the tasks of all daemons.
    """

    def __init__(
        self,
        daemons: int,
        before: Observer = lambda way, sent: None,
        wall: t.Callable[[], datetime.datetime] = utc_now,
        workers_class: type[MemoryWorkers] = MemoryWorkers,
    ) -> None:
        self.clock = FakeClock()
        self.platform = memory_platform()
        self.tables = t.cast(MemoryTables, self.platform.tables)
        self.membership = t.cast(MemoryMembership, self.platform.membership)
        self.workers = workers_class(self.membership)
        self._before = before
        self._wall = wall
        self.daemons = [self._make(f"entry-{number}") for number in range(daemons)]

    def _make(self, name: str) -> Daemon:
        way = FaultyTables(self.tables, self._before)
        platform = Platform(way, self.platform.objects, self.membership, self.workers)
        recorder = Recorder(name)
        record = LeaseRecord(name, f"run-{name}", 0, "", "", "plateau")
        committer = Committer(way, 5.0, self.clock, self.clock.sleep)
        leases = LeaseService(way, recorder, record, LEASES, self.clock, committer)
        configuration = ConfigurationService(platform, committer, recorder, 1.0)
        rumors = RumorStore()
        fleet = FleetService(
            platform,
            leases,
            configuration,
            recorder,
            rumors,
            FleetSettings(drain_limit_s=0.0),
            self._report,
            lambda: None,
            self.clock,
            self._wall,
        )
        jobs = JobService(
            platform,
            leases,
            configuration,
            recorder,
            fleet.catalog,
            fleet.views,
            fleet.held,
            JobSettings(),
        )
        fleet.progress.busy = jobs.is_busy
        return Daemon(way, leases, configuration, fleet, jobs, rumors, recorder)

    @staticmethod
    def _report(daemon_id: str, instance_id: str) -> DrainReport | None:
        return DrainReport(10**9, 0)

    def gossip(self) -> None:
        """Have everybody hear every rumor."""
        for teller in self.daemons:
            for hearer in self.daemons:
                news = teller.rumors.news_for("nobody", 0)
                keys = [offer.key for offer in news.offers]
                for rumor in [*news.rumors, *teller.rumors.bodies(keys)]:
                    hearer.rumors.offer(rumor)

    async def renew(self, daemon: Daemon) -> None:
        """Run one lease cycle and one read of the configuration."""
        await daemon.leases.cycle()
        try:
            await daemon.configuration.poll_once()
        except StoreUnavailableError:
            return

    async def work(self, daemon: Daemon) -> None:
        """Read membership, decide about the pools and the jobs held."""
        try:
            await daemon.fleet.poll_membership()
        except StoreUnavailableError:
            return
        await daemon.fleet.tick()
        await daemon.jobs.tick()

    async def settle(self, rounds: int = 3) -> None:
        """Let everybody renew, talk and work a few times."""
        for _ in range(rounds):
            self.clock.now_s += LEASES.renew_s
            for daemon in self.daemons:
                await self.renew(daemon)
            self.gossip()
            for daemon in self.daemons:
                await self.work(daemon)
            self.gossip()

    async def add_pool(self, pool: str, instances: t.Iterable[str]) -> None:
        """Create a pool of instances, and let the daemons take it in."""
        for name in instances:
            labels = {"pool": pool}
            instance = Instance(
                name, "plateau", "r", cores=16, memory_bytes=100, labels=labels
            )
            self.membership.put(instance)
        spec = {"selector": f"pool = {pool}", "min_available": 1}
        await self.apply({f"pool/{pool}": spec})
        await self.settle()

    async def apply(self, items: dict[str, t.Any], daemon: int = 0) -> int:
        """Change the configuration through one daemon."""
        service = self.daemons[daemon].configuration
        changes = tuple(Change(key, value) for key, value in items.items())
        return await service.propose(Proposal(10**9, changes))

    async def rows(self, prefix: str) -> dict[str, Row]:
        """Return the rows under a prefix, as they are."""
        rows = await self.tables.scan_all(prefix)
        return {row.key.removeprefix(prefix): row for row in rows}
