"""Tests that the progress of a wave takes rows of a bounded size.

Guards against a wave whose row the store refuses once enough machines have begun.
"""

import json

import pytest

from streamthread.errors import UnreadableError
from streamthread.upkeep import WaveProgress
from streamthread.upkeep.progress import MACHINES_PER_ROW

ROW_BYTES = 65_536


def _wave(machines: int, id_length: int = 6) -> WaveProgress:
    ids = [f"{number:0{id_length}}" for number in range(machines)]
    return WaveProgress(7, 2.5, dict.fromkeys(ids), "running")


def _rows(progress: WaveProgress) -> list[bytes]:
    return [progress.encode(row) for row in range(progress.last_row + 1)]


class TestRows:
    @pytest.mark.parametrize("machines", [0, 1, 300, 301, 18_000])
    def test_restore_the_progress(self, machines: int) -> None:
        progress = _wave(machines)
        first, *more = _rows(progress)
        assert WaveProgress.decode(first, more) == progress
        assert len(more) == max(0, machines - 1) // MACHINES_PER_ROW

    def test_have_a_bounded_size(self) -> None:
        rows = _rows(_wave(18_000, id_length=200))
        assert max(map(len, rows)) <= ROW_BYTES

    def test_of_an_earlier_version_are_one_row(self) -> None:
        ids = [f"m-{number}" for number in range(3000)]
        row = json.dumps([7, 2.5, ids, ""]).encode()
        assert list(WaveProgress.decode(row).begun) == ids

    @pytest.mark.parametrize("more", [b"{}", b"[1]", b""])
    def test_must_list_machines(self, more: bytes) -> None:
        with pytest.raises(UnreadableError):
            WaveProgress.decode(_wave(1).encode(), [more])


class TestKeys:
    @pytest.mark.parametrize("row", [0, 1, 60])
    def test_name_the_wave_and_the_row(self, row: int) -> None:
        assert WaveProgress.parse_key(_wave(1).key(row)) == ("7", row)

    @pytest.mark.parametrize("key", ["7.x", "7.-1", "7.1.2"])
    def test_of_other_writers_name_no_row(self, key: str) -> None:
        with pytest.raises(UnreadableError):
            WaveProgress.parse_key(key)
