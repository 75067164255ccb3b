"""Tests what a daemon knows of its peers, and its announcements to them."""

import asyncio
import typing as t

from streamthread.cell import cell_pb2 as pb
from streamthread.cell.members import MAX_CONCURRENT_ANNOUNCEMENTS
from streamthread.cell.members import Members


class _Peers:
    address = "127.0.0.1:1"


def _members(cores: float, peers: dict[str, float]) -> Members:
    members = Members(
        t.cast(t.Any, None),
        "main",
        "me",
        t.cast(t.Any, _Peers()),
        cores,
        lambda update: None,
    )
    for daemon_id, peer_cores in peers.items():
        members.on_announcement(pb.Announcement(daemon_id=daemon_id, cores=peer_cores))
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


class TestSuccessor:
    def test_is_the_largest_follower(self) -> None:
        members = _members(0.5, {"a": 0.5, "b": 2.1, "c": 4.0})
        assert members.largest(["a", "b"]) == "b"
        assert members.largest([]) == ""


class TestConcurrency:
    async def test_of_announcements_is_limited(self) -> None:
        peers = _SlowPeers()
        members = Members(
            t.cast(t.Any, None),
            "main",
            "me",
            t.cast(t.Any, peers),
            1.0,
            lambda update: None,
        )
        members.addresses = {f"d-{n}": f"127.0.0.1:{n}" for n in range(300)}
        members.announce_soon(pb.OwnerNews())
        while len(peers.notified) < 300:
            await asyncio.sleep(0)
        assert peers.max_concurrent == MAX_CONCURRENT_ANNOUNCEMENTS
        assert len(set(peers.notified)) == 300


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
