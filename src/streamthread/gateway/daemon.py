"""Composes the cell's daemon. Every machine runs the same daemon."""

import asyncio
import contextlib
import random
import typing as t

import attrs
import logbook
from mode import Service

from ..cell import AcquiredCell
from ..cell import cell_pb2 as pb
from ..cell import CellEndpoint
from ..cell import CellLease
from ..cell import CellPort
from ..cell import PeerContacts
from ..cell import PeerLinks
from ..cell.rows import new_nonce
from ..clocks import boot_s
from ..errors import NotHolderError
from ..halls import HallRegistry
from ..holder import CellSettings
from ..holder import DutySettings
from ..holder import Holder
from ..holder import HolderContext
from ..loops import Failures
from ..platform.advice import AdviceClient
from ..platform.cloud import CloudClient
from ..platform.manifest import Pool
from ..platform.node import NodeSettings
from ..platform.runners import RunnerClient
from ..platform.store import RowStore
from ..platform.store import STORE_TIMEOUT_S
from ..runners import LinkSettings
from ..scheduler import EngineSettings
from ..scheduler.orders import OrderSettings
from ..unreadable import UnreadableNotes
from .documents import Documents
from .documents import FEED_WAIT_S
from .explain import answer_question
from .forwarding import Forwarder
from .forwarding import ForwardSettings
from .frontend import Frontend
from .operators import CellOperators
from .reachability import Contacts
from .reachability import ReachabilityMonitor
from .stored_states import StoredStates
from .view import DaemonView

__all__ = ["CellDaemon", "cell_settings"]

log = logbook.Logger("streamthread.gateway")

CLOUD_TIMEOUT_S = 2.0
"""Timeout until the cloud begins to answer."""

INITIAL_BACKOFF_S = 1.0
"""A daemon that failed as the holder does not acquire the cell again for this time,
which doubles with each failure."""

MAX_BACKOFF_S = 30.0
"""Limit of this backoff: with 9 daemons, one is always able to acquire the cell."""

STOP_POLL_S = 0.1
"""How often a planned stop checks whether its time is over."""

RELEASE_TIMEOUT_S = 2.0
"""A release takes 10 ms, or 0.6 s while the store is 60 times slower. If it takes
longer, another daemon acquires the cell without a release."""

STOP_MARGIN_S = 1.2
"""The process exits this long before the platform would kill it."""

STOP_SLACK_S = 0.1
"""Added to the longest duration of a stop: a run that its runner still lists after that
was not stopped. The slack is there since listings give the time in whole
milliseconds."""

EARLY_START_SHARE = 0.4
"""The platform limits how much earlier than its due time an occurrence may start. The
scheduler uses this share of the limit; the rest allows for clocks that differ."""

MOVE_BURST_FACTOR = 2.0
"""One decision may order this many times the moves that the cloud accepts on average
between two decisions: a burst of load needs its machines at once, and the cloud's rate
limit counts whole seconds."""

MAX_HOLD_S = 6.0
"""A hold call never renews the leases of runs for longer than this, even if their
runner accepts longer holds. Outages of the store last 4.5 s. A new holder that never
reached a runner waits for this time before it starts the runs recorded on that runner
elsewhere."""


START_SHARE = 0.5
"""A start is valid for this share of the time within which an evacuation must be in
force, at most, so that a view of the evacuations that is up to 0.45 of that time old
does not shorten it."""

FEED_WAIT_SHARE = 0.1
"""The wait of one call of the operator's feed, as a share of the same time. With 5 s,
0.5 s: one call that fails after 1.3 s, the next one included, leaves the view 1.9 s
old. Starts on a view that is older than 2.25 s are valid for less than 2.5 s."""


OVERDUE_S = 0.4
"""Forwarded calls are given up after this time without a heartbeat of the holder. They
come every 0.25 s, up to 50 ms late, and 0.1 s are left for a busy loop. A needless
write to the inbox does no harm; callers shall be answered within 0.6 s."""


def cell_settings(node: NodeSettings) -> CellSettings:
    """Return the settings of a cell within the platform's bounds."""
    cut_hold_s = node.bounds.most_hold_s
    links = LinkSettings(most_hold_s=min(cut_hold_s, MAX_HOLD_S), cut_hold_s=cut_hold_s)
    if links.hold_s > links.most_hold_s:
        links = attrs.evolve(links, hold_s=links.most_hold_s)
    if node.bounds.evacuate_s is not None:
        start_s = node.bounds.evacuate_s * START_SHARE
        links = attrs.evolve(links, start_within_s=min(links.start_within_s, start_s))
    early_s = node.bounds.early_s * EARLY_START_SHARE
    return CellSettings(
        links=links,
        engine=EngineSettings(
            early_s=early_s,
            stop_effect_ms=int((node.bounds.stop_s + STOP_SLACK_S) * 1000),
            spreads_over_halls=node.tolerated_halls > 0,
        ),
        duties=duty_settings(node),
        orders=OrderSettings(leaves_silent=node.tolerated_halls > 0),
        max_row_bytes=node.store.row_bytes,
        watches_halls=node.tolerated_halls > 0,
    )


def operator_feed_wait_s(node: NodeSettings, holds: bool) -> float:
    """Return how long one call of the operator's feed waits for a change.

    Each call confirms what is known of the evacuations, whose age is bounded where the
    platform gives `evacuate_s`. Only the holder starts runs, and calls are paid for.

    :param holds: whether this daemon holds the cell.
    """
    evacuate_s = node.bounds.evacuate_s
    if evacuate_s is None or not holds:
        return FEED_WAIT_S
    return min(FEED_WAIT_S, evacuate_s * FEED_WAIT_SHARE)


def duty_settings(node: NodeSettings) -> DutySettings:
    """Return the settings for ordering machines, from what the platform states."""
    defaults = DutySettings()
    max_moves = int(node.duties_per_s * defaults.tick_s * MOVE_BURST_FACTOR)
    capacity = attrs.evolve(
        defaults.capacity, most_moves=max(1, max_moves), move_s=node.bounds.move_s
    )
    upkeep = attrs.evolve(defaults.upkeep, upkeep_s=node.bounds.upkeep_s)
    return attrs.evolve(defaults, capacity=capacity, upkeep=upkeep)


class CellDaemon(Service, DaemonView):
    """One daemon: serves callers, follows the holder, and may become the holder itself.

    :param settings: by default derived from the platform's bounds.
    """

    def __init__(
        self, node: NodeSettings, settings: CellSettings | None = None
    ) -> None:
        super().__init__()
        self.node = node
        self.settings = settings or cell_settings(node)
        address = f"{node.ip}:{node.peer_ports[0]}"
        self.notes = UnreadableNotes()
        self.failures = Failures()
        self.store = RowStore(node.store.address, STORE_TIMEOUT_S, self.notes)
        self.runner_client = RunnerClient(self.notes)
        self.cloud: CloudClient | None = None
        if node.cloud:
            self.cloud = CloudClient(node.cloud, CLOUD_TIMEOUT_S, self.notes)
        self.advice: AdviceClient | None = None
        if node.advice:
            self.advice = AdviceClient(node.advice, self.notes)
        self.documents = Documents(
            self.store,
            self.notes,
            self.failures,
            lambda: operator_feed_wait_s(node, self.holder is not None),
        )
        self.halls = HallRegistry(
            self.documents.evacuations,
            node.bounds.evacuate_s,
            self._pools,
            self._cold_halls,
            (node.bounds.cold_excess, node.bounds.cold_slack),
        )
        # Halls make no difference where no loss of a hall is to be tolerated.
        self.contacts = PeerContacts(node.hall if node.tolerated_halls else "")
        self.peers = PeerLinks(
            node.daemon_id, address, self.settings.times.beat_s, self.contacts
        )
        self.holder: Holder | None = None
        self._holder_failures = 0
        self.lease = self._make_lease(address)
        self.endpoint = CellEndpoint(
            self._handle,
            self._heartbeat,
            self.settings.times.beat_s,
            self._on_announcement,
            self.explain,
            self.contacts,
        )
        self.port = CellPort(self.endpoint, node.ip, node.peer_ports[0])
        self.lines_dropped: t.Callable[[], int] = lambda: 0
        self.reachability = self._make_reachability()
        self.frontend = self._make_frontend()
        self.operators = CellOperators(self, node.ip, node.operators_port)

    def _pools(self) -> t.Mapping[str, Pool]:
        manifest = self.documents.manifest
        return manifest.pools if manifest is not None else {}

    def _cold_halls(self) -> t.Collection[str]:
        """Return the halls with runners that are cold now, as the holder knows them."""
        return self.holder.engine.cold_halls() if self.holder is not None else ()

    def _make_lease(self, address: str) -> CellLease:
        return CellLease(
            self.store,
            self.settings.part,
            self.node.daemon_id,
            new_nonce(),
            address,
            self.peers,
            self.settings.times,
            self.node.cores,
            self._run_holder,
            self._on_replaced,
            self.notes,
            self.failures,
        )

    def _make_reachability(self) -> ReachabilityMonitor | None:
        """Return the monitor, or None where no loss of a hall is to be tolerated."""
        if not self.node.tolerated_halls:
            return None
        return ReachabilityMonitor(
            self._recent_contacts,
            self._peers_elsewhere,
            self._probe_peer,
            random.Random(self.node.daemon_id),
            # What was sent to peers must not arrive after a refusal by another daemon.
            on_cut_off=self.peers.close,
            failures=self.failures,
        )

    def _make_frontend(self) -> Frontend:
        states: StoredStates | None = None
        settings = ForwardSettings(max_row_bytes=self.node.store.row_bytes)
        if self.node.tolerated_halls:
            settings = attrs.evolve(settings, overdue_s=OVERDUE_S)
            states = StoredStates(self.store, self.settings.part, self.documents)
        self.stored_states = states
        forwarder = self.forwarder = Forwarder(
            self.lease,
            self.peers,
            self.store,
            self.settings.part,
            lambda: self.holder,
            settings,
            self.reachability,
            states,
        )
        return Frontend(
            self.node.callers,
            self.node.readiness,
            self.documents,
            forwarder,
            self.is_ready,
            self.reachability,
        )

    async def on_start(self) -> None:
        """Open the ports and start to follow the holder."""
        address = await self.port.open()
        self.lease.address = self.peers.address = address
        await self.add_runtime_dependency(self.documents)
        await self.add_runtime_dependency(self.frontend)
        await self.add_runtime_dependency(self.operators)
        await self.add_runtime_dependency(self.lease)
        if self.reachability is not None:
            await self.add_runtime_dependency(self.reachability)
        log.info("started", extra={"hall": self.node.hall, "address": self.node.ip})

    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        if self.reachability is not None and self.reachability.cut_off:
            return False
        return self.documents.manifest is not None and not self.frontend.stopping

    async def on_stop(self) -> None:
        """Close the peers' port."""
        self.port.close()

    async def on_shutdown(self) -> None:
        """Close all connections once nothing uses them any more."""
        self.lease.members.close()
        self.peers.close()
        await self.store.close()
        await self.runner_client.close()
        for client in (self.cloud, self.advice):
            if client is not None:
                await client.close()

    # The cell.

    async def _run_holder(self, acquired: AcquiredCell) -> None:
        context = HolderContext(
            daemon_id=self.node.daemon_id,
            store=self.store,
            runners=self.runner_client,
            cloud=self.cloud,
            advice=self.advice,
            documents=self.documents,
            settings=self.settings,
            notes=self.notes,
            failures=self.failures,
            halls=self.halls,
        )
        self.holder = Holder(context, acquired)
        holder = self.holder
        try:
            await holder.run()
        finally:
            self.holder = None
        if holder.failed:
            await self._back_off_after_failure(acquired)

    async def _back_off_after_failure(self, acquired: AcquiredCell) -> None:
        """Leave the cell to another daemon, which reads all rows again."""
        backoff_s = min(INITIAL_BACKOFF_S * 2**self._holder_failures, MAX_BACKOFF_S)
        self._holder_failures += 1
        log.error(
            "holder-failed",
            extra={
                "token": acquired.owner.token,
                "times": self._holder_failures,
                "rest_s": backoff_s,
            },
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self.lease.release(acquired, self._choose_successor())
        await asyncio.sleep(backoff_s)

    def _on_replaced(self) -> None:
        if self.holder is not None:
            self.holder.give_up("a peer reports a newer holder")

    async def _handle(self, request: pb.CallRequest) -> pb.CallReply:
        if self.holder is None:
            return pb.CallReply(outcome=pb.NOT_HOLDER)
        return await self.holder.handle(request)

    def _heartbeat(self) -> pb.Beat | None:
        if self.holder is None:
            return None
        return pb.Beat(
            token=self.holder.token,
            sequence=self.holder.log.sequence,
            doubtful=self.holder.lease_validity.doubtful,
            head_version=self.holder.lease_validity.idle_head_version,
        )

    def _on_announcement(self, announcement: pb.Announcement) -> pb.Announcement:
        self.lease.members.on_announcement(announcement)
        return self.lease.members.announcement(self.lease.news())

    def explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Answer an operator's question as the holder."""
        return answer_question(self.holder, self.halls, request)

    # Contacts outside this daemon's hall.

    def _recent_contacts(self) -> Contacts:
        holder = self.holder
        own_commit_at_s = holder.log.confirmed_at_s if holder is not None else 0.0
        elsewhere = (address for _, address in self._peers_elsewhere())
        return Contacts(
            store_at_s=max(
                self.documents.confirmed_at_s, self.lease.registry.confirmed_at_s
            ),
            commit_at_s=max(self.contacts.committed_at_s, own_commit_at_s),
            peers_at_s=self.contacts.last_answer_at_s(elsewhere),
        )

    def _peers_elsewhere(self) -> list[tuple[str, str]]:
        """Return the hall and the address of each peer in another hall."""
        return self.contacts.elsewhere(self.lease.members.addresses.values())

    async def _probe_peer(self, address: str, timeout_s: float) -> bool:
        """Probe a peer; its answer also names the holder that it knows."""
        members = self.lease.members
        update = members.announcement(self.lease.news())
        answer = await self.peers.probe(address, update, timeout_s)
        if answer is None:
            return False
        members.on_announcement(answer)
        return True

    # A planned stop.

    async def planned_stop(self) -> None:
        """Release the cell, then stop at the end of the grace time.

        Until then the open requests are answered, so that none is cut off.
        """
        began_at_s = boot_s()
        self.frontend.stopping = True
        self.lease.stopping = True
        log.info("stopping", extra={"holding": self.lease.holding})
        await self._hand_over()
        until_s = began_at_s + self.node.bounds.grace_s - STOP_MARGIN_S
        while boot_s() < until_s:
            await asyncio.sleep(STOP_POLL_S)
        log.info("stopped", extra={"in_flight": self.frontend.in_flight})

    def _choose_successor(self) -> str:
        """Return the largest follower, or the largest peer if there is no follower.

        Among several of this size, one in another hall is chosen.

        If the store is slow, the holder's heartbeats may say that others may acquire
        the cell. Daemons that receive such a heartbeat stop following the holder.
        """
        members = self.lease.members
        candidates = self.endpoint.followers or members.addresses
        return members.largest(candidates, avoid_hall=self.contacts.hall)

    async def _hand_over(self) -> None:
        """Release the cell, and remain the holder until the release is written.

        Until the store accepts the release, heartbeats announce that others may
        acquire the cell, and the leases of its runs are still renewed until one does.
        """
        holder = self.holder
        if holder is None:
            return
        holder.lease_validity.begin_release()
        released = False
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await holder.log.flushed()
                successor = self._choose_successor()
                released = await self.lease.release(holder.taken, successor)
        except (TimeoutError, NotHolderError) as error:
            log.warning("cell-not-released", extra={"error": repr(error)})
        if released:
            holder.give_up("handed over for a planned stop")
