"""Single settings of a cell are overridden from the command line."""

import pytest

from streamthread.errors import SettingsError
from streamthread.gateway.overrides import override_settings
from streamthread.holder import CellSettings


class TestOverrides:
    def test_replace_one_setting_and_keep_the_others(self) -> None:
        before = CellSettings()
        after = override_settings(before, ["duties.capacity.headroom_machines=0.5"])
        assert after.duties.capacity.headroom_machines == 0.5
        assert after.duties.capacity.idle_s == before.duties.capacity.idle_s
        assert after.links == before.links

    def test_keep_the_type_of_a_setting(self) -> None:
        after = override_settings(CellSettings(), ["duties.capacity.least_machines=1"])
        assert after.duties.capacity.least_machines == 1
        assert isinstance(after.duties.capacity.least_machines, int)

    @pytest.mark.parametrize(
        ("override", "remedy"),
        [
            ("links.hold_s", "PATH=VALUE"),
            ("links.hold=1", "known settings: "),
            ("links=1", "after a dot"),
            ("links.hold_s.x=1", "end the path"),
            ("links.hold_s=soon", "give a number"),
        ],
    )
    def test_refuse_a_path_that_names_no_setting(
        self, override: str, remedy: str
    ) -> None:
        with pytest.raises(SettingsError, match=remedy):
            override_settings(CellSettings(), [override])
