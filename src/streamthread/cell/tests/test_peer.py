"""Tests the followers of a holder, and the connections between daemons."""

import asyncio
import typing as t

import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import CellEndpoint
from streamthread.cell import CellPort
from streamthread.cell import peer
from streamthread.cell import PeerLinks
from streamthread.channels import PeerChannel
from streamthread.errors import PeerUnavailableError

HEARTBEAT_S = 0.01
BEAT_S = 0.25

LATE_S = 0.5
"""Longer than a call waits until its channel is verified."""


class _Stream:
    """A follower's stream, which a test can break."""

    def __init__(self) -> None:
        self.heartbeats = 0
        self.broken = False

    async def recv_message(self) -> pb.FollowRequest:
        return pb.FollowRequest(daemon_id="daemon-1", address="peer:1")

    async def send_message(self, heartbeat: pb.Beat) -> None:
        if self.broken:
            raise ConnectionResetError
        self.heartbeats += 1


def _endpoint() -> CellEndpoint:
    unused = t.cast(t.Any, None)
    return CellEndpoint(unused, lambda: pb.Beat(token=1), HEARTBEAT_S, unused, unused)


async def _until_heartbeat(stream: _Stream) -> None:
    while not stream.heartbeats:
        await asyncio.sleep(HEARTBEAT_S)


class TestFollowers:
    async def test_that_reconnected_stay_when_their_old_stream_ends(self) -> None:
        endpoint = _endpoint()
        old, new = _Stream(), _Stream()
        following_old = asyncio.ensure_future(endpoint.Follow(old))
        await _until_heartbeat(old)
        following_new = asyncio.ensure_future(endpoint.Follow(new))
        await _until_heartbeat(new)
        old.broken = True
        with pytest.raises(ConnectionResetError):
            await following_old
        assert endpoint.followers == {"daemon-1": "peer:1"}
        new.broken = True
        with pytest.raises(ConnectionResetError):
            await following_new
        assert endpoint.followers == {}


class _LosingChannel(PeerChannel):
    """Loses each connection after it is established and before it is used."""

    async def _create_connection(self) -> t.Any:
        protocol = await super()._create_connection()
        protocol.connection_lost(None)
        return protocol


@pytest.fixture
async def losing_links(
    monkeypatch: pytest.MonkeyPatch,
) -> t.AsyncIterator[tuple[PeerLinks, str]]:
    """Yield links, and the address of a peer to which they lose each connection."""
    port = CellPort(_endpoint(), "127.0.0.1", 0)
    address = await port.open()
    monkeypatch.setattr("streamthread.cell.peer.PeerChannel", _LosingChannel)
    links = PeerLinks("daemon-0", "here:1", HEARTBEAT_S)
    yield links, address
    links.close()
    port.close()


class TestLostConnection:
    """A connection is lost after it was established and before it is used."""

    async def test_to_the_holder_is_reestablished(
        self, losing_links: tuple[PeerLinks, str]
    ) -> None:
        links, address = losing_links
        await links.follow(address, 1, 1.0, asyncio.Event())
        assert not await links.can_commit(address, 1)

    async def test_fails_a_call_as_unanswered(
        self, losing_links: tuple[PeerLinks, str]
    ) -> None:
        links, address = losing_links
        with pytest.raises(PeerUnavailableError):
            await links.call(address, pb.CallRequest(), 1.0)


class TestChannelThatResponds:
    # Guards against calls that are cut off while the holder sends no heartbeats, as in
    # an outage of the store.
    async def test_is_kept_while_heartbeats_are_missing(self) -> None:
        calls: list[pb.CallRequest] = []

        async def answer_late(request: pb.CallRequest) -> pb.CallReply:
            calls.append(request)
            await asyncio.sleep(LATE_S)
            return pb.CallReply(outcome=pb.OK)

        unused = t.cast(t.Any, None)
        beat = pb.Beat(token=1, doubtful=True)
        endpoint = CellEndpoint(answer_late, lambda: beat, HEARTBEAT_S, unused, unused)
        port = CellPort(endpoint, "127.0.0.1", 0)
        address = await port.open()
        links = PeerLinks("daemon-1", "127.0.0.1:1", HEARTBEAT_S)
        try:
            reply = await links.call(address, pb.CallRequest(), 10 * LATE_S)
            assert reply.outcome == pb.OK
            assert len(calls) == 1
        finally:
            links.close()
            port.close()


class _Clock:
    """The boot clock, on which only the waits of a pending call pass."""

    def __init__(self) -> None:
        self.now_s = 100.0

    async def wait(self, answer: "asyncio.Future[t.Any]", within_s: float) -> bool:
        await asyncio.sleep(0)
        if not answer.done():
            self.now_s += within_s
        return answer.done()


class _SilentLinks(PeerLinks):
    """A channel on which calls are answered once it has been verified."""

    def __init__(self, clock: _Clock) -> None:
        super().__init__("daemon-1", "", BEAT_S)
        self.verified_at_s: list[float] = []
        self._clock = clock
        self._replaced = asyncio.Event()

    def on_heartbeat(self) -> None:
        self.heartbeats.heard_at_s = self._clock.now_s

    async def _verify(self, address: str) -> None:
        self.verified_at_s.append(self._clock.now_s)
        self._replaced.set()

    async def _answer(self, *args: t.Any, **options: t.Any) -> t.Any:
        await self._replaced.wait()
        return pb.CallReply(outcome=pb.OK)


class TestChannelInDoubt:
    # Guards against a check that is made up to 0.1 s after the heartbeat was due, which
    # is a sixth of what the objective of the shortest jobs leaves a submission.
    @pytest.mark.parametrize("heard_before_s", [0.0, 0.04, 0.09, 0.2])
    async def test_is_verified_as_soon_as_a_heartbeat_is_overdue(
        self, monkeypatch: pytest.MonkeyPatch, heard_before_s: float
    ) -> None:
        clock = _Clock()
        monkeypatch.setattr(peer, "boot_s", lambda: clock.now_s)
        monkeypatch.setattr(peer, "_is_done", clock.wait)
        links = _SilentLinks(clock)
        links.on_heartbeat()
        due_at_s = clock.now_s + BEAT_S + peer.HEARTBEAT_MARGIN_S
        clock.now_s += heard_before_s
        reply = await links.call("peer:1", pb.CallRequest(), 1.0)
        assert reply.outcome == pb.OK
        assert links.verified_at_s == [pytest.approx(due_at_s)]


class TestAnnouncements:
    """Each of 300 daemons announces to all others, so open channels would add up."""

    async def test_keep_no_channel(self) -> None:
        endpoint = _announced_endpoint()
        port = CellPort(endpoint, "127.0.0.1", 0)
        address = await port.open()
        links = PeerLinks("daemon-1", "127.0.0.1:1", HEARTBEAT_S)
        try:
            answer = await links.announce(address, pb.Announcement())
            assert answer.daemon_id == "daemon-2"
            assert links._channels == {}
        finally:
            links.close()
            port.close()

    async def test_use_the_channel_to_the_holder_and_keep_it(self) -> None:
        endpoint = _announced_endpoint()
        port = CellPort(endpoint, "127.0.0.1", 0)
        address = await port.open()
        links = PeerLinks("daemon-1", "127.0.0.1:1", HEARTBEAT_S)
        try:
            await links.call(address, pb.CallRequest(), 1.0)
            kept = dict(links._channels)
            await links.announce(address, pb.Announcement())
            assert links._channels == kept
            assert len(kept) == 1
        finally:
            links.close()
            port.close()


def _announced_endpoint() -> CellEndpoint:
    async def call(request: pb.CallRequest) -> pb.CallReply:
        return pb.CallReply()

    unused = t.cast(t.Any, None)
    return CellEndpoint(
        call,
        unused,
        HEARTBEAT_S,
        lambda _: pb.Announcement(daemon_id="daemon-2"),
        unused,
    )
