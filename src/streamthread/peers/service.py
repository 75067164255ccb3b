"""The exchange between daemons: one bounded call carries all soft state."""

import asyncio
import contextlib
import json
import random
import typing as t

import attrs
import cattrs
from grpclib.server import Server
from mode import Service

from ..clocks import boot_s
from ..configuration import ConfigurationService
from ..configuration import Snapshot
from ..errors import PeerUnavailableError
from ..leases import LeaseRecord
from ..providers import JsonObject
from ..timeline import Event
from ..timeline import EventFilter
from ..timeline import HybridTime
from ..timeline import Recorder
from . import peers_pb2 as pb
from .auth import require_key
from .endpoint import JobsHandler
from .endpoint import PeerEndpoint
from .links import PeerLink
from .links import PeerLinks
from .messages import generation_of
from .messages import generation_record
from .rumors import RumorStore

__all__ = ["PeerService", "PeerSettings"]


@attrs.frozen
class PeerSettings:
    """How the daemons talk to each other.

    :param fanout: how many peers a round with news reaches; others reach one.
    :param accepted_fanout: how many the entry tells that accepted a generation.
    :param min_gap_s: rounds that news start come no faster than this.
    :param seeds: addresses to ask while no lease names a peer, so that an entry
        that is new while the store is down finds the others.
    """

    key: str
    host: str = "127.0.0.1"
    port: int = 0
    exchange_s: float = 1.0
    fanout: int = 2
    accepted_fanout: int = 16
    min_gap_s: float = 0.2
    timeout_s: float = 2.0
    seeds: tuple[str, ...] = ()


class PeerService(Service):
    """Serves the peers' port and exchanges with a few peers a second.

    :param peers: returns the live peers, as the leases name them.
    """

    def __init__(
        self,
        settings: PeerSettings,
        incarnation: str,
        recorder: Recorder,
        configuration: ConfigurationService,
        peers: t.Callable[[], list[LeaseRecord]],
        jobs: JobsHandler,
    ) -> None:
        super().__init__()
        self.rumors = RumorStore()
        self.settings = settings
        self.port = 0
        self._incarnation = incarnation
        self._recorder = recorder
        self._configuration = configuration
        self._peers = peers
        self._links = PeerLinks(settings.key, settings.timeout_s)
        self._server = Server([PeerEndpoint(self, recorder, configuration, jobs)])
        self._random = random.Random(recorder.daemon_id)
        self._news = asyncio.Event()
        self._before_round: list[t.Callable[[], None]] = []
        self._to_all = False
        configuration.listen(self._on_configuration)

    def _on_configuration(self, keys: t.Collection[str] | None) -> None:
        """Tell everybody of what was accepted here; of the rest, a few."""
        self._to_all = self._to_all or self._configuration.accepted_last
        self.spread_soon()

    def before_round(self, update: t.Callable[[], None]) -> None:
        """Have a function called before each round, to refresh rumors."""
        self._before_round.append(update)

    def spread_soon(self) -> None:
        """Start a round soon, since there is news."""
        self._news.set()

    def heard_recently(self, within_s: float) -> int:
        """Return how many peers answered or called within a time."""
        return self._links.heard_since(boot_s() - within_s)

    async def on_start(self) -> None:
        """Open the peers' port."""
        require_key(self._server, self.settings.key)
        await self._server.start(self.settings.host, self.settings.port)
        sockets = self._server._server.sockets  # type: ignore[union-attr]
        self.port = sockets[0].getsockname()[1]

    async def on_stop(self) -> None:
        """Close the port and all channels."""
        self._server.close()
        await self._server.wait_closed()
        self._links.close()

    # Rounds.

    @Service.task
    async def _exchange_rounds(self) -> None:
        while not self.should_stop:
            fanout = self.settings.fanout if self._news.is_set() else 1
            if self._to_all:
                fanout = self.settings.accepted_fanout
            self._news.clear()
            self._to_all = False
            await self.round(fanout)
            await self.sleep(self.settings.min_gap_s)
            await self._wait_for_news(self.settings.exchange_s)

    async def _wait_for_news(self, limit_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._news.wait()

    async def round(self, fanout: int) -> None:
        """Exchange with some peers at once."""
        for update in self._before_round:
            update()
        peers = self._peers() or self._seeds()
        self._links.keep_only({peer.daemon_id for peer in peers})
        chosen = self._random.sample(peers, min(fanout, len(peers)))
        await asyncio.gather(*(self._try_exchange(peer) for peer in chosen))

    def _seeds(self) -> list[LeaseRecord]:
        """Return the seeds as if they held leases; their names are not known."""
        own = f"{self.settings.host}:{self.port}"
        return [
            LeaseRecord(f"seed/{address}", "", 0, address, "", "")
            for address in self.settings.seeds
            if address != own
        ]

    async def _try_exchange(self, peer: LeaseRecord) -> None:
        try:
            await self.exchange(peer)
        except PeerUnavailableError as error:
            self.log.info("exchange failed: %s", error)
        except Exception:
            self.log.exception("unreadable answer from %s", peer.daemon_id)

    async def exchange(self, peer: LeaseRecord) -> None:
        """Give one peer our news and take its.

        The cursors move on only when everything has arrived, on both sides.

        :raises PeerUnavailableError: it did not answer in time.
        """
        link = self._links.to(peer)
        cursor = self.rumors.cursor
        news = self.rumors.news_for(link.incarnation, link.my_cursor_sent)
        reply = await self._send(link, peer, rumors=news.rumors, offers=news.offers)
        await self._follow_up(link, peer, reply)
        same_run = link.incarnation == reply.sender.incarnation
        link.incarnation = reply.sender.incarnation
        link.their_cursor = reply.cursor
        link.my_cursor_sent = cursor if same_run else 0

    async def _send(
        self, link: PeerLink, peer: LeaseRecord, **content: t.Any
    ) -> pb.ExchangeReply:
        """Make one call of an exchange, and take what comes back."""
        request = pb.ExchangeRequest(
            sender=self.sender(),
            generation=self._configuration.active.generation,
            known_incarnation=link.incarnation,
            known_cursor=link.their_cursor,
            **content,
        )
        reply = await self._links.call(link.stub.Exchange, request, peer)
        link.heard_at_s = boot_s()
        self._take(reply.sender, reply.rumors, reply.generations)
        return reply

    async def _follow_up(
        self, link: PeerLink, peer: LeaseRecord, reply: pb.ExchangeReply
    ) -> None:
        """Send what the peer asked for, and get what it offered, if anything."""
        mine = self._configuration.active.generation
        lacking = self.rumors.lacking(reply.offers)
        if reply.generation > mine:
            await self.fetch_snapshot(peer)
        if lacking or reply.asked or reply.generation < mine:
            await self._send(
                link,
                peer,
                rumors=self.rumors.bodies(reply.asked),
                asked=lacking,
                generations=self._generations_after(reply.generation),
            )

    def _generations_after(self, after: int) -> list[pb.GenerationRecord]:
        steps = self._configuration.active.after(after)
        return [generation_record(step) for step in steps]

    def _take(
        self,
        sender: pb.Sender,
        rumors: t.Iterable[pb.Rumor],
        generations: t.Iterable[pb.GenerationRecord],
    ) -> None:
        remote = HybridTime(sender.time.physical_ms, sender.time.logical)
        self._recorder.clock.observe(remote)
        for rumor in rumors:
            self.rumors.offer(rumor, sender.incarnation)
        steps = [generation_of(record) for record in generations]
        self._configuration.adopt_steps(steps, f"from {sender.daemon_id}")

    def answer(self, request: pb.ExchangeRequest) -> pb.ExchangeReply:
        """Take a peer's news and return ours."""
        active = self._configuration.active
        self._take(request.sender, request.rumors, request.generations)
        link = self._links.get(request.sender.daemon_id)
        if link is not None:
            link.heard_at_s = boot_s()
        same_run = request.known_incarnation == self._incarnation
        after = request.known_cursor if same_run else 0
        news = self.rumors.news_for(request.sender.incarnation, after)
        return pb.ExchangeReply(
            sender=self.sender(),
            generation=active.generation,
            cursor=self.rumors.cursor,
            rumors=[*news.rumors, *self.rumors.bodies(request.asked)],
            offers=news.offers,
            asked=self.rumors.lacking(request.offers),
            generations=self._generations_after(request.generation),
        )

    # Single calls.

    async def fetch_snapshot(self, peer: LeaseRecord) -> None:
        """Take the whole configuration of a peer that is ahead."""
        link = self._links.to(peer)
        request = pb.SnapshotRequest(sender=self.sender())
        reply = await self._links.call(link.stub.Snapshot, request, peer)
        snapshot = cattrs.structure(json.loads(reply.snapshot_json), Snapshot)
        self._configuration.adopt_snapshot(snapshot, f"whole, from {peer.daemon_id}")

    async def fetch_events(
        self, peer: LeaseRecord, event_filter: EventFilter
    ) -> list[Event]:
        """Return a peer's events."""
        link = self._links.to(peer)
        request = pb.TimelineRequest(
            sender=self.sender(),
            filter_json=json.dumps(cattrs.unstructure(event_filter)),
        )
        reply = await self._links.call(link.stub.Timeline, request, peer)
        return cattrs.structure(json.loads(reply.events_json), list[Event])

    async def forward_jobs(self, peer: LeaseRecord, wish: JsonObject) -> JsonObject:
        """Have the holder carry out an operator's wish about jobs."""
        link = self._links.to(peer)
        request = pb.JobsRequest(sender=self.sender(), wish_json=json.dumps(wish))
        reply = await self._links.call(link.stub.Jobs, request, peer)
        return t.cast(JsonObject, json.loads(reply.result_json))

    def sender(self) -> pb.Sender:
        """Return what every message begins with."""
        now = self._recorder.clock.now()
        return pb.Sender(
            daemon_id=self._recorder.daemon_id,
            incarnation=self._incarnation,
            time=pb.Time(physical_ms=now.physical_ms, logical=now.logical),
        )
