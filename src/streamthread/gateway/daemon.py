"""Composes the cell's daemon: every machine runs the same one."""

import asyncio
import contextlib
import typing as t

import attrs
import logbook
from mode import Service

from ..cell import cell_pb2 as pb
from ..cell import CellEndpoint
from ..cell import CellLease
from ..cell import CellPort
from ..cell import PeerLinks
from ..cell import TakenCell
from ..cell.rows import new_nonce
from ..clocks import boot_s
from ..errors import NotHolderError
from ..holder import CellSettings
from ..holder import DutySettings
from ..holder import Holder
from ..holder import HolderContext
from ..loops import Failures
from ..platform.advice import AdviceClient
from ..platform.cloud import CloudClient
from ..platform.node import NodeSettings
from ..platform.runners import RunnerClient
from ..platform.store import RowStore
from ..runners import LinkSettings
from ..scheduler import EngineSettings
from ..unreadable import UnreadableNotes
from .documents import Documents
from .explain import answer_question
from .forwarding import Forwarder
from .forwarding import ForwardSettings
from .frontend import Frontend
from .operators import CellOperators
from .view import DaemonView

__all__ = ["CellDaemon", "cell_settings"]

log = logbook.Logger("streamthread.gateway")

STORE_ANSWER_S = 1.2
"""Until an answer begins: six times what a slow store takes (60 times 4 ms)."""

CLOUD_ANSWER_S = 2.0
"""Until the machines' owner, or the advice service, begins to answer."""

REST_FIRST_S = 1.0
"""A daemon that handed the cell over since it failed leaves it to others for so long;
doubled with each time."""

REST_MOST_S = 30.0
"""The longest such rest: with 9 daemons, one of them is always there to take it."""

STOP_POLL_S = 0.1
"""How often a planned stop looks whether its time is over."""

HAND_OVER_S = 2.0
"""A release takes 10 ms, and 0.6 s while the store is 60 times slower; what takes
longer is left to a take-over."""

STOP_MARGIN_S = 1.2
"""The process ends by itself so long before the platform would kill it."""


STOP_SLACK_S = 0.1
"""A runner that lists a run so long after the longest stop has not stopped it; lists
tell the time in whole milliseconds."""

EARLY_SHARE = 0.4
"""Of the time by which a start may be early: the rest is for clocks that differ."""

MOVES_BURST = 2.0
"""In one decision, this many times what the cloud takes on average in its time: a
burst needs its machines at once, and the rate counts whole seconds."""

MOST_HELD_S = 6.0
"""Nothing is held for longer, also where runners accept it: outages of the store last
4.5 s, and a new holder waits for so long before it runs elsewhere what is recorded on
a runner that it never reached."""


def cell_settings(node: NodeSettings) -> CellSettings:
    """Return the figures of a cell under the platform's bounds."""
    cut_hold_s = node.bounds.most_hold_s
    links = LinkSettings(
        most_hold_s=min(cut_hold_s, MOST_HELD_S), cut_hold_s=cut_hold_s
    )
    if links.hold_s > links.most_hold_s:
        links = attrs.evolve(links, hold_s=links.most_hold_s)
    early_s = node.bounds.early_s * EARLY_SHARE
    return CellSettings(
        links=links,
        engine=EngineSettings(
            early_s=early_s,
            stop_effect_ms=int((node.bounds.stop_s + STOP_SLACK_S) * 1000),
        ),
        duties=duty_settings(node),
    )


def duty_settings(node: NodeSettings) -> DutySettings:
    """Return how machines are ordered under the platform's bounds and rates."""
    known = DutySettings()
    most_moves = int(node.duties_per_s * known.tick_s * MOVES_BURST)
    capacity = attrs.evolve(known.capacity, most_moves=max(1, most_moves))
    return attrs.evolve(known, capacity=capacity)


class CellDaemon(Service, DaemonView):
    """One daemon: serves callers, follows the holder, holds the cell in turn.

    :param settings: else the figures that follow from the platform's bounds.
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
        self.store = RowStore(node.store.address, STORE_ANSWER_S, self.notes)
        self.runner_client = RunnerClient(self.notes)
        self.cloud: CloudClient | None = None
        if node.cloud:
            self.cloud = CloudClient(node.cloud, CLOUD_ANSWER_S, self.notes)
        self.advice: AdviceClient | None = None
        if node.advice:
            self.advice = AdviceClient(node.advice, CLOUD_ANSWER_S, self.notes)
        self.documents = Documents(self.store, self.notes, self.failures)
        self.peers = PeerLinks(node.daemon_id, address)
        self.holder: Holder | None = None
        self._failed_holders = 0
        self.lease = self._make_lease(address)
        self.endpoint = CellEndpoint(
            self._handle,
            self._beat,
            self.settings.times.beat_s,
            self._announced,
            self.explain,
        )
        self.port = CellPort(self.endpoint, node.ip, node.peer_ports[0])
        self.lines_dropped: t.Callable[[], int] = lambda: 0
        self.frontend = self._make_frontend()
        self.operators = CellOperators(self, node.ip, node.operators_port)

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
            self._hold,
            self._on_replaced,
            self.notes,
            self.failures,
        )

    def _make_frontend(self) -> Frontend:
        forwarder = Forwarder(
            self.lease,
            self.peers,
            self.store,
            self.settings.part,
            lambda: self.holder,
            ForwardSettings(),
        )
        return Frontend(
            self.node.callers,
            self.node.readiness,
            self.documents,
            forwarder,
            self.is_ready,
        )

    async def on_start(self) -> None:
        """Open the ports and start to follow."""
        address = await self.port.open()
        self.lease.address = self.peers.address = address
        await self.add_runtime_dependency(self.documents)
        await self.add_runtime_dependency(self.frontend)
        await self.add_runtime_dependency(self.operators)
        await self.add_runtime_dependency(self.lease)
        log.info("started", extra={"hall": self.node.hall, "address": self.node.ip})

    def is_ready(self) -> bool:
        """Whether the platform should send new connections here."""
        return self.documents.manifest is not None and not self.frontend.stopping

    async def on_stop(self) -> None:
        """Close the peers' port."""
        self.port.close()

    async def on_shutdown(self) -> None:
        """Close all connections, once nothing uses them any more."""
        self.lease.members.close()
        self.peers.close()
        await self.store.close()
        await self.runner_client.close()
        for client in (self.cloud, self.advice):
            if client is not None:
                await client.close()

    # The cell.

    async def _hold(self, taken: TakenCell) -> None:
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
        )
        self.holder = Holder(context, taken)
        holder = self.holder
        try:
            await holder.run()
        finally:
            self.holder = None
        if holder.failed:
            await self._rest_after_failure(taken)

    async def _rest_after_failure(self, taken: TakenCell) -> None:
        """Leave the cell to another daemon, which reads all rows anew."""
        rest_s = min(REST_FIRST_S * 2**self._failed_holders, REST_MOST_S)
        self._failed_holders += 1
        log.error(
            "holder-failed",
            extra={
                "token": taken.owner.token,
                "times": self._failed_holders,
                "rest_s": rest_s,
            },
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HAND_OVER_S):
                await self.lease.release(taken, self._choose_successor())
        await asyncio.sleep(rest_s)

    def _on_replaced(self) -> None:
        if self.holder is not None:
            self.holder.give_up("a peer names a newer holder")

    async def _handle(self, request: pb.CallRequest) -> pb.CallReply:
        if self.holder is None:
            return pb.CallReply(outcome=pb.NOT_HOLDER)
        return await self.holder.handle(request)

    def _beat(self) -> pb.Beat | None:
        if self.holder is None:
            return None
        return pb.Beat(
            token=self.holder.token,
            sequence=self.holder.log.sequence,
            doubtful=self.holder.trust.doubtful,
            head_version=self.holder.trust.standstill_version,
        )

    def _announced(self, announcement: pb.Announcement) -> pb.Announcement:
        self.lease.members.greeted(announcement)
        return self.lease.members.announcement(self.lease.news())

    def explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Answer an operator's question as the holder."""
        return answer_question(self.holder, request)

    # A planned stop.

    async def planned_stop(self) -> None:
        """Leave without cutting anything off."""
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
        """Return a follower, or any peer while followers doubt a slow store."""
        members = self.lease.members
        return members.largest(self.endpoint.followers or members.addresses)

    async def _hand_over(self) -> None:
        """Release the cell; go on holding it until that is done.

        While the store does not take the release, beats say that others may take
        the cell, and the runs there are still extended until they do.
        """
        holder = self.holder
        if holder is None:
            return
        holder.trust.begin_release()
        released = False
        try:
            async with asyncio.timeout(HAND_OVER_S):
                await holder.log.flushed()
                successor = self._choose_successor()
                released = await self.lease.release(holder.taken, successor)
        except (TimeoutError, NotHolderError) as error:
            log.warning("cell-not-released", extra={"error": repr(error)})
        if released:
            holder.give_up("handed over for a planned stop")
