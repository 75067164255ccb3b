"""Which halls count as evacuated after any reading of the operator's rows."""

import pytest

from streamthread.halls import Evacuations
from streamthread.platform.store import StoredRow
from streamthread.platform.table_feed import Update
from streamthread.unreadable import UnreadableNotes


def _row(
    hall: str, version: int = 1, value: bytes | None = b"{}", part: str = ""
) -> StoredRow:
    return StoredRow("op", part, f"evacuate/{hall}", value, version)


@pytest.fixture
def evacuations() -> Evacuations:
    return Evacuations()


def _read(evacuations: Evacuations, *rows: StoredRow, whole: bool = False) -> None:
    evacuations.apply(Update(rows, whole), as_of_s=1.0)


class TestRows:
    def test_several_evacuations_are_in_force_at_a_time(
        self, evacuations: Evacuations
    ) -> None:
        _read(evacuations, _row("a"), _row("b", 2), whole=True)
        assert {h: e.version for h, e in evacuations.in_force.items()} == {
            "a": 1,
            "b": 2,
        }

    @pytest.mark.parametrize("value", [b"", b"[]", b"{", b"\xff", b"7" * 99_999])
    def test_a_value_that_cannot_be_decoded_is_in_force_and_reported(
        self, value: bytes
    ) -> None:
        """Guards against an evacuation that is ignored because of its value."""
        notes = UnreadableNotes()
        evacuations = Evacuations(notes)
        _read(evacuations, _row("a", value=value))
        assert "a" in evacuations.in_force
        assert notes.counts["evacuation"] == 1

    def test_further_fields_are_no_error(self) -> None:
        notes = UnreadableNotes()
        evacuations = Evacuations(notes)
        _read(evacuations, _row("a", value=b'{"reason":"cooling","until":[1]}'))
        assert "a" in evacuations.in_force
        assert notes.counts["evacuation"] == 0

    def test_a_removed_row_is_withdrawn(self, evacuations: Evacuations) -> None:
        _read(evacuations, _row("a"), _row("b"))
        _read(evacuations, _row("a", 2, value=None))
        assert list(evacuations.in_force) == ["b"]
        assert list(evacuations.withdrawn_at_s) == ["a"]

    def test_a_removed_row_that_was_never_seen_is_no_withdrawal(
        self, evacuations: Evacuations
    ) -> None:
        _read(evacuations, _row("a", value=None))
        assert not evacuations.withdrawn_at_s

    def test_the_same_hall_again_is_another_evacuation(
        self, evacuations: Evacuations
    ) -> None:
        _read(evacuations, _row("a", 1))
        _read(evacuations, _row("a", 2, value=None))
        _read(evacuations, _row("a", 3))
        assert evacuations.in_force["a"].version == 3
        assert not evacuations.withdrawn_at_s

    @pytest.mark.parametrize(
        "row",
        [
            _row("a", part="main"),
            _row(""),
            StoredRow("op", "", "wave/1", b"{}", 1),
            StoredRow("op", "", "evacuate", b"{}", 1),
        ],
    )
    def test_other_rows_evacuate_nothing(
        self, evacuations: Evacuations, row: StoredRow
    ) -> None:
        _read(evacuations, row, whole=True)
        assert not evacuations.in_force


class TestFullRead:
    def test_withdraws_what_it_does_not_show(self, evacuations: Evacuations) -> None:
        """Guards against a hall that stays evacuated if the row was removed while the
        feed's history was gone."""
        _read(evacuations, _row("a"), _row("b"), whole=True)
        _read(evacuations, _row("b"), whole=True)
        assert list(evacuations.in_force) == ["b"]

    def test_changes_alone_withdraw_nothing(self, evacuations: Evacuations) -> None:
        _read(evacuations, _row("a"), whole=True)
        _read(evacuations)
        assert list(evacuations.in_force) == ["a"]

    def test_is_required_before_evacuations_count_as_read(
        self, evacuations: Evacuations
    ) -> None:
        _read(evacuations, _row("a"))
        assert not evacuations.is_read
        _read(evacuations, whole=True)
        assert evacuations.is_read
