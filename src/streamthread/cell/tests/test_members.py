"""What a daemon knows of its peers."""

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
        lambda news: None,
    )
    for daemon_id, peer_cores in peers.items():
        members.on_announcement(pb.Announcement(daemon_id=daemon_id, cores=peer_cores))
    return members


class TestLargerPeers:
    def test_are_those_with_clearly_more_processor(self) -> None:
        assert _members(0.5, {"a": 0.5, "b": 2.1}).has_larger_peer(excluding="")
        assert not _members(1.0, {"a": 1.1, "b": 0.5}).has_larger_peer(excluding="")

    def test_do_not_count_when_gone(self) -> None:
        assert not _members(0.5, {"a": 0.5, "b": 2.1}).has_larger_peer(excluding="b")

    def test_are_none_while_nobody_has_said(self) -> None:
        assert not _members(0.5, {"a": 0.0}).has_larger_peer(excluding="")

    def test_are_told_of_in_announcements(self) -> None:
        assert _members(0.5, {}).announcement(pb.OwnerNews()).cores == 0.5


class TestSuccessor:
    def test_is_the_largest_follower(self) -> None:
        members = _members(0.5, {"a": 0.5, "b": 2.1, "c": 4.0})
        assert members.largest(["a", "b"]) == "b"
        assert members.largest([]) == ""


class TestTelling:
    async def test_goes_to_so_many_peers_at_once(self) -> None:
        peers = _SlowPeers()
        members = Members(
            t.cast(t.Any, None),
            "main",
            "me",
            t.cast(t.Any, peers),
            1.0,
            lambda news: None,
        )
        members.addresses = {f"d-{n}": f"127.0.0.1:{n}" for n in range(300)}
        members.announce_soon(pb.OwnerNews())
        while len(peers.told) < 300:
            await asyncio.sleep(0)
        assert peers.most == MAX_CONCURRENT_ANNOUNCEMENTS
        assert len(set(peers.told)) == 300


class _SlowPeers:
    """Answers after some turns of the loop; counts who is told side by side."""

    address = "127.0.0.1:1"

    def __init__(self) -> None:
        self.told: list[str] = []
        self.most = 0
        self._now = 0

    async def announce(self, address: str, news: pb.Announcement) -> pb.Announcement:
        self._now += 1
        self.most = max(self.most, self._now)
        for _ in range(5):
            await asyncio.sleep(0)
        self._now -= 1
        self.told.append(address)
        return pb.Announcement()
