"""When the halls' policy permits starts."""

import math

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
        assert not HallRegistry(Evacuations(), 5.0).are_known()

    def test_unread_where_the_platform_bounds_no_starts(self) -> None:
        """Guards deployments without evacuations against a holder that starts nothing
        while it can't read the operator's table."""
        assert HallRegistry(Evacuations(), None).are_known()

    def test_at_any_age_where_the_platform_gives_no_bound(self) -> None:
        assert HallRegistry(_read(3600.0), None).are_known()

    @pytest.mark.parametrize(
        ("age_s", "known"), [(0.6, True), (3.7, True), (3.8, False)]
    )
    def test_up_to_an_age_where_it_gives_one(self, age_s: float, known: bool) -> None:
        assert HallRegistry(_read(age_s), 5.0).are_known() is known

    @pytest.mark.parametrize("age_s", [0.0, 2.25, 3.75, 5.0])
    def test_a_start_on_any_view_is_carried_out_within_the_bound(
        self, age_s: float
    ) -> None:
        """Guards against starts that are carried out too late, also by a runner whose
        clock is 2 % slow, and if this process was suspended before it sent them."""
        start_s = min(2.5, HallRegistry(_read(age_s), 5.0).start_within_s())
        assert start_s < 0 or age_s + start_s / 0.98 + 0.06 < 5.0
        assert (start_s < 0) == (age_s > 4.75)

    def test_starts_on_the_oldest_view_have_time_for_their_orders(self) -> None:
        age_s = module.max_age_s(5.0)
        assert age_s is not None
        assert HallRegistry(_read(age_s), 5.0).start_within_s() >= 0.9

    def test_starts_have_no_limit_where_the_platform_gives_no_bound(self) -> None:
        assert HallRegistry(_read(3600.0), None).start_within_s() == math.inf


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
