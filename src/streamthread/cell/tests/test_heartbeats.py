"""When the heartbeats of a holder count as overdue."""

from streamthread.cell import cell_pb2 as pb
from streamthread.cell.heartbeats import Heartbeats


def _heard(token: int, doubtful: bool = False) -> Heartbeats:
    heartbeats = Heartbeats()
    heartbeats.on_heartbeat(pb.Beat(token=token, doubtful=doubtful))
    heartbeats.heard_at_s -= 1.0
    heartbeats._committing_at_s -= 1.0
    return heartbeats


class TestOverdueHeartbeats:
    def test_are_those_of_the_present_holder_that_have_ceased(self) -> None:
        assert _heard(token=3).is_overdue(3, within_s=0.4)
        assert not _heard(token=3).is_overdue(3, within_s=2.0)

    # Guards against calls that are not sent to the next holder.
    def test_are_not_those_of_the_holder_before(self) -> None:
        assert not _heard(token=3).is_overdue(4, within_s=0.4)
        assert not Heartbeats().is_overdue(1, within_s=0.4)

    # Guards against states that are not asked of a holder without the store.
    def test_are_not_those_of_a_holder_that_cannot_commit(self) -> None:
        assert not _heard(token=3, doubtful=True).is_overdue(3, within_s=0.4)
