"""When the halls' policy permits starts."""

import pytest

from streamthread.halls import Evacuations
from streamthread.halls import HallRegistry
from streamthread.halls import HallState
from streamthread.halls import registry as module
from streamthread.platform.store import StoredRow
from streamthread.platform.table_feed import Update

NOW_S = 1000.0


@pytest.fixture(autouse=True)
def clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "boot_s", lambda: NOW_S)


def _read(age_s: float, *halls: str) -> Evacuations:
    evacuations = Evacuations()
    rows = tuple(StoredRow("op", "", f"evacuate/{h}", b"{}", 1) for h in halls)
    evacuations.apply(Update(rows, whole=True), NOW_S - age_s)
    return evacuations


class TestAreKnown:
    def test_not_before_the_table_has_been_read(self) -> None:
        """Guards against a new holder that takes a limit it has not read for none."""
        assert not HallRegistry(Evacuations(), None).are_known()

    def test_at_any_age_where_the_platform_gives_no_bound(self) -> None:
        assert HallRegistry(_read(3600.0), None).are_known()

    @pytest.mark.parametrize(
        ("age_s", "known"), [(0.6, True), (2.2, True), (2.3, False)]
    )
    def test_up_to_an_age_where_it_gives_one(self, age_s: float, known: bool) -> None:
        assert HallRegistry(_read(age_s), 5.0).are_known() is known

    def test_the_oldest_view_and_the_latest_start_are_within_the_bound(self) -> None:
        """A start sent on the oldest view is valid for half of the bound, and the
        runner's clock may be 2 % slow."""
        age_s = module.max_age_s(5.0)
        assert age_s is not None
        assert age_s + 2.5 / 0.98 + 0.06 < 5.0


class TestMayStart:
    def test_not_in_any_evacuated_hall(self) -> None:
        halls = HallRegistry(_read(0.0, "a", "nobody"), 5.0)
        assert not halls.may_start("a")
        assert halls.may_start("b")
        assert halls.may_start("")

    def test_a_view_that_is_too_old_closes_no_hall(self) -> None:
        """Guards against machines that move because the store does not answer."""
        halls = HallRegistry(_read(60.0), 5.0)
        assert not halls.are_known()
        assert halls.may_start("a")


class TestState:
    def test_names_evacuated_halls(self) -> None:
        halls = HallRegistry(_read(0.0, "a"), 5.0)
        assert halls.state("a") is HallState.EVACUATED
        assert halls.state("b") is HallState.OPEN
