"""What a daemon knows of its connections to peers."""

import typing as t

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import CellEndpoint
from streamthread.cell import CellPort
from streamthread.cell import PeerContacts
from streamthread.cell import PeerLinks

HEARTBEAT_S = 0.05


class TestHalls:
    async def test_are_exchanged_with_announcements(self) -> None:
        unused = t.cast(t.Any, None)
        theirs = PeerContacts("hall-ä")
        endpoint = CellEndpoint(
            unused, unused, HEARTBEAT_S, lambda update: update, unused, theirs
        )
        port = CellPort(endpoint, "127.0.0.1", 0)
        address = await port.open()
        ours = PeerContacts("b")
        links = PeerLinks("daemon-1", "127.0.0.1:1", HEARTBEAT_S, ours)
        update = pb.Announcement(daemon_id="daemon-1", address="127.0.0.1:1")
        try:
            assert await links.announce(address, update) == update
            assert await links.probe(address, update, 1.0) == update
        finally:
            links.close()
            port.close()
        assert ours.elsewhere([address]) == [("hall-ä", address)]
        assert theirs.elsewhere(["127.0.0.1:1"]) == [("b", "127.0.0.1:1")]
        assert ours.last_answer_at_s([address]) > 0

    # Guards against peers of an older version that count as being in another hall.
    def test_that_are_unknown_are_not_elsewhere(self) -> None:
        contacts = PeerContacts("a")
        contacts.on_metadata("p:1", {})
        contacts.on_metadata("p:2", {"streamthread-hall-bin": b"a"})
        assert not contacts.elsewhere(["p:1", "p:2"])

    async def test_probe_of_a_closed_port_is_unanswered(self) -> None:
        links = PeerLinks("daemon-1", "127.0.0.1:1", HEARTBEAT_S)
        assert await links.probe("127.0.0.1:9", pb.Announcement(), 0.5) is None


class TestCommits:
    # Guards against heartbeats of a holder in a cut hall that count as contact.
    def test_are_seen_only_when_their_number_changes(self) -> None:
        contacts = PeerContacts("a")
        contacts.on_heartbeat("p:1", 1, 5)
        at_s = contacts.committed_at_s
        contacts.on_heartbeat("p:1", 1, 5)
        assert contacts.committed_at_s == at_s
        contacts.on_heartbeat("p:1", 1, 6)
        assert contacts.committed_at_s > at_s

    # Guards against a daemon that leaves later than needed: heartbeats of a holder in
    # another hall are contacts by themselves.
    def test_of_a_holder_in_another_hall_do_not_count(self) -> None:
        contacts = PeerContacts("a")
        contacts.on_metadata("p:1", PeerContacts("b").metadata())
        contacts.on_heartbeat("p:1", 1, 5)
        assert contacts.committed_at_s < 0
        assert contacts.last_answer_at_s(["p:1"]) > 0
