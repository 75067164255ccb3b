"""Tests what a daemon knows of its peers, and its announcements to them."""

import asyncio
import typing as t

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import PeerContacts
from streamthread.cell.members import MAX_CONCURRENT_ANNOUNCEMENTS
from streamthread.cell.members import Members
from streamthread.errors import PeerUnavailableError


class _Peers:
    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.contacts = PeerContacts("here")


def _members(
    cores: float, peers: dict[str, float], halls: dict[str, str] | None = None
) -> Members:
    peer_links = _Peers()
    members = Members(
        t.cast(t.Any, None),
        "main",
        "me",
        t.cast(t.Any, peer_links),
        cores,
        lambda update: None,
    )
    for number, (daemon_id, peer_cores) in enumerate(peers.items(), start=2):
        address = f"127.0.0.1:{number}"
        hall = (halls or {}).get(daemon_id, "")
        peer_links.contacts.on_metadata(address, PeerContacts(hall).metadata())
        members.on_announcement(
            pb.Announcement(daemon_id=daemon_id, address=address, cores=peer_cores)
        )
    return members


class TestLargerPeers:
    def test_are_those_with_clearly_more_cores(self) -> None:
        assert _members(0.5, {"a": 0.5, "b": 2.1}).has_larger_peer(excluding="")
        assert not _members(1.0, {"a": 1.1, "b": 0.5}).has_larger_peer(excluding="")

    def test_do_not_include_an_excluded_peer(self) -> None:
        assert not _members(0.5, {"a": 0.5, "b": 2.1}).has_larger_peer(excluding="b")

    def test_are_none_while_no_peer_has_stated_its_cores(self) -> None:
        assert not _members(0.5, {"a": 0.0}).has_larger_peer(excluding="")

    def test_are_found_by_the_cores_in_announcements(self) -> None:
        assert _members(0.5, {}).announcement(pb.OwnerNews()).cores == 0.5

    # Guards against candidates that wait for larger daemons in a lost hall.
    def test_in_a_lost_hall_are_ignored(self) -> None:
        members = _members(0.5, {"a": 2.0, "b": 0.5}, {"a": "lost", "b": "here"})
        assert members.has_larger_peer(excluding="")
        assert not members.has_larger_peer(excluding="", excluding_hall="lost")


class TestSuccessor:
    # Guards against a successor that is lost together with the holder's hall.
    def test_is_in_another_hall_where_sizes_are_equal(self) -> None:
        halls = {"a": "here", "b": "there", "c": "here"}
        members = _members(0.5, {"a": 2.0, "b": 2.0, "c": 2.0}, halls)
        assert members.largest(["a", "b", "c"], avoid_hall="here") == "b"
        assert members.largest(["a", "c"], avoid_hall="here") in ("a", "c")
        members = _members(0.5, {"a": 4.0, "b": 2.0}, halls)
        assert members.largest(["a", "b"], avoid_hall="here") == "a"

    def test_is_the_largest_follower(self) -> None:
        members = _members(0.5, {"a": 0.5, "b": 2.1, "c": 4.0})
        assert members.largest(["a", "b"]) == "b"
        assert members.largest([]) == ""


def _with_300_peers(peers: t.Any) -> Members:
    members = Members(
        t.cast(t.Any, None), "main", "me", peers, 1.0, lambda update: None
    )
    members.addresses = {f"d-{n}": f"127.0.0.1:{n}" for n in range(300)}
    return members


class TestConcurrency:
    async def test_of_announcements_is_limited(self) -> None:
        peers = _SlowPeers()
        members = _with_300_peers(peers)
        members.announce_soon(pb.OwnerNews())
        while len(peers.notified) < 300:
            await asyncio.sleep(0)
        assert peers.max_concurrent == MAX_CONCURRENT_ANNOUNCEMENTS
        assert len(set(peers.notified)) == 300


class TestLostHall:
    """Guards against members that learn late of a new holder when a hall is lost."""

    async def test_delays_no_announcement_to_others(self) -> None:
        peers = _PeersWithLostHall()
        members = _with_300_peers(peers)
        async with asyncio.timeout(SILENCE_S / 2):
            members.announce_soon(pb.OwnerNews())
            while len(peers.notified) < 225:
                await asyncio.sleep(0.005)
            # While the lost members are tried again, a second change of the holder.
            peers.notified.clear()
            members.announce_soon(pb.OwnerNews())
            while len(peers.notified) < 225:
                await asyncio.sleep(0.005)
        members.close()


SILENCE_S = 30.0
"""For how long a call to a silent peer takes without a shorter timeout: so long that
one round of such calls exceeds the time of the test, however busy the machine is."""


class _PeersWithLostHall:
    """Every fourth peer is silent: calls to it end with the timeout of the call."""

    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.notified: set[str] = set()

    async def announce(self, address: str, update: pb.Announcement) -> pb.Announcement:
        if int(address.rpartition(":")[2]) % 4 == 0:
            await asyncio.sleep(SILENCE_S)
            raise PeerUnavailableError("no answer", remedy="-")
        await asyncio.sleep(0.01)
        self.notified.add(address)
        return pb.Announcement()


class _SlowPeers:
    """Answers after some iterations of the loop; counts concurrent announcements."""

    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.notified: list[str] = []
        self.max_concurrent = 0
        self._concurrent = 0

    async def announce(self, address: str, update: pb.Announcement) -> pb.Announcement:
        self._concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self._concurrent)
        for _ in range(5):
            await asyncio.sleep(0)
        self._concurrent -= 1
        self.notified.append(address)
        return pb.Announcement()
