"""Composes the slices into the one daemon."""

import asyncio
import typing as t

import attrs
from mode import Service

from ..clocks import boot_s
from ..configuration import Change
from ..configuration import ConfigurationService
from ..configuration import flatten
from ..configuration import Proposal
from ..errors import ConflictError
from ..errors import StoreUnavailableError
from ..errors import StreamthreadError
from ..fleet.drains import DrainReport
from ..fleet.service import FleetService
from ..jobs.router import JobRouter
from ..jobs.service import JobService
from ..leases import LeaseRecord
from ..leases import LeaseService
from ..leases import new_incarnation
from ..peers import peers_pb2 as pb
from ..peers import PeerService
from ..providers import Platform
from ..requests import ClaimService
from ..requests import ClaimSweeper
from ..requests import RequestService
from ..requests import Router
from ..settings import EntrySettings
from ..timeline import Archive
from ..timeline import Event
from ..timeline import Recorder
from ..timeline import sink_of
from .operators import OperatorService

__all__ = ["Entry"]

AREA = "entry"


class Entry(Service):
    """One entry daemon.

    The peers' port opens first, so that the lease row can name its address.
    """

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        sink: t.Callable[[Event], None] = lambda event: None,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.objects = platform.objects
        self.archive = Archive(platform.objects, settings.daemon_id, settings.archive)
        self.recorder = Recorder(
            settings.daemon_id, sink=sink_of(sink, self.archive.add)
        )
        self._incarnation = new_incarnation()
        self._state_version = 0
        self.leases = self._make_leases(platform)
        self.configuration = self._make_configuration(platform)
        self.peers = self._make_peers()
        self.fleet = self._make_fleet(platform)
        self.jobs = self._make_jobs(platform)
        self.fleet.progress.busy = self.jobs.is_busy
        self.job_router = JobRouter(self.leases, self.jobs)
        self.job_router.peers = self.peers
        self.router = self._make_router()
        self.claims = ClaimService(
            platform.tables, self.leases.committer, settings.claims, self.daemon_count
        )
        self.sweeper = ClaimSweeper(platform.tables, self.leases, settings.sweep)
        self.requests = self._make_requests()
        self.operators = OperatorService(self)
        self.peers.before_round(self._refresh_own_state)

    # The slices, in the order in which they are made.

    def _make_leases(self, platform: Platform) -> LeaseService:
        """The addresses are not known before the ports are open."""
        record = LeaseRecord(
            self.settings.daemon_id,
            self._incarnation,
            counter=0,
            peers_address="",
            operators_address="",
            hall=self.settings.hall,
        )
        return LeaseService(
            platform.tables, self.recorder, record, self.settings.leases
        )

    def _make_configuration(self, platform: Platform) -> ConfigurationService:
        return ConfigurationService(
            platform,
            self.leases.committer,
            self.recorder,
            self.settings.configuration_poll_s,
        )

    def _make_peers(self) -> PeerService:
        return PeerService(
            self.settings.peers,
            self._incarnation,
            self.recorder,
            self.configuration,
            self.leases.peers,
            self._serve_jobs,
        )

    def _make_fleet(self, platform: Platform) -> FleetService:
        return FleetService(
            platform,
            self.leases,
            self.configuration,
            self.recorder,
            self.peers.rumors,
            self.settings.fleet,
            self._drain_report,
            self.peers.spread_soon,
        )

    def _make_jobs(self, platform: Platform) -> JobService:
        return JobService(
            platform,
            self.leases,
            self.configuration,
            self.recorder,
            self.fleet.catalog,
            self.fleet.views,
            self.fleet.held,
            self.settings.jobs,
        )

    def _make_router(self) -> Router:
        return Router(
            self.settings.daemon_id,
            self.settings.hall,
            self.configuration,
            self.fleet.catalog,
            self.fleet.views,
            self.peers.rumors,
            self.recorder,
            self.leases.live_ids,
            self.peers.spread_soon,
        )

    def _make_requests(self) -> RequestService:
        return RequestService(
            self.settings.callers.host,
            self.settings.callers.port,
            self.settings.daemon_id,
            self.configuration,
            self.router,
            self.claims,
            self.is_current,
        )

    # Start and planned stop.

    async def on_start(self) -> None:
        """Start the slices in the order in which they need each other."""
        await self.add_runtime_dependency(self.peers)
        await self.add_runtime_dependency(self.requests)
        await self.add_runtime_dependency(self.operators)
        advertised = self.settings.advertised_peers_address
        peers_address = f"{self.settings.peers.host}:{self.peers.port}"
        self.leases.record = attrs.evolve(
            self.leases.record,
            peers_address=advertised or peers_address,
            operators_address=self.operators.address,
        )
        for service in (self.leases, self.configuration, self.fleet, self.jobs):
            await self.add_runtime_dependency(service)
        await self.add_runtime_dependency(self.claims)
        await self.add_runtime_dependency(self.sweeper)
        await self.add_runtime_dependency(self.archive)
        self.recorder.record(AREA, "started", f"entry/{self.settings.daemon_id}")
        if self.settings.configuration:
            self.add_future(self._apply_initial(self.settings.configuration))

    async def _apply_initial(self, document: dict[str, t.Any]) -> None:
        """Apply the settings' configuration where there is none yet."""
        changes = tuple(Change(key, item) for key, item in flatten(document).items())
        while not self.should_stop:
            try:
                await self.configuration.propose(Proposal(0, changes))
                return
            except StoreUnavailableError:
                await self.sleep(1.0)
            except ConflictError:
                return

    async def planned_stop(self) -> int:
        """Leave without cutting anything off; return how many were cut off."""
        name = f"entry/{self.settings.daemon_id}"
        self.recorder.record(AREA, "stopping", name, "asked to stop")
        self.requests.stopping = True
        await asyncio.sleep(self.settings.linger_s)
        cut = await self.requests.finish(self.settings.finish_s)
        await self._write_last_outcomes()
        try:
            await self.leases.hand_over()
            await self.leases.leave()
        except StreamthreadError as error:
            self.log.warning("left without handing over: %s", error)
        self.recorder.record(AREA, "stopped", name, f"{cut} requests cut off")
        await self.archive.store()
        await self.stop()
        return cut

    async def _write_last_outcomes(self) -> None:
        give_up_at_s = boot_s() + self.settings.claims.give_up_s
        while self.claims.pending_outcomes and boot_s() < give_up_at_s:
            await asyncio.sleep(0.05)

    # What the slices ask of each other.

    def daemon_count(self) -> int:
        """Return how many daemons share the upstreams and the store."""
        return len(self.leases.peers()) + 1

    def is_current(self) -> bool:
        """Whether the configuration in force here may be relied on.

        It was confirmed by the store lately, or more than half of all daemons
        (this one included) were heard lately: while the store is down for all
        nothing new can be accepted. See docs/design/configuration.md.
        """
        if not self.configuration.active.generation:
            return False
        if self.configuration.confirmed_age_s() < self.settings.stale_s:
            return True
        heard = self.peers.heard_recently(self.settings.stale_s) + 1
        return heard * 2 > self.daemon_count()

    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self.is_current() and not self.requests.stopping

    def _refresh_own_state(self) -> None:
        """Say anew what the peers should know of this daemon."""
        key = f"daemon/{self.settings.daemon_id}"
        known = self.peers.rumors.get(key)
        latest = known.version if known is not None else 0
        self._state_version = max(self._state_version, latest) + 1
        drains = self.router.drain_reports()
        if known is not None and list(known.daemon.drains) != drains:
            self.peers.spread_soon()
        state = pb.DaemonState(
            daemon_id=self.settings.daemon_id,
            incarnation=self._incarnation,
            generation=self.configuration.active.generation,
            ready=self.is_ready(),
            drains=drains,
            requests_in_flight=self.requests.in_flight,
            waiting=self.router.waiting(),
        )
        rumor = pb.Rumor(key=key, version=self._state_version, daemon=state)
        self.peers.rumors.offer(rumor)

    def daemon_states(self) -> list[pb.DaemonState]:
        """Return what each live daemon said of itself last."""
        self._refresh_own_state()
        names = self.leases.live_ids()
        rumors = [self.peers.rumors.get(f"daemon/{name}") for name in names]
        return [rumor.daemon for rumor in rumors if rumor is not None]

    def _drain_report(self, daemon_id: str, instance_id: str) -> DrainReport | None:
        if daemon_id == self.settings.daemon_id:
            reports: t.Iterable[pb.DrainReport] = self.router.drain_reports()
        else:
            rumor = self.peers.rumors.get(f"daemon/{daemon_id}")
            reports = rumor.daemon.drains if rumor is not None else ()
        for report in reports:
            if report.instance_id == instance_id:
                return DrainReport(report.view_version, report.in_flight)
        return None

    async def _serve_jobs(self, value: dict[str, t.Any]) -> dict[str, t.Any]:
        return await self.job_router.serve(value)
