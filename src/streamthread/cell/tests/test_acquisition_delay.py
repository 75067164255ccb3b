"""Which candidates acquire the cell first."""

import random
import typing as t

import pytest

from streamthread.cell import cell_pb2 as pb
from streamthread.cell import LeaseTimes
from streamthread.cell import PeerContacts
from streamthread.cell.acquisition_delay import AcquisitionDelay
from streamthread.cell.members import Members
from streamthread.cell.rows import Owner
from streamthread.cell.takeover import Suspicion

HALLS = {"old": "a", "large-a": "a", "b": "b", "c": "c"}
CORES = {"old": 1.0, "large-a": 4.0, "b": 1.0, "c": 1.0}
ADDRESSES = {daemon_id: f"127.0.0.1:{n}" for n, daemon_id in enumerate(HALLS, start=1)}
OLD = Owner("old", "n-0", ADDRESSES["old"], 1)
RELEASED = Owner("old", "n-0", ADDRESSES["old"], 1, released=True, successor="b")
TIMES = LeaseTimes()


class _Peers:
    address = "127.0.0.1:99"

    def __init__(self, hall: str) -> None:
        self.contacts = PeerContacts(hall)
        for daemon_id, address in ADDRESSES.items():
            stated = PeerContacts(HALLS[daemon_id]).metadata()
            self.contacts.on_metadata(address, stated)


def _delay_s(
    hall: str, suspicion: Suspicion, owner: Owner = OLD, cores: float = 1.0
) -> float:
    unused = t.cast(t.Any, None)
    peers = t.cast(t.Any, _Peers(hall))
    members = Members(unused, "main", "me", peers, cores, lambda update: None)
    for daemon_id, address in ADDRESSES.items():
        members.on_announcement(
            pb.Announcement(
                daemon_id=daemon_id, address=address, cores=CORES[daemon_id]
            )
        )
    delay = AcquisitionDelay(members, "me", TIMES, cores, random.Random(1), hall)
    return delay.before_acquisition_s(suspicion, owner)


@pytest.mark.parametrize(
    "suspicion", [Suspicion.SILENT, Suspicion.PROCESS_GONE, Suspicion.CANNOT_COMMIT]
)
class TestCandidates:
    # Guards against a holder in the hall that has just lost one.
    def test_in_other_halls_go_first(self, suspicion: Suspicion) -> None:
        elsewhere_s = _delay_s("b", suspicion)
        same_hall_s = _delay_s("a", suspicion, cores=4.0)
        assert elsewhere_s < TIMES.defer_s < same_hall_s

    # Guards against candidates that wait for larger daemons in a lost hall.
    def test_do_not_wait_for_larger_ones_in_the_lost_hall(
        self, suspicion: Suspicion
    ) -> None:
        assert _delay_s("b", suspicion) < TIMES.defer_s
        assert _delay_s("b", suspicion, cores=0.5) > TIMES.defer_s

    def test_are_ranked_by_size_alone_without_halls(self, suspicion: Suspicion) -> None:
        assert _delay_s("", suspicion) > TIMES.defer_s
        assert _delay_s("", suspicion, cores=4.0) < TIMES.defer_s


def test_planned_stop_does_not_count_as_the_loss_of_a_hall() -> None:
    assert _delay_s("a", Suspicion.RELEASED, RELEASED, cores=4.0) < TIMES.defer_s
