"""Selectors: what they match, and where their mistakes are."""

import pytest

from streamthread.errors import SelectorError
from streamthread.fleet import Selector

LABELS = {"hall": "plateau", "cores": "16", "service": "billing"}


class TestSelector:
    @pytest.mark.parametrize(
        "text",
        [
            "",
            "hall in (plateau, hann), cores >= 16, !quarantined",
            "service = billing",
            "service != seat-grant",
            "rack notin (r1)",
            "cores < 16.5",
            "hall",
        ],
    )
    def test_matches(self, text: str) -> None:
        assert Selector.parse(text).matches(LABELS)

    @pytest.mark.parametrize(
        "text",
        ["!hall", "hall in (hann)", "cores > 16", "memory_bytes >= 1", "service = x"],
    )
    def test_does_not_match(self, text: str) -> None:
        assert not Selector.parse(text).matches(LABELS)

    @pytest.mark.parametrize(
        ("text", "column"),
        [("hall = = x", "column 8"), ("hall in (", "column 10"), ("cores >= x", "")],
    )
    def test_mistake_names_its_column_and_a_remedy(
        self, text: str, column: str
    ) -> None:
        with pytest.raises(SelectorError) as caught:
            Selector.parse(text)
        assert column in caught.value.location
        assert caught.value.remedy
